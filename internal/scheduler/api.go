package scheduler

import "time"

// All times are durations on the caller's clock, whose zero is arbitrary and which only advances.

// NodeID names a storage node. A node keeps its id when its process restarts.
type NodeID uint32

// RequestID names a client request. Ids are never used twice.
type RequestID uint32

// VolumeID names the volume whose reserve, limit and share a request draws on.
type VolumeID uint64

// Effect tells what a repeat of a request may do.
type Effect uint8

// The kinds of effect.
const (
	Repeatable Effect = iota // repeats are harmless
	ByKey                    // repeats are dropped inside a group of nodes, for a while
	Once                     // must never run twice
)

// Scope is the group of nodes that drops the repeats of a ByKey request.
type Scope uint8

// The groups, from widest to narrowest.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is a kind of request.
type Class struct {
	Name        string
	Aim         time.Duration // full worth is earned within this
	AimStretch  float64       // the aim grows by this many times the request's own work; 0: not at all
	Deadline    time.Duration // the client's total wait over all its tries
	Effect      Effect
	Scope       Scope         // for ByKey
	DedupWindow time.Duration // for ByKey: how long repeats are dropped after the first send
	InTurn      bool          // requests with one key run one at a time, in the order taken
	Stream      bool          // answers start with a Started event
	Write       bool
	Worth       float64
	LateValue   float64 // part of the worth earned after the aim
}

// Plan is what a volume has bought. Figures hold for each volume over all gateways and nodes.
type Plan struct {
	Name      string
	Rate      float64 // units a second the volume is sized for
	Reserve   float64 // units a second that earn their full worth
	Weight    float64 // proportion in sharing what is beyond the reserves
	Pays      float64 // factor on the worth
	Limit     float64 // units a second at which the limit's token bucket fills; 0: no limit
	LimitCap  float64 // the most units that bucket holds
	LimitDebt float64 // how far it may go below zero
}

// Settings is what a gateway tells the scheduler at start. A zero stands for "absent".
type Settings struct {
	Siblings int // gateways that share the nodes, this one included
	Classes  []Class
	Plans    []Plan
	Shards   int

	MeanUnits, MostUnits float64 // size of a request in units
	FairWorth, IdleWorth float64 // part of the worth beyond the reserve, and beyond the share

	AskList   bool          // the node list comes only to those who Subscribe
	AskWithin time.Duration // a gateway that has not asked for so long counts as told

	MaxAttempts  int
	MayDuplicate bool // a request may have two attempts out
	MayCancel    bool
	MayProbe     bool
	MaxComeBack  time.Duration // longest RetryAfter that clients respect; 0: they are not told

	AnswerGrace time.Duration // a final answer is valid so long after the client's time is up
	DrainGrace  time.Duration

	StartCapacity float64       // least part of its capacity that a node starts with
	RampTime      time.Duration // a started node is warm after this
	FallMultiple  float64       // a cold node that gets more than this multiple of its capacity
	FallWindow    time.Duration // over this time falls over
	ColdBears     float64       // units in FallWindow that a cold node bears from all gateways together

	KeyRest time.Duration // rest of an in-turn key after a time-out, reset or cancel

	ExtraFloor, ExtraRatio float64       // budget of further attempts, absolute and per request taken
	ExtraWindow            time.Duration // over which it is counted; 0: no budget

	UsePeriod      time.Duration // period of Outcome.VolumeUse; 0: never told
	TellsElsewhere bool          // outcomes carry ForeignUnits

	// Shares tells that gateways lend each other parts of limits: Demand is wanted, and Part comes. Until it does a volume
	// has StartPart of its even part here, what no gateway ever lends; 0: all of it.
	Shares    bool
	StartPart float64

	ReportFields []string      // the values of a load report, in order
	Tick         time.Duration // shortest gap between calls of Step
}

// NodeState is what the list says of a node.
type NodeState uint8

// The states of a node.
const (
	Live NodeState = iota
	Draining
	Gone
)

// Node is an entry of the node list.
type Node struct {
	ID        NodeID
	State     NodeState
	Shard     int           // the shard (cell) that it holds
	StartedAt time.Duration // when it last started; 0: long ago
	Kind      string
	Zone      string
	Size      float64 // relative size as listed
}

// ListScope tells how a NodeList relates to the list already held.
type ListScope uint8

// The scopes of a node list.
const (
	Patch  ListScope = iota // the changed entries alone
	Whole                   // the complete list; what is missing is gone
	Stale                   // the complete list as last seen before the start
	Broken                  // a Subscribe or Fetch failed or the subscription dropped; no entries
	Silent                  // a subscription that had answered says nothing any more; no entries
	Ended                   // a subscription that had told entries has ended; no entries
	Alive                   // a subscription tells that nothing has changed; no entries
)

// Event is something that happened to a gateway.
type Event interface{ event() }

// NodeList brings news of the node list.
type NodeList struct {
	Version uint64
	Scope   ListScope
	Nodes   []Node
	Until   time.Duration // the list that is now held may be used until then; 0: without a bound
}

// Arrival is a client request that the gateway has taken.
type Arrival struct {
	ID     RequestID
	Class  string
	Plan   string
	Volume VolumeID
	Key    uint64 // the piece of data; NoKey for none
	TTL    time.Duration
	Came   time.Duration // how much of the client's time it took to get here; 0: not told
	Units  float64
	Shard  int  // -1: a new object that any node may take
	Hosts  int  // gateways through which the volume's requests come
	Repeat bool // marked by the client as another try
	Fresh  bool // the gateway knows it to be none, whatever time is left of it
}

// NoKey is the key of a request without one.
const NoKey = ^uint64(0)

// Status is how an attempt ended.
type Status uint8

// The ends of an attempt. Full, ConnectFailed and Moot prove that it never ran.
const (
	OK Status = iota
	Error
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// Outcome is the end of an attempt. Each Send brings exactly one.
type Outcome struct {
	ID           RequestID
	Attempt      int // 0, 1, 2, ... in the order of the request's Sends
	Node         NodeID
	Status       Status
	Latency      time.Duration
	Terminal     bool    // the request is over
	VolumeUse    float64 // units served for the volume everywhere in a finished period, as part of Plan.Rate
	HasUse       bool    // VolumeUse was told
	ForeignUnits float64 // units this node served the volume through other gateways since its last answer here
	Report       []float64
}

// Started tells that a streamed answer has begun; the attempt now belongs to the client.
type Started struct {
	ID      RequestID
	Attempt int
	Node    NodeID
	Latency time.Duration
}

// Dropped tells that a request is over without the gateway's doing. It may name one already over.
type Dropped struct{ ID RequestID }

// Probed is the result of a Probe.
type Probed struct {
	Node    NodeID
	Status  Status
	Latency time.Duration
	Report  []float64
}

// Ending tells that the gateway ends. What is open then must have been answered by At.
type Ending struct{ At time.Duration }

// Part tells which part of a volume's limit is in force at this gateway from now on.
type Part struct {
	Volume VolumeID
	Part   float64 // of the whole, over all gateways
}

// Shun tells that several gateways find a node failing, or have heard that it drains or is gone. What goes there from
// now on goes one request at a time, with such a rest between them; it is told again as long as it holds.
type Shun struct {
	Node NodeID
	Rest time.Duration
}

// Seen tells a latency of a node that other gateways have measured lately; it counts as one answer.
type Seen struct {
	Node    NodeID
	Latency time.Duration
}

// Wake is the return of a WakeAt.
type Wake struct{}

func (NodeList) event() {}
func (Arrival) event()  {}
func (Outcome) event()  {}
func (Started) event()  {}
func (Dropped) event()  {}
func (Probed) event()   {}
func (Ending) event()   {}
func (Part) event()     {}
func (Shun) event()     {}
func (Seen) event()     {}
func (Wake) event()     {}

// Action is something the gateway must now do. Actions are carried out in order.
type Action interface{ action() }

// Send starts an attempt of a request at a node.
type Send struct {
	ID      RequestID
	Node    NodeID
	Timeout time.Duration // 0: until the client gives up
	Before  time.Duration // on the clock: its first byte goes out before, or never; 0: there is no such time
}

// Reason tells why a request ended without an answer of a node.
type Reason uint8

// The reasons.
const (
	Unusable     Reason = iota // the request cannot be judged by the settings
	NoServer                   // no shard has a server that may take it
	AimMissed                  // an answer could not come within the class's aim
	TimeUp                     // the client's time, or the gateway's, is over
	NoFurtherTry               // an attempt failed, and the rules allow no other or it would come too late
	ListExpired                // the node list is too old to send by
)

// ReasonsNumber is how many reasons there are.
const ReasonsNumber = int(ListExpired) + 1

var reasonNames = [ReasonsNumber]string{"unusable", "no_server", "aim_missed", "time_up", "no_further_try", "list_expired"}

// String returns the reason's name in logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Refuse ends a request; it tells the client that another try is harmless.
type Refuse struct {
	ID       RequestID
	ComeBack time.Duration // advice on when to come back; 0: none
	Reason   Reason
}

// Fail ends a request without any promise on its effect.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// Cancel gives up the wait for an attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Subscribe asks for the changes of the node list.
type Subscribe struct{}

// Probe asks a node whether it answers.
type Probe struct{ Node NodeID }

// Demand tells what a volume's requests here could use of its limit, where Settings.Shares is set.
type Demand struct {
	Volume VolumeID
	Hosts  int
	Part   float64 // of the whole, over all gateways; may be more than that
	Fresh  bool    // the first since this gateway has books of the volume: its part is to be told
}

// WakeAt asks for a Wake at the given time or soon after.
type WakeAt struct{ At time.Duration }

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Subscribe) action() {}
func (Probe) action()     {}
func (Demand) action()    {}
func (WakeAt) action()    {}
func (Log) action()       {}
