package chaos

import (
	"math/rand/v2"
	"time"
)

// takeDiscoveryDown makes discovery fail for a while.
func takeDiscoveryDown(h *harness, random *rand.Rand) {
	h.discovery.beginOutage(outageKind(random.IntN(int(outageKindCount))))
	h.sleep(randomDuration(random, time.Second, 12*time.Second))
	h.discovery.endOutage()
}

// slowDiscovery makes discovery take longer to handle polls for a while.
func slowDiscovery(h *harness, random *rand.Rand) {
	h.discovery.setCallTime(randomDuration(random, 10*time.Millisecond, 150*time.Millisecond))
	h.sleep(randomDuration(random, time.Second, 6*time.Second))
	h.discovery.setCallTime(defaultCallTime)
}

// silenceWatches makes the open watches of some gateways stop sending.
func silenceWatches(h *harness, random *rand.Rand) {
	h.discovery.silenceWatches(randomSubset(random, len(h.gateways)))
}

// resetWatches resets the open watches of some gateways.
func resetWatches(h *harness, random *rand.Rand) {
	h.discovery.resetWatches(randomSubset(random, len(h.gateways)))
}

// randomSubset draws a subset of the gateways with a random size.
func randomSubset(random *rand.Rand, gateways int) (selected []bool) {
	probability := random.Float64()
	selected = make([]bool, gateways)
	for i := range selected {
		selected[i] = random.Float64() < probability
	}
	return selected
}
