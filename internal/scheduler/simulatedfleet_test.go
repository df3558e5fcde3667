package scheduler

import (
	"testing"
	"time"
)

// simulatedGateways is the number of gateways in the tests of a large fleet.
const simulatedGateways = 300

// simulatedFleet holds the schedulers of several gateways and the events that each gets in its next step. All share one clock.
type simulatedFleet struct {
	t          *testing.T
	schedulers []*Scheduler
	events     [][]Event
	now        time.Duration
}

// newSimulatedFleet returns a fleet whose clock shows one hour. seed returns the seed of a gateway.
func newSimulatedFleet(t *testing.T, gateways int, settings Settings, seed func(gateway int) uint64) *simulatedFleet {
	t.Helper()
	fleet := &simulatedFleet{t: t, schedulers: make([]*Scheduler, gateways), events: make([][]Event, gateways), now: time.Hour}
	for i := range fleet.schedulers {
		fleet.schedulers[i] = newScheduler(t, settings, seed(i))
	}
	return fleet
}

// deliver adds an event to the next step of a gateway.
func (f *simulatedFleet) deliver(gateway int, event Event) {
	f.events[gateway] = append(f.events[gateway], event)
}

// deliverAll adds an event to the next step of each gateway.
func (f *simulatedFleet) deliverAll(event Event) {
	for i := range f.schedulers {
		f.deliver(i, event)
	}
}

// step runs the next step of a gateway with the delivered events and a TimerFired.
func (f *simulatedFleet) step(gateway int) []Action {
	events := append(f.events[gateway], TimerFired{})
	f.events[gateway] = nil
	return f.schedulers[gateway].Step(f.now, events)
}

// pendingEnd is the end of an attempt that is to be delivered at a given time.
type pendingEnd struct {
	at  time.Duration
	end AttemptEnded
}

// sentUnits is an amount of units with the time at which they were sent.
type sentUnits struct {
	at    time.Duration
	units float64
}

// unitsWindow sums the units sent over a sliding window.
type unitsWindow struct {
	length time.Duration
	sends  []sentUnits
}

// add adds units and returns the sum over the window that ends now. Units exactly as old as the window are included.
func (w *unitsWindow) add(now time.Duration, units float64) (sum float64) {
	w.sends = append(w.sends, sentUnits{now, units})
	for now-w.sends[0].at > w.length {
		w.sends = w.sends[1:]
	}
	for _, send := range w.sends {
		sum += send.units
	}
	return sum
}
