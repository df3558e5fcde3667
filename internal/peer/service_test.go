package peer

import (
	"io"
	"log/slog"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
)

const (
	testGateways = 3
	testVolume   = 7
)

// testGateway is a Service with the state that the test observes.
type testGateway struct {
	service  *Service
	loop     *manualLoop
	counters *metrics.Registry
	share    float64 // latest share of testVolume; negative before the first share event
}

func startGateway(t *testing.T, network *memoryNetwork, number int, key string) *testGateway {
	t.Helper()
	options := Options{
		Self:               uint16(number),
		Key:                []byte(key),
		Incarnation:        uint32(number + 1),
		Seed:               1,
		ProbePeriodMs:      100,
		ProbeTimeoutMs:     30,
		LeaseMs:            1000,
		ClockDrift:         0.01,
		MaxGrantedFraction: 0.5,
		MaxVolumes:         10,
	}
	for i := range testGateways {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))
		options.Peers = append(options.Peers, addr)
	}
	g := &testGateway{loop: &manualLoop{}, counters: metrics.New(), share: -1}
	service, err := New(options, g.counters, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	g.service = service
	service.Start(network.listen(options.Peers[number].String()), g.loop)
	t.Cleanup(service.Close)
	return g
}

// step reports a demand for testVolume and runs one step of the service.
func (g *testGateway) step(nowMs, demand float64) {
	g.service.ReportDemand(nowMs, scheduler.QuotaDemand{
		Volume:   testVolume,
		Gateways: testGateways,
		Share:    demand,
		First:    nowMs == 0,
	})
	g.loop.run(nowMs)
	for _, event := range g.service.BeginStep(nowMs) {
		if share, ok := event.(scheduler.QuotaShare); ok && share.Volume == testVolume {
			g.share = share.Share
		}
	}
}

// TestQuotaLeaseByDatagrams checks that a busy gateway obtains a lease of quota that another gateway does not use, and that
// datagrams that were authenticated with another key are ignored. Each of the three gateways owns 1/3 of the volume's quota.
// It lends at most half of its share (MaxGrantedFraction), and after its start it may use only the other half until the
// startup hold has ended.
func TestQuotaLeaseByDatagrams(t *testing.T) {
	const (
		ownShare    = 1.0 / testGateways
		leasedShare = ownShare + 0.16
	)
	var network memoryNetwork
	busy, idle := startGateway(t, &network, 0, "k"), startGateway(t, &network, 1, "k")
	otherKey := startGateway(t, &network, 2, "another")
	for nowMs := 0.0; busy.share < leasedShare && nowMs < 1e6; nowMs += 10 {
		busy.step(nowMs, 0.9)
		idle.step(nowMs, 0.01)
		otherKey.step(nowMs, 0.01)
		runtime.Gosched() // lets the sockets' goroutines deliver datagrams
	}
	if busy.share < leasedShare {
		t.Fatalf("busy gateway has a share of %.3f, want at least 0.493: its own share of 1/3 and a lease of 0.16", busy.share)
	}
	if idle.share > ownShare/2+0.01 || otherKey.share >= 0 && otherKey.share < ownShare/2-0.01 {
		t.Errorf("idle gateway has a share of %.3f, want at most 1/6; the one with another key has a share of %.3f, want at least 1/6",
			idle.share, otherKey.share)
	}
	expiryMs := busy.service.QuotaExpiresMs(testVolume)
	if expiryMs == 0 || idle.service.QuotaExpiresMs(testVolume) != 0 || busy.service.QuotaExpiresMs(testVolume+1) != 0 {
		t.Errorf("leases of the busy and the idle gateway expire at %v and %v ms, want a lease only for volume 7 at the busy one",
			expiryMs, idle.service.QuotaExpiresMs(testVolume))
	}
	invalid, received := busy.counters.Get(counterDatagramsInvalid), busy.counters.Get(counterDatagramsReceived)
	if invalid == 0 || received == 0 {
		t.Errorf("busy gateway counted %d invalid and %d received datagrams, want some of each", invalid, received)
	}
	// 1020 ms is the lease of 1000 ms, lengthened for a clock drift of 0.01: see quota.Settings.GrantHoldMs.
	requireStatus(t, busy.service,
		"bound part_back_ms 1020", "bound start_hold_ms 1020", "member 2", "volume 0000000000000007 held")
}

// requireStatus reports a test error for each text that is missing in the status of the service.
func requireStatus(t *testing.T, service *Service, texts ...string) {
	t.Helper()
	var status strings.Builder
	service.WriteStatus(&status, 0)
	for _, text := range texts {
		if !strings.Contains(status.String(), text) {
			t.Errorf("status does not contain %q:\n%s", text, status.String())
		}
	}
}
