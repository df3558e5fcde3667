package chaos

import (
	"math/rand/v2"
	"time"
)

// takeDiscoveryDown makes discovery fail for a while.
func takeDiscoveryDown(h *harness, rnd *rand.Rand) {
	h.discovery.beginOutage(outageKind(rnd.IntN(int(outageKindCount))))
	h.sleep(randomDuration(rnd, time.Second, 12*time.Second))
	h.discovery.endOutage()
}

// slowDiscovery makes the calls of discovery take longer for a while.
func slowDiscovery(h *harness, rnd *rand.Rand) {
	h.discovery.setCallTime(randomDuration(rnd, 10*time.Millisecond, 150*time.Millisecond))
	h.sleep(randomDuration(rnd, time.Second, 6*time.Second))
	h.discovery.setCallTime(defaultCallTime)
}

// silenceWatches makes the open watches of some gateways send nothing more.
func silenceWatches(h *harness, rnd *rand.Rand) {
	h.discovery.silenceWatches(randomSubset(rnd, len(h.gateways)))
}

// resetWatches resets the open watches of some gateways.
func resetWatches(h *harness, rnd *rand.Rand) {
	h.discovery.resetWatches(randomSubset(rnd, len(h.gateways)))
}

// randomSubset draws a subset of the gateways, of a random size.
func randomSubset(rnd *rand.Rand, gateways int) (selected []bool) {
	probability := rnd.Float64()
	selected = make([]bool, gateways)
	for i := range selected {
		selected[i] = rnd.Float64() < probability
	}
	return selected
}
