package lifecycle

import (
	"sync/atomic"
	"time"

	"gaugerelay/internal/scheduler"
)

// This file holds what fronts, carriers and the rest of the program share with the core.

// Request is what a front has taken from a client.
type Request struct {
	ClientID       string // by which clients and nodes know it; "": by none. Only one of a name is open at a time
	Class, Plan    string
	Volume, Key    uint64
	RemainingMs    float64 // how long the answer may take
	ClientDelayMs  float64 // how much of the client's time it took to get here
	Units          float64
	Shard          int // -1: a new object
	Gateways       int
	IsRetry        bool
	IsFirstAttempt bool // it is no client's repeat, whatever time is left

	Device *DeviceRequest // whose copy it is, if it came over a front for devices

	Upstream Upstream       // carries this request's attempts to nodes
	Payload  any            // what the carrier sends; opaque here
	Respond  func(Response) // called exactly once unless Gone came first; must not block
	// ClientDisconnected tells at any time, to anyone, whether the client has gone, though nobody may have seen it yet. nil: it cannot be told.
	ClientDisconnected func() bool

	id       scheduler.RequestID
	canceled atomic.Bool
}

// Cancel tells that nobody waits for the answer any more. It may be called by anyone at any time, and counts at once: an
// attempt that has to wait for its connection may be about to begin.
func (r *Request) Cancel() { r.canceled.Store(true) }

// Canceled tells whether nobody waits any more.
func (r *Request) Canceled() bool {
	return r.canceled.Load() || r.ClientDisconnected != nil && r.ClientDisconnected()
}

// DeviceRequest tells whose copy of which exchange a request is. The desk decides what becomes of it.
type DeviceRequest struct {
	ID, Key         string
	HeadDigest      [32]byte // digest of the request without its body
	BodyDigest      [32]byte // of a whole body
	Body            []byte   // whole, or the bytes of Block
	Block           *Block   // set for a part of an upload
	AgeMs           float64  // how long ago the device first sent it; below zero: not told
	PreviousGateway string   // to which gateway, as it names itself, it sent earlier copies; "": not told
	Link            LinkSample
	// BuildPayload makes what the carrier sends: a run has an id of its own, by which nodes know it.
	BuildPayload func(id string, body []byte) any

	Ticket uint64 // the desk's
}

// BlockSize is the place of a part in its upload.
type Block struct {
	Tag    string
	Offset int
	More   bool
	Total  int // below zero: not told
}

// LinkSample is what a connection to a device has measured since it last told. Zero fields tell nothing.
type LinkSample struct {
	RoundTripMs float64
	Bytes       int     // delivered over BytesMs
	BytesMs     float64 //
	GapMs       float64 // the longest time without a byte in the middle of something
}

// Deduplicator stands between the fronts for devices and the core. It is called on the goroutine that owns the core, and
// hands in, by Take, the requests that are to run.
type Deduplicator interface {
	Submit(nowMs float64, r *Request)
	Cancel(nowMs float64, r *Request)
	ResponseWritten(nowMs float64, r *Request, l LinkSample)
	LinkMeasured(nowMs float64, device string, l LinkSample)
	Drain(nowMs float64)
}

// ResponseKind is the kind of a final answer.
type ResponseKind uint8

// The kinds of final answer.
const (
	Served      ResponseKind = iota
	Rejected                 // trying again is harmless
	Failed                   // no promise on the effect
	DuplicateID              // not taken: its ClientID is that of an open request

	// To devices alone.

	Conflict   // not the content of the exchange it names; it has not run
	Continue   // a block is held
	Incomplete // a block does not fit on to what is held
	TooLarge
	Superseded // newer connections wait for the answer: this one is to be closed
)

// Response is the final answer to a request.
type Response struct {
	Kind         ResponseKind
	RetryAfterMs float64          // with Refused: when to try again; 0: no advice
	Reason       scheduler.Reason // with Refused and Failed
	Result       any              // with Served: what the node answered; opaque here

	// To the desk: whether an attempt may have run, when the first such was sent, and where.
	MayHaveExecuted bool
	FirstAttemptMs  float64
	Shard           int

	// To devices.
	BufferedBytes int     // bytes of an upload that are held
	Cached        bool    // the answer was there before the copy came
	ETag          uint64  // of Result
	IdleTimeoutMs float64 // a connection that is silent for so long is dead; 0: not told
	BlockSize     int     // a good size of blocks; 0: not told
}

// Peers is what other gateways have agreed with this one. It is called on the goroutine that owns the core.
type Peers interface {
	// BeginStep is called at the start of each step, before anything is decided: what holds by time alone may have ended.
	BeginStep(nowMs float64) []scheduler.Event
	ReportDemand(nowMs float64, d scheduler.QuotaDemand)
	// EndpointsChanged tells which nodes there are now by this gateway's own list, and which are gone since it was last told.
	EndpointsChanged(nowMs float64, nodes, gone []*Server)
	// AttemptEnded tells how an attempt at a node ended.
	AttemptEnded(nowMs float64, n *Server, s scheduler.Status, latencyMs float64)
	// QuotaExpiresMs is when the part of a volume's limit that is in force now ends, as far as it is borrowed; 0: it does not.
	QuotaExpiresMs(v scheduler.VolumeID) float64
}

// Server is a storage node as listed. Its fields never change; a new entry replaces it, and what the list says
// later of the same process at the same address closes all of its entries, since attempts may hold old ones.
type Server struct {
	Name, Addr, Zone, Kind string
	Shard                  int
	Weight, StartedMs      float64
	State                  scheduler.ServerState

	closed *atomic.Bool
	id     scheduler.ServerID
}

// Closed tells whether the list has since named the node draining, gone or moved. A carrier checks it before
// the first byte of an attempt that had to wait: a drain is counted from that byte.
func (n *Server) Closed() bool { return n.closed != nil && n.closed.Load() }

// ID is how the module knows the node.
func (n *Server) ID() scheduler.ServerID { return n.id }

// EndpointUpdate is news of the node list.
type EndpointUpdate struct {
	Version        uint64
	Kind           scheduler.UpdateKind
	Servers        []*Server
	CompleteAsOfMs float64     // as of when nothing is missing; with Broken, when the call began
	CallDurationMs float64     // with the first news of a call: how long its answer took; 0: not the first
	Failure        CallFailure // with Broken
}

// CallFailure tells what a call of discovery that has failed proves.
type CallFailure uint8

// The failures.
const (
	CallRejected     CallFailure = iota // it was turned away or broken off: discovery is down, or has too many callers
	CallUnreachable                     // nobody was there
	CallInconclusive                    // it failed on this machine, or no answer came in the time that the call was given
)

// Attempt is one try of a request at a node.
type Attempt struct {
	Request         *Request
	Number          int
	Server          *Server
	DeadlineMs      float64     // when to stop waiting, on the clock
	StartDeadlineMs float64     // what it draws on is over then: its first byte goes out before, or never; 0: there is no such time
	Authorizer      *Authorizer // nil: nothing else binds it
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Status         scheduler.Status
	VolumeUsage    float64 // the volume's use, as part of its plan's rate
	HasVolumeUsage bool
	ForeignUnits   float64
	LoadReport     []float64
	Body           any // with OK: handed to the front
}

// Upstream starts attempts on some wire. Start must not block; each attempt ends in one Core.Finish, through
// the loop. cancel may be called at any time.
type Upstream interface {
	Start(a Attempt) (cancel func())
}

// Environment is what the core asks of the rest of the program. No method may block.
type Environment interface {
	SetTimer(ms float64)
	WatchEndpoints()
	ProbeServer(n *Server)
	Log(text string)
	Count(name string)
	// Trace logs an event of a single request or attempt, once Core.TraceOn was called.
	Trace(name string, fields ...any)
}

// Scheduler is the decision module.
type Scheduler interface {
	Step(now time.Duration, events []scheduler.Event) []scheduler.Action
}
