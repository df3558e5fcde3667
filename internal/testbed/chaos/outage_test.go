package chaos

import (
	"testing"
	"time"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/process"
)

// TestDrainingServerGetsNoRequestsAfterDiscoveryOutage drains a server right after an outage of discovery. It guards against
// gateways that poll too late after the outage and so do not know that the server drains. The time between two polls of a
// gateway grows with the size of its fleet and with each failed poll. The settings therefore claim 300 gateways, although only 8
// run, and the polls fail during the outage. A gateway is treated as having been notified of the drain at the latest
// maxNotificationDelay after the drain was published, and may send to the server for another drainGrace. The checker reports each
// later attempt at the server.
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
		t.Errorf("%d of %d requests were served, want at least 100 for each gateway", result.Served, result.Requests)
	}
}
