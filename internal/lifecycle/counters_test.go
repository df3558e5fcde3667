package lifecycle_test

import (
	"maps"
	"testing"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// countingEnvironment records the values of the counters.
type countingEnvironment struct {
	fakeEnvironment
	counts map[string]int
}

func (e *countingEnvironment) Count(name string) { e.counts[name]++ }

// countOneAttempt returns the counters after a request whose only attempt ended with a status, and which the scheduler then
// finished by an action.
func countOneAttempt(status scheduler.Status, finish scheduler.Action) map[string]int {
	fakeScheduler, environment := &scriptedScheduler{}, &countingEnvironment{counts: map[string]int{}}
	manager := lifecycle.New(lifecycle.Options{Scheduler: fakeScheduler, Environment: environment})
	manager.UpdateEndpoints(snapshot(scheduler.Ready))
	manager.Step(0)
	request := &lifecycle.Request{RemainingMs: 100, Upstream: &recordingUpstream{}, Respond: func(lifecycle.Response) {}}
	manager.Submit(0, request)
	fakeScheduler.actions = []scheduler.Action{scheduler.Send{ID: 1, Server: 1}}
	manager.Step(0)
	manager.Complete(1, request, 0, lifecycle.AttemptResult{Status: status})
	fakeScheduler.actions = []scheduler.Action{finish}
	manager.Step(1)
	return environment.counts
}

// An attempt is counted by its status, and a response by its kind and reason.
func TestCounters(t *testing.T) {
	reject := scheduler.Reject{ID: 1, Reason: scheduler.ReasonNoServer}
	fail := scheduler.Fail{ID: 1, Reason: scheduler.ReasonNoServer}
	reason := scheduler.ReasonNoServer.String()
	for _, c := range []struct {
		status  scheduler.Status
		finish  scheduler.Action
		attempt string
		result  []string
	}{
		{scheduler.StatusOK, fail, "attempts_ok", []string{"answers_served"}},
		{scheduler.StatusError, fail, "attempts_error", []string{"answers_failed", "answers_failed_" + reason}},
		{scheduler.StatusOverloaded, reject, "attempts_overloaded", []string{"answers_rejected", "answers_rejected_" + reason}},
		{scheduler.StatusTimedOut, fail, "attempts_timed_out", []string{"answers_failed", "answers_failed_" + reason}},
		{scheduler.StatusConnectFailed, reject, "attempts_connect_failed", []string{"answers_rejected", "answers_rejected_" + reason}},
		{scheduler.StatusConnectionReset, fail, "attempts_connection_reset", []string{"answers_failed", "answers_failed_" + reason}},
		{scheduler.StatusCanceled, fail, "attempts_canceled", []string{"answers_failed", "answers_failed_" + reason}},
		{scheduler.StatusNotSent, reject, "attempts_not_sent", []string{"answers_rejected", "answers_rejected_" + reason}},
	} {
		t.Run(c.attempt, func(t *testing.T) {
			want := map[string]int{"requests_accepted": 1, "attempts_started": 1, c.attempt: 1}
			for _, name := range c.result {
				want[name] = 1
			}
			if got := countOneAttempt(c.status, c.finish); !maps.Equal(got, want) {
				t.Errorf("counters are %v, want %v", got, want)
			}
		})
	}
}
