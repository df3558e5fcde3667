package membershipsim

import (
	"testing"

	"gaugerelay/internal/membership"
)

func newSimulation(memberCount int, lossRate float64, seed uint64) *Simulation {
	return New(Options{MemberCount: memberCount, LossRate: lossRate, MinDelayMs: 1, JitterMs: 8, Seed: seed})
}

// runDetectionBound advances a simulation by the time within which failures are detected.
func runDetectionBound(s *Simulation) { s.Run(s.Settings(0).DetectionBoundMs()) }

// requireState reports an error unless the given number of members regard a member as being in a state.
func requireState(t *testing.T, s *Simulation, number int, state membership.State, want int) {
	t.Helper()
	if got := s.CountState(number, state); got != want {
		t.Errorf("%d members regard member %d as %v, want %d", got, number, state, want)
	}
}

// TestPartitionHeals checks that both sides of a partition declare each other dead, and find each other again after it.
func TestPartitionHeals(t *testing.T) {
	s := newSimulation(6, 0, 5)
	s.Run(3000)
	s.Partition(func(from, to int) bool { return from%2 != to%2 })
	runDetectionBound(s)
	for number := range 6 {
		requireState(t, s, number, membership.Dead, 3)
	}
	s.Partition(nil)
	runDetectionBound(s)
	for number := range 6 {
		requireState(t, s, number, membership.Alive, 5)
	}
}

// TestOneWayLinkFailureKillsNobody checks that if one direction of a single link fails, indirect probes prevent that a
// member is declared dead.
func TestOneWayLinkFailureKillsNobody(t *testing.T) {
	s := newSimulation(6, 0, 8)
	s.Partition(func(from, to int) bool { return from == 1 && to == 2 })
	s.Run(60_000)
	if s.FalseDeaths > 0 || s.CountState(2, membership.Dead)+s.CountState(1, membership.Dead) > 0 {
		t.Errorf("%d false deaths", s.FalseDeaths)
	}
}

// TestPausedMember checks that a member that resumes after a long pause declares nobody dead, and is soon regarded as
// alive again.
func TestPausedMember(t *testing.T) {
	const paused = 2
	s := newSimulation(6, 0, 6)
	s.Run(3000)
	s.Pause(paused)
	runDetectionBound(s)
	requireState(t, s, paused, membership.Dead, 5)
	s.Resume(paused)
	for range 20 {
		for number := range 6 {
			if number != paused && s.members[paused].list.State(uint16(number)) == membership.Dead {
				t.Fatalf("the resumed member regards member %d as dead", number)
			}
		}
		s.Run(500)
	}
	requireState(t, s, paused, membership.Alive, 5)
}

// TestRestartedMember checks that a restarted member is regarded as alive although its incarnation starts below the one
// that was declared dead.
func TestRestartedMember(t *testing.T) {
	s := newSimulation(5, 0.05, 7)
	for range 3 {
		s.Kill(1)
		runDetectionBound(s)
		requireState(t, s, 1, membership.Dead, 4)
		s.StartMember(1)
		s.Run(10_000)
		requireState(t, s, 1, membership.Alive, 4)
	}
}

// TestLeave checks that a member that announces its shutdown is regarded as having left, without being suspected.
func TestLeave(t *testing.T) {
	s := newSimulation(5, 0, 9)
	s.Run(2000)
	s.members[3].list.Leave()
	s.Run(6000)
	requireState(t, s, 3, membership.Left, 4)
}
