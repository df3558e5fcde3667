package lifecycle

import "gaugerelay/internal/scheduler"

// Names of counters. Those of attempts and responses continue with a status or reason.
const (
	counterRequestsAccepted  = "requests_accepted"
	counterRequestsDuplicate = "requests_duplicate"
	counterRequestsCanceled  = "requests_canceled"
	counterAttemptsStarted   = "attempts_started"

	counterAttemptsPrefix = "attempts_"
)

// responseCounters are the names of the counters of responses to accepted requests.
var responseCounters = [...]string{
	Served:   "answers_served",
	Rejected: "answers_rejected",
	Failed:   "answers_failed",
}

// reasonCounters are the names of the counters of rejected and failed requests by reason.
var reasonCounters = func() (names [len(responseCounters)][scheduler.ReasonCount]string) {
	for kind, name := range responseCounters {
		for reason := range names[kind] {
			names[kind][reason] = name + "_" + scheduler.Reason(reason).String()
		}
	}
	return names
}()
