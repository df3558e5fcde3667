//go:build overload

package chaos

import (
	"sync"
	"testing"
	"time"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/overload"
)

// floodPlay is a flood of one kind at one gateway, beside clients that overload nothing.
type floodPlay struct {
	kind          overload.FloodKind
	conns         int
	readResponses bool
	duration      time.Duration
}

// Guards against memory that grows without end, and against clients that get no response in time, while others send requests at full
// speed, also under ever new names. The gateway has the least memory that deployments give.
func TestFloodsLeaveMemoryAndTime(t *testing.T) {
	const memoryMB, sockets = 32, 1024
	binary := testbed.BuildGateway(t)
	for _, play := range []floodPlay{
		{overload.ValidRequests, 1, false, 3 * time.Second},
		{overload.UnsoundRequests, 1, true, 3 * time.Second},
		{overload.UnknownNames, 4, true, 3 * time.Second},
		{overload.NewNames, 100, true, 12 * time.Second},
	} {
		h, err := newHarness(Options{Binary: binary, Gateways: 1, Shards: 8, Seed: 1, MemoryMB: memoryMB, MaxSockets: sockets})
		if err != nil {
			h.close()
			t.Fatal(err)
		}
		g, stop := h.gateways[0], make(chan struct{})
		var running sync.WaitGroup
		var bystanders overload.BystanderResult
		h.goroutines.Go(h.watchUsage)
		running.Go(func() {
			bystanders = overload.Bystanders(h.bystanderTarget(g), overload.BystanderOptions{Interval: 20 * time.Millisecond, KeptConns: 4,
				KeptPause: 100 * time.Millisecond, RetryWithin: 1500 * time.Millisecond}, 1, stop)
		})
		var mu sync.Mutex
		flooded := 0
		for conn := range play.conns {
			running.Go(func() {
				sent := overload.Flood(h.overloadTarget(g), play.kind, play.readResponses, uint64(conn), stop)
				mu.Lock()
				defer mu.Unlock()
				flooded += sent
			})
		}
		time.Sleep(play.duration)
		close(stop)
		running.Wait()
		h.stopTraffic()
		result := h.finish()
		h.close()
		t.Logf("%v on %d connections: %d requests written; bystanders: %d of %d served, %d unanswered, %d lost; peak %.1f MB of %d", play.kind,
			play.conns, flooded, bystanders.Served, bystanders.Requests, bystanders.Unanswered, bystanders.Lost,
			float64(g.peakUsage.PeakMemoryBytes)/(1<<20), memoryMB)
		if result.ViolationCount() > 0 || bystanders.Lost > 0 {
			t.Errorf("%v: %v %v", play.kind, result.Violations, bystanders.Losses)
		}
		if answered := bystanders.AnsweredFraction(); answered < minAnsweredFraction {
			t.Errorf("%v: %.1f %% of the requests were answered, want %.0f %%", play.kind, 100*answered, 100*minAnsweredFraction)
		}
	}
}
