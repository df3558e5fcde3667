// Package exchange decides how to handle each transmission of a request from a device on a poor link. A transmission
// either starts an execution, waits for the response to an execution in progress, gets the retained response, or is
// rejected.
//
// An exchange is identified by the name of the device and a key: the upload key or, for a read, the request id. An execution
// is one pass of the request through the request life cycle. An exchange has at most one execution at a time, however many
// transmissions arrive over however many connections, and it gets one final response. An exchange whose request may have
// been executed by a server is not forgotten while its device may still send, or a server may still receive, a repeat of it.
//
// The package does no I/O, reads no clock and starts no goroutine. Store.Step receives the events of one moment and
// returns the actions that its owner must perform. The same settings and events give the same actions. One goroutine
// owns a Store.
//
// Times are float64 milliseconds on the owner's clock, sizes are bytes.
package exchange

import "gaugerelay/internal/scheduler"

// TransmissionID identifies one transmission of a request over one connection. Ids are never reused.
type TransmissionID uint64

// ID identifies an exchange in its store. Ids are never reused.
type ID uint64

// Digest identifies the content of a request. Two transmissions with equal digests carry the same request.
type Digest [16]byte

// Class holds the properties of a request's class that the store uses.
type Class struct {
	// Idempotency tells whether the request may be executed more than once.
	Idempotency scheduler.Idempotency
	// DedupScope is the group of servers that drop repeats of an IdempotentWithKey request.
	DedupScope scheduler.DedupScope
	// DedupWindowMs is how long after the first attempt servers drop repeats of an IdempotentWithKey request.
	DedupWindowMs float64
}
