package lifecycle_test

import (
	"testing"
	"time"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// scriptedScheduler records the events that it gets. Once a test has set actions, the next step returns them, and later steps
// return none.
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

// fakeEnvironment is a lifecycle.Environment that ignores all calls.
type fakeEnvironment struct{}

func (fakeEnvironment) SetTimer(float64)              {}
func (fakeEnvironment) WatchEndpoints()               {}
func (fakeEnvironment) ProbeServer(*lifecycle.Server) {}
func (fakeEnvironment) Log(string)                    {}
func (fakeEnvironment) Count(string)                  {}
func (fakeEnvironment) Trace(string, ...any)          {}

// recordingUpstream records the attempts that it starts, and never completes them.
type recordingUpstream struct{ started []lifecycle.Attempt }

func (u *recordingUpstream) Start(attempt lifecycle.Attempt) func() {
	u.started = append(u.started, attempt)
	return func() {}
}

// newManager returns a manager in a fakeEnvironment.
func newManager(fakeScheduler lifecycle.Scheduler) *lifecycle.Manager {
	return lifecycle.New(lifecycle.Options{Scheduler: fakeScheduler, Environment: fakeEnvironment{}})
}

// snapshot returns a snapshot of servers that are named a, b, ... and have the given states.
func snapshot(states ...scheduler.ServerState) (update lifecycle.EndpointUpdate) {
	update.Kind = scheduler.Snapshot
	for i, state := range states {
		update.Servers = append(update.Servers, &lifecycle.Server{Name: string(rune('a' + i)), Addr: "127.0.0.1:1", State: state})
	}
	return update
}

// A client may cancel a request before the Manager gets it. The request must then be ignored.
func TestCancelBeforeSubmit(t *testing.T) {
	fakeScheduler := &scriptedScheduler{}
	manager := newManager(fakeScheduler)
	request := &lifecycle.Request{Respond: func(lifecycle.Response) { t.Error("a canceled request got a response") }}
	manager.Cancel(0, request)
	manager.Submit(1, request)
	if manager.Step(1); len(fakeScheduler.events) != 0 || manager.OpenRequests() != 0 {
		t.Errorf("the request was canceled: the scheduler got the events %v, want none, and no open request", fakeScheduler.events)
	}
}

// A request with the ClientID of an open request gets the response DuplicateID, without an effect on the open request. The
// ClientID can be used again once the open request is done and all its attempts have ended.
func TestDuplicateClientID(t *testing.T) {
	fakeScheduler, upstream := &scriptedScheduler{}, &recordingUpstream{}
	manager := newManager(fakeScheduler)
	manager.UpdateEndpoints(snapshot(scheduler.Ready))
	manager.Step(0)
	var responses []lifecycle.ResponseKind
	submit := func() *lifecycle.Request {
		request := &lifecycle.Request{ClientID: "a", RemainingMs: 100, Upstream: upstream,
			Respond: func(response lifecycle.Response) { responses = append(responses, response.Kind) }}
		fakeScheduler.events = nil
		manager.Submit(1, request)
		manager.Step(1)
		return request
	}

	first := submit()
	fakeScheduler.actions = []scheduler.Action{scheduler.Send{ID: 1, Server: 1}}
	manager.TimerFired()
	manager.Step(1)
	if submit(); len(fakeScheduler.events) != 0 || len(responses) != 1 || responses[0] != lifecycle.DuplicateID {
		t.Errorf("the first request is open: the scheduler got the events %v, want none; responses %v, want one duplicate_id",
			fakeScheduler.events, responses)
	}
	manager.Cancel(0, first)
	if submit(); len(fakeScheduler.events) != 1 || len(responses) != 2 {
		t.Errorf("the canceled request has an attempt in flight: the scheduler got %v, want one event; responses %v, want two",
			fakeScheduler.events, responses)
	}
	manager.Complete(2, first, 0, lifecycle.AttemptResult{Status: scheduler.StatusOK})
	if submit(); len(responses) != 2 || manager.OpenRequests() != 1 {
		t.Errorf("the ClientID is not in use: responses %v, want two; %d open requests, want one",
			responses, manager.OpenRequests())
	}
}
