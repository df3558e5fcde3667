package timerwheel

import (
	"fmt"
	"slices"
	"testing"
)

const (
	modelBaseMs = 1000
	modelTickMs = 4.0
)

// modelTimer is a pending timer in the model.
type modelTimer struct {
	timer *Timer[int]
	tick  int64
	order int
}

// wheelModel applies the same steps to a wheel and to a list of pending timers, which is the reference.
type wheelModel struct {
	t       *testing.T
	wheel   *Wheel[int]
	pending []modelTimer
	all     []*Timer[int]
	tick    int64 // current tick
	order   int   // number of calls of schedule so far
}

func newWheelModel(t *testing.T) *wheelModel {
	return &wheelModel{t: t, wheel: New[int](modelBaseMs, modelTickMs)}
}

// timeOf returns the time of a tick in milliseconds.
func timeOf(tick int64) float64 { return modelBaseMs + modelTickMs*float64(tick) }

// remove removes a timer from the model and reports whether it was pending.
func (m *wheelModel) remove(timer *Timer[int]) bool {
	before := len(m.pending)
	m.pending = slices.DeleteFunc(m.pending, func(p modelTimer) bool { return p.timer == timer })
	return len(m.pending) < before
}

// schedule schedules a timer in the wheel and the model, the given number of ticks from now.
func (m *wheelModel) schedule(timer *Timer[int], ticks int64) {
	m.remove(timer)
	m.order++
	m.pending = append(m.pending, modelTimer{timer, max(m.tick+1, m.tick+ticks), m.order})
	m.wheel.Schedule(timer, timeOf(m.tick+ticks))
}

func (m *wheelModel) cancel(timer *Timer[int]) {
	m.t.Helper()
	if got, want := m.wheel.Cancel(timer), m.remove(timer); got != want {
		m.t.Fatalf("Cancel returned %v, want %v", got, want)
	}
}

// advance moves the wheel and the model forward.
func (m *wheelModel) advance(ticks int64) {
	end := m.tick + ticks
	m.wheel.Advance(timeOf(end), func(timer *Timer[int]) { m.fired(timer, end) })
	m.tick = end
}

// fired checks that a timer that fires is the next one in the model.
func (m *wheelModel) fired(timer *Timer[int], end int64) {
	earliest := slices.MinFunc(m.pending, func(a, b modelTimer) int {
		if a.tick != b.tick {
			return int(min(1, max(-1, a.tick-b.tick)))
		}
		return a.order - b.order
	})
	if earliest.timer != timer || earliest.tick > end {
		m.t.Fatalf("timer %d fired, want timer %d, which expires at tick %d; Advance ends at tick %d",
			timer.Value, earliest.timer.Value, earliest.tick, end)
	}
	m.tick = earliest.tick
	m.remove(timer)
	if timer.Value%3 == 0 && timer.Value > 0 { // reschedule the timer and cancel another one during Advance
		m.schedule(timer, int64(timer.Value))
		other := m.all[timer.Value-1]
		if m.wheel.Cancel(other) != m.remove(other) {
			m.t.Fatal("Cancel during Advance did not report whether the timer was pending")
		}
		timer.Value-- // no longer a multiple of 3, so that the timer is not rescheduled when it fires again
	}
}

// check compares the results of Len and NextExpiry with the model.
func (m *wheelModel) check() {
	if m.wheel.Len() != len(m.pending) {
		m.t.Fatalf("the wheel has %d pending timers, want %d", m.wheel.Len(), len(m.pending))
	}
	next, ok := m.wheel.NextExpiry()
	for _, p := range m.pending {
		if p.tick <= m.tick {
			m.t.Fatalf("timer %d expires at tick %d but is still pending at tick %d", p.timer.Value, p.tick, m.tick)
		}
		if expiry := timeOf(p.tick); next > expiry {
			m.t.Fatalf("NextExpiry returned %v, but timer %d expires earlier, at %v", next, p.timer.Value, expiry)
		}
	}
	if ok != (len(m.pending) > 0) || ok && next <= timeOf(m.tick) {
		m.t.Fatalf("NextExpiry returned %v, %v at tick %d with %d pending timers", next, ok, m.tick, len(m.pending))
	}
}

// FuzzWheel compares the wheel with the model under random steps.
func FuzzWheel(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{0, 255, 3, 0, 64, 0, 0, 63, 1, 3, 255, 2, 3, 200, 3, 250})
	f.Add([]byte{0, 5, 4, 0, 5, 3, 3, 9, 0, 5, 0, 5, 3, 1, 3, 255, 3, 255, 3, 255})
	f.Add([]byte{7, 240, 11, 255, 15, 255, 3, 100, 7, 255, 3, 128, 11, 255})
	f.Fuzz(func(t *testing.T, steps []byte) {
		m := newWheelModel(t)
		for i := 0; i+1 < len(steps); i += 2 {
			scale := int64(1) << (steps[i] >> 2 % 32) // some timers expire beyond the horizon of the wheel
			ticks := int64(steps[i+1]) * max(1, scale/64)
			switch steps[i] % 4 {
			case 0, 1:
				timer := &Timer[int]{Value: len(m.all)}
				m.all = append(m.all, timer)
				m.schedule(timer, ticks)
			case 2:
				if len(m.all) > 0 {
					m.cancel(m.all[int(ticks)%len(m.all)])
				}
			case 3:
				m.advance(ticks)
			}
			m.check()
		}
	})
}

// TestExpiryOfPastFractionalAndDistantTimes checks that a timer for a past time expires at the next tick, that one for a time
// between two ticks expires at the later tick, and that a timer beyond the range of ticks stays pending.
func TestExpiryOfPastFractionalAndDistantTimes(t *testing.T) {
	wheel := New[string](0, 1)
	var fired []string
	record := func(timer *Timer[string]) { fired = append(fired, timer.Value) }
	for i, at := range []float64{-5, 0, 0.5, 1, 1.5} {
		wheel.Schedule(&Timer[string]{Value: fmt.Sprint(i)}, at)
	}
	distant := &Timer[string]{Value: "distant"}
	wheel.Schedule(distant, 1e300)
	wheel.Advance(1, record)
	if !slices.Equal(fired, []string{"0", "1", "2", "3"}) || wheel.Len() != 2 {
		t.Errorf("timers %v have fired at 1 ms and %d are pending, want 0, 1, 2 and 3 fired and 2 pending", fired, wheel.Len())
	}
	wheel.Advance(3e9, record)
	if !distant.Pending() || len(fired) != 5 || !wheel.Cancel(distant) || wheel.Cancel(distant) {
		t.Errorf("timers %v have fired at 3e9 ms, want all except the distant one, which can be canceled once", fired)
	}
}
