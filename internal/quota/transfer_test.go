package quota

import (
	"math"
	"testing"
)

// TestQuotaFollowsDemand checks that quota moves to the gateway with demand, returns to the lenders after a borrower has
// crashed, and returns to all gateways when the traffic ends. Each of the three gateways owns 1/3 of the pool and lends up to
// 3/4 of its share (MaxGrantedFraction), so a busy gateway can have up to 0.83 of the pool.
func TestQuotaFollowsDemand(t *testing.T) {
	net := newNetwork(t, 3)
	net.gateways[0].demand, net.gateways[1].demand, net.gateways[2].demand = 0.9, 0.02, 0.02
	net.runReliably(500)
	if got := net.available(0); got < 0.8 {
		t.Errorf("busy gateway may use %.3f of the pool, want at least 0.8", got)
	}

	net.gateways[0].demand, net.gateways[1].demand = 0.02, 0.9
	net.runReliably(500)
	if got := net.available(1); got < 0.8 {
		t.Errorf("newly busy gateway may use %.3f of the pool, want at least 0.8; the previously busy one may use %.3f",
			got, net.available(0))
	}

	net.gateways[1].dead = true
	net.gateways[0].demand = 0.9
	before := net.available(0)
	net.runReliably(testSettings(0, 0).GrantHoldMs() + 300)
	// The quota that the dead gateway had borrowed has returned to its lenders. The dead gateway's own share stays unused,
	// since a dead gateway cannot lend it. Gateway 0 therefore has its own 1/3 and up to 3/4 of the 1/3 of gateway 2: 0.58 in all.
	if got := net.available(0); got < 0.57 || got < before {
		t.Errorf("after a borrower's crash, a lender may use %.3f of the pool, want at least 0.57 and at least %.3f as before",
			got, before)
	}

	for i := range 3 {
		net.gateways[i].demand = noTraffic
	}
	net.runReliably(3000)
	if got := net.available(0); math.Abs(got-1.0/3) > roundingError {
		t.Errorf("without traffic, a gateway may use %.3f of the pool, want its own share of 1/3", got)
	}
}

// TestLenderReclaimsShare checks that a lender whose own traffic resumes can use its whole share again after GrantHoldMs. Each
// of the two gateways owns 0.5 of the pool and lends at most 3/4 of that (MaxGrantedFraction), so an idle one keeps 0.125.
func TestLenderReclaimsShare(t *testing.T) {
	net := newNetwork(t, 2)
	net.gateways[0].demand, net.gateways[1].demand = 1, 0
	net.runReliably(700)
	if got := net.available(1); got > 0.2 {
		t.Fatalf("idle gateway may use %.3f of the pool, want at most 0.2", got)
	}
	net.gateways[1].demand = 1
	net.runReliably(testSettings(0, 0).GrantHoldMs() + 150)
	if got := net.available(1); got < 0.5-roundingError {
		t.Errorf("lender may use %.3f of the pool after its traffic has resumed, want its own share of 0.5", got)
	}
}
