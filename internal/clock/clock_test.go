package clock

import (
	"slices"
	"testing"
)

func TestManual(t *testing.T) {
	m := NewManual(100)
	var ran []float64
	note := func() { ran = append(ran, m.NowMs()) }
	m.AfterFunc(20, func() { note(); m.AfterFunc(5, note) })
	m.AfterFunc(10, note)
	m.AfterFunc(15, note)()
	m.AfterFunc(50, note)
	m.Advance(30)
	if want := []float64{110, 120, 125}; !slices.Equal(ran, want) || m.NowMs() != 130 {
		t.Errorf("ran at %v, now %v", ran, m.NowMs())
	}
	done := make(chan struct{})
	m.AfterFunc(-1, func() { close(done) })
	<-done
}

func TestSystemNeverRunsBackwards(t *testing.T) {
	s := NewSystem()
	a := s.NowMs()
	if b := s.NowMs(); b < a || a < 1.7e12 {
		t.Errorf("%v, then %v", a, b)
	}
	done := make(chan struct{})
	s.AfterFunc(-1, func() { close(done) })
	<-done
}
