// Package permission is the one place that decides whether an attempt may begin now: at its first byte, whatever was
// decided before and however long it has waited since. It is pure; the caller gathers the facts at that moment. After
// the first byte the same facts are held against the rules themselves, so that what slips through is counted.
package permission

import "math"

// Denial tells why an attempt may not begin.
type Denial uint8

// The denials.
const (
	Allowed       Denial = iota
	ClientGone           // nobody waits for the answer any more
	ServerClosed         // the list names the server draining, gone or moved
	ListExpired          // the list is too old to send by
	ListUnread           // news of the list have come and do not count yet
	WindowOver           // what the attempt draws on, such as the time in which repeats are dropped, is over
	TimeUp               // the client's time is up
	DenialsNumber = iota
)

var denialNames = [DenialsNumber]string{"allowed", "client_gone", "server_closed", "list_expired", "list_unread", "window_over", "time_up"}

// String returns the denial's name in logs and counters.
func (d Denial) String() string {
	if int(d) < len(denialNames) {
		return denialNames[d]
	}
	return "unknown"
}

// Harmless tells whether the denial says nothing of the server.
func (d Denial) Harmless() bool { return d == ListExpired || d == ListUnread || d == TimeUp }

// Facts is what is known of an attempt at a moment. Times are milliseconds on the gateway's clock.
type Facts struct {
	NowMs         float64
	ClientGone    bool
	ServerClosed  bool
	ListUntilMs   float64 // the list may be used until then
	ListUnread    bool    // news of it have come that could not be taken in
	BeginBeforeMs float64 // what the attempt draws on lasts until then; 0: there is no such time
	DeadlineMs    float64 // the client's time is up then
}

// MayBegin decides whether the attempt's first byte may go out.
func MayBegin(f Facts) Denial {
	switch {
	case f.ClientGone:
		return ClientGone
	case f.ServerClosed:
		return ServerClosed
	case f.NowMs >= f.ListUntilMs:
		return ListExpired
	case f.ListUnread:
		return ListUnread
	case f.BeginBeforeMs != 0 && f.NowMs >= f.BeginBeforeMs:
		return WindowOver
	case LeftMs(f) < 1:
		return TimeUp
	}
	return Allowed
}

// LeftMs is the time that a server may be told that the client has left: whole milliseconds, rounded down.
func LeftMs(f Facts) float64 { return math.Floor(f.DeadlineMs - f.NowMs) }
