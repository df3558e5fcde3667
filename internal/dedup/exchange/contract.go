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
	Effect = scheduler.Idempotency
	Scope  = scheduler.DedupScope
)

// They by their names there.
const (
	Repeatable = scheduler.Idempotent
	ByKey      = scheduler.IdempotentWithKey
	Once       = scheduler.NotIdempotent

	ScopeAll  = scheduler.DedupAll
	ScopeZone = scheduler.DedupZone
	ScopeCell = scheduler.DedupCell
)

// Class is what the ledger must know of a request's class.
type Class struct {
	Effect   Effect
	Scope    Scope
	WindowMs float64 // of ByKey: how long repeats are dropped after the first send
}

// Sum is a digest of a request's content: copies are the same if it is.
type Sum [16]byte

// Settings bound a Ledger. All must be above zero.
type Settings struct {
	MostExchanges int     // remembered at once, uploads among them
	MostDevices   int     // whose links are remembered
	MostPerDevice int     // exchanges of one device that are receiving or open
	MostWaiting   int     // copies of one exchange that wait for its answer
	MostBytes     int     // of bodies and answers held
	MostBody      int     // of one body or answer
	MostBlocks    int     // of one upload
	KeepMs        float64 // a write is remembered so long behind its deadline and its window
	UploadIdleMs  float64 // an upload that gets no block for so long is dropped
	LeastRunMs    float64 // a request with less time than this is not begun
	MostWaitMs    float64 // the latest time to come back that is told
	Link          LinkSettings
}

// Event is something that happened.
type Event interface{ event() }

// Offer is a whole copy of a request.
type Offer struct {
	Copy        CopyID
	Device, Key string
	Class       Class
	Sum         Sum
	Bytes       int // of its body
	LeftMs      float64
	CameMs      float64 // how much of its time it took to get here
	Shard       int     // that it names; -1: a new object
	History
	Link Sample
}

// History is what a device says of earlier copies.
type History struct {
	Repeat bool    // there are some, sent to their last byte
	Same   bool    // all of them were sent to this gateway, as it runs now
	AgeMs  float64 // how long ago the first was sent; below zero: not told
}

// Block is a part of an upload. Its bytes are held by the caller, in the order of the Continue answers.
type Block struct {
	Copy        CopyID
	Device, Key string
	Tag         string // of the upload, by which the device tells its bodies apart
	Offset, Len int
	Digest      uint64 // of its bytes
	More        bool   // further blocks follow
	Total       int    // size of the body as the device says; below zero: not told
	Effect      Effect // of the exchange's class
	History
	LeftMs float64
	Link   Sample
}

// Assembled tells what a body is that a Whole action asked for.
type Assembled struct{ Offer }

// Left tells that a copy's connection has gone, or that its device waits for it no longer.
type Left struct{ Copy CopyID }

// Written tells that an answer was written whole to its copy's connection.
type Written struct {
	Copy CopyID
	Link Sample
}

// Measured tells of a device's link.
type Measured struct {
	Device string
	Link   Sample
}

// Verdict is how a run in the core ended.
type Verdict uint8

// The verdicts.
const (
	Served Verdict = iota
	Refused
	Failed
)

// Ended is the one end of a Run.
type Ended struct {
	ID         ID
	Run        int
	Verdict    Verdict
	Bytes      int     // of the answer, with Served
	ComeBackMs float64 // with Refused
	Ran        bool    // an attempt may have run
	RanMs      float64 // when the first such one was sent
	Shard      int     // and where
}

// Drain tells that nothing new is begun from now on. What is known goes on and is answered.
type Drain struct{}

// Wake is the return of a WakeAt.
type Wake struct{}

func (Offer) event()     {}
func (Block) event()     {}
func (Assembled) event() {}
func (Left) event()      {}
func (Written) event()   {}
func (Measured) event()  {}
func (Ended) event()     {}
func (Drain) event()     {}
func (Wake) event()      {}

// Action is something to do now, in order.
type Action interface{ action() }

// Run hands an exchange's request to the core. Its content is that of the copy, or of the upload the copy belongs to.
type Run struct {
	ID     ID
	Run    int // counts from 1
	Copy   CopyID
	LeftMs float64
	CameMs float64 // time that the link took
	Shard  int     // where it must run; -1: anywhere
}

// Outcome is what a copy is told.
type Outcome uint8

// The outcomes.
const (
	ToldServed     Outcome = iota
	ToldRefused            // nothing of it ran; it may come again
	ToldBusy               // the same, by the ledger's own bounds
	ToldLate               // the same: its answer could not arrive in time
	ToldFailed             // it may have run
	ToldConflict           // its content is not that of the exchange it names
	ToldContinue           // a block was taken: Have bytes are held
	ToldIncomplete         // a block does not fit on: Have bytes are held
	ToldTooLarge
	ToldSuperseded // newer copies wait for the answer; this connection should end
)

// Tell answers a copy. Each copy is told once.
type Tell struct {
	Copy       CopyID
	Outcome    Outcome
	ID         ID      // with ToldServed: whose answer
	ComeBackMs float64 // of a refusal
	Have       int
	Kept       bool // the answer was kept from an earlier copy's run
	Advice     Advice
}

// Append asks to hold a copy's block at the end of its exchange's body.
type Append struct {
	ID   ID
	Copy CopyID
}

// Whole asks for an Assembled event, in a step of its own once this one's actions are done: a body is complete.
type Whole struct {
	ID   ID
	Copy CopyID
}

// Free lets go of what is held for an exchange. All is the end of it: digests of what was let go before go then too.
type Free struct {
	ID                ID
	Body, Answer, All bool
}

// WakeAt asks for a Wake at a time or soon after. It replaces an earlier one.
type WakeAt struct{ AtMs float64 }

func (Run) action()    {}
func (Tell) action()   {}
func (Append) action() {}
func (Whole) action()  {}
func (Free) action()   {}
func (WakeAt) action() {}

// Stats counts what became of copies and exchanges, and tells what is held now.
type Stats struct {
	Copies, Runs, Joined, Kept, Again     int // Again: runs of a request that was in doubt
	Conflicts, Busy, Late, InDoubtFailed  int
	UploadsBegun, UploadsDropped, Evicted int
	Exchanges, Open, Devices, Bytes       int // now
	Undelivered                           int // now: answers that no connection has taken yet
}
