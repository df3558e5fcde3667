package exchange

import "fmt"

// Action is an output of Store.Step. The owner performs all actions immediately, in the order in which Step returns them.
// The types of this file implement Action.
type Action interface{ action() }

// StartExecution asks to submit the request of an exchange to the request life cycle. The content of the request is that of
// the transmission, or that of the upload which the transmission completes.
type StartExecution struct {
	ID              ID
	ExecutionNumber int // number of the execution in its exchange, counted from 1
	Transmission    TransmissionID
	RemainingMs     float64 // longest time that the execution may take
	ClientDelayMs   float64 // time that the request took to arrive, which counts against the device's time
	Shard           int     // shard that must execute the request; -1: any
}

// ResponseKind is the kind of response to a transmission.
type ResponseKind uint8

// The kinds of response.
const (
	ResponseServed     ResponseKind = iota // a server responded; the response is stored in the exchange
	ResponseRejected                       // the request was not executed; the device may retry
	ResponseBusy                           // a limit of the store or a shutdown prevented the execution; the device may retry
	ResponseTooLate                        // not executed, because the response could not arrive in time; the device may retry
	ResponseFailed                         // there is no response; the request may have been executed
	ResponseConflict                       // the content differs from that of the exchange with the same key
	ResponseContinue                       // the block was received; the next one may be sent
	ResponseIncomplete                     // the block does not follow the blocks received before
	ResponseTooLarge                       // the upload exceeds a limit
	ResponseSuperseded                     // newer transmissions wait for the response; this connection should be closed
)

// String returns the kind in lower case.
func (k ResponseKind) String() string {
	return nameOf(int(k), "served", "rejected", "busy", "too late", "failed", "conflict", "continue", "incomplete",
		"too large", "superseded")
}

// Respond asks to send the response to a transmission. Each transmission gets exactly one response, unless it is canceled first.
type Respond struct {
	Transmission  TransmissionID
	Kind          ResponseKind
	ID            ID      // exchange whose response is sent; set for ResponseServed
	RetryAfterMs  float64 // delay before a retry; set for ResponseRejected and ResponseBusy; 0: no recommendation
	BufferedBytes int     // bytes of the body received so far; set for ResponseContinue and ResponseIncomplete
	Cached        bool    // the response was stored before the transmission arrived
	Advice        LinkAdvice
}

// AppendBlock asks to append the block of a transmission to the body that is stored for its exchange.
type AppendBlock struct {
	ID           ID
	Transmission TransmissionID
}

// AssembleBody reports that a body is complete. It asks for a BodyAssembled event, to be passed in a separate step after the
// other actions have been performed.
type AssembleBody struct {
	ID           ID
	Transmission TransmissionID
}

// Release asks to free data that is stored for an exchange.
type Release struct {
	ID       ID
	Body     bool // free the bytes of the body, but not its digest
	Response bool // free the response
	Exchange bool // free everything, because the exchange is forgotten
}

// SetTimer asks for a TimerFired event at AtMs or soon after. It replaces the previous timer.
type SetTimer struct{ AtMs float64 }

func (StartExecution) action() {}
func (Respond) action()        {}
func (AppendBlock) action()    {}
func (AssembleBody) action()   {}
func (Release) action()        {}
func (SetTimer) action()       {}

// nameOf returns the name of an enumeration value, given the names of all values.
func nameOf(value int, names ...string) string {
	if value < len(names) {
		return names[value]
	}
	return fmt.Sprintf("unknown (%d)", value)
}
