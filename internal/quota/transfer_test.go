package quota

import (
	"math"
	"testing"
)

// TestQuotaFollowsDemand moves the demand between gateways, and then lets a borrower crash.
func TestQuotaFollowsDemand(t *testing.T) {
	net := newNetwork(t, 3)
	net.gateways[0].demand, net.gateways[1].demand, net.gateways[2].demand = 0.9, 0.02, 0.02
	net.runReliably(500)
	if got := net.available(0); got < 0.8 {
		t.Errorf("the busy gateway has %.3f, want 0.8 or more", got)
	}

	net.gateways[0].demand, net.gateways[1].demand = 0.02, 0.9
	net.runReliably(500)
	if got := net.available(1); got < 0.8 {
		t.Errorf("the newly busy gateway has %.3f, want 0.8 or more; the previous one has %.3f", got, net.available(0))
	}

	net.gateways[1].dead = true
	net.gateways[0].demand = 0.9
	before := net.available(0)
	net.runReliably(testSettings(0, 0).GrantHoldMs() + 300)
	// What the dead gateway had borrowed is back. Its own share stays unused, as does what would arrive through it.
	if got := net.available(0); got < 0.57 || got < before {
		t.Errorf("after a borrower's crash a lender has %.3f, want 0.57 or more; it had %.3f", got, before)
	}

	for i := range 3 {
		net.gateways[i].demand = noTraffic
	}
	net.runReliably(3000)
	if got := net.available(0); math.Abs(got-1.0/3) > roundingError {
		t.Errorf("without traffic a gateway has %.3f, want its own share", got)
	}
}

// TestLenderReclaimsShare checks that a lender whose own traffic resumes has its share again within GrantHoldMs.
func TestLenderReclaimsShare(t *testing.T) {
	net := newNetwork(t, 2)
	net.gateways[0].demand, net.gateways[1].demand = 1, 0
	net.runReliably(700)
	if got := net.available(1); got > 0.2 {
		t.Fatalf("the idle gateway still has %.3f, want 0.2 or less", got)
	}
	net.gateways[1].demand = 1
	net.runReliably(testSettings(0, 0).GrantHoldMs() + 150)
	if got := net.available(1); got < 0.5-roundingError {
		t.Errorf("the lender has %.3f, want its half", got)
	}
}
