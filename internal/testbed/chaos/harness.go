package chaos

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"gaugerelay/internal/testbed/process"
)

// Streams of random numbers that are derived from the seed of a run. A change of these values changes the schedule of each
// seed.
const (
	faultScheduleStream = 2
	singleFaultStream   = 3
	limitsStream        = 4
	overloadStream      = 5
	clientStream        = 1000 // stream of the clients of the first gateway; the following gateways use the following numbers
)

const metricsTimeout = time.Second

// harness runs the fakes, the gateway processes, the clients and the faults of one run.
type harness struct {
	options   Options
	startedAt time.Time
	dir       string // directory of the gateways' files
	log       *process.Log
	discovery *discovery
	gateways  []*gateway
	clients   []*clientGroup // clients by gateway
	http      *http.Client   // reads the metrics of gateways

	stop       chan struct{}  // channel that is closed to end clients, faults and the stall detector
	goroutines sync.WaitGroup // goroutines of clients, faults and the stall detector

	mu                  sync.Mutex
	servers             []*server // all servers that were started, also those that are closed
	current             []*server // for each shard: the server that was added to the endpoint list last
	replacing           []bool    // for each shard: whether its server is being replaced or restarted
	stalls              []process.Interval
	faultCount          int
	crashes             []string
	besideFloods        int // number of requests sent beside floods
	missingBesideFloods []missingBesideFlood
	metricViolations    []string // nonzero violation counters of gateways
}

// Run starts the fakes and the gateways, injects faults for the duration of the run, and checks the invariants. An error
// means that the run could not be started; violations are in the result.
func Run(options Options) (*Result, error) {
	h, err := newHarness(options)
	defer h.close()
	if err != nil {
		return nil, err
	}
	h.run()
	return h.finish(), nil
}

// newHarness starts the fakes and the gateways. On an error, the caller must still close the returned harness.
func newHarness(options Options) (*harness, error) {
	h := &harness{options: options, startedAt: time.Now(), log: process.NewLog(), stop: make(chan struct{}),
		http: &http.Client{Timeout: metricsTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	var err error
	if h.dir, err = os.MkdirTemp("", "chaos"); err != nil {
		return h, err
	}
	if h.discovery, err = newDiscovery(options.Gateways, options.PushDiscovery); err != nil {
		return h, err
	}
	if err := h.startServers(); err != nil {
		return h, err
	}
	return h, h.startGateways()
}

func (h *harness) startServers() error {
	for shard := range h.options.Shards {
		s, err := newServer(serverOptions{name: fmt.Sprintf("s-%d", shard), shard: shard, seed: h.options.Seed})
		if err != nil {
			return err
		}
		h.servers, h.current, h.replacing = append(h.servers, s), append(h.current, s), append(h.replacing, false)
		h.discovery.publish(s, process.EndpointReady)
	}
	return nil
}

// startGateways starts all gateways concurrently and returns the first error.
func (h *harness) startGateways() error {
	for index := range h.options.Gateways {
		g, err := h.newGateway(index)
		if err != nil {
			return err
		}
		h.gateways = append(h.gateways, g)
		h.clients = append(h.clients, newClientGroup(index, g.ListenAddr, h.options.Seed))
	}
	started := make(chan error, len(h.gateways))
	for _, g := range h.gateways {
		go func() { started <- h.startGateway(g) }()
	}
	var firstErr error
	for range h.gateways {
		if err := <-started; firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// run sends requests and injects faults for the duration of the run.
func (h *harness) run() {
	h.startTraffic()
	h.goroutines.Go(h.injectFaults)
	if h.options.Overload {
		h.goroutines.Go(h.injectOverload)
	}
	time.Sleep(h.options.Duration)
	h.stopTraffic()
}

// startTraffic starts the clients and the stall detector.
func (h *harness) startTraffic() {
	h.goroutines.Go(h.detectStalls)
	h.goroutines.Go(h.watchUsage)
	h.throttleGateways()
	for _, c := range h.clients {
		h.goroutines.Go(func() { c.sendRequests(h.options.RequestRate, h.options.Shards, h.stop, &h.goroutines) })
	}
}

// throttleGateways throttles the gateways that have less than one core, until the run ends.
func (h *harness) throttleGateways() {
	for _, g := range h.gateways {
		if cores := g.limits.Cores; cores < 1 {
			h.goroutines.Go(func() { g.Throttle(cores, h.stop) })
		}
	}
}

// stopTraffic ends clients and faults and waits for them.
func (h *harness) stopTraffic() {
	close(h.stop)
	h.goroutines.Wait()
}

// finish reads the last metrics of the gateways and checks the invariants. The traffic must have been stopped.
func (h *harness) finish() *Result {
	result := &Result{Gateways: h.options.Gateways, Seed: h.options.Seed, FaultCount: h.faultCount, Stalls: len(h.stalls)}
	for _, g := range h.gateways {
		if g.Running() {
			h.recordMetricViolations(g)
		} else {
			h.recordCrash("%s exited unexpectedly", g.Name)
		}
	}
	for _, text := range h.crashes {
		result.addViolation(&result.Crashed, "%s", text)
	}
	for _, text := range h.metricViolations {
		result.addViolation(&result.GatewayReported, "%s", text)
	}
	h.checkUsage(result)
	newChecker(h, result).check()
	if result.ViolationCount() > 0 {
		h.writeLog()
	}
	return result
}

func (h *harness) writeLog() {
	if h.options.LogOutput == nil {
		return
	}
	for _, line := range h.log.Lines() {
		_, _ = fmt.Fprintln(h.options.LogOutput, line) // a write error is ignored, since the result does not depend on the log
	}
}

// close ends all processes and fakes and removes their files.
func (h *harness) close() {
	for _, c := range h.clients {
		c.closeIdle()
	}
	for _, g := range h.gateways {
		if g.Running() {
			g.Kill()
		}
	}
	for _, s := range h.servers {
		s.close()
	}
	if h.discovery != nil {
		h.discovery.close()
	}
	_ = os.RemoveAll(h.dir) // a leftover temporary directory is harmless
}

// A sleep of stallCheckInterval that ends more than stallTolerance late counts as a stall of the machine.
const (
	stallCheckInterval = 10 * time.Millisecond
	stallTolerance     = 60 * time.Millisecond
)

// detectStalls records the times when the machine is too busy for timing checks.
func (h *harness) detectStalls() {
	process.DetectStalls(h.stop, stallCheckInterval, stallCheckInterval+stallTolerance, func(stall process.Interval) {
		h.mu.Lock()
		h.stalls = append(h.stalls, stall)
		h.mu.Unlock()
		h.log.Printf("(the machine stalled for %v)", stall.To.Sub(stall.From))
	})
}

// recordCrash records that a gateway exited unexpectedly, did not exit in time, or did not start.
func (h *harness) recordCrash(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes = append(h.crashes, fmt.Sprintf(format, args...))
}

// beginInterval appends an interval that begins now to one of the lists of a gateway, such as kills. The returned function
// ends the interval.
func (h *harness) beginInterval(intervals *[]process.Interval) (end func()) {
	h.mu.Lock()
	*intervals = append(*intervals, process.Interval{From: time.Now()})
	index := len(*intervals) - 1
	h.mu.Unlock()
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		(*intervals)[index].To = time.Now()
	}
}

// sleep waits for a duration or until the run is stopped, and reports whether the run goes on.
func (h *harness) sleep(d time.Duration) bool {
	select {
	case <-h.stop:
		return false
	case <-time.After(d):
		return true
	}
}
