package chaos

import (
	"testing"
	"time"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/overload"
)

// Guards against requests that run at two servers because their client has left with everything unread and sends them again under the same
// ids, and against attempts that begin after the client has left.
func TestRequestsOfLeavingClientsRunOnce(t *testing.T) {
	h, err := newHarness(Options{Binary: testbed.BuildGateway(t), Gateways: 1, Shards: 4, Seed: 1, RequestRate: 5, MemoryMB: 64, MaxSockets: 1024})
	defer h.close()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range h.servers {
		s.setBehavior(serveSlowly, time.Minute)
	}
	g := h.gateways[0]
	repeated := 0
	for round := range 3 {
		departures := overload.Leave(h.overloadTarget(g), overload.LeaveOptions{Connections: 40, PerConnection: 30, StayFor: 30 * time.Millisecond,
			RepeatOneIn: 4, RepeatRequests: 8}, uint64(round))
		h.recordDepartures(g, departures)
		for _, departure := range departures {
			if departure.Repeated {
				repeated++
			}
		}
	}
	h.stopTraffic()
	result := h.finish()
	t.Logf("%d requests were repeated: %v", repeated, result)
	for _, text := range result.Violations {
		t.Error(text)
	}
	if repeated < 200 {
		t.Errorf("%d requests were repeated, want at least 200", repeated)
	}
}
