// Package incarnation turns the times at which servers were started, which others' wall clocks tell, into times on this
// gateway's clock. It is pure. A wall clock may be off or stepped by an hour, and slow start must not end early for that: a
// server that was not in a list that was complete at a time has not been running before it, whatever is told of its start:
// it counts as started when it is first seen.
package incarnation

// toleranceMs is how much later than a server's start the list may tell of it, beyond which this gateway's own observation
// comes first.
const toleranceMs = 2500

// mostKept bounds the incarnations that are remembered.
const mostKept = 1 << 13

// Tracker knows the incarnations that were listed. Its zero value is ready; it has no list yet.
type Tracker struct {
	completeMs float64 // the last time as of which the list was complete; 0: there was none
	known      map[string]incarnation
}

// incarnation is one run of a server.
type incarnation struct {
	toldMs  float64
	sinceMs float64 // on this gateway's clock
}

// MarkComplete tells that the list is complete as of a time.
func (t *Tracker) MarkComplete(atMs float64) { t.completeMs = max(t.completeMs, atMs) }

// StartedAtMs is when a listed server was started, on this gateway's clock. toldMs is what the list says; 0: long ago.
func (t *Tracker) StartedAtMs(name string, toldMs, nowMs float64) float64 {
	if toldMs == 0 {
		return 0
	}
	if run, ok := t.known[name]; ok && run.toldMs == toldMs {
		return run.sinceMs
	}
	since := min(toldMs, nowMs) // nothing was started in the future
	if t.completeMs > 0 && since < t.completeMs-toleranceMs {
		since = nowMs // a clock is off, and this is when it was first seen
	}
	if t.known == nil || len(t.known) >= mostKept {
		t.known = map[string]incarnation{}
	}
	t.known[name] = incarnation{toldMs, since}
	return since
}
