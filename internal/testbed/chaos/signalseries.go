package chaos

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// killGrace is what the platform adds to the longest deadline between SIGTERM and SIGKILL.
const killGrace = 700 * time.Millisecond

// Times between the signals of a series.
const (
	minSignalGap = time.Millisecond
	maxSignalGap = 300 * time.Millisecond
	// minKillAge and maxKillAge are the ages at which a process that has just been started is killed again.
	minKillAge = 50 * time.Millisecond
	maxKillAge = 600 * time.Millisecond
)

// stopTimeout returns the time after SIGTERM at which the platform kills a gateway at the earliest.
func stopTimeout() time.Duration {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, c.deadline)
	}
	return min(longest, 3*time.Second) + killGrace
}

// signalGateway sends several signals to a gateway in quick succession.
func signalGateway(h *harness, g *gateway, random *rand.Rand, _ <-chan struct{}) {
	if !g.faultMu.TryLock() {
		return
	}
	defer g.faultMu.Unlock()
	if !h.ensureRunning(g) {
		return
	}
	switch random.IntN(3) {
	case 0:
		h.killRepeatedly(g, random)
	case 1:
		h.terminateRepeatedly(g, random)
	default:
		for range 1 + random.IntN(5) {
			g.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1}[random.IntN(2)])
			h.sleep(randomDuration(random, minSignalGap, maxSignalGap))
		}
	}
}

// killRepeatedly kills a gateway, and its successors soon after their starts.
func (h *harness) killRepeatedly(g *gateway, random *rand.Rand) {
	h.recordMetricViolations(g)
	end := h.beginInterval(&g.kills)
	defer end()
	g.Kill()
	for range 1 + random.IntN(2) {
		age := randomDuration(random, minKillAge, maxKillAge)
		h.recordStart(g)
		if err := g.Launch(); err != nil {
			h.recordCrash("%v", err)
			break
		}
		h.sleep(age)
		if !g.Running() {
			h.recordCrash("%s exited unexpectedly within %v of its start", g.Name, age)
		}
		g.Kill()
	}
	h.restartGateway(g)
}

// terminateRepeatedly sends SIGTERM with other signals before and after it, and kills the gateway as early as the platform may.
func (h *harness) terminateRepeatedly(g *gateway, random *rand.Rand) {
	h.recordMetricViolations(g)
	defer h.beginInterval(&g.terminations)()
	if random.IntN(2) == 0 {
		g.Signal(syscall.SIGHUP)
		h.sleep(randomDuration(random, minSignalGap, maxSignalGap))
	}
	more := 1 + random.IntN(2)
	h.goroutines.Go(func() {
		for range more {
			h.sleep(minSignalGap + maxSignalGap/2)
			if g.Running() {
				g.Signal(syscall.SIGTERM)
			}
		}
	})
	if !g.Stop(stopTimeout()) {
		h.recordCrash("%s did not exit within %v of SIGTERM and was killed", g.Name, stopTimeout())
	}
	h.restartGateway(g)
}
