package exchange

import (
	"math"
	"testing"
)

// newCopySender returns a function that sends a new store the first copy of a new exchange and returns the first
// action.
func newCopySender(t *testing.T) func(id CopyID, remainingMs, roundTripMs float64) Action {
	t.Helper()
	store, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	return func(id CopyID, remainingMs, roundTripMs float64) Action {
		return store.Step(1e6, CopyReceived{Copy: id, Device: "d", Key: string(rune('a' + id)), RemainingMs: remainingMs,
			ResendHistory: ResendHistory{AgeMs: -1}, Link: LinkSample{RoundTripMs: roundTripMs}})[0]
	}
}

// What the link takes is not available to the run.
func TestRunGetsTheTimeThatTheLinkLeaves(t *testing.T) {
	send := newCopySender(t)
	if run, ok := send(1, 2000, 400).(StartRun); !ok || run.RemainingMs > 1600 || run.RemainingMs < 700 {
		t.Errorf("%+v", run)
	}
}

// A request whose response could not arrive in time is rejected at once, and nothing is run.
func TestRejectsCopyThatIsTooLate(t *testing.T) {
	send := newCopySender(t)
	send(1, 2000, 400)
	if response, ok := send(2, 300, 0).(Respond); !ok || response.Kind != ResponseTooLate {
		t.Errorf("%+v", response)
	}
	for i, remainingMs := range []float64{0, -100, math.NaN()} {
		if response, ok := send(CopyID(10+i), remainingMs, 0).(Respond); !ok || response.Kind != ResponseTooLate {
			t.Errorf("%v ms remaining: %+v", remainingMs, response)
		}
	}
}
