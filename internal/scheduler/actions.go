package scheduler

import "time"

// Action is an instruction to the gateway, which carries out the actions of one Step in order.
type Action interface{ action() }

// Send starts the next attempt of a request at a server. The gateway reports exactly one AttemptEnded for every Send.
type Send struct {
	ID            RequestID
	Server        ServerID
	Timeout       time.Duration // 0, which is all the scheduler sets: until the client's deadline
	StartDeadline time.Duration // clock time by which the first byte must be sent, else nothing is; 0: no such time
}

// Reason is why a request ended without a server's response.
type Reason uint8

// The reasons.
const (
	ReasonInvalidRequest   Reason = iota // the settings do not cover the request, or its values are out of range
	ReasonNoServer                       // no shard has a server that may take it
	ReasonObjectiveMissed                // no response could come within the class's latency objective
	ReasonDeadlineExceeded               // the client's deadline, or that of the gateway's shutdown, has passed
	ReasonRetryNotAllowed                // an attempt failed and a retry is forbidden or would come too late
	ReasonEndpointsExpired               // the endpoint list is too old to send by
)

// ReasonCount is the number of reasons.
const ReasonCount = int(ReasonEndpointsExpired) + 1

// String returns the reason as logs and counters name it, or "unknown".
func (r Reason) String() string {
	return nameOf(r, "invalid_request", "no_server", "objective_missed", "deadline_exceeded", "retry_not_allowed",
		"endpoint_lease_expired")
}

// nameOf returns the name of an enumeration's value, or "unknown" if it has none.
func nameOf[E ~uint8](value E, names ...string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return "unknown"
}

// Reject ends a request and assures the client that a retry of its own is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // how long the client is advised to wait before it retries; 0: no advice
	Reason     Reason
}

// Fail ends a request whose effect is unknown: it may have been executed.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// CancelAttempt asks the gateway to abandon an attempt, which still ends with an AttemptEnded.
type CancelAttempt struct {
	ID      RequestID
	Attempt int // counted from 0 in the order of the request's Sends
}

// WatchEndpoints asks the gateway to open a watch of the endpoint list.
type WatchEndpoints struct{}

// ProbeServer asks the gateway to probe a server. The scheduler never emits it.
type ProbeServer struct{ Server ServerID }

// QuotaDemand reports how much of a volume's limit its requests at this gateway could use. It is emitted only where
// Settings.QuotaLeases is set.
type QuotaDemand struct {
	Volume   VolumeID
	Gateways int     // gateways through which the volume's requests come
	Share    float64 // demand as a fraction of the whole limit; may exceed 1
	First    bool    // the scheduler holds no QuotaShare of the volume yet and needs one
}

// SetTimer asks for a TimerFired at the given clock time or soon after. While a timer is pending, the scheduler asks for another
// one only if that is to fire earlier.
type SetTimer struct{ At time.Duration }

// Log is a line for the operators. The scheduler never emits it.
type Log struct{ Text string }

func (Send) action()           {}
func (Reject) action()         {}
func (Fail) action()           {}
func (CancelAttempt) action()  {}
func (WatchEndpoints) action() {}
func (ProbeServer) action()    {}
func (QuotaDemand) action()    {}
func (SetTimer) action()       {}
func (Log) action()            {}
