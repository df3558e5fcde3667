package chaos

import (
	"testing"
	"time"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/overload"
)

// playLeaving lets clients leave with everything unread and send some of their requests again. It returns how many those were, and the
// result.
func playLeaving(t *testing.T, freshIDs bool) (h *harness, repeated int, result *Result) {
	t.Helper()
	h, err := newHarness(Options{Binary: testbed.BuildGateway(t), Gateways: 1, Shards: 4, Seed: 1, RequestRate: 5, MemoryMB: 64, MaxSockets: 1024})
	t.Cleanup(h.close)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range h.servers {
		s.setBehavior(serveSlowly, time.Minute)
	}
	g := h.gateways[0]
	for round := range 3 {
		departures := overload.Leave(h.overloadTarget(g), overload.LeaveOptions{Connections: 40, PerConnection: 30, StayFor: 30 * time.Millisecond,
			RepeatOneIn: 4, RepeatRequests: 8, FreshIDs: freshIDs}, uint64(round))
		h.recordDepartures(g, departures)
		for _, departure := range departures {
			if departure.Repeated {
				repeated++
			}
		}
	}
	h.stopTraffic()
	if repeated < 200 {
		t.Errorf("%d requests were repeated, want at least 200", repeated)
	}
	return h, repeated, h.finish()
}

// Guards against requests that run at two servers because their client has left and sends them again under fresh ids and with the same key,
// as the protocol asks of a retry.
func TestKeysOfLeavingClientsRunAtOneServer(t *testing.T) {
	h, repeated, _ := playLeaving(t, true)
	servers := map[string]map[*server]bool{} // that have executed a request, by its key
	for _, s := range h.servers {
		for _, a := range s.recordedArrivals() {
			if a.executed && a.key != "" {
				if servers[a.key] == nil {
					servers[a.key] = map[*server]bool{}
				}
				servers[a.key][s] = true
			}
		}
	}
	twice := 0
	for _, executedBy := range servers {
		if len(executedBy) > 1 {
			twice++
		}
	}
	t.Logf("%d requests were repeated", repeated)
	if twice > 0 {
		t.Errorf("%d keys were executed at two servers or more", twice)
	}
}

// Guards against requests that run at two servers because their client has left with everything unread and sends them again under the same
// ids, and against attempts that begin after the client has left.
func TestRequestsOfLeavingClientsRunOnce(t *testing.T) {
	_, repeated, result := playLeaving(t, false)
	t.Logf("%d requests were repeated: %v", repeated, result)
	for _, text := range result.Violations {
		t.Error(text)
	}
}
