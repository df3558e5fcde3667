package quota

import (
	"errors"
	"math"
	"testing"
)

// TestStateIsBounded checks that a flood of valid and invalid demands and messages does not grow the state beyond MaxPools
// and MaxPeers.
func TestStateIsBounded(t *testing.T) {
	const nowMs = 5000.0
	settings := testSettings(0, 1)
	a, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	a.Step(0, nil, nil)
	for i := range 200 {
		pool, peer := uint64(i%4), uint16(1+i)
		a.Step(nowMs, []Demand{{Pool: uint64(i), Gateways: 2}}, []Message{
			{Kind: LeaseRequest, Pool: pool, Peer: peer, SenderIncarnation: uint32(i), Seq: 1, Fraction: 0.01},
			{Kind: LeaseGrant, Pool: pool, Peer: peer, RecipientIncarnation: 1, Seq: uint32(i), Fraction: 1},
			{Kind: LeaseRequest, Pool: pool, Peer: 1, Seq: 9, Fraction: math.NaN()},
			{Kind: 77, Pool: 1, Peer: 3},
		})
	}
	if len(a.pools) > settings.MaxPools || len(a.order) > settings.MaxPools {
		t.Errorf("allocator has %d pools and %d pool IDs in order, want at most %d of each",
			len(a.pools), len(a.order), settings.MaxPools)
	}
	for id, p := range a.pools {
		if len(p.lent) > settings.MaxPeers || len(p.borrowed) > 2*settings.MaxPeers ||
			len(p.knownLenders) > settings.MaxPeers || len(p.pending) > settings.MaxPeers {
			t.Errorf("pool %d has %d lent leases, %d borrowed leases, %d known lenders, %d pending requests, want at most MaxPeers (borrowed: 2*MaxPeers)",
				id, len(p.lent), len(p.borrowed), len(p.knownLenders), len(p.pending))
		}
		if len(p.borrowed) > 0 {
			t.Errorf("pool %d has borrowed leases, want none: grants without a request must be ignored", id)
		}
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Settings)
	}{
		{"lease duration is zero", func(s *Settings) { s.LeaseMs = 0 }},
		{"clock drift is NaN", func(s *Settings) { s.ClockDrift = math.NaN() }},
		{"whole share may be granted", func(s *Settings) { s.MaxGrantedFraction = 1 }},
		{"lease ends before it can be renewed", func(s *Settings) { s.RequestIntervalMs = 900 }},
		{"no pools", func(s *Settings) { s.MaxPools = 0 }},
		{"no idle timeout", func(s *Settings) { s.IdleTimeoutMs = 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings(0, 1)
			test.change(&settings)
			if _, err := New(settings); !errors.Is(err, ErrInvalidSettings) {
				t.Errorf("New(%+v) returned error %v, want ErrInvalidSettings", settings, err)
			}
		})
	}
}
