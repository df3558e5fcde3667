package scheduler

import (
	"slices"
	"testing"
)

// When a client no longer waits for its request, the outstanding attempts are canceled if AllowCancel is set. They are canceled only
// once, even if the cancellation of the request is reported twice.
func TestCancelAttemptsOfCanceledRequest(t *testing.T) {
	for name, allowed := range map[string]bool{"allowed": true, "not allowed": false} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, func(s *Settings) { s.AllowCancel = allowed })
			open, ended := gateway.newArrival("read", "gold", 1, 2, 1), gateway.newArrival("once", "gold", 1, 2, 2)
			gateway.step(open, ended)
			gateway.step(attemptServed(ended.ID, 5*ms))
			actions := gateway.step(RequestCanceled{ID: open.ID}, RequestCanceled{ID: ended.ID}, RequestCanceled{ID: open.ID})
			canceled := actionsOf[CancelAttempt](append(actions, gateway.advance(50*ms)...))
			var want []CancelAttempt
			if allowed {
				want = []CancelAttempt{{ID: open.ID}}
			}
			if !slices.Equal(canceled, want) {
				t.Errorf("canceled %v, want %v", canceled, want)
			}
			gateway.step(AttemptEnded{ID: open.ID, Server: 1, Status: StatusCanceled, Latency: 9 * ms, RequestDone: true})
			if len(gateway.scheduler.requests) != 0 || gateway.server(1).inFlight != 0 {
				t.Errorf("%d requests are kept and %d attempts are in flight after the end, want none",
					len(gateway.scheduler.requests), gateway.server(1).inFlight)
			}
		})
	}
}

// A request ends at the client's deadline even if its attempt is still in flight. It is rejected only if a retry by the client is
// harmless; otherwise it fails.
func TestRequestExpiresWhileAttemptInFlight(t *testing.T) {
	gateway := newTestGateway(t, nil)
	unsafe, idempotent := gateway.newArrival("once", "gold", 1, 2, 5), gateway.newArrival("read", "gold", 1, 2, 6)
	if len(sentIDs(gateway.step(unsafe, idempotent))) != 2 {
		t.Fatal("the two requests were not sent")
	}
	actions := gateway.advance(2900 * ms)
	if len(failedIDs(actions))+len(rejectedIDs(actions)) != 0 {
		t.Errorf("actions before the deadline are %v, want neither a Fail nor a Reject", actions)
	}
	actions = gateway.advance(105 * ms)
	failed, rejected := failedIDs(actions), rejectedIDs(actions)
	if len(failed) != 1 || failed[0] != unsafe.ID || len(rejected) != 1 || rejected[0] != idempotent.ID {
		t.Errorf("failed %v and rejected %v, want request %d failed, since it may have been executed, and request %d rejected",
			failed, rejected, unsafe.ID, idempotent.ID)
	}
}

func TestStatusProvesNotExecuted(t *testing.T) {
	for status, want := range map[Status]bool{
		StatusOK: false, StatusError: false, StatusOverloaded: true, StatusTimedOut: false,
		StatusConnectFailed: true, StatusConnectionReset: false, StatusCanceled: false, StatusNotSent: true,
	} {
		if got := status.ProvesNotExecuted(); got != want {
			t.Errorf("status %v proves that the attempt was not executed: %t, want %t", status, got, want)
		}
	}
}
