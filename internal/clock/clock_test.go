package clock

import (
	"slices"
	"testing"
)

func TestManualRunsTimersInOrder(t *testing.T) {
	clock := NewManual(100)
	var ran []float64
	record := func() { ran = append(ran, clock.NowMs()) }
	clock.AfterFunc(20, func() { record(); clock.AfterFunc(5, record) })
	clock.AfterFunc(10, record)
	clock.AfterFunc(15, record)() // stopped at once, so the callback must not run
	clock.AfterFunc(50, record)
	clock.Advance(30)
	if want := []float64{110, 120, 125}; !slices.Equal(ran, want) || clock.NowMs() != 130 {
		t.Errorf("callbacks ran at %v and the clock is at %v, want 110, 120 and 125 and the clock at 130", ran, clock.NowMs())
	}
	done := make(chan struct{})
	clock.AfterFunc(-1, func() { close(done) })
	<-done
}

func TestSystemNeverRunsBackwards(t *testing.T) {
	clock := NewSystem()
	first := clock.NowMs()
	if second := clock.NowMs(); second < first || first < 1.7e12 {
		t.Errorf("the clock read %v, then %v; want milliseconds since the Unix epoch that do not decrease", first, second)
	}
	done := make(chan struct{})
	clock.AfterFunc(-1, func() { close(done) })
	<-done
}
