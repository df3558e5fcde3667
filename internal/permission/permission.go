// Package permission is the one place that decides whether an attempt may begin now: at its first byte, whatever was
// decided before and however long it has waited since. It is pure; the caller gathers the facts at that moment. After
// the first byte the same facts are held against the rules themselves, so that what slips through is counted.
package permission

import "math"

// Denial tells why an attempt may not begin.
type Denial uint8

// The denials.
const (
	Allowed               Denial = iota
	ClientCanceled               // nobody waits for the answer any more
	ServerUnavailable            // the list names the server draining, gone or moved
	LeaseExpired                 // the list is too old to send by
	UpdatePending                // news of the list have come and do not count yet
	StartDeadlineExceeded        // what the attempt draws on, such as the time in which repeats are dropped, is over
	DeadlineExceeded             // the client's time is up
	DenialCount           = iota
)

var denialNames = [DenialCount]string{"allowed", "client_gone", "server_closed", "list_expired", "list_unread", "window_over", "time_up"}

// String returns the denial's name in logs and counters.
func (d Denial) String() string {
	if int(d) < len(denialNames) {
		return denialNames[d]
	}
	return "unknown"
}

// IsIndependentOfServer tells whether the denial says nothing of the server.
func (d Denial) IsIndependentOfServer() bool {
	return d == LeaseExpired || d == UpdatePending || d == DeadlineExceeded
}

// Conditions is what is known of an attempt at a moment. Times are milliseconds on the gateway's clock.
type Conditions struct {
	NowMs             float64
	ClientCanceled    bool
	ServerUnavailable bool
	LeaseExpiresAtMs  float64 // the list may be used until then
	UpdatePending     bool    // news of it have come that could not be taken in
	StartDeadlineMs   float64 // what the attempt draws on lasts until then; 0: there is no such time
	DeadlineMs        float64 // the client's time is up then
}

// Authorize decides whether the attempt's first byte may go out.
func Authorize(f Conditions) Denial {
	switch {
	case f.ClientCanceled:
		return ClientCanceled
	case f.ServerUnavailable:
		return ServerUnavailable
	case f.NowMs >= f.LeaseExpiresAtMs:
		return LeaseExpired
	case f.UpdatePending:
		return UpdatePending
	case f.StartDeadlineMs != 0 && f.NowMs >= f.StartDeadlineMs:
		return StartDeadlineExceeded
	case RemainingMs(f) < 1:
		return DeadlineExceeded
	}
	return Allowed
}

// RemainingMs is the time that a server may be told that the client has left: whole milliseconds, rounded down.
func RemainingMs(f Conditions) float64 { return math.Floor(f.DeadlineMs - f.NowMs) }
