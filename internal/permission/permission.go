// Package permission authorizes the first byte of an attempt. It is the only place that decides whether an attempt may
// start, at the moment of its first byte: whatever the scheduler decided before, and however long the attempt has waited
// since, has to hold at that moment.
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
	// LeaseExpired means that the endpoint list could not be refreshed in time.
	LeaseExpired
	// UpdatePending means that an update of the endpoint list has arrived and is not applied yet.
	UpdatePending
	// StartDeadlineExceeded means that what the attempt relies on, such as the servers' window for dropping duplicates or a
	// quota lease, has ended.
	StartDeadlineExceeded
	// DeadlineExceeded means that less than a millisecond is left of the client's time.
	DeadlineExceeded

	denialCount = iota
)

// denialNames are parts of counters' names.
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

// IsIndependentOfServer reports whether the denial says nothing about the state of the server.
func (d Denial) IsIndependentOfServer() bool {
	return d == LeaseExpired || d == UpdatePending || d == DeadlineExceeded
}

// Conditions describe an attempt at one moment. All times are in milliseconds on the gateway's clock.
type Conditions struct {
	// NowMs is the moment that the conditions describe.
	NowMs float64
	// ClientCanceled reports that the client no longer waits for a response.
	ClientCanceled bool
	// ServerUnavailable reports that the server is draining, removed or moved.
	ServerUnavailable bool
	// LeaseExpiresAtMs is the time from which on the endpoint list must not be used.
	LeaseExpiresAtMs float64
	// UpdatePending reports that an update of the endpoint list has arrived and could not be applied.
	UpdatePending bool
	// StartDeadlineMs is the time from which on the attempt must not start. 0 means that there is none.
	StartDeadlineMs float64
	// DeadlineMs is when the client's time ends.
	DeadlineMs float64
}

// Authorize decides whether the first byte of an attempt may be sent. It returns Allowed or the first reason against it.
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
