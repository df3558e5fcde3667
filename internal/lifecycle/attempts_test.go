package lifecycle_test

import (
	"testing"
	"time"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// An attempt expires at the scheduler's start deadline or, without one, when less than a millisecond remains until the
// client's deadline.
func TestStartDeadlineExpiresAttempt(t *testing.T) {
	fakeScheduler, upstream := &scriptedScheduler{}, &recordingUpstream{}
	manager := newManager(fakeScheduler)
	manager.UpdateEndpoints(snapshot(scheduler.Ready))
	manager.Step(0)
	manager.Submit(0, &lifecycle.Request{RemainingMs: 1000, Upstream: upstream, Respond: func(lifecycle.Response) {}})
	fakeScheduler.actions = []scheduler.Action{
		scheduler.Send{ID: 1, Server: 1},
		scheduler.Send{ID: 1, Server: 1, StartDeadline: 700 * time.Millisecond},
	}
	manager.Step(1)
	started := upstream.started
	if len(started) != 2 || started[0].Expired(999) || !started[0].Expired(999.1) || started[1].Expired(699.9) || !started[1].Expired(700) {
		t.Errorf("%d attempts were started, want two that expire after 999 ms and at 700 ms: %+v", len(started), started)
	}
}
