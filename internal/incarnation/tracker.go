// Package incarnation converts the start times of servers, which are reported on the wall clocks of other machines, to this
// gateway's clock.
//
// A wall clock may be wrong, or be stepped, by an hour. Slow start, in which a server gets fewer requests for some time after its
// start, must not end early because of that. If a complete list at some time did not contain a server, the server was not running
// before that time, whatever start time is reported. In this case the server is treated as started when it is first seen.
//
// Package incarnation owns no goroutine, performs no I/O and reads no clock: callers pass the time.
package incarnation

const (
	// maxReportDelayMs is the longest time from the start of a server until the list contains it. If a reported start time
	// implies a longer delay, this gateway's own observation is used instead.
	maxReportDelayMs = 2500

	// maxIncarnations is the maximum number of incarnations that are kept. At the maximum, all are discarded before a further one
	// is added.
	maxIncarnations = 1 << 13
)

// Tracker keeps the incarnations of listed servers. The zero value is ready to use, without a complete list so far. A Tracker
// is not safe for concurrent use.
type Tracker struct {
	completeAtMs float64 // the last time at which the list was complete; 0 means never
	incarnations map[string]incarnation
}

// incarnation is one process of a server, from its start to its end.
type incarnation struct {
	reportedStartMs float64 // start time as reported by the list
	startedMs       float64 // start time on this gateway's clock
}

// MarkComplete records that the list was complete at atMs, which means that it contained all changes made before that time. atMs
// is in milliseconds on this gateway's clock. MarkComplete has no effect if a later time was recorded before.
func (t *Tracker) MarkComplete(atMs float64) { t.completeAtMs = max(t.completeAtMs, atMs) }

// StartedAtMs returns when a listed server was started, in milliseconds on this gateway's clock. reportedStartMs is the start
// time that the list reports; 0 means long ago and is returned unchanged. An incarnation is identified by the name and the
// reported start time. While an incarnation is kept, each call for it returns the same result, which is not after nowMs of the
// first of these calls.
func (t *Tracker) StartedAtMs(name string, reportedStartMs, nowMs float64) float64 {
	if reportedStartMs == 0 {
		return 0
	}
	if known, ok := t.incarnations[name]; ok && known.reportedStartMs == reportedStartMs {
		return known.startedMs
	}
	startedMs := t.estimateStartMs(reportedStartMs, nowMs)
	if t.incarnations == nil || len(t.incarnations) >= maxIncarnations {
		t.incarnations = map[string]incarnation{}
	}
	t.incarnations[name] = incarnation{reportedStartMs: reportedStartMs, startedMs: startedMs}
	return startedMs
}

// estimateStartMs returns the start time of an incarnation that is first seen at nowMs, on this gateway's clock.
func (t *Tracker) estimateStartMs(reportedStartMs, nowMs float64) float64 {
	startedMs := min(reportedStartMs, nowMs)
	if t.completeAtMs > 0 && startedMs < t.completeAtMs-maxReportDelayMs {
		return nowMs // the complete list would have contained the server, so one of the clocks must be wrong
	}
	return startedMs
}
