package membershipsim

import (
	"testing"

	"gaugerelay/internal/membership"
)

func newSimulation(memberCount int, lossRate float64, seed uint64) *Simulation {
	return New(Options{MemberCount: memberCount, LossRate: lossRate, MinDelayMs: 1, JitterMs: 8, Seed: seed})
}

// runDetectionBound advances a simulation by the time within which running members must detect a failure.
func runDetectionBound(s *Simulation) { s.Run(s.Settings(0).DetectionBoundMs()) }

// checkState reports an error unless exactly want other members regard a member as being in the given state.
func checkState(t *testing.T, s *Simulation, number int, state membership.State, want int) {
	t.Helper()
	if got := s.CountState(number, state); got != want {
		t.Errorf("%d members regard member %d as %v, want %d", got, number, state, want)
	}
}

// TestPartitionHeals checks that the members on the two sides of a partition declare each other dead, and regard each other as
// alive again after the partition has ended.
func TestPartitionHeals(t *testing.T) {
	s := newSimulation(6, 0, 5)
	s.Run(3000)
	s.Partition(func(from, to int) bool { return from%2 != to%2 })
	runDetectionBound(s)
	for number := range 6 {
		checkState(t, s, number, membership.Dead, 3)
	}
	s.Partition(nil)
	runDetectionBound(s)
	for number := range 6 {
		checkState(t, s, number, membership.Alive, 5)
	}
}

// TestOneWayLinkFailureCausesNoDeath checks that no member is declared dead when one direction of a single link fails, because
// indirect probes take another path. FalseDeaths does not count the case that member 1 declares member 2 dead over the failed
// link, so the test also checks in which state the members regard each of the two.
func TestOneWayLinkFailureCausesNoDeath(t *testing.T) {
	s := newSimulation(6, 0, 8)
	s.Partition(func(from, to int) bool { return from == 1 && to == 2 })
	s.Run(60_000)
	if s.FalseDeaths > 0 || s.CountState(2, membership.Dead)+s.CountState(1, membership.Dead) > 0 {
		t.Errorf("got %d false deaths; want none, and want no member that regards member 1 or 2 as dead", s.FalseDeaths)
	}
}

// TestPausedMember checks that a member that resumes after a long pause declares no other member dead, although it has heard
// nothing from the others during the pause, and that the others soon regard it as alive again.
func TestPausedMember(t *testing.T) {
	const paused = 2
	s := newSimulation(6, 0, 6)
	s.Run(3000)
	s.Pause(paused)
	runDetectionBound(s)
	checkState(t, s, paused, membership.Dead, 5)
	s.Resume(paused)
	for range 20 {
		for number := range 6 {
			if number != paused && s.members[paused].list.State(uint16(number)) == membership.Dead {
				t.Fatalf("the resumed member regards member %d as dead, want no member regarded as dead", number)
			}
		}
		s.Run(500)
	}
	checkState(t, s, paused, membership.Alive, 5)
}

// TestRestartedMember checks that a restarted member is regarded as alive again. Of two updates about a member, the one with the
// greater incarnation wins. The restarted member starts with incarnation 0, so it must first raise its incarnation above that of the
// update that declared it dead.
func TestRestartedMember(t *testing.T) {
	s := newSimulation(5, 0.05, 7)
	for range 3 {
		s.Kill(1)
		runDetectionBound(s)
		checkState(t, s, 1, membership.Dead, 4)
		s.StartMember(1)
		s.Run(10_000)
		checkState(t, s, 1, membership.Alive, 4)
	}
}

// TestLeave checks that the others regard a member that announces its shutdown as having left, not as dead.
func TestLeave(t *testing.T) {
	s := newSimulation(5, 0, 9)
	s.Run(2000)
	s.members[3].list.Leave()
	s.Run(6000)
	checkState(t, s, 3, membership.Left, 4)
}
