package exchange

import (
	"math"
	"testing"
)

// newTransmissionSender creates a store and returns a function that sends it the first transmission of a new exchange. The
// function returns the first action of the store.
func newTransmissionSender(t *testing.T) func(id TransmissionID, remainingMs, roundTripMs float64) Action {
	t.Helper()
	store, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	return func(id TransmissionID, remainingMs, roundTripMs float64) Action {
		return store.Step(1e6, TransmissionReceived{Transmission: id, Device: "d", Key: string(rune('a' + id)),
			RemainingMs: remainingMs, ResendHistory: ResendHistory{AgeMs: -1}, Link: LinkSample{RoundTripMs: roundTripMs}})[0]
	}
}

// The time that a request and its response spend on the link is not available to the execution. Of 2000 ms remaining, a round
// trip of 400 ms leaves at most 1600 ms. The safety margins may take at most 900 ms of these 1600 ms.
func TestExecutionTimeExcludesLinkOverhead(t *testing.T) {
	send := newTransmissionSender(t)
	if execution, ok := send(1, 2000, 400).(StartExecution); !ok || execution.RemainingMs > 1600 || execution.RemainingMs < 700 {
		t.Errorf("%+v", execution)
	}
}

// A request whose response could not arrive in time is rejected immediately and is not executed. The first transmission sets the
// round trip of the device's link to 400 ms, so a request with 300 ms remaining is too late.
func TestTooLateTransmissionIsRejected(t *testing.T) {
	send := newTransmissionSender(t)
	send(1, 2000, 400)
	if response, ok := send(2, 300, 0).(Respond); !ok || response.Kind != ResponseTooLate {
		t.Errorf("%+v", response)
	}
	for i, remainingMs := range []float64{0, -100, math.NaN()} {
		if response, ok := send(TransmissionID(10+i), remainingMs, 0).(Respond); !ok || response.Kind != ResponseTooLate {
			t.Errorf("with %v ms remaining: got %+v, want a response of kind too late", remainingMs, response)
		}
	}
}
