package membershipsim

import (
	"testing"

	"gaugerelay/internal/membership"
)

func fleet(n int, loss float64, seed uint64) *Sim {
	return New(Options{Members: n, Loss: loss, DelayMs: 1, MoreMs: 8, Seed: seed})
}

// A death is known everywhere within the bound, and nobody else is held for dead, whatever is lost.
func TestDeathsAreKnownWithinTheBound(t *testing.T) {
	for _, c := range []struct {
		n    int
		loss float64
	}{{3, 0}, {3, 0.05}, {10, 0}, {10, 0.05}, {10, 0.2}, {40, 0.05}} {
		for seed := range uint64(4) {
			rep := Measure(Options{Members: c.n, Loss: c.loss, DelayMs: 1, MoreMs: 8, Seed: seed}, 30_000, 3)
			if rep.Unknown > 0 || c.loss < 0.1 && rep.False > 0 {
				t.Errorf("%d members, %.0f %% lost, seed %d: %v", c.n, 100*c.loss, seed, rep)
			}
		}
	}
}

// Halves hold each other for dead, and find together again.
func TestHalvesFindTogether(t *testing.T) {
	s := fleet(6, 0, 5)
	s.Run(3000)
	s.Cut(func(from, to int) bool { return from%2 != to%2 })
	s.Run(s.Settings(0).DetectionBoundMs())
	for i := range 6 {
		if got := s.Held(i, membership.Dead); got != 3 {
			t.Errorf("member %d is held for dead by %d of the other half", i, got)
		}
	}
	s.Cut(nil)
	s.Run(s.Settings(0).DetectionBoundMs())
	for i := range 6 {
		if got := s.Held(i, membership.Alive); got != 5 {
			t.Errorf("member %d is held for alive by %d behind the cut", i, got)
		}
	}
}

// One direction of a single link is cut: relays are asked, and nobody is held for dead.
func TestOneWayCutOfALinkKillsNobody(t *testing.T) {
	s := fleet(6, 0, 8)
	s.Cut(func(from, to int) bool { return from == 1 && to == 2 })
	s.Run(60_000)
	if s.False > 0 || s.Held(2, membership.Dead)+s.Held(1, membership.Dead) > 0 {
		t.Errorf("%d held for dead", s.False)
	}
}

// A member that was paused for long holds nobody for dead when it wakes, and is itself found alive again.
func TestPausedMember(t *testing.T) {
	s := fleet(6, 0, 6)
	s.Run(3000)
	s.Pause(2, true)
	s.Run(s.Settings(0).DetectionBoundMs())
	if got := s.Held(2, membership.Dead); got != 5 {
		t.Errorf("%d hold the paused one for dead", got)
	}
	s.Pause(2, false)
	for range 20 {
		for i := range 6 {
			if i != 2 && s.all[2].book.State(uint16(i)) == membership.Dead {
				t.Fatalf("the one that was paused holds %d for dead", i)
			}
		}
		s.Run(500)
	}
	if got := s.Held(2, membership.Alive); got != 5 {
		t.Errorf("%d hold the woken one for alive", got)
	}
}

// A member that starts anew with nothing is alive again although it begins with a smaller incarnation than it had.
func TestRestartedMember(t *testing.T) {
	s := fleet(5, 0.05, 7)
	for range 3 {
		s.Kill(1)
		s.Run(s.Settings(0).DetectionBoundMs())
		if got := s.Held(1, membership.Dead); got != 4 {
			t.Errorf("%d hold it for dead", got)
		}
		s.Start(1)
		s.Run(10_000)
		if got := s.Held(1, membership.Alive); got != 4 {
			t.Errorf("%d hold it for alive", got)
		}
	}
}

// One that goes by its own word is not suspected first.
func TestLeave(t *testing.T) {
	s := fleet(5, 0, 9)
	s.Run(2000)
	s.all[3].book.Leave()
	s.Run(6000)
	if got := s.Held(3, membership.Left); got != 4 {
		t.Errorf("%d know that it has left", got)
	}
}
