// Package exchange decides what becomes of each copy of a request that a device on a poor link sends: whether it runs,
// waits with an earlier copy for the same response, gets the retained response, or is rejected.
//
// An exchange is identified by a device's name and its upload key, or its request id for a read. It has at most one run
// in the request life cycle at a time, however many copies arrive over however many connections, and it gets one final
// response. What may have executed is not forgotten while servers or devices may still see repeats of it.
//
// The package does no I/O, has no clock and starts no goroutine. Store.Step receives what happened at one moment and
// returns what its owner must do; the same settings and events give the same actions. One goroutine owns a Store.
//
// Times are float64 milliseconds on the owner's clock, sizes are bytes.
package exchange

import "gaugerelay/internal/scheduler"

// CopyID identifies one copy of a request, as one connection delivered it. Ids are never reused.
type CopyID uint64

// ID identifies an exchange in its store. Ids are never reused.
type ID uint64

// Digest identifies the content of a request: two copies with equal digests are the same request.
type Digest [16]byte

// Class is what the store needs to know of a request's class.
type Class struct {
	// Idempotency is what a repeat of the request may do.
	Idempotency scheduler.Idempotency
	// DedupScope is the group of servers that drops repeats of an IdempotentWithKey request.
	DedupScope scheduler.DedupScope
	// DedupWindowMs is for how long after the first attempt servers drop repeats of an IdempotentWithKey request.
	DedupWindowMs float64
}
