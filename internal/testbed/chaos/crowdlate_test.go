//go:build overload

package chaos

import (
	"sync"
	"testing"
	"time"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/overload"
)

// Guards against requests with little time left that are answered later than the platform allows while two crowds connect at once to a
// gateway with half a core: they wait behind the crowds to be accepted.
func TestCrowdsAtHalfACoreDelayNoAnswer(t *testing.T) {
	const crowds, crowdClients = 2, 750
	h, err := newHarness(Options{Binary: testbed.BuildGateway(t), Gateways: 1, Shards: 4, Seed: 1, MemoryMB: 192, MaxSockets: 1024, Cores: 0.5})
	defer h.close()
	if err != nil {
		t.Fatal(err)
	}
	g, stop := h.gateways[0], make(chan struct{})
	h.throttleGateways()
	var running sync.WaitGroup
	var bystanders overload.BystanderResult
	running.Go(func() {
		bystanders = overload.Bystanders(h.bystanderTarget(g), overload.BystanderOptions{Interval: 20 * time.Millisecond, KeptConns: 3,
			KeptPause: 100 * time.Millisecond, RetryWithin: 10 * time.Millisecond, AnswerGrace: responseSlack, DeadlinesMs: []int{20, 26, 40, 300}}, 1, stop)
	})
	time.Sleep(warmUpTime)
	for crowd := range crowds {
		running.Go(func() { overload.Crowd(h.overloadTarget(g), overload.EndlessHead, crowdClients, uint64(crowd), stop) })
	}
	time.Sleep(2 * crowdTime)
	close(stop)
	running.Wait()
	h.stopTraffic()
	missing := 0
	for _, response := range bystanders.Missing {
		if !response.WrittenAt.IsZero() {
			missing++
		}
	}
	t.Logf("%d requests, %d served, %d refused, %d answered after their time, %d of those written not within %v of it", bystanders.Requests,
		bystanders.Served, bystanders.Refused, bystanders.Late, missing, responseSlack)
	if missing > 0 {
		t.Errorf("%d of %d requests got no response within %v of their time", missing, bystanders.Requests, responseSlack)
	}
}
