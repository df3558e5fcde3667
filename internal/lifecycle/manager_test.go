package lifecycle_test

import (
	"testing"
	"time"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// scriptedScheduler returns the actions that a test has set, and records the events that it gets.
type scriptedScheduler struct {
	actions []scheduler.Action
	events  []scheduler.Event
}

func (s *scriptedScheduler) Step(_ time.Duration, events []scheduler.Event) []scheduler.Action {
	s.events = append(s.events, events...)
	actions := s.actions
	s.actions = nil
	return actions
}

// fakeEnvironment ignores everything.
type fakeEnvironment struct{}

func (fakeEnvironment) SetTimer(float64)              {}
func (fakeEnvironment) WatchEndpoints()               {}
func (fakeEnvironment) ProbeServer(*lifecycle.Server) {}
func (fakeEnvironment) Log(string)                    {}
func (fakeEnvironment) Count(string)                  {}
func (fakeEnvironment) Trace(string, ...any)          {}

// recordingUpstream records the attempts that are started.
type recordingUpstream struct{ started []lifecycle.Attempt }

func (u *recordingUpstream) Start(attempt lifecycle.Attempt) func() {
	u.started = append(u.started, attempt)
	return func() {}
}

// newManager returns a manager in a fakeEnvironment.
func newManager(decisions lifecycle.Scheduler) *lifecycle.Manager {
	return lifecycle.New(lifecycle.Options{Scheduler: decisions, Environment: fakeEnvironment{}})
}

// snapshot returns a snapshot of servers a, b, ... in the given states.
func snapshot(states ...scheduler.ServerState) (update lifecycle.EndpointUpdate) {
	update.Kind = scheduler.Snapshot
	for i, state := range states {
		update.Servers = append(update.Servers, &lifecycle.Server{Name: string(rune('a' + i)), Addr: "127.0.0.1:1", State: state})
	}
	return update
}

// A client may cancel before the loop has handled its request.
func TestCancelBeforeSubmit(t *testing.T) {
	decisions := &scriptedScheduler{}
	manager := newManager(decisions)
	request := &lifecycle.Request{Respond: func(lifecycle.Response) { t.Error("got a response") }}
	manager.Cancel(0, request)
	manager.Submit(1, request)
	if manager.Step(1); len(decisions.events) != 0 || manager.OpenRequests() != 0 {
		t.Errorf("the scheduler got %v", decisions.events)
	}
}

// A request with the ClientID of an open request is rejected, and the open one gets its own response only. The ClientID is
// free again once the open request is done and all its attempts have ended.
func TestDuplicateClientID(t *testing.T) {
	decisions, upstream := &scriptedScheduler{}, &recordingUpstream{}
	manager := newManager(decisions)
	manager.UpdateEndpoints(snapshot(scheduler.Ready))
	manager.Step(0)
	var responses []lifecycle.ResponseKind
	submit := func() *lifecycle.Request {
		request := &lifecycle.Request{ClientID: "a", RemainingMs: 100, Upstream: upstream,
			Respond: func(response lifecycle.Response) { responses = append(responses, response.Kind) }}
		decisions.events = nil
		manager.Submit(1, request)
		manager.Step(1)
		return request
	}

	first := submit()
	decisions.actions = []scheduler.Action{scheduler.Send{ID: 1, Server: 1}}
	manager.TimerFired()
	manager.Step(1)
	if submit(); len(decisions.events) != 0 || len(responses) != 1 || responses[0] != lifecycle.DuplicateID {
		t.Errorf("the first request is open: the scheduler got %v; responses %v", decisions.events, responses)
	}
	manager.Cancel(0, first)
	if submit(); len(decisions.events) != 1 || len(responses) != 2 {
		t.Errorf("an attempt of the first request is in flight: the scheduler got %v; responses %v", decisions.events, responses)
	}
	manager.Complete(2, first, 0, lifecycle.AttemptResult{Status: scheduler.StatusOK})
	if submit(); len(responses) != 2 || manager.OpenRequests() != 1 {
		t.Errorf("the ClientID is free: responses %v, %d open", responses, manager.OpenRequests())
	}
}
