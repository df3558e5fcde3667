package scheduler

import "time"

// Action is an instruction to the gateway. The gateway carries out the actions of one Step in order.
type Action interface{ action() }

// Send starts the next attempt of a request at a server. The gateway reports exactly one AttemptEnded for every Send.
type Send struct {
	ID            RequestID
	Server        ServerID
	Timeout       time.Duration // time limit of the attempt; 0, which the scheduler always sets, stands for the client's deadline
	StartDeadline time.Duration // clock time by which the first byte must be sent, or else the attempt is not sent at all; 0: no limit
}

// Reason states why a request ended without a response of a server.
type Reason uint8

// Reasons for which a request ends without a response.
const (
	ReasonInvalidRequest   Reason = iota // the class or plan is not in the settings, or a value is out of range
	ReasonNoServer                       // the request is for a new object, and no shard has a ready server
	ReasonObjectiveMissed                // a response within the class's latency objective is no longer possible
	ReasonDeadlineExceeded               // the deadline of the client or of the gateway's shutdown has passed
	ReasonRetryNotAllowed                // an attempt failed, and a retry is not allowed or would come too late
	ReasonEndpointsExpired               // the endpoint list has expired, so nothing may be sent
)

// ReasonCount is the number of Reason values.
const ReasonCount = int(ReasonEndpointsExpired) + 1

// String returns the name of the reason in logs and counters, or "unknown".
func (r Reason) String() string {
	return enumName(r, "invalid_request", "no_server", "objective_missed", "deadline_exceeded", "retry_not_allowed",
		"endpoint_lease_expired")
}

// enumName returns names[value], the name of an enumeration value, or "unknown" if names has no such element.
func enumName[E ~uint8](value E, names ...string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return "unknown"
}

// Reject ends a request without a response of a server. A Reject assures the client that a retry is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // advised wait before the client retries; 0: no advice
	Reason     Reason
}

// Fail ends a request that may have been executed. The client must not assume that a retry is harmless.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// CancelAttempt asks the gateway to abandon an attempt. The gateway still reports an AttemptEnded for it.
type CancelAttempt struct {
	ID      RequestID
	Attempt int // index of the attempt among the request's Sends, counted from 0
}

// WatchEndpoints asks the gateway to open a watch of the endpoint list.
type WatchEndpoints struct{}

// ProbeServer asks the gateway to probe a server. The scheduler never emits it.
type ProbeServer struct{ Server ServerID }

// QuotaDemand reports how much of a volume's limit the requests that arrive at this gateway could use. It is emitted only if
// Settings.QuotaLeases is set.
type QuotaDemand struct {
	Volume   VolumeID
	Gateways int     // number of gateways that receive requests of the volume
	Share    float64 // demand as a fraction of the whole limit; may exceed 1
	First    bool    // whether this is the first QuotaDemand since the scheduler created its state of the volume
}

// SetTimer asks for a TimerFired at the given clock time or soon after. While a timer is pending, the scheduler sets only timers
// that fire earlier than the pending one.
type SetTimer struct{ At time.Duration }

// Log is a line of text for operators. The scheduler never emits it.
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
