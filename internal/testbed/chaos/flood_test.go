//go:build overload

package chaos

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/overload"
)

// allFloods makes TestFloodsLeaveOthersTheirAnswers play all floods, which takes long, in place of a few.
var allFloods = flag.Bool("all-floods", false, "play all kinds of floods on all numbers of cores and connections")

const (
	// maxLateFraction is the part of the bystanders' requests that may get no response in their time.
	maxLateFraction = 0.002
	// minServedOfCalm is the part that must be served of what is served without a flood.
	minServedOfCalm = 0.97
	// maxAddedLatency is what the 99th percentile of the latency may be higher than without a flood.
	maxAddedLatency = 150 * time.Millisecond
	// floodTime is how long a flood goes on, and longFloodTime how long one of the long ones does.
	floodTime     = 5 * time.Second
	longFloodTime = 30 * time.Second
	// probers is the number of clients that check the gateway's health, probeInterval the time between two checks of each, and maxProbeTime
	// the time within which they must be answered.
	probers       = 10
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 3 * time.Second
	maxProbeTime  = 50 * time.Millisecond
)

// bystanderDeadlinesMs are the remaining times of the bystanders' requests beside floods.
var bystanderDeadlinesMs = []int{300, 500, 650, 1400}

// floodPlay is a flood at one gateway, beside clients that overload nothing.
type floodPlay struct {
	flood    overload.FloodOptions
	cores    float64
	memoryMB int
	duration time.Duration
}

// String describes the play.
func (p floodPlay) String() string {
	return fmt.Sprintf("%v, %v cores, %v", p.flood, p.cores, p.duration)
}

// floodOutcome is what a play shows.
type floodOutcome struct {
	play       floodPlay
	result     *Result
	requests   int
	bystanders overload.BystanderResult
	probes     []time.Duration // times until the responses to health checks
	peakMB     float64
	log        []string
}

// run plays the flood on a gateway process.
func (p floodPlay) run(t *testing.T, binary string, deadlinesMs []int) floodOutcome {
	t.Helper()
	h, err := newHarness(Options{Binary: binary, Gateways: 1, Shards: 8, Seed: 1, MemoryMB: p.memoryMB, MaxSockets: 1024, Cores: p.cores,
		EdgeFrontends: p.flood.Kind >= overload.HTTPFloodKindCount})
	defer h.close()
	if err != nil {
		t.Fatal(err)
	}
	g, stop := h.gateways[0], make(chan struct{})
	h.throttleGateways()
	h.goroutines.Go(h.watchUsage)
	outcome := floodOutcome{play: p}
	var running sync.WaitGroup
	running.Go(func() {
		outcome.bystanders = overload.Bystanders(h.bystanderTarget(g), overload.BystanderOptions{Interval: 20 * time.Millisecond, KeptConns: 6,
			KeptPause: 20 * time.Millisecond, RetryWithin: 1500 * time.Millisecond, DeadlinesMs: deadlinesMs}, 1, stop)
	})
	time.Sleep(warmUpTime)
	if p.flood.Connections > 0 {
		running.Go(func() { outcome.requests = floodFromProcess(t, h.floodTarget(g, p.flood.Kind), p.flood, stop) })
	}
	running.Go(func() { outcome.probes = probeReady(t, g.ListenAddr, stop) })
	time.Sleep(p.duration)
	close(stop)
	running.Wait()
	h.stopTraffic()
	outcome.result = h.finish()
	outcome.peakMB = float64(g.peakUsage.PeakMemoryBytes) / (1 << 20)
	outcome.log = h.log.Lines()
	bystanders := &outcome.bystanders
	t.Logf("%v: %d requests written; bystanders: %d of %d served, %d refused, %d late, %d lost, p99 %v; peak %.1f MB of %d", p,
		outcome.requests, bystanders.Served, bystanders.Requests, bystanders.Refused, bystanders.Unanswered, bystanders.Lost,
		bystanders.LatencyQuantile(0.99).Round(time.Millisecond), outcome.peakMB, p.memoryMB)
	return outcome
}

// probeReady sends GET /ready like ten health checks, ten times a second each, half of them on connections of their own for each request. It
// returns the times until the responses.
func probeReady(t *testing.T, addr string, stop <-chan struct{}) (latencies []time.Duration) {
	t.Helper()
	var mu sync.Mutex
	var running sync.WaitGroup
	for prober := range probers {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/ready", nil)
		if err != nil {
			t.Error(err)
			break
		}
		client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: prober%2 == 0}}
		running.Go(func() {
			defer client.CloseIdleConnections()
			time.Sleep(time.Duration(prober) * probeInterval / probers)
			for ticker := time.NewTicker(probeInterval); ; {
				startedAt := time.Now()
				response, err := client.Do(request)
				if err != nil {
					t.Errorf("a health check failed after %v: %v", time.Since(startedAt), err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body) // an error means that the connection is not used again
				response.Body.Close()
				mu.Lock()
				latencies = append(latencies, time.Since(startedAt))
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
			}
		})
	}
	running.Wait()
	return latencies
}

// checkProbes checks that health checks were answered soon.
func (o *floodOutcome) checkProbes(t *testing.T) {
	t.Helper()
	slices.Sort(o.probes)
	median, longest := o.probes[len(o.probes)/2], o.probes[len(o.probes)-1]
	t.Logf("%d health checks, median %v, longest %v", len(o.probes), median.Round(time.Millisecond), longest.Round(time.Millisecond))
	if longest > maxProbeTime {
		t.Errorf("%v: a health check took %v, want at most %v", o.play, longest, maxProbeTime)
	}
}

// checkUnbroken checks that the play broke no rule.
func (o *floodOutcome) checkUnbroken(t *testing.T) {
	t.Helper()
	if o.result.ViolationCount() > 0 || o.bystanders.Lost > 0 {
		t.Errorf("%v: %v %v", o.play, o.result.Violations, o.bystanders.Losses)
	}
}

// checkBystanders compares the bystanders of the play with those of one without a flood.
func (o *floodOutcome) checkBystanders(t *testing.T, calm *overload.BystanderResult) {
	t.Helper()
	bystanders := &o.bystanders
	if late := 1 - bystanders.AnsweredFraction(); late > maxLateFraction {
		t.Errorf("%v: %.1f %% of the requests got no response in their time, want at most %.1f %%", o.play, 100*late, 100*maxLateFraction)
	}
	if served, want := bystanders.ServedFraction(), minServedOfCalm*calm.ServedFraction(); served < want {
		t.Errorf("%v: %.1f %% of the requests were served, want %.1f %%", o.play, 100*served, 100*want)
	}
	if added := bystanders.LatencyQuantile(0.99) - calm.LatencyQuantile(0.99); added > maxAddedLatency {
		t.Errorf("%v: the 99th percentile of the latency is %v higher than without a flood, want at most %v", o.play, added, maxAddedLatency)
	}
	if t.Failed() {
		for _, line := range o.log {
			if strings.Contains(line, "processor_") {
				t.Log(line)
			}
		}
	}
}

// Guards against memory that grows without end, and against clients that get no response in time, while others send requests at full
// speed, also under ever new names. The gateway has the least memory that deployments give.
func TestFloodsLeaveMemoryAndTime(t *testing.T) {
	const memoryMB = 32
	binary := testbed.BuildGateway(t)
	for _, play := range []floodPlay{
		{overload.FloodOptions{Kind: overload.ValidRequests, Connections: 1}, 1, memoryMB, 3 * time.Second},
		{overload.FloodOptions{Kind: overload.UnsoundRequests, Connections: 1, ReadResponses: true}, 1, memoryMB, 3 * time.Second},
		{overload.FloodOptions{Kind: overload.UnknownNames, Connections: 4, ReadResponses: true}, 1, memoryMB, 3 * time.Second},
		{overload.FloodOptions{Kind: overload.NewNames, Connections: 100, ReadResponses: true}, 1, memoryMB, 12 * time.Second},
	} {
		outcome := play.run(t, binary, nil)
		outcome.checkUnbroken(t)
		if answered := outcome.bystanders.AnsweredFraction(); answered < minAnsweredFraction {
			t.Errorf("%v: %.1f %% of the requests were answered, want %.0f %%", play, 100*answered, 100*minAnsweredFraction)
		}
	}
}

// Guards against requests that are executed although they are hidden in the body of another one, whose end readers may find in different
// places (review/7).
func TestFloodsOfHiddenRequestsReachNoServer(t *testing.T) {
	binary := testbed.BuildGateway(t)
	for _, flood := range []overload.FloodOptions{
		{Kind: overload.HiddenRequests, Connections: 4, ReadResponses: true},
		{Kind: overload.HiddenRequests, Connections: 4, ReadResponses: true, Reconnect: true},
	} {
		play := floodPlay{flood, 1, 64, 2 * time.Second}
		outcome := play.run(t, binary, nil)
		outcome.checkUnbroken(t)
		if outcome.requests == 0 {
			t.Errorf("%v: nothing was sent", play)
		}
	}
}

// floodPlays are the floods of TestFloodsLeaveOthersTheirAnswers.
func floodPlays() []floodPlay {
	const memoryMB = 192
	var plays []floodPlay
	add := func(cores float64, duration time.Duration, flood overload.FloodOptions) {
		flood.ReadResponses = true
		plays = append(plays, floodPlay{flood, cores, memoryMB, duration})
	}
	if !*allFloods {
		add(1, floodTime, overload.FloodOptions{Kind: overload.ReadyRequests, Connections: 1})
		add(1, floodTime, overload.FloodOptions{Kind: overload.MetricsRequests, Connections: 6})
		add(0.5, floodTime, overload.FloodOptions{Kind: overload.ReadyWithBody, Connections: 100})
		add(1, floodTime, overload.FloodOptions{Kind: overload.HeadRequests, Connections: 30, PerWrite: 1})
		add(1, floodTime, overload.FloodOptions{Kind: overload.ReadyRequests, Connections: 100, Reconnect: true})
		add(1, floodTime, overload.FloodOptions{Kind: overload.FailingFileCommands, Connections: 6})
		add(1, floodTime, overload.FloodOptions{Kind: overload.DevicePings, Connections: 6})
		return plays
	}
	for kind := range overload.FloodKindCount {
		for _, cores := range []float64{1, 0.5, 2} {
			for _, connections := range []int{1, 100} {
				add(cores, floodTime, overload.FloodOptions{Kind: kind, Connections: connections})
			}
		}
		add(1, floodTime, overload.FloodOptions{Kind: kind, Connections: 6, PerWrite: 1})
		add(1, floodTime, overload.FloodOptions{Kind: kind, Connections: 100, Reconnect: true})
		add(1, longFloodTime, overload.FloodOptions{Kind: kind, Connections: 6})
	}
	return plays
}

// Guards against requests of other clients that are answered late, never or with 503 while some clients keep the gateway's processor busy
// with requests that it answers itself (report e7234b).
func TestFloodsLeaveOthersTheirAnswers(t *testing.T) {
	binary := testbed.BuildGateway(t)
	calm := map[float64]*overload.BystanderResult{} // by cores
	for _, play := range floodPlays() {
		if calm[play.cores] == nil {
			outcome := floodPlay{cores: play.cores, memoryMB: play.memoryMB, duration: floodTime}.run(t, binary, bystanderDeadlinesMs)
			calm[play.cores] = &outcome.bystanders
		}
		t.Run(play.String(), func(t *testing.T) {
			outcome := play.run(t, binary, bystanderDeadlinesMs)
			outcome.checkUnbroken(t)
			outcome.checkBystanders(t, calm[play.cores])
			if play.cores >= 1 { // the others: TestHealthChecksAreAnsweredSoonAtHalfACore
				outcome.checkProbes(t)
			}
		})
	}
}

// Guards against health checks that are answered late beside floods at a gateway that has only half a core, so that it is taken for dead.
func TestHealthChecksAreAnsweredSoonAtHalfACore(t *testing.T) {
	const memoryMB, cores = 192, 0.5
	binary := testbed.BuildGateway(t)
	for _, flood := range []overload.FloodOptions{
		{Kind: overload.ReadyWithBody, Connections: 100, ReadResponses: true},
		{Kind: overload.ReadyRequests, Connections: 100, Reconnect: true},
	} {
		play := floodPlay{flood, cores, memoryMB, floodTime}
		outcome := play.run(t, binary, bystanderDeadlinesMs)
		outcome.checkProbes(t)
	}
}
