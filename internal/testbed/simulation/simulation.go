package simulation

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gaugerelay/internal/testbed/memnet"
)

const (
	runDuration   = 14 * time.Second      // how long clients send requests
	settleTime    = 8 * time.Second       // after the last response, for gateways that shut down
	tolerance     = 50 * time.Millisecond // by which every time limit is longer on sockets
	maxViolations = 20                    // reported one by one
)

// Result is the outcome of a run.
type Result struct {
	Violations       []string // breaches of the rules; the last entry stands for all that exceed the first 19
	CrashedGateways  int      // gateways that did not start or of which a part ended by itself
	LostRequests     int      // requests without a response from a gateway that was running
	Served           int
	Rejected         int
	Failed           int
	RejectedAttempts int // attempts that servers rejected
	DrainedServers   int // servers that were drained or restarted under load
}

// simulation is the state of one run.
type simulation struct {
	deployment *Deployment
	network    memnet.Net
	gateways   []*simulatedGateway // fixed before clients start
	tasks      sync.WaitGroup      // clients, faults and delayed checks

	mu           sync.Mutex // guards the fields below and those of servers, simulatedGateways and requests
	serverRandom *rand.Rand // of the servers' work
	result       Result
	servers      []*server // in the order of their starts
	updates      []endpointChange
	requests     map[string]*request     // by correlation id
	limits       map[uint64]*limitBucket // by volume
}

// Run runs the gateways of a deployment under load and faults and returns what was observed. It must be called in a bubble of
// testing/synctest, and returns when all clients and faults have ended.
func Run(d *Deployment) Result {
	s := newSimulation(d)
	for _, g := range s.gateways {
		s.startGateway(g)
	}
	time.Sleep(100 * time.Millisecond)
	s.tasks.Go(s.injectFaults)
	for i := range d.Volumes {
		s.tasks.Go(func() {
			s.generateRequests(&d.Volumes[i], rand.New(rand.NewPCG(d.Seed, firstClientStream+uint64(i))))
		})
	}
	s.tasks.Wait()
	time.Sleep(settleTime)
	s.stopGateways()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		srv.stop()
	}
	return s.result
}

// newSimulation starts the servers and the fakes of discovery.
func newSimulation(d *Deployment) *simulation {
	s := &simulation{deployment: d, serverRandom: rand.New(rand.NewPCG(d.Seed, serverStream)), requests: map[string]*request{},
		limits: map[uint64]*limitBucket{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	for shard := range d.Shards {
		s.publish(s.startServer(fmt.Sprintf("s-%d", shard), shard, time.Time{}), stateReady, 0)
	}
	for i := range d.Gateways {
		g := &simulatedGateway{index: i, watches: map[chan struct{}]bool{}, updated: make(chan struct{})}
		s.gateways = append(s.gateways, g)
		s.startDiscovery(g)
	}
	return s
}

// violation records a breach of a rule. s.mu must be held.
func (s *simulation) violation(format string, args ...any) {
	if len(s.result.Violations) < maxViolations {
		s.result.Violations = append(s.result.Violations, fmt.Sprintf(format, args...))
	} else {
		s.result.Violations[maxViolations-1] = "and more"
	}
}

// milliseconds converts a number of the settings with the precision that they have: fractions are cut off.
func milliseconds(ms float64) time.Duration { return time.Duration(ms) * time.Millisecond }

// seconds converts a drawn number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
