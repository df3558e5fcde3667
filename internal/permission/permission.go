// Package permission authorizes the first byte of an attempt. It alone decides whether an attempt may start. The decision is made
// right before the first byte is sent, because the conditions under which the scheduler started the attempt may have changed while
// the attempt waited, for instance for a connection.
//
// Package permission owns no goroutine, performs no I/O and reads no clock: callers collect the Conditions.
package permission

import "math"

// Denial is the reason why an attempt may not start, or Allowed.
type Denial uint8

// The values of Denial, in the order in which Authorize checks for them.
const (
	// Allowed means that the attempt may start.
	Allowed Denial = iota
	// ClientCanceled means that the client no longer waits for a response.
	ClientCanceled
	// ServerUnavailable means that the endpoint list reports the server as draining, removed or moved to another address.
	ServerUnavailable
	// LeaseExpired means that the lease on the endpoint list has expired, because the list could not be refreshed in time.
	LeaseExpired
	// UpdatePending means that an update of the endpoint list has arrived and is not applied yet.
	UpdatePending
	// StartDeadlineExceeded means that something that the attempt depends on has expired, such as the deduplication window of
	// the servers or a quota lease.
	StartDeadlineExceeded
	// DeadlineExceeded means that less than a millisecond remains until the deadline of the attempt.
	DeadlineExceeded

	denialCount = iota
)

// denialNames holds the name of each denial, which is also part of counter names.
var denialNames = [denialCount]string{
	Allowed:               "allowed",
	ClientCanceled:        "client_canceled",
	ServerUnavailable:     "server_unavailable",
	LeaseExpired:          "endpoint_lease_expired",
	UpdatePending:         "endpoint_update_pending",
	StartDeadlineExceeded: "start_deadline_exceeded",
	DeadlineExceeded:      "deadline_exceeded",
}

// String returns the name of the denial in logs and counters, and "unknown" for other values.
func (d Denial) String() string {
	if int(d) < len(denialNames) {
		return denialNames[d]
	}
	return "unknown"
}

// IsIndependentOfServer reports whether the denial is LeaseExpired, UpdatePending or DeadlineExceeded, which imply nothing about
// the state of the server. ClientCanceled is not included: callers handle it separately.
func (d Denial) IsIndependentOfServer() bool {
	return d == LeaseExpired || d == UpdatePending || d == DeadlineExceeded
}

// Conditions describe an attempt at one point in time. All times are in milliseconds on the gateway's clock.
type Conditions struct {
	// NowMs is the current time, which the other conditions refer to.
	NowMs float64
	// ClientCanceled reports that the client no longer waits for a response.
	ClientCanceled bool
	// ServerUnavailable reports that the server is draining, removed or moved to another address.
	ServerUnavailable bool
	// LeaseExpiresAtMs is the time from which on the endpoint list must not be used.
	LeaseExpiresAtMs float64
	// UpdatePending reports that an update of the endpoint list has arrived and is not applied yet.
	UpdatePending bool
	// StartDeadlineMs is the time from which on the attempt must not start. 0 means that there is none.
	StartDeadlineMs float64
	// DeadlineMs is the deadline of the attempt, which is not later than the client's deadline.
	DeadlineMs float64
}

// Authorize decides whether the first byte of an attempt may be sent. It returns Allowed or the first reason for a denial.
func Authorize(conditions Conditions) Denial {
	switch {
	case conditions.ClientCanceled:
		return ClientCanceled
	case conditions.ServerUnavailable:
		return ServerUnavailable
	case conditions.NowMs >= conditions.LeaseExpiresAtMs:
		return LeaseExpired
	case conditions.UpdatePending:
		return UpdatePending
	case conditions.StartDeadlineMs != 0 && conditions.NowMs >= conditions.StartDeadlineMs:
		return StartDeadlineExceeded
	case RemainingMs(conditions) < 1:
		return DeadlineExceeded
	}
	return Allowed
}

// RemainingMs returns the remaining time to announce to a server, in whole milliseconds, rounded down. It is negative after
// the deadline.
func RemainingMs(conditions Conditions) float64 {
	return math.Floor(conditions.DeadlineMs - conditions.NowMs)
}
