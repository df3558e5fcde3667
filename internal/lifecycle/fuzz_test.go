package lifecycle_test

import (
	"testing"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// requestModel is the expected state of a request.
type requestModel struct {
	request       *lifecycle.Request
	id            scheduler.RequestID
	responses     int    // number of responses that the request got
	done          bool   // whether the request was responded to or canceled
	attemptsEnded []bool // whether each attempt has ended, indexed by attempt number
}

// fuzzHarness runs a Manager together with a model of each of its requests.
type fuzzHarness struct {
	t             *testing.T
	manager       *lifecycle.Manager
	fakeScheduler *scriptedScheduler
	upstream      *recordingUpstream
	models        []*requestModel
}

func newFuzzHarness(t *testing.T) *fuzzHarness {
	t.Helper()
	h := &fuzzHarness{t: t, fakeScheduler: &scriptedScheduler{}, upstream: &recordingUpstream{}}
	h.manager = newManager(h.fakeScheduler)
	h.manager.UpdateEndpoints(snapshot(scheduler.Ready))
	h.manager.Step(0)
	return h
}

// submit submits a new request and adds a model of it.
func (h *fuzzHarness) submit(nowMs float64) {
	model := &requestModel{id: scheduler.RequestID(len(h.models) + 1)}
	model.request = &lifecycle.Request{RemainingMs: 1000, Upstream: h.upstream,
		Respond: func(lifecycle.Response) { model.responses++ }}
	h.models = append(h.models, model)
	h.manager.Submit(nowMs, model.request)
	h.manager.Step(nowMs)
}

// The operations on a request, encoded in the lowest three bits of a byte of fuzzer input. 0 submits a new request. For other
// operations, the highest five bits select the request.
const (
	opSend           = 1
	opAttemptOK      = 2
	opAttemptError   = 3
	opClientCancel   = 4
	opFail           = 5
	opReject         = 6
	opInvalidActions = 7
	opCount          = 8
)

// perform performs an operation on a request and its model. It returns the number of events that the scheduler must get. For
// operations on an attempt, the highest three bits are the number of the attempt.
func (h *fuzzHarness) perform(nowMs float64, model *requestModel, operation byte) (wantEvents int) {
	attempt := int(operation >> 5)
	switch operation % opCount {
	case opAttemptOK:
		return h.completeAttempt(nowMs, model, attempt, scheduler.StatusOK)
	case opAttemptError:
		return h.completeAttempt(nowMs, model, attempt, scheduler.StatusError)
	case opClientCancel:
		h.manager.Cancel(nowMs, model.request)
		if model.done {
			return 0
		}
		model.done = true
		return 1
	case opSend:
		if !model.done {
			h.fakeScheduler.actions = []scheduler.Action{scheduler.Send{ID: model.id, Server: 1}}
			model.attemptsEnded = append(model.attemptsEnded, false)
		}
	case opFail: // the request may already be done
		h.fakeScheduler.actions = []scheduler.Action{scheduler.Fail{ID: model.id}}
		model.done = true
	case opReject:
		h.fakeScheduler.actions = []scheduler.Action{scheduler.Reject{ID: model.id}}
		model.done = true
	case opInvalidActions:
		h.fakeScheduler.actions = []scheduler.Action{
			scheduler.CancelAttempt{ID: model.id, Attempt: attempt},
			scheduler.ProbeServer{Server: 9},
			scheduler.Send{ID: 999, Server: 1},
			scheduler.Send{ID: model.id, Server: 99},
			scheduler.Fail{ID: 999},
		}
	}
	h.manager.TimerFired() // makes the scheduler return its actions
	return 1
}

// completeAttempt reports the end of an attempt that may not exist or may already have ended.
func (h *fuzzHarness) completeAttempt(nowMs float64, model *requestModel, attempt int,
	status scheduler.Status) (wantEvents int) {
	h.manager.Complete(nowMs, model.request, attempt, lifecycle.AttemptResult{Status: status})
	if attempt >= len(model.attemptsEnded) || model.attemptsEnded[attempt] {
		return 0
	}
	model.attemptsEnded[attempt] = true
	model.done = model.done || status == scheduler.StatusOK
	return 1
}

// checkStep checks the events and the number of responses after an operation on a request.
func (h *fuzzHarness) checkStep(step int, operation byte, model *requestModel, wantEvents int) {
	h.t.Helper()
	events := h.fakeScheduler.events
	if len(events) != wantEvents {
		h.t.Fatalf("step %d, operation %d: the scheduler got the events %v, want %d events", step, operation, events, wantEvents)
	}
	if wantEvents == 1 {
		if ended, ok := events[0].(scheduler.AttemptEnded); ok && (ended.RequestDone != model.done || ended.ID != model.id) {
			h.t.Fatalf("step %d: the scheduler got %+v, want RequestDone %v and the id of the request", step, ended, model.done)
		}
	}
	if model.responses > 1 {
		h.t.Fatalf("step %d: the request got %d responses, want at most one", step, model.responses)
	}
}

// checkTotals checks the numbers of open requests and of started attempts.
func (h *fuzzHarness) checkTotals() {
	h.t.Helper()
	open, started := 0, 0
	for _, model := range h.models {
		started += len(model.attemptsEnded)
		if !model.done {
			open++
			if model.responses != 0 {
				h.t.Fatalf("open request %d got %d responses, want none", model.id, model.responses)
			}
		}
	}
	if h.manager.OpenRequests() != open || len(h.upstream.started) != started {
		h.t.Fatalf("%d requests are open, want %d; %d attempts were started, want %d",
			h.manager.OpenRequests(), open, len(h.upstream.started), started)
	}
}

// FuzzRequests performs random operations and checks the Manager against a model of each request. In whatever order operations
// arrive, a request gets at most one response, and the scheduler is notified once of the end of each attempt, including whether
// the request is done by then.
func FuzzRequests(f *testing.F) {
	f.Add([]byte{0, 1, 2, 5, 3})
	f.Add([]byte{0, 1, 1, 2, 2, 10, 2, 4, 3, 5})
	f.Add([]byte{0, 8, 1, 9, 4, 2, 12, 5, 13, 3, 11, 2})
	f.Add([]byte{0, 1, 3, 2, 2, 0, 1, 6, 7, 2})
	f.Fuzz(func(t *testing.T, operations []byte) {
		h := newFuzzHarness(t)
		for step, operation := range operations {
			nowMs := float64(step)
			h.fakeScheduler.events = nil
			if operation%opCount == 0 || len(h.models) == 0 {
				h.submit(nowMs)
				continue
			}
			model := h.models[int(operation>>3)%len(h.models)]
			wantEvents := h.perform(nowMs, model, operation)
			h.manager.Step(nowMs)
			h.checkStep(step, operation, model, wantEvents)
		}
		h.checkTotals()
	})
}
