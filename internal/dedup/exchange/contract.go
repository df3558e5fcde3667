// Package exchange is the ledger of what devices on poor links have asked for. It decides what becomes of each copy
// of a request: whether it runs, joins one that is open, gets the answer that is kept, or is turned down.
//
// An exchange is a device's name and its upload key, or its request id for a read. It holds at most one request in
// the core, however many copies came over however many connections, and it has one final answer. The package does
// no I/O and has no clock: Step takes what happened at one moment and returns what to do. Same settings and same
// events give the same actions. It is not safe for concurrent use.
//
// Times are milliseconds as float64 on the caller's clock, sizes are bytes.
package exchange

import "gaugerelay/internal/scheduler"

// CopyID names one copy of a request, as one connection brought it. Ids are never used twice.
type CopyID uint64

// ID names an exchange.
type ID uint64

// The kinds of effect and the groups of nodes that drop repeats are the decision module's.
type (
	Idempotency = scheduler.Idempotency
	DedupScope  = scheduler.DedupScope
)

// They by their names there.
const (
	Idempotent        = scheduler.Idempotent
	IdempotentWithKey = scheduler.IdempotentWithKey
	NotIdempotent     = scheduler.NotIdempotent

	DedupAll  = scheduler.DedupAll
	DedupZone = scheduler.DedupZone
	DedupCell = scheduler.DedupCell
)

// Class is what the ledger must know of a request's class.
type Class struct {
	Idempotency   Idempotency
	DedupScope    DedupScope
	DedupWindowMs float64 // of ByKey: how long repeats are dropped after the first send
}

// Digest is a digest of a request's content: copies are the same if it is.
type Digest [16]byte

// Settings bound a Ledger. All must be above zero.
type Settings struct {
	MaxExchanges        int     // remembered at once, uploads among them
	MaxDevices          int     // whose links are remembered
	MaxActivePerDevice  int     // exchanges of one device that are receiving or open
	MaxWaitingCopies    int     // copies of one exchange that wait for its answer
	MaxHeldBytes        int     // of bodies and answers held
	MaxBodyBytes        int     // of one body or answer
	MaxUploadBlocks     int     // of one upload
	RetentionMs         float64 // a write is remembered so long behind its deadline and its window
	UploadIdleTimeoutMs float64 // an upload that gets no block for so long is dropped
	MinRunMs            float64 // a request with less time than this is not begun
	MaxRetryAfterMs     float64 // the latest time to come back that is told
	Link                LinkSettings
}

// Event is something that happened.
type Event interface{ event() }

// CopyReceived is a whole copy of a request.
type CopyReceived struct {
	Copy          CopyID
	Device, Key   string
	Class         Class
	Digest        Digest
	BodyBytes     int // of its body
	RemainingMs   float64
	ClientDelayMs float64 // how much of its time it took to get here
	Shard         int     // that it names; -1: a new object
	ResendHistory
	Link LinkSample
}

// ResendHistory is what a device says of earlier copies.
type ResendHistory struct {
	IsRetry     bool    // there are some, sent to their last byte
	SameGateway bool    // all of them were sent to this gateway, as it runs now
	AgeMs       float64 // how long ago the first was sent; below zero: not told
}

// BlockReceived is a part of an upload. Its bytes are held by the caller, in the order of the Continue answers.
type BlockReceived struct {
	Copy           CopyID
	Device, Key    string
	Tag            string // of the upload, by which the device tells its bodies apart
	Offset, Length int
	Digest         uint64      // of its bytes
	More           bool        // further blocks follow
	TotalBytes     int         // size of the body as the device says; below zero: not told
	Idempotency    Idempotency // of the exchange's class
	ResendHistory
	RemainingMs float64
	Link        LinkSample
}

// BodyAssembled tells what a body is that a Whole action asked for.
type BodyAssembled struct{ CopyReceived }

// CopyCanceled tells that a copy's connection has gone, or that its device waits for it no longer.
type CopyCanceled struct{ Copy CopyID }

// ResponseWritten tells that an answer was written whole to its copy's connection.
type ResponseWritten struct {
	Copy CopyID
	Link LinkSample
}

// LinkMeasured tells of a device's link.
type LinkMeasured struct {
	Device string
	Link   LinkSample
}

// Result is how a run in the core ended.
type RunResult uint8

// The verdicts.
const (
	RunServed RunResult = iota
	RunRejected
	RunFailed
)

// RunEnded is the one end of a Run.
type RunEnded struct {
	ID              ID
	Run             int
	Result          RunResult
	ResponseBytes   int     // of the answer, with Served
	RetryAfterMs    float64 // with Refused
	MayHaveExecuted bool    // an attempt may have run
	FirstAttemptMs  float64 // when the first such one was sent
	Shard           int     // and where
}

// ShutdownStarted tells that nothing new is begun from now on. What is known goes on and is answered.
type ShutdownStarted struct{}

// TimerFired is the return of a WakeAt.
type TimerFired struct{}

func (CopyReceived) event()    {}
func (BlockReceived) event()   {}
func (BodyAssembled) event()   {}
func (CopyCanceled) event()    {}
func (ResponseWritten) event() {}
func (LinkMeasured) event()    {}
func (RunEnded) event()        {}
func (ShutdownStarted) event() {}
func (TimerFired) event()      {}

// Action is something to do now, in order.
type Action interface{ action() }

// StartRun hands an exchange's request to the core. Its content is that of the copy, or of the upload the copy belongs to.
type StartRun struct {
	ID            ID
	Run           int // counts from 1
	Copy          CopyID
	RemainingMs   float64
	ClientDelayMs float64 // time that the link took
	Shard         int     // where it must run; -1: anywhere
}

// Outcome is what a copy is told.
type Outcome uint8

// The outcomes.
const (
	OutcomeServed     Outcome = iota
	OutcomeRejected           // nothing of it ran; it may come again
	OutcomeBusy               // the same, by the ledger's own bounds
	OutcomeTooLate            // the same: its answer could not arrive in time
	OutcomeFailed             // it may have run
	OutcomeConflict           // its content is not that of the exchange it names
	OutcomeContinue           // a block was taken: Have bytes are held
	OutcomeIncomplete         // a block does not fit on: Have bytes are held
	OutcomeTooLarge
	OutcomeSuperseded // newer copies wait for the answer; this connection should end
)

// Respond answers a copy. Each copy is told once.
type Respond struct {
	Copy          CopyID
	Outcome       Outcome
	ID            ID      // with ToldServed: whose answer
	RetryAfterMs  float64 // of a refusal
	BufferedBytes int
	Cached        bool // the answer was kept from an earlier copy's run
	Advice        LinkAdvice
}

// AppendBlock asks to hold a copy's block at the end of its exchange's body.
type AppendBlock struct {
	ID   ID
	Copy CopyID
}

// AssembleBody asks for an Assembled event, in a step of its own once this one's actions are done: a body is complete.
type AssembleBody struct {
	ID   ID
	Copy CopyID
}

// Release lets go of what is held for an exchange. All is the end of it: digests of what was let go before go then too.
type Release struct {
	ID                       ID
	Body, Response, Exchange bool
}

// SetTimer asks for a Wake at a time or soon after. It replaces an earlier one.
type SetTimer struct{ AtMs float64 }

func (StartRun) action()     {}
func (Respond) action()      {}
func (AppendBlock) action()  {}
func (AssembleBody) action() {}
func (Release) action()      {}
func (SetTimer) action()     {}

// Stats counts what became of copies and exchanges, and tells what is held now.
type Stats struct {
	Copies, Runs, Joined, ServedFromCache, Reruns  int // Again: runs of a request that was in doubt
	Conflicts, Busy, TooLate, UnknownOutcomeFailed int
	UploadsStarted, UploadsDropped, Evicted        int
	Exchanges, Running, Devices, HeldBytes         int // now
	Undelivered                                    int // now: answers that no connection has taken yet
}
