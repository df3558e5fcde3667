package chaos

import "fmt"

// maxViolationTexts is how many violations a Result describes.
const maxViolationTexts = 60

// Result is what a run has shown.
type Result struct {
	Gateways      int
	Seed          uint64
	FaultCount    int
	Requests      int
	Served        int
	Rejected      int
	Failed        int
	NeverAccepted int // requests on a connection that the gateway closed before it read them
	Stalls        int // of the whole machine

	// Violations of the invariants, by kind.
	SentAfterDrain      int // attempts at a server after the gateway was notified that it drains
	SlowStartExceeded   int // servers that got more than their slow start allows
	Lost                int // requests without a final response, or with a wrong one, or attempted for a client that had left
	DuplicateExecutions int
	DeadlineExtended    int // attempts that stated more time to the server than the client had left
	GatewayReported     int // violations that gateways counted themselves
	Crashed             int

	Violations []string // descriptions of the first violations
}

// ViolationCount returns the number of violations of all kinds.
func (r *Result) ViolationCount() int {
	return r.SentAfterDrain + r.SlowStartExceeded + r.Lost + r.DuplicateExecutions + r.DeadlineExtended + r.GatewayReported + r.Crashed
}

// String returns the summary line of the run, in the form that scripts read.
func (r *Result) String() string {
	return fmt.Sprintf("processes=%d seed=%d faults=%d requests=%d drain=%d slow_start=%d lost=%d duplicate=%d late_deadline=%d closed_without_response=%d crashed=%d",
		r.Gateways, r.Seed, r.FaultCount, r.Requests, r.SentAfterDrain, r.SlowStartExceeded, r.Lost, r.DuplicateExecutions,
		r.DeadlineExtended, r.GatewayReported, r.Crashed)
}

// addViolation counts a violation and describes it.
func (r *Result) addViolation(count *int, format string, args ...any) {
	*count++
	if len(r.Violations) < maxViolationTexts {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}
