package chaos

import (
	"testing"
	"time"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/process"
)

// TestDrainingServerGetsNoRequestsAfterDiscoveryOutage drains a server right after an outage of discovery, while the
// gateways, whose settings name a large fleet, have seen their polls fail again and again. It checks that none of them
// sends the server anything once the change counts as notified.
func TestDrainingServerGetsNoRequestsAfterDiscoveryOutage(t *testing.T) {
	const (
		gateways        = 8
		outageTime      = 9 * time.Second
		observationTime = notifyWithin + drainGrace + 2*time.Second
	)
	h, err := newHarness(Options{Binary: testbed.BuildGateway(t), Gateways: gateways, FleetSize: 300, Shards: 2, Seed: 1, RequestRate: 20})
	defer h.close()
	if err != nil {
		t.Fatal(err)
	}
	h.discovery.beginOutage(outageUnavailable) // before most of them have polled for the first time
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
		t.Errorf("%d of %d requests were served: too few to show anything", result.Served, result.Requests)
	}
}
