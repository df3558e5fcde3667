package chaos

import (
	"math/rand/v2"
	"time"

	"gaugerelay/internal/testbed/process"
)

// usageInterval is the time between two looks at what the gateways use of their limits. The peak of the memory is kept by the operating
// system, so that only what a killed process used since the last look is missed.
const usageInterval = 50 * time.Millisecond

// Limits of which each gateway draws its own, unless Options set them.
var (
	drawnMemoryMB = []int{64, 96, 192}
	drawnSockets  = []int{256, 1024}
	drawnCores    = []float64{1, 1, 0.5}
)

// drawLimits returns the limits of a gateway.
func (h *harness) drawLimits(index int) process.Limits {
	random := rand.New(rand.NewPCG(h.options.Seed, limitsStream+uint64(index)<<8))
	limits := process.Limits{Cores: 1, MemoryMB: drawnMemoryMB[random.IntN(len(drawnMemoryMB))],
		Sockets: drawnSockets[random.IntN(len(drawnSockets))]}
	limits.Cores = drawnCores[random.IntN(len(drawnCores))]
	if h.options.Cores > 0 {
		limits.Cores = h.options.Cores
	}
	if h.options.MemoryMB > 0 {
		limits.MemoryMB = h.options.MemoryMB
	}
	if h.options.MaxSockets > 0 {
		limits.Sockets = h.options.MaxSockets
	}
	return limits
}

// watchUsage records the peak usage of each gateway until the run ends.
func (h *harness) watchUsage() {
	for h.sleep(usageInterval) {
		for _, g := range h.gateways {
			h.recordUsage(g)
		}
	}
}

// recordUsage records what a gateway uses now. It ignores a gateway that does not run.
func (h *harness) recordUsage(g *gateway) {
	usage, ok := g.Usage()
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	g.peakUsage.PeakMemoryBytes = max(g.peakUsage.PeakMemoryBytes, usage.PeakMemoryBytes)
	g.peakUsage.Descriptors = max(g.peakUsage.Descriptors, usage.Descriptors)
}

// checkUsage checks that no gateway has used more than its limits.
func (h *harness) checkUsage(result *Result) {
	for _, g := range h.gateways {
		h.recordUsage(g)
		if limit := int64(g.limits.MemoryMB) << 20; g.peakUsage.PeakMemoryBytes > limit {
			result.addViolation(&result.MemoryExceeded, "%s used %.1f MB of memory at its peak, of %d MB", g.Name,
				float64(g.peakUsage.PeakMemoryBytes)/(1<<20), g.limits.MemoryMB)
		}
		if g.peakUsage.Descriptors > g.limits.Sockets {
			result.addViolation(&result.DescriptorsExceeded, "%s had %d descriptors open, of %d", g.Name, g.peakUsage.Descriptors,
				g.limits.Sockets)
		}
	}
}
