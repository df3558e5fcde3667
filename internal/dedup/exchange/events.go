package exchange

import "gaugerelay/internal/scheduler"

// Event is an input of Store.Step. The types of this file implement it.
type Event interface{ event() }

// TransmissionReceived reports a transmission of a request with its entire body.
type TransmissionReceived struct {
	Transmission  TransmissionID
	Device, Key   string
	Class         Class
	Digest        Digest
	BodyBytes     int
	RemainingMs   float64 // time that the device waits for the response, counted from when it sent the request
	ClientDelayMs float64 // time that the request took to arrive, which counts against the device's time
	Shard         int     // shard that the request names; -1 if it names none, because it creates an object
	ResendHistory
	Link LinkSample
}

// ResendHistory is what a device reports about earlier transmissions of a request.
type ResendHistory struct {
	IsRetry     bool    // at least one earlier transmission was sent completely
	SameGateway bool    // all earlier transmissions were sent to this gateway since it started
	AgeMs       float64 // time since the first transmission was sent; negative: unknown
}

// BlockReceived reports a block of an upload. The owner keeps the bytes of the block until the store responds to the
// transmission. If the store accepts the block, it asks the owner by an AppendBlock action to add them to the body.
type BlockReceived struct {
	Transmission TransmissionID
	Device, Key  string
	Tag          string // Request-Tag option, which distinguishes the bodies that a device uploads under one key
	Offset       int    // position of the block in the body
	Length       int    // size of the block
	Digest       uint64 // digest of the block's bytes
	More         bool   // further blocks follow
	TotalBytes   int    // size of the body as announced by the device; negative: unknown
	Idempotency  scheduler.Idempotency
	ResendHistory
	RemainingMs float64 // time that the device waits for the response, counted from when it sent the block
	Link        LinkSample
}

// BodyAssembled reports the digest and size of the entire body that an AssembleBody action asked for. It must be the only event
// of its step.
type BodyAssembled struct{ TransmissionReceived }

// TransmissionCanceled reports that a transmission's connection is closed or that the device no longer waits for the response.
type TransmissionCanceled struct{ Transmission TransmissionID }

// ResponseWritten reports that a response was written completely to the connection of its transmission.
type ResponseWritten struct {
	Transmission TransmissionID
	Link         LinkSample
}

// LinkMeasured reports new measurements of a device's link.
type LinkMeasured struct {
	Device string
	Link   LinkSample
}

// ExecutionResult is the result of an execution.
type ExecutionResult uint8

// The results of an execution.
const (
	ExecutionServed   ExecutionResult = iota // a server responded
	ExecutionRejected                        // no server executed the request in this execution
	ExecutionFailed                          // there is no response; servers may or may not have executed the request
)

// String returns the result in lower case.
func (r ExecutionResult) String() string {
	return nameOf(int(r), "served", "rejected", "failed")
}

// ExecutionEnded reports the end of an execution. Each StartExecution is followed by exactly one ExecutionEnded.
type ExecutionEnded struct {
	ID              ID
	ExecutionNumber int // ExecutionNumber of the StartExecution action
	Result          ExecutionResult
	ResponseBytes   int     // size of the response; set for ExecutionServed
	RetryAfterMs    float64 // delay before a retry; set for ExecutionRejected
	MayHaveExecuted bool    // a server may have executed an attempt
	FirstAttemptMs  float64 // when the first attempt that may have been executed was sent
	Shard           int     // shard that the attempt of FirstAttemptMs was sent to
}

// ShutdownStarted reports that the gateway is shutting down. No exchange is added from then on. The exchanges in the store
// continue and get their responses.
type ShutdownStarted struct{}

// TimerFired reports that the timer of the latest SetTimer action fired.
type TimerFired struct{}

func (TransmissionReceived) event() {}
func (BlockReceived) event()        {}
func (BodyAssembled) event()        {}
func (TransmissionCanceled) event() {}
func (ResponseWritten) event()      {}
func (LinkMeasured) event()         {}
func (ExecutionEnded) event()       {}
func (ShutdownStarted) event()      {}
func (TimerFired) event()           {}
