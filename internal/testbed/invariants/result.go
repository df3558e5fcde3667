package invariants

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// maxReportedViolations is the number of violations that a result describes; the others are only counted.
const maxReportedViolations = 20

// Result is the evaluation of all exchanges.
type Result struct {
	Exchanges int
	Writes    int

	DuplicateResponses int // copies with two responses, or copies of one exchange with different final responses
	DisallowedRetries  int // writes executed again where no key protects them: elsewhere, too late or with another body
	MissingResponses   int // devices that waited until the deadline over a working link in vain
	LostWrites         int // writes that were served but never executed
	SendsToDraining    int // sends to a server of which the gateway had been notified over a second ago that it drains

	ServedInTime         int
	Weight               float64 // of all exchanges
	WeightInTime         float64 // of those served in time
	ChangedByRestart     int     // further final responses that differ because the gateway had restarted
	RewritesAfterRestart int     // file writes that a restarted gateway executed again
	WriteExecutions      int
	BytesSent            int
	PayloadBytes         int
	ResponseTimes        []time.Duration // from the beginning to the first final response, sorted
	Unserved             map[string]int  // exchanges not served in time, by the last response that their devices received
	Violations           []string        // descriptions of the first violations
}

// ViolationCount returns the number of violations of all kinds.
func (r *Result) ViolationCount() int {
	return r.DuplicateResponses + r.DisallowedRetries + r.MissingResponses + r.LostWrites + r.SendsToDraining
}

// Quantile returns a quantile of the response times, 0 if there are none.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.ResponseTimes) == 0 {
		return 0
	}
	return r.ResponseTimes[min(int(q*float64(len(r.ResponseTimes))), len(r.ResponseTimes)-1)]
}

// Result evaluates what was recorded so far.
func (c *Checker) Result() *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Result{Unserved: map[string]int{}}
	for _, id := range c.ids {
		r.add(c.exchanges[id])
	}
	slices.Sort(r.ResponseTimes)
	return r
}

// add evaluates one exchange.
func (r *Result) add(x *exchange) {
	r.Exchanges++
	r.Weight += x.Weight
	r.BytesSent += x.bytesSent
	r.PayloadBytes += x.Size
	final, servedInTime := r.checkResponses(x)
	r.countOutcome(x, servedInTime)
	if x.missingResponse != "" {
		r.violation(&r.MissingResponses, "%s: no response by the deadline on a link that worked (%s): %s", x.ID, x.missingResponse, x.history())
	}
	for _, e := range x.executions {
		if e.DrainNotified {
			r.violation(&r.SendsToDraining, "%s: sent to %s, which drains: %s", x.ID, e.Server, x.history())
		}
	}
	if x.Write {
		r.checkWrite(x, final)
	}
}

// checkResponses checks that each copy received one response and that all final ones agree. It returns the first final
// response, nil if there is none, and whether the exchange was served by its deadline.
func (r *Result) checkResponses(x *exchange) (final *response, servedInTime bool) {
	responses := map[int]int{} // by copy
	for i := range x.responses {
		received := &x.responses[i]
		responses[received.copy]++
		if responses[received.copy] == 2 {
			r.violation(&r.DuplicateResponses, "%s: copy %d received two responses: %s", x.ID, received.copy, x.history())
		}
		if !received.outcome.final() || !x.Write && final != nil && received.at.After(x.Deadline) {
			continue // A read that is repeated after its deadline is another exchange.
		}
		if final == nil {
			final = received
			r.ResponseTimes = append(r.ResponseTimes, received.at.Sub(x.beganAt))
		} else {
			r.compare(x, final, received)
		}
		servedInTime = servedInTime || received.outcome == Served && !received.at.After(x.Deadline)
	}
	return final, servedInTime
}

// compare checks that a further final response agrees with the first.
func (r *Result) compare(x *exchange, first, further *response) {
	// A restarted gateway cannot say more of a write than that it may have been executed, and executes a read anew.
	restarted := further.incarnation != x.incarnation
	switch {
	case restarted && further.outcome != first.outcome && (further.outcome == Failed || !x.Write):
		r.ChangedByRestart++
	case further.outcome != first.outcome || further.content != first.content:
		r.violation(&r.DuplicateResponses, "%s: received %s, then %s: %s", x.ID, first.outcome, further.outcome, x.history())
	}
}

// countOutcome counts whether an exchange was served in time, and if not, why.
func (r *Result) countOutcome(x *exchange, servedInTime bool) {
	switch count := len(x.responses); {
	case servedInTime:
		r.ServedInTime++
		r.WeightInTime += x.Weight
	case count > 0:
		last := x.responses[count-1]
		r.Unserved[last.outcome.String()+" "+last.note]++
	default:
		r.Unserved["nothing"]++
	}
}

// checkWrite checks that a write was not executed again without protection, and was executed if it was served.
func (r *Result) checkWrite(x *exchange, final *response) {
	r.Writes++
	sort.SliceStable(x.executions, func(i, j int) bool { return x.executions[i].At.Before(x.executions[j].At) })
	for i, e := range x.executions {
		if !e.Deduplicated {
			r.WriteExecutions++
		}
		first := x.executions[0]
		switch {
		case i == 0:
		case e.Incarnation != first.Incarnation:
			r.RewritesAfterRestart++ // By the protocol it is a new WRITE.
		case e.isUnprotectedRetryOf(first, x.DedupWindow):
			r.violation(&r.DisallowedRetries, "%s: executed again where nothing protects it: %s", x.ID, x.history())
		}
	}
	if final != nil && final.outcome == Served && len(x.executions) == 0 {
		r.violation(&r.LostWrites, "%s: served, but never executed", x.ID)
	}
}

// isUnprotectedRetryOf reports whether no deduplication protects an execution that follows another one.
func (e Execution) isUnprotectedRetryOf(first Execution, window time.Duration) bool {
	return e.Shard != first.Shard || e.Key != first.Key || e.Content != first.Content && !e.Deduplicated ||
		e.At.Sub(first.At) >= window
}

// violation counts a violation and describes it if it is one of the first.
func (r *Result) violation(count *int, format string, args ...any) {
	*count++
	if len(r.Violations) < maxReportedViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}
