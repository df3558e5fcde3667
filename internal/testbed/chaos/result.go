package chaos

import "fmt"

// maxViolationTexts is how many violations a Result describes. Further violations are only counted.
const maxViolationTexts = 60

// Result holds the counts and the violations of a run.
type Result struct {
	Gateways      int
	Seed          uint64
	FaultCount    int
	Requests      int
	Served        int
	Rejected      int
	Failed        int
	NeverAccepted int // requests whose connection may have been closed before the gateway read them; no violation
	Stalls        int // stalls of the whole machine

	// Violations of the invariants, by kind.
	SentAfterDrain      int // attempts more than drainGrace after their gateway was notified that the server drains or is removed
	SlowStartExceeded   int // servers that got more load than their slow start allows
	Lost                int // requests without a correct response in time, and attempts begun after the client had disconnected
	DuplicateExecutions int // repeated executions that neither idempotency nor deduplication allows, and rejections of executed requests
	DeadlineExtended    int // attempts that stated a longer remaining time to the server than the client had left
	GatewayReported     int // nonzero violation counters in the metrics of gateways
	Crashed             int // gateways that exited unexpectedly, did not exit in time, or did not start
	MemoryExceeded      int // gateways whose peak memory was over their limit
	DescriptorsExceeded int // gateways that had more descriptors than their limit
	KeptOut             int // gateways at which too many requests got no response while a crowd held connections

	Violations []string // descriptions of the first violations
}

// ViolationCount returns the number of violations of all kinds.
func (r *Result) ViolationCount() int {
	return r.SentAfterDrain + r.SlowStartExceeded + r.Lost + r.DuplicateExecutions + r.DeadlineExtended + r.GatewayReported + r.Crashed +
		r.MemoryExceeded + r.DescriptorsExceeded + r.KeptOut
}

// String returns the summary line of the run in the format that scripts parse.
func (r *Result) String() string {
	return fmt.Sprintf("processes=%d seed=%d faults=%d requests=%d drain=%d slow_start=%d lost=%d duplicate=%d late_deadline=%d closed_without_response=%d crashed=%d memory=%d descriptors=%d kept_out=%d",
		r.Gateways, r.Seed, r.FaultCount, r.Requests, r.SentAfterDrain, r.SlowStartExceeded, r.Lost, r.DuplicateExecutions,
		r.DeadlineExtended, r.GatewayReported, r.Crashed, r.MemoryExceeded, r.DescriptorsExceeded, r.KeptOut)
}

// addViolation counts a violation, and describes it if it is among the first maxViolationTexts.
func (r *Result) addViolation(count *int, format string, args ...any) {
	*count++
	if len(r.Violations) < maxViolationTexts {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}
