package lifecycle

import (
	"sync/atomic"
	"time"

	"gaugerelay/internal/scheduler"
)

// This file holds what fronts, carriers and the rest of the program share with the core.

// Request is what a front has taken from a client.
type Request struct {
	ClientID    string // by which clients and nodes know it; "": by none. Only one of a name is open at a time
	Class, Plan string
	Volume, Key uint64
	LeftMs      float64 // how long the answer may take
	CameMs      float64 // how much of the client's time it took to get here
	Units       float64
	Shard       int // -1: a new object
	Hosts       int
	Repeat      bool
	Fresh       bool // it is no client's repeat, whatever time is left

	Device *Device // whose copy it is, if it came over a front for devices

	Carrier Carrier      // carries this request's attempts to nodes
	Load    any          // what the carrier sends; opaque here
	Reply   func(Answer) // called exactly once unless Gone came first; must not block
	// Away tells at any time, to anyone, whether the client has gone, though nobody may have seen it yet. nil: it cannot be told.
	Away func() bool

	id   scheduler.RequestID
	left atomic.Bool
}

// Leave tells that nobody waits for the answer any more. It may be called by anyone at any time, and counts at once: an
// attempt that has to wait for its connection may be about to begin.
func (r *Request) Leave() { r.left.Store(true) }

// Left tells whether nobody waits any more.
func (r *Request) Left() bool { return r.left.Load() || r.Away != nil && r.Away() }

// Device tells whose copy of which exchange a request is. The desk decides what becomes of it.
type Device struct {
	ID, Key string
	Head    [32]byte // digest of the request without its body
	BodySum [32]byte // of a whole body
	Body    []byte   // whole, or the bytes of Block
	Block   *Block   // set for a part of an upload
	AgeMs   float64  // how long ago the device first sent it; below zero: not told
	SentTo  string   // to which gateway, as it names itself, it sent earlier copies; "": not told
	Link    Link
	// Load makes what the carrier sends: a run has an id of its own, by which nodes know it.
	Load func(id string, body []byte) any

	Ticket uint64 // the desk's
}

// Block is the place of a part in its upload.
type Block struct {
	Tag    string
	Offset int
	More   bool
	Total  int // below zero: not told
}

// Link is what a connection to a device has measured since it last told. Zero fields tell nothing.
type Link struct {
	RoundTripMs float64
	Bytes       int     // delivered over BytesMs
	BytesMs     float64 //
	GapMs       float64 // the longest time without a byte in the middle of something
}

// Desk stands between the fronts for devices and the core. It is called on the goroutine that owns the core, and
// hands in, by Take, the requests that are to run.
type Desk interface {
	Offer(nowMs float64, r *Request)
	Gone(nowMs float64, r *Request)
	Written(nowMs float64, r *Request, l Link)
	Measured(nowMs float64, device string, l Link)
	Drain(nowMs float64)
}

// Verdict is the kind of a final answer.
type Verdict uint8

// The kinds of final answer.
const (
	Served   Verdict = iota
	Refused          // trying again is harmless
	Failed           // no promise on the effect
	Rejected         // not taken: its ClientID is that of an open request

	// To devices alone.

	Conflict   // not the content of the exchange it names; it has not run
	Continue   // a block is held
	Incomplete // a block does not fit on to what is held
	TooLarge
	Superseded // newer connections wait for the answer: this one is to be closed
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	ComeBackMs float64          // with Refused: when to try again; 0: no advice
	Reason     scheduler.Reason // with Refused and Failed
	Result     any              // with Served: what the node answered; opaque here

	// To the desk: whether an attempt may have run, when the first such was sent, and where.
	Ran   bool
	RanMs float64
	Shard int

	// To devices.
	Have   int     // bytes of an upload that are held
	Kept   bool    // the answer was there before the copy came
	ETag   uint64  // of Result
	DeadMs float64 // a connection that is silent for so long is dead; 0: not told
	Block  int     // a good size of blocks; 0: not told
}

// Fleet is what other gateways have agreed with this one. It is called on the goroutine that owns the core.
type Fleet interface {
	// Before is called at the start of each step, before anything is decided: what holds by time alone may have ended.
	Before(nowMs float64) []scheduler.Event
	Demand(nowMs float64, d scheduler.QuotaDemand)
	// Listed tells which nodes there are now by this gateway's own list, and which are gone since it was last told.
	Listed(nowMs float64, nodes, gone []*Node)
	// Ended tells how an attempt at a node ended.
	Ended(nowMs float64, n *Node, s scheduler.Status, latencyMs float64)
	// Until is when the part of a volume's limit that is in force now ends, as far as it is borrowed; 0: it does not.
	Until(v scheduler.VolumeID) float64
}

// Node is a storage node as listed. Its fields never change; a new entry replaces it, and what the list says
// later of the same process at the same address closes all of its entries, since attempts may hold old ones.
type Node struct {
	Name, Addr, Zone, Kind string
	Shard                  int
	Weight, StartedMs      float64
	State                  scheduler.ServerState

	closed *atomic.Bool
	known  scheduler.ServerID
}

// Closed tells whether the list has since named the node draining, gone or moved. A carrier checks it before
// the first byte of an attempt that had to wait: a drain is counted from that byte.
func (n *Node) Closed() bool { return n.closed != nil && n.closed.Load() }

// ID is how the module knows the node.
func (n *Node) ID() scheduler.ServerID { return n.known }

// List is news of the node list.
type List struct {
	Version uint64
	Scope   scheduler.UpdateKind
	Nodes   []*Node
	AtMs    float64     // as of when nothing is missing; with Broken, when the call began
	TookMs  float64     // with the first news of a call: how long its answer took; 0: not the first
	Failure CallFailure // with Broken
}

// CallFailure tells what a call of discovery that has failed proves.
type CallFailure uint8

// The failures.
const (
	TurnedAway  CallFailure = iota // it was turned away or broken off: discovery is down, or has too many callers
	Unreachable                    // nobody was there
	Unproven                       // it failed on this machine, or no answer came in the time that the call was given
)

// Attempt is one try of a request at a node.
type Attempt struct {
	Request    *Request
	N          int
	Node       *Node
	DeadlineMs float64 // when to stop waiting, on the clock
	BeginMs    float64 // what it draws on is over then: its first byte goes out before, or never; 0: there is no such time
	Gate       *Gate   // nil: nothing else binds it
}

// Result is how an attempt ended.
type Result struct {
	Status       scheduler.Status
	Use          float64 // the volume's use, as part of its plan's rate
	HasUse       bool
	ForeignUnits float64
	Report       []float64
	Body         any // with OK: handed to the front
}

// Carrier starts attempts on some wire. Start must not block; each attempt ends in one Core.Finish, through
// the loop. cancel may be called at any time.
type Carrier interface {
	Start(a Attempt) (cancel func())
}

// Outside is what the core asks of the rest of the program. No method may block.
type Outside interface {
	WakeAt(ms float64)
	Subscribe()
	Probe(n *Node)
	Log(text string)
	Count(name string)
	// Trace logs an event of a single request or attempt, once Core.TraceOn was called.
	Trace(name string, fields ...any)
}

// Policy is the decision module.
type Policy interface {
	Step(now time.Duration, events []scheduler.Event) []scheduler.Action
}
