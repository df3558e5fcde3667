package chaos

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a kind of fault. Faults of the same kind and of different kinds overlap.
type fault struct {
	name   string
	weight int // how often the fault is drawn, relative to the other kinds
	// inject injects the fault, parts of which may go on in goroutines of the harness. It draws all random numbers from random.
	inject func(h *harness, random *rand.Rand)
}

// faults lists all kinds of faults. The faults that a seed draws depend on the order and the weights.
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

// No fault starts in these times at the beginning and at the end of a run. The time at the end lets the effects of the last
// faults show.
const (
	initialFaultFreeTime = time.Second
	finalFaultFreeTime   = 2 * time.Second
)

// meanFaultInterval is the mean time between the starts of successive faults. Most faults last longer, so that they overlap.
const meanFaultInterval = 700 * time.Millisecond

// faultSchedule draws the faults of a run from its seed.
type faultSchedule struct {
	random *rand.Rand
	pool   []*fault // contains each fault as many times as its weight
}

// scheduledFault is a fault with its own random numbers and the time between its start and the start of the next fault.
type scheduledFault struct {
	*fault
	random *rand.Rand
	pause  time.Duration
}

// newFaultSchedule returns the schedule of a seed with the named faults, or with all faults if names is empty.
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

// next draws the next fault. The pool must not be empty.
func (s *faultSchedule) next() scheduledFault {
	drawn := s.pool[s.random.IntN(len(s.pool))]
	ownRandom := rand.New(rand.NewPCG(s.random.Uint64(), singleFaultStream))
	pause := time.Duration(s.random.ExpFloat64() * float64(meanFaultInterval))
	return scheduledFault{fault: drawn, random: ownRandom, pause: pause}
}

// injectFaults starts the faults of the schedule in turn, without waiting until they end.
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

// randomDuration draws a duration that is uniformly distributed between shortest and longest.
func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Float64()*float64(longest-shortest))
}
