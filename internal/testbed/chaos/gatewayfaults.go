package chaos

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// One fault affects at most Options.Gateways/gatewaysPerFault gateways, or one gateway if the quotient is 0.
const gatewaysPerFault = 6

// reloadTime is how long other faults skip a gateway after it was sent SIGHUP to reload its configuration.
const reloadTime = 100 * time.Millisecond

// onRandomGateways calls inject concurrently for a few random gateways. It skips gateways that another fault affects.
func (h *harness) onRandomGateways(random *rand.Rand, inject func(g *gateway)) {
	for range 1 + random.IntN(max(1, len(h.gateways)/gatewaysPerFault)) {
		g := h.gateways[random.IntN(len(h.gateways))]
		h.goroutines.Go(func() {
			if !g.faultMu.TryLock() {
				return
			}
			defer g.faultMu.Unlock()
			if h.ensureRunning(g) {
				inject(g)
			}
		})
	}
}

// killGateways kills gateways and starts them again after a while.
func killGateways(h *harness, random *rand.Rand) {
	downTime := randomDuration(random, 50*time.Millisecond, 1500*time.Millisecond)
	h.onRandomGateways(random, func(g *gateway) {
		h.recordMetricViolations(g)
		end := h.beginInterval(&g.kills)
		g.Kill()
		h.sleep(downTime)
		h.restartGateway(g)
		end()
	})
}

// stopGateways lets gateways shut down gracefully and starts them again.
func stopGateways(h *harness, random *rand.Rand) {
	h.onRandomGateways(random, func(g *gateway) {
		h.recordMetricViolations(g)
		end := h.beginInterval(&g.terminations)
		if !g.Stop(stopTimeout()) {
			h.recordCrash("%s did not exit within %v of SIGTERM and was killed", g.Name, stopTimeout())
		}
		h.restartGateway(g)
		end()
	})
}

// pauseGateways suspends gateway processes for a while.
func pauseGateways(h *harness, random *rand.Rand) {
	pause := randomDuration(random, 50*time.Millisecond, 3*time.Second)
	h.onRandomGateways(random, func(g *gateway) {
		end := h.beginInterval(&g.pauses)
		g.Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		g.Signal(syscall.SIGCONT)
		end()
	})
}

// reloadGateways makes gateways reload a configuration that names the other one of their two discovery addresses.
func reloadGateways(h *harness, random *rand.Rand) {
	h.onRandomGateways(random, func(g *gateway) {
		g.discoveryAddr = 1 - g.discoveryAddr
		if err := h.writeConfig(g); err == nil {
			g.Signal(syscall.SIGHUP)
			h.sleep(reloadTime)
		}
	})
}
