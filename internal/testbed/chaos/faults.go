package chaos

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a kind of fault. Faults of all kinds overlap.
type fault struct {
	name   string
	weight int // how often it is drawn, relative to the others
	// inject injects the fault and returns when it is over. It takes its random choices from random alone.
	inject func(h *harness, random *rand.Rand)
}

// faults are all kinds. Their order and weights decide which fault a seed draws.
var faults = []fault{
	{"kill", 3, killGateways},
	{"stop", 3, stopGateways},
	{"pause", 3, pauseGateways},
	{"discovery-down", 2, takeDiscoveryDown},
	{"discovery-slow", 1, slowDiscovery},
	{"watches-silent", 2, silenceWatches},
	{"watches-reset", 2, resetWatches},
	{"replace", 4, replaceServers},
	{"restart", 2, restartServer},
	{"server-behavior", 5, changeServerBehavior},
	{"reload", 2, reloadGateways},
}

func isFault(name string) bool {
	return slices.ContainsFunc(faults, func(f fault) bool { return f.name == name })
}

// Times without new faults: at the beginning of a run, and at its end, where the effects of earlier ones have to show.
const (
	initialFaultFreeTime = time.Second
	finalFaultFreeTime   = 2 * time.Second
)

// meanFaultInterval is the mean time between two faults. It is shorter than most faults last, so that they overlap.
const meanFaultInterval = 700 * time.Millisecond

// faultSchedule draws the faults of a run from its seed.
type faultSchedule struct {
	random *rand.Rand
	pool   []*fault // each as often as its weight says
}

// scheduledFault is a fault with its own random numbers and the pause that follows its start.
type scheduledFault struct {
	*fault
	random *rand.Rand
	pause  time.Duration
}

// newFaultSchedule returns the schedule of a seed with the faults that are named, or all if none is.
func newFaultSchedule(seed uint64, names []string) *faultSchedule {
	schedule := &faultSchedule{random: rand.New(rand.NewPCG(seed, faultScheduleStream))}
	for i := range faults {
		if len(names) > 0 && !slices.Contains(names, faults[i].name) {
			continue
		}
		for range faults[i].weight {
			schedule.pool = append(schedule.pool, &faults[i])
		}
	}
	return schedule
}

// next draws the next fault. The schedule must not be empty.
func (s *faultSchedule) next() scheduledFault {
	drawn := s.pool[s.random.IntN(len(s.pool))]
	ownRandom := rand.New(rand.NewPCG(s.random.Uint64(), singleFaultStream))
	pause := time.Duration(s.random.ExpFloat64() * float64(meanFaultInterval))
	return scheduledFault{fault: drawn, random: ownRandom, pause: pause}
}

// injectFaults starts faults one after the other, without waiting for the end of each.
func (h *harness) injectFaults() {
	schedule := newFaultSchedule(h.options.Seed, h.options.Faults)
	end := h.startedAt.Add(h.options.Duration - finalFaultFreeTime)
	if !h.sleep(initialFaultFreeTime) || len(schedule.pool) == 0 {
		return
	}
	for time.Now().Before(end) {
		next := schedule.next()
		h.mu.Lock()
		h.faultCount++
		h.mu.Unlock()
		h.log.Printf("(fault: %s)", next.name)
		h.goroutines.Go(func() { next.inject(h, next.random) })
		if !h.sleep(next.pause) {
			return
		}
	}
}

// randomDuration draws a uniformly distributed duration.
func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Float64()*float64(longest-shortest))
}
