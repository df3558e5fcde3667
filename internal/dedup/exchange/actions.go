package exchange

import "fmt"

// Action is something that the owner must do at once, in the order of the slice that Step returns. The types of this
// file implement it.
type Action interface{ action() }

// StartRun hands the request of an exchange to the request life cycle. Its content is that of the copy, or of the
// upload that the copy completes.
type StartRun struct {
	ID            ID
	Run           int // number of the run in its exchange, from 1
	Copy          CopyID
	RemainingMs   float64 // how long the run may take
	ClientDelayMs float64 // how much of the device's time its link took
	Shard         int     // where it must run; -1: anywhere
}

// ResponseKind is the kind of response to a copy.
type ResponseKind uint8

// The kinds of response.
const (
	ResponseServed     ResponseKind = iota // the exchange's response
	ResponseRejected                       // nothing of it executed; the device may retry
	ResponseBusy                           // as ResponseRejected, because of the store's own limits
	ResponseTooLate                        // as ResponseRejected, because the response could not arrive in time
	ResponseFailed                         // it may have executed
	ResponseConflict                       // its content differs from that of the exchange it names
	ResponseContinue                       // a block was received
	ResponseIncomplete                     // a block does not continue the upload
	ResponseTooLarge                       // an upload exceeds its limits
	ResponseSuperseded                     // newer copies wait for the response; this connection should be closed
)

// String returns the kind in lower case.
func (o ResponseKind) String() string {
	return nameOf(int(o), "served", "rejected", "busy", "too late", "failed", "conflict", "continue", "incomplete",
		"too large", "superseded")
}

// Respond sends the response to a copy. Each copy gets exactly one, unless it was canceled before.
type Respond struct {
	Copy          CopyID
	Kind          ResponseKind
	ID            ID      // with ResponseServed: the exchange whose response it is
	RetryAfterMs  float64 // with ResponseRejected and ResponseBusy; 0: no advice
	BufferedBytes int     // with ResponseContinue and ResponseIncomplete: the size of the body so far
	Cached        bool    // the response was there before the copy came
	Advice        LinkAdvice
}

// AppendBlock asks to append a copy's block to the body that is stored for its exchange.
type AppendBlock struct {
	ID   ID
	Copy CopyID
}

// AssembleBody reports that a body is complete. It asks for a BodyAssembled event, in a step of its own after the other
// actions are done.
type AssembleBody struct {
	ID   ID
	Copy CopyID
}

// Release frees what is stored for an exchange.
type Release struct {
	ID       ID
	Body     bool // the bytes of the body; its digest remains
	Response bool
	Exchange bool // everything: the exchange is forgotten
}

// SetTimer asks for a TimerFired event at a time or soon after it. It replaces the previous timer.
type SetTimer struct{ AtMs float64 }

func (StartRun) action()     {}
func (Respond) action()      {}
func (AppendBlock) action()  {}
func (AssembleBody) action() {}
func (Release) action()      {}
func (SetTimer) action()     {}

// nameOf returns the name of an enumeration's value.
func nameOf(value int, names ...string) string {
	if value < len(names) {
		return names[value]
	}
	return fmt.Sprintf("unknown (%d)", value)
}
