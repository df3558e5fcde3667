package lifecycle_test

import (
	"testing"
	"time"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// An attempt expires at the scheduler's start deadline, or else with the client's time.
func TestStartDeadlineExpiresAttempt(t *testing.T) {
	decisions, upstream := &scriptedScheduler{}, &recordingUpstream{}
	manager := newManager(decisions)
	manager.UpdateEndpoints(snapshot(scheduler.Ready))
	manager.Step(0)
	manager.Submit(0, &lifecycle.Request{RemainingMs: 1000, Upstream: upstream, Respond: func(lifecycle.Response) {}})
	decisions.actions = []scheduler.Action{
		scheduler.Send{ID: 1, Server: 1},
		scheduler.Send{ID: 1, Server: 1, StartDeadline: 700 * time.Millisecond},
	}
	manager.Step(1)
	started := upstream.started
	if len(started) != 2 || started[0].Expired(999) || !started[0].Expired(999.1) || started[1].Expired(699.9) || !started[1].Expired(700) {
		t.Errorf("%d started: %+v", len(started), started)
	}
}
