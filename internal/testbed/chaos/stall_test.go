//go:build overload

package chaos

import (
	"testing"
	"time"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/overload"
)

// stallPlay is a stall of devices' links at one gateway, beside clients of the platform.
type stallPlay struct {
	options  overload.StallOptions
	memoryMB int
}

// stallOutcome is what a play shows.
type stallOutcome struct {
	result     *Result
	reads      overload.StallResult
	bystanders overload.BystanderResult
	peakMB     float64
}

// run plays the stall on a gateway process.
func (p stallPlay) run(t *testing.T, binary string) stallOutcome {
	t.Helper()
	h, err := newHarness(Options{Binary: binary, Gateways: 1, Shards: 24, Seed: 1, MemoryMB: p.memoryMB, MaxSockets: 1024, Cores: 1,
		EdgeFrontends: true})
	defer h.close()
	if err != nil {
		t.Fatal(err)
	}
	g, stop, outcome := h.gateways[0], make(chan struct{}), stallOutcome{}
	h.goroutines.Go(h.watchUsage)
	h.goroutines.Go(func() {
		outcome.bystanders = overload.Bystanders(h.bystanderTarget(g), overload.BystanderOptions{Interval: 20 * time.Millisecond, KeptConns: 6,
			KeptPause: 20 * time.Millisecond, RetryWithin: 1500 * time.Millisecond, DeadlinesMs: bystanderDeadlinesMs}, 1, stop)
	})
	target := h.stallTarget(g, p.options.Protocol)
	target.ReadClass, target.DeadlineMs = "scan", stallDeadlineMs
	outcome.reads = overload.StalledReaders(target, p.options, 1, stop)
	close(stop)
	h.stopTraffic()
	outcome.result = h.finish()
	outcome.peakMB = float64(g.peakUsage.PeakMemoryBytes) / (1 << 20)
	t.Logf("%v: %+v; bystanders: %d of %d served, %d late, %d lost; peak %.1f MB of %d", p.options, outcome.reads, outcome.bystanders.Served,
		outcome.bystanders.Requests, outcome.bystanders.Unanswered, outcome.bystanders.Lost, outcome.peakMB, p.memoryMB)
	return outcome
}

const (
	// stallDeadlineMs is the remaining time of devices' reads, and stallTime how long their links stall.
	stallDeadlineMs = 5000
	stallTime       = 3 * time.Second
)

// Guards against processes that are killed for memory because the links of many devices stall while they are read by, against devices that
// get less than without the stall, and against devices whose links go on that have to wait for those that stall (review/10).
func TestStalledDevicesLeaveMemoryAndOthers(t *testing.T) {
	binary := testbed.BuildGateway(t)
	for _, play := range []stallPlay{
		{overload.StallOptions{Protocol: overload.CoAPDevices, Devices: 200, Reads: 8, Moving: 8}, 64},
		{overload.StallOptions{Protocol: overload.CoAPDevices, Devices: 240, Reads: 4, Moving: 8}, 48},
		{overload.StallOptions{Protocol: overload.HTTPDevices, Devices: 230, Reads: 1, Moving: 8}, 40},
	} {
		t.Run(play.options.String(), func(t *testing.T) {
			calm := play.run(t, binary)
			play.options.Stall = stallTime
			stalled := play.run(t, binary)
			for _, outcome := range []stallOutcome{calm, stalled} {
				if outcome.result.ViolationCount() > 0 || outcome.bystanders.Lost > 0 {
					t.Errorf("%v %v", outcome.result.Violations, outcome.bystanders.Losses)
				}
			}
			if served, want := stalled.reads.Stalled.Served, minServedOfCalm*float64(calm.reads.Stalled.Served); float64(served) < want {
				t.Errorf("%d reads of devices whose links stalled were served, want %.0f", served, want)
			}
			moving := stalled.reads.Moving
			if served, want := float64(moving.Served), minServedOfCalm*float64(moving.Total()); served < want || moving.Total() == 0 {
				t.Errorf("of the devices whose links go on, %.0f of %d reads were served, want %.0f", served, moving.Total(), want)
			}
			if answered := stalled.bystanders.AnsweredFraction(); answered < minAnsweredFraction {
				t.Errorf("%.1f %% of the requests of the platform's clients were answered, want %.0f %%", 100*answered, 100*minAnsweredFraction)
			}
		})
	}
}
