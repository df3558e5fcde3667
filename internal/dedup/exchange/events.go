package exchange

import "gaugerelay/internal/scheduler"

// Event is something that happened. The types of this file implement it.
type Event interface{ event() }

// CopyReceived reports a copy of a request with its entire body.
type CopyReceived struct {
	Copy          CopyID
	Device, Key   string
	Class         Class
	Digest        Digest
	BodyBytes     int
	RemainingMs   float64 // how long the device still waits, counted from its sending
	ClientDelayMs float64 // how much of the device's time the transfer took
	Shard         int     // the shard that the request names; -1: it creates an object
	ResendHistory
	Link LinkSample
}

// ResendHistory is what a device says about earlier copies of a request.
type ResendHistory struct {
	IsRetry     bool    // earlier copies were sent to their last byte
	SameGateway bool    // all of them were sent to this gateway since it started
	AgeMs       float64 // how long ago the first copy was sent; below zero: unknown
}

// BlockReceived reports a block of an upload. The owner stores its bytes until the store responds; AppendBlock asks to
// add them to the body.
type BlockReceived struct {
	Copy        CopyID
	Device, Key string
	Tag         string // Request-Tag, which distinguishes the bodies that a device uploads under one key
	Offset      int
	Length      int
	Digest      uint64 // of the block's bytes
	More        bool   // further blocks follow
	TotalBytes  int    // size of the body that the device announces; below zero: unknown
	Idempotency scheduler.Idempotency
	ResendHistory
	RemainingMs float64 // how long the device still waits, counted from its sending
	Link        LinkSample
}

// BodyAssembled answers AssembleBody with the entire body's digest and size. It is a step of its own.
type BodyAssembled struct{ CopyReceived }

// CopyCanceled reports that a copy's connection is closed or that its device no longer waits for the response.
type CopyCanceled struct{ Copy CopyID }

// ResponseWritten reports that a response was written entirely to its copy's connection.
type ResponseWritten struct {
	Copy CopyID
	Link LinkSample
}

// LinkMeasured reports new measurements of a device's link.
type LinkMeasured struct {
	Device string
	Link   LinkSample
}

// RunResult is the result of a run.
type RunResult uint8

// The results of a run.
const (
	RunServed   RunResult = iota // there is a response
	RunRejected                  // nothing of this run executed
	RunFailed                    // there is no response, and no promise on the effect
)

// String returns the result in lower case.
func (r RunResult) String() string {
	return nameOf(int(r), "served", "rejected", "failed")
}

// RunEnded reports the end of a run. Each StartRun is followed by exactly one.
type RunEnded struct {
	ID              ID
	Run             int
	Result          RunResult
	ResponseBytes   int     // with RunServed
	RetryAfterMs    float64 // with RunRejected
	MayHaveExecuted bool    // an attempt may have executed
	FirstAttemptMs  float64 // when the first such attempt was sent
	Shard           int     // the shard that it was sent to
}

// ShutdownStarted reports that the gateway is shutting down: no exchange is begun from now on. Those that are known
// continue and get their responses.
type ShutdownStarted struct{}

// TimerFired reports that the timer of the latest SetTimer fired.
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
