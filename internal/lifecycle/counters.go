package lifecycle

import "gaugerelay/internal/scheduler"

// Names of counters. A status is appended to a prefix.
const (
	counterRequestsAccepted  = "requests_accepted"
	counterRequestsDuplicate = "requests_duplicate"
	counterRequestsCanceled  = "requests_canceled"
	counterAttemptsStarted   = "attempts_started"

	counterAttemptsPrefix = "attempts_"

	counterRetriedPrefix = "attempts_retried_after_" // followed by the status of the attempt before
	counterHedged        = "attempts_hedged"
)

// responseCounters holds the name of the counter of each kind of response to accepted requests.
var responseCounters = [...]string{
	Served:   "answers_served",
	Rejected: "answers_rejected",
	Failed:   "answers_failed",
}

// reasonCounters holds the names of the counters of responses by kind and reason. Only those of Rejected and Failed are used.
var reasonCounters = func() (names [len(responseCounters)][scheduler.ReasonCount]string) {
	for kind, name := range responseCounters {
		for reason := range names[kind] {
			names[kind][reason] = name + "_" + scheduler.Reason(reason).String()
		}
	}
	return names
}()
