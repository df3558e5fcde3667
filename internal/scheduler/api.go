package scheduler

import "time"

// All times are durations on the caller's clock, whose zero is arbitrary and which only advances.

// ServerID names a storage node. A node keeps its id when its process restarts.
type ServerID uint32

// RequestID names a client request. Ids are never used twice.
type RequestID uint32

// VolumeID names the volume whose reserve, limit and share a request draws on.
type VolumeID uint64

// Idempotency tells what a repeat of a request may do.
type Idempotency uint8

// The kinds of effect.
const (
	Idempotent        Idempotency = iota // repeats are harmless
	IdempotentWithKey                    // repeats are dropped inside a group of nodes, for a while
	NotIdempotent                        // must never run twice
)

// Kind is the group of nodes that drops the repeats of a ByKey request.
type DedupScope uint8

// The groups, from widest to narrowest.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class is a kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // full worth is earned within this
	ObjectiveStretch float64       // the aim grows by this many times the request's own work; 0: not at all
	Deadline         time.Duration // the client's total wait over all its tries
	Idempotency      Idempotency
	DedupScope       DedupScope    // for ByKey
	DedupWindow      time.Duration // for ByKey: how long repeats are dropped after the first send
	OrderedByKey     bool          // requests with one key run one at a time, in the order taken
	Stream           bool          // answers start with a Started event
	Write            bool
	PriorityWeight   float64
	LateFraction     float64 // part of the worth earned after the aim
}

// Plan is what a volume has bought. Figures hold for each volume over all gateways and nodes.
type Plan struct {
	Name           string
	Rate           float64 // units a second the volume is sized for
	Reserve        float64 // units a second that earn their full worth
	Weight         float64 // proportion in sharing what is beyond the reserves
	PriorityFactor float64 // factor on the worth
	Limit          float64 // units a second at which the limit's token bucket fills; 0: no limit
	LimitBurst     float64 // the most units that bucket holds
	LimitOverdraft float64 // how far it may go below zero
}

// Settings is what a gateway tells the scheduler at start. A zero stands for "absent".
type Settings struct {
	Gateways int // gateways that share the nodes, this one included
	Classes  []Class
	Plans    []Plan
	Shards   int

	MeanUnits, MaxUnits            float64 // size of a request in units
	FairShareWeight, SurplusWeight float64 // part of the worth beyond the reserve, and beyond the share

	PollEndpoints   bool          // the node list comes only to those who Subscribe
	MaxPollInterval time.Duration // a gateway that has not asked for so long counts as told

	MaxAttempts   int
	AllowHedging  bool // a request may have two attempts out
	AllowCancel   bool
	AllowProbes   bool
	MaxRetryAfter time.Duration // longest RetryAfter that clients respect; 0: they are not told

	ResponseGrace time.Duration // a final answer is valid so long after the client's time is up
	DrainGrace    time.Duration

	InitialCapacity   float64       // least part of its capacity that a node starts with
	SlowStartDuration time.Duration // a started node is warm after this
	OverloadMultiple  float64       // a cold node that gets more than this multiple of its capacity
	OverloadWindow    time.Duration // over this time falls over
	SlowStartUnits    float64       // units in FallWindow that a cold node bears from all gateways together

	KeyCooldown time.Duration // rest of an in-turn key after a time-out, reset or cancel

	RetryBudgetMin, RetryBudgetRatio float64       // budget of further attempts, absolute and per request taken
	RetryBudgetWindow                time.Duration // over which it is counted; 0: no budget

	UsagePeriod         time.Duration // period of Outcome.VolumeUse; 0: never told
	ReportsForeignUnits bool          // outcomes carry ForeignUnits

	// QuotaLeases tells that gateways lend each other parts of limits: Demand is wanted, and Part comes. Until it does a volume
	// has StartPart of its even part here, what no gateway ever lends; 0: all of it.
	QuotaLeases       bool
	InitialQuotaShare float64

	LoadReportFields []string      // the values of a load report, in order
	MinStepInterval  time.Duration // shortest gap between calls of Step
}

// ServerState is what the list says of a node.
type ServerState uint8

// The states of a node.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// Server is an entry of the node list.
type Server struct {
	ID        ServerID
	State     ServerState
	Shard     int           // the shard (cell) that it holds
	StartedAt time.Duration // when it last started; 0: long ago
	Kind      string
	Zone      string
	Size      float64 // relative size as listed
}

// UpdateKind tells how a NodeList relates to the list already held.
type UpdateKind uint8

// The scopes of a node list.
const (
	Delta          UpdateKind = iota // the changed entries alone
	Snapshot                         // the complete list; what is missing is gone
	CachedSnapshot                   // the complete list as last seen before the start
	WatchFailed                      // a Subscribe or Fetch failed or the subscription dropped; no entries
	WatchIdle                        // a subscription that had answered says nothing any more; no entries
	WatchClosed                      // a subscription that had told entries has ended; no entries
	Heartbeat                        // a subscription tells that nothing has changed; no entries
)

// Event is something that happened to a gateway.
type Event interface{ event() }

// EndpointUpdate brings news of the node list.
type EndpointUpdate struct {
	Version    uint64
	Kind       UpdateKind
	Servers    []Server
	ValidUntil time.Duration // the list that is now held may be used until then; 0: without a bound
}

// RequestArrived is a client request that the gateway has taken.
type RequestArrived struct {
	ID             RequestID
	Class          string
	Plan           string
	Volume         VolumeID
	Key            uint64 // the piece of data; NoKey for none
	TTL            time.Duration
	ClientDelay    time.Duration // how much of the client's time it took to get here; 0: not told
	Units          float64
	Shard          int  // -1: a new object that any node may take
	Gateways       int  // gateways through which the volume's requests come
	IsRetry        bool // marked by the client as another try
	IsFirstAttempt bool // the gateway knows it to be none, whatever time is left of it
}

// NoKey is the key of a request without one.
const NoKey = ^uint64(0)

// Status is how an attempt ended.
type Status uint8

// The ends of an attempt. Full, ConnectFailed and Moot prove that it never ran.
const (
	StatusOK Status = iota
	StatusError
	StatusOverloaded
	StatusTimedOut
	StatusConnectFailed
	StatusConnectionReset
	StatusCanceled
	StatusNotSent
)

// AttemptEnded is the end of an attempt. Each Send brings exactly one.
type AttemptEnded struct {
	ID             RequestID
	Attempt        int // 0, 1, 2, ... in the order of the request's Sends
	Server         ServerID
	Status         Status
	Latency        time.Duration
	RequestDone    bool    // the request is over
	VolumeUsage    float64 // units served for the volume everywhere in a finished period, as part of Plan.Rate
	HasVolumeUsage bool    // VolumeUse was told
	ForeignUnits   float64 // units this node served the volume through other gateways since its last answer here
	LoadReport     []float64
}

// ResponseStarted tells that a streamed answer has begun; the attempt now belongs to the client.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Latency time.Duration
}

// RequestCanceled tells that a request is over without the gateway's doing. It may name one already over.
type RequestCanceled struct{ ID RequestID }

// ProbeEnded is the result of a Probe.
type ProbeEnded struct {
	Server     ServerID
	Status     Status
	Latency    time.Duration
	LoadReport []float64
}

// ShutdownStarted tells that the gateway ends. What is open then must have been answered by At.
type ShutdownStarted struct{ Deadline time.Duration }

// QuotaShare tells which part of a volume's limit is in force at this gateway from now on.
type QuotaShare struct {
	Volume VolumeID
	Share  float64 // of the whole, over all gateways
}

// EjectServer tells that several gateways find a node failing, or have heard that it drains or is gone. What goes there from
// now on goes one request at a time, with such a rest between them; it is told again as long as it holds.
type EjectServer struct {
	Server      ServerID
	MinInterval time.Duration
}

// PeerLatency tells a latency of a node that other gateways have measured lately; it counts as one answer.
type PeerLatency struct {
	Server  ServerID
	Latency time.Duration
}

// TimerFired is the return of a WakeAt.
type TimerFired struct{}

func (EndpointUpdate) event()  {}
func (RequestArrived) event()  {}
func (AttemptEnded) event()    {}
func (ResponseStarted) event() {}
func (RequestCanceled) event() {}
func (ProbeEnded) event()      {}
func (ShutdownStarted) event() {}
func (QuotaShare) event()      {}
func (EjectServer) event()     {}
func (PeerLatency) event()     {}
func (TimerFired) event()      {}

// Action is something the gateway must now do. Actions are carried out in order.
type Action interface{ action() }

// Send starts an attempt of a request at a node.
type Send struct {
	ID            RequestID
	Server        ServerID
	Timeout       time.Duration // 0: until the client gives up
	StartDeadline time.Duration // on the clock: its first byte goes out before, or never; 0: there is no such time
}

// Reason tells why a request ended without an answer of a node.
type Reason uint8

// The reasons.
const (
	ReasonInvalidRequest   Reason = iota // the request cannot be judged by the settings
	ReasonNoServer                       // no shard has a server that may take it
	ReasonObjectiveMissed                // an answer could not come within the class's aim
	ReasonDeadlineExceeded               // the client's time, or the gateway's, is over
	ReasonRetryNotAllowed                // an attempt failed, and the rules allow no other or it would come too late
	ReasonEndpointsExpired               // the node list is too old to send by
)

// ReasonCount is how many reasons there are.
const ReasonCount = int(ReasonEndpointsExpired) + 1

var reasonNames = [ReasonCount]string{"unusable", "no_server", "aim_missed", "time_up", "no_further_try", "list_expired"}

// String returns the reason's name in logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Reject ends a request; it tells the client that another try is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // advice on when to come back; 0: none
	Reason     Reason
}

// Fail ends a request without any promise on its effect.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// CancelAttempt gives up the wait for an attempt.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// WatchEndpoints asks for the changes of the node list.
type WatchEndpoints struct{}

// ProbeServer asks a node whether it answers.
type ProbeServer struct{ Server ServerID }

// QuotaDemand tells what a volume's requests here could use of its limit, where Settings.Shares is set.
type QuotaDemand struct {
	Volume   VolumeID
	Gateways int
	Share    float64 // of the whole, over all gateways; may be more than that
	First    bool    // the first since this gateway has books of the volume: its part is to be told
}

// SetTimer asks for a Wake at the given time or soon after.
type SetTimer struct{ At time.Duration }

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) action()           {}
func (Reject) action()         {}
func (Fail) action()           {}
func (CancelAttempt) action()  {}
func (WatchEndpoints) action() {}
func (ProbeServer) action()    {}
func (QuotaDemand) action()    {}
func (SetTimer) action()       {}
func (Log) action()            {}
