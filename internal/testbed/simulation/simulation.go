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
	settleTime    = 8 * time.Second       // wait after all clients and faults have ended, before the gateways are stopped
	tolerance     = 50 * time.Millisecond // added to each time limit that is checked, because connections add delays
	maxViolations = 20                    // largest number of entries in Result.Violations
)

// Result is the outcome of a run.
type Result struct {
	Violations       []string // violations of the rules; if there are more than 20, the last entry only says so
	CrashedGateways  int      // number of gateways that failed to start or had a component that ended by itself
	LostRequests     int      // number of requests without a response although the gateway was running
	Served           int      // number of requests that were served
	Rejected         int      // number of requests that the gateways rejected
	Failed           int      // number of requests whose response has status 500 or above, except 503
	RejectedAttempts int      // number of attempts that servers rejected
	DrainedServers   int      // number of servers that were drained or restarted under load
}

// simulation is the state of one run.
type simulation struct {
	deployment *Deployment
	network    memnet.Net
	gateways   []*simulatedGateway // does not change after clients have started
	tasks      sync.WaitGroup      // goroutines of clients, faults and delayed checks

	mu           sync.Mutex // guards the fields below and those of servers, simulatedGateways and requests
	serverRandom *rand.Rand // random generator for service times and faults of servers
	result       Result
	servers      []*server               // all servers, including stopped ones, in the order of their starts
	updates      []endpointChange        // all published changes of the endpoint list
	requests     map[string]*request     // requests by correlation ID
	limits       map[uint64]*limitBucket // token buckets by volume ID
}

// Run runs the gateways of a deployment under load and faults and returns the result. It must be called in a bubble of
// testing/synctest, and returns when all clients and faults have ended and the gateways are stopped.
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

// newSimulation returns a simulation with running servers and discovery fakes, but without running gateways.
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

// recordViolation records a violation of a rule. s.mu must be held.
func (s *simulation) recordViolation(format string, args ...any) {
	if len(s.result.Violations) < maxViolations {
		s.result.Violations = append(s.result.Violations, fmt.Sprintf(format, args...))
	} else {
		s.result.Violations[maxViolations-1] = "further violations were found"
	}
}

// milliseconds converts a time of the settings to a duration. It truncates fractions of a millisecond, because the settings have
// a precision of one millisecond.
func milliseconds(ms float64) time.Duration { return time.Duration(ms) * time.Millisecond }

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
