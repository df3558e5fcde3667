package chaos

import (
	"testing"
	"time"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/process"
)

// TestDrainingServerGetsNoRequestsAfterDiscoveryOutage drains a server right after an outage of discovery during which the
// polls of the gateways have failed repeatedly. The settings of the gateways name a large fleet. The checker reports a
// gateway that still sends requests to the server after the deadline by which it is treated as notified of the drain, plus
// the drain grace.
func TestDrainingServerGetsNoRequestsAfterDiscoveryOutage(t *testing.T) {
	const (
		gateways        = 8
		outageTime      = 9 * time.Second
		observationTime = maxNotificationDelay + drainGrace + 2*time.Second
	)
	h, err := newHarness(Options{Binary: testbed.BuildGateway(t), Gateways: gateways, FleetSize: 300, Shards: 2, Seed: 1, RequestRate: 20})
	defer h.close()
	if err != nil {
		t.Fatal(err)
	}
	h.discovery.beginOutage(outageUnavailable) // most gateways have not polled for the first time yet
	h.startTraffic()
	h.sleep(outageTime)
	h.discovery.endOutage()
	h.current[0].drain(false)
	h.discovery.publish(h.current[0], process.EndpointDraining)
	h.sleep(observationTime)
	h.stopTraffic()
	result := h.finish()
	for _, text := range result.Violations {
		t.Error(text)
	}
	if result.Served < 100*gateways {
		t.Errorf("%d of %d requests were served, too few to test the invariants", result.Served, result.Requests)
	}
}
