// Package incarnation converts the start times of servers, which are reported by the wall clocks of other machines, to this
// gateway's clock.
//
// A wall clock may be off, or be stepped, by an hour, and slow start must not end early because of it. A server that was
// missing from a list that was complete at some time has not been running before that time, whatever start is reported:
// it counts as started when it is first seen.
//
// Package incarnation owns no goroutine, performs no I/O and reads no clock: callers pass the time.
package incarnation

const (
	// reportDelayMs is how much later than a server's start the list may report it. A start that is reported with a longer
	// delay is not trusted over this gateway's own observation.
	reportDelayMs = 2500

	// maxIncarnations bounds the number of incarnations that are remembered.
	maxIncarnations = 1 << 13
)

// Tracker remembers the incarnations of listed servers. The zero value is ready for use and knows no complete list. A
// Tracker is not safe for concurrent use.
type Tracker struct {
	completeAtMs float64 // the last time at which the list was complete; 0: never
	incarnations map[string]incarnation
}

// incarnation is one run of a server.
type incarnation struct {
	reportedMs float64 // its start as reported
	startedMs  float64 // its start on this gateway's clock
}

// MarkComplete records that the list was complete at a time, in milliseconds on this gateway's clock. Earlier times than
// the last one have no effect.
func (t *Tracker) MarkComplete(atMs float64) { t.completeAtMs = max(t.completeAtMs, atMs) }

// StartedAtMs returns when a listed server was started, in milliseconds on this gateway's clock. reportedMs is the start
// that the list reports, where 0 means long ago and is returned as it is. The result is the same for each call with the
// same incarnation while that is remembered, and is never after nowMs when the incarnation is first seen.
func (t *Tracker) StartedAtMs(name string, reportedMs, nowMs float64) float64 {
	if reportedMs == 0 {
		return 0
	}
	if known, ok := t.incarnations[name]; ok && known.reportedMs == reportedMs {
		return known.startedMs
	}
	startedMs := t.estimateStartMs(reportedMs, nowMs)
	if t.incarnations == nil || len(t.incarnations) >= maxIncarnations {
		t.incarnations = map[string]incarnation{}
	}
	t.incarnations[name] = incarnation{reportedMs: reportedMs, startedMs: startedMs}
	return startedMs
}

// estimateStartMs returns the start of an incarnation that is first seen at nowMs.
func (t *Tracker) estimateStartMs(reportedMs, nowMs float64) float64 {
	startedMs := min(reportedMs, nowMs)
	if t.completeAtMs > 0 && startedMs < t.completeAtMs-reportDelayMs {
		return nowMs // the complete list would have held it: one of the clocks is off
	}
	return startedMs
}
