package invariants

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// maxReportedViolations is the number of violations that a result describes. Further violations are only counted.
const maxReportedViolations = 20

// Result is the evaluation of all exchanges.
type Result struct {
	Exchanges int
	Writes    int

	DuplicateResponses int // transmissions with two responses, and final responses that differ from the first one of their exchange
	DisallowedRetries  int // repeated executions of a write, if deduplication does not cover the repetition
	MissingResponses   int // exchanges without a response by the deadline over a working link
	LostWrites         int // writes that were served but never executed
	DamagedUploads     int // uploads whose commands all succeeded, but whose file has other content
	SendsToDraining    int // requests to a server more than 1 s after the gateway was notified that the server drains

	Uploads              int // uploads of files whose commands all succeeded
	ServedInTime         int
	Weight               float64         // sum of the priority weights of all exchanges
	WeightInTime         float64         // sum of the priority weights of the exchanges served in time
	ChangedByRestart     int             // final responses that differ from the first because the gateway had restarted; no violation
	RewritesAfterRestart int             // file writes that were executed again for a restarted gateway; no violation
	WriteExecutions      int             // number of executed writes; a write that a server deduplicated is not counted
	BytesSent            int             // bytes that the devices sent over their links
	PayloadBytes         int             // sum of the body sizes of all exchanges
	ResponseTimes        []time.Duration // from the beginning of an exchange to its first final response, sorted
	Unserved             map[string]int  // number of exchanges not served in time, by the last response received
	Violations           []string        // descriptions of the first violations
}

// ViolationCount returns the number of violations of all kinds.
func (r *Result) ViolationCount() int {
	return r.DuplicateResponses + r.DisallowedRetries + r.MissingResponses + r.LostWrites + r.SendsToDraining + r.DamagedUploads
}

// Quantile returns the quantile q, in [0, 1], of the response times, or 0 if there are none.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.ResponseTimes) == 0 {
		return 0
	}
	return r.ResponseTimes[min(int(q*float64(len(r.ResponseTimes))), len(r.ResponseTimes)-1)]
}

// Result evaluates the records so far.
func (c *Checker) Result() *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Result{Unserved: map[string]int{}}
	for _, id := range c.ids {
		r.addExchange(c.exchanges[id])
	}
	r.Uploads = c.uploads
	for _, damage := range c.damaged {
		r.addViolation(&r.DamagedUploads, "upload damaged: %s", damage)
	}
	slices.Sort(r.ResponseTimes)
	return r
}

// addExchange evaluates one exchange.
func (r *Result) addExchange(record *exchangeRecord) {
	r.Exchanges++
	r.Weight += record.Weight
	r.BytesSent += record.bytesSent
	r.PayloadBytes += record.Size
	final, servedInTime := r.checkResponses(record)
	r.countOutcome(record, servedInTime)
	if record.missingResponse != "" {
		r.addViolation(&r.MissingResponses, "%s: no response by the deadline over a working link (%s): %s", record.ID,
			record.missingResponse, record.history())
	}
	for _, e := range record.executions {
		if e.DrainNotified {
			r.addViolation(&r.SendsToDraining, "%s: sent to %s after the gateway was notified that it drains: %s", record.ID, e.Server,
				record.history())
		}
	}
	if record.Write {
		r.checkWrite(record, final)
	}
}

// checkResponses checks that each transmission received at most one response and that all final responses agree, apart from the
// differences that compareFinal allows. It returns the first final response, or nil if there is none, and whether the exchange
// was served by its deadline.
func (r *Result) checkResponses(record *exchangeRecord) (final *response, servedInTime bool) {
	responseCounts := map[int]int{} // number of responses to each transmission
	for i := range record.responses {
		received := &record.responses[i]
		responseCounts[received.copy]++
		if responseCounts[received.copy] == 2 {
			r.addViolation(&r.DuplicateResponses, "%s: transmission %d received two responses: %s", record.ID, received.copy,
				record.history())
		}
		if !received.outcome.final() || !record.Write && final != nil && received.at.After(record.Deadline) {
			continue // A read may be executed again for a retry after its deadline. The response to the retry is not compared.
		}
		if final == nil {
			final = received
			r.ResponseTimes = append(r.ResponseTimes, received.at.Sub(record.beganAt))
		} else {
			r.compareFinal(record, final, received)
		}
		servedInTime = servedInTime || received.outcome == Served && !received.at.After(record.Deadline)
	}
	return final, servedInTime
}

// compareFinal checks that a further final response agrees with the first.
func (r *Result) compareFinal(record *exchangeRecord, first, further *response) {
	// A restarted gateway fails a repeated write, since it cannot know whether the write was executed, and it executes a
	// repeated read again. After a restart, either may therefore have another outcome.
	restarted := further.incarnation != record.incarnation
	switch {
	case restarted && further.outcome != first.outcome && (further.outcome == Failed || !record.Write):
		r.ChangedByRestart++
	case further.outcome != first.outcome || further.content != first.content:
		r.addViolation(&r.DuplicateResponses, "%s: final responses differ: %s, then %s: %s", record.ID, first.outcome, further.outcome,
			record.history())
	}
}

// countOutcome counts an exchange as served in time, or as unserved under the last response received.
func (r *Result) countOutcome(record *exchangeRecord, servedInTime bool) {
	switch count := len(record.responses); {
	case servedInTime:
		r.ServedInTime++
		r.WeightInTime += record.Weight
	case count > 0:
		last := record.responses[count-1]
		r.Unserved[last.outcome.String()+" "+last.note]++
	default:
		r.Unserved["nothing"]++
	}
}

// checkWrite checks that a write was not executed again without protection by deduplication, and that it was executed if it
// was served.
func (r *Result) checkWrite(record *exchangeRecord, final *response) {
	r.Writes++
	sort.SliceStable(record.executions, func(i, j int) bool { return record.executions[i].At.Before(record.executions[j].At) })
	for i, e := range record.executions {
		if !e.Deduplicated {
			r.WriteExecutions++
		}
		first := record.executions[0]
		switch {
		case i == 0:
		case e.Incarnation != first.Incarnation:
			// A restarted gateway cannot recognize a repeated WRITE of the file protocol, so the WRITE counts as a new write.
			r.RewritesAfterRestart++
		case e.isUnprotectedRetryOf(first, record.DedupWindow):
			r.addViolation(&r.DisallowedRetries, "%s: executed again without protection by deduplication: %s", record.ID,
				record.history())
		}
	}
	if final != nil && final.outcome == Served && len(record.executions) == 0 {
		r.addViolation(&r.LostWrites, "%s: served, but not executed by any server", record.ID)
	}
}

// isUnprotectedRetryOf reports whether deduplication does not cover e, which is a later execution of the same write: e was at
// another shard, at or after the end of the deduplication window, with another key, or executed another body.
func (e Execution) isUnprotectedRetryOf(first Execution, window time.Duration) bool {
	return e.Shard != first.Shard || e.Key != first.Key || e.Content != first.Content && !e.Deduplicated ||
		e.At.Sub(first.At) >= window
}

// addViolation counts a violation, and describes it if it is among the first maxReportedViolations.
func (r *Result) addViolation(count *int, format string, args ...any) {
	*count++
	if len(r.Violations) < maxReportedViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}
