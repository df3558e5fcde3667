package scheduler

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

// The golden test passes seeded streams of events to the scheduler and compares a digest of all actions with the one recorded in
// testdata/golden-decisions.txt. A different digest means that a decision has changed. The text of an action is built here from its
// values, so that renaming types and fields does not change the digests.

const (
	goldenFile  = "testdata/golden-decisions.txt"
	goldenSteps = 24_000
	goldenSeeds = 3
	// goldenRestartSteps is the number of steps between two restarts of the gateway.
	goldenRestartSteps = 10_000
	// goldenShutdownSteps is the number of steps from the start of a shutdown to the restart.
	goldenShutdownSteps = 500
)

// goldenSimulation generates the events of one scenario and carries out the actions.
type goldenSimulation struct {
	scenario  goldenScenario
	random    *rand.Rand
	digest    hash.Hash
	scheduler *Scheduler
	now       time.Duration
	nextID    RequestID
	starts    int // number of schedulers that have been started
	version   uint64
	servers   []Server
	attempts  map[RequestID]int // number of attempts of each request
	pending   []goldenPending   // events that have not been delivered yet
	counts    map[string]int    // number of actions by kind
}

// goldenPending is an event that is to be delivered at a given time.
type goldenPending struct {
	at    time.Duration
	event Event
}

// newGoldenSimulation returns the simulation of a scenario with its first scheduler.
func newGoldenSimulation(t *testing.T, scenario goldenScenario, seed uint64) *goldenSimulation {
	t.Helper()
	simulation := &goldenSimulation{
		scenario: scenario, random: rand.New(rand.NewPCG(seed, 99)), digest: sha256.New(),
		now: time.Hour, counts: map[string]int{},
	}
	for shard := range scenario.settings.Shards {
		zone := fmt.Sprintf("zone-%d", shard%2)
		simulation.servers = append(simulation.servers, Server{ID: ServerID(shard + 1), Shard: shard, Zone: zone, Kind: "disk", Size: 1})
	}
	simulation.restart(t, seed)
	return simulation
}

// restart replaces the scheduler by a new one, as if the gateway had been killed and started again.
func (s *goldenSimulation) restart(t *testing.T, seed uint64) {
	t.Helper()
	scheduler, err := New(s.scenario.settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	s.scheduler, s.attempts, s.pending = scheduler, map[RequestID]int{}, nil
	s.starts++
	s.deliver(EndpointUpdate{Version: s.version, Kind: CachedSnapshot, Servers: s.serverList()})
}

// serverList returns a copy of the list of servers.
func (s *goldenSimulation) serverList() []Server { return append([]Server(nil), s.servers...) }

// deliver passes events to the scheduler and carries out its actions.
func (s *goldenSimulation) deliver(events ...Event) {
	for _, action := range s.scheduler.Step(s.now, events) {
		s.carryOut(action)
	}
}

// carryOut adds an action to the digest and schedules the events that follow from it.
func (s *goldenSimulation) carryOut(action Action) {
	switch action := action.(type) {
	case Send:
		s.record("send", action.ID, action.Server, action.Timeout, action.StartDeadline)
		s.serve(action)
	case Reject:
		s.record("reject", action.ID, action.RetryAfter, action.Reason.String() != "", int(action.Reason))
	case Fail:
		s.record("fail", action.ID, int(action.Reason))
	case CancelAttempt:
		s.record("cancel", action.ID, action.Attempt)
	case WatchEndpoints:
		s.record("poll")
		s.respondToPoll()
	case ProbeServer:
		s.record("probe", action.Server)
	case QuotaDemand:
		s.record("demand", action.Volume, action.Gateways, fmt.Sprintf("%.12g", action.Share), action.First)
		part := min(1, action.Share) * s.random.Float64()
		s.scheduleAfter(50*ms, QuotaShare{Volume: action.Volume, Share: part})
	case SetTimer:
		s.record("wake", action.At)
		s.scheduleAfter(max(0, action.At-s.now), TimerFired{})
	case Log:
		s.record("log", action.Text)
	default:
		s.record("unknown")
	}
}

// record adds a line to the digest.
func (s *goldenSimulation) record(kind string, values ...any) {
	s.counts[kind]++
	line := fmt.Sprintln(append([]any{int64(s.now), kind}, plainNumbers(values)...)...)
	s.digest.Write([]byte(line))
}

// plainNumbers converts durations to nanoseconds, so that the digest does not depend on their String method.
func plainNumbers(values []any) []any {
	plain := make([]any, len(values))
	for i, value := range values {
		if duration, ok := value.(time.Duration); ok {
			value = int64(duration)
		}
		plain[i] = value
	}
	return plain
}

// scheduleAfter schedules an event for delivery after the given time.
func (s *goldenSimulation) scheduleAfter(after time.Duration, event Event) {
	s.pending = append(s.pending, goldenPending{at: s.now + after, event: event})
}

// serve draws how an attempt ends and schedules its end.
func (s *goldenSimulation) serve(send Send) {
	attempt := s.attempts[send.ID]
	s.attempts[send.ID]++
	status, latency := s.drawStatus(), time.Duration(float64(20*ms)*(0.3+3*s.random.ExpFloat64()))
	if int(send.Server)%5 == 0 { // every fifth server is slow
		latency *= 6
	}
	ended := AttemptEnded{ID: send.ID, Attempt: attempt, Server: send.Server, Status: status, Latency: latency,
		RequestDone: status == StatusOK}
	if s.random.IntN(4) == 0 {
		ended.ForeignUnits, ended.HasVolumeUsage, ended.VolumeUsage = 10*s.random.Float64(), true, s.random.Float64()
	}
	if s.random.IntN(40) == 0 { // a lost response: the attempt ends late, or its end is dropped by a restart
		latency *= 50
	}
	s.scheduleAfter(latency, ended)
	if status == StatusOK && s.random.IntN(30) == 0 {
		s.scheduleAfter(latency/2, ResponseStarted{ID: send.ID, Attempt: attempt, Server: send.Server, Latency: latency / 2})
	}
}

// drawStatus draws the status of an attempt: success in most cases.
func (s *goldenSimulation) drawStatus() Status {
	draw := s.random.IntN(100)
	if draw < 80 {
		return StatusOK
	}
	statuses := []Status{StatusError, StatusOverloaded, StatusTimedOut, StatusConnectFailed, StatusConnectionReset, StatusCanceled,
		StatusNotSent}
	return statuses[draw%len(statuses)]
}

// respondToPoll draws the response to a poll of the endpoint list: the list or a failure, and how the watch goes on. In the outage
// scenario, all polls fail for the first, third, fifth, ... scheduler, and three quarters of the polls fail for the others.
func (s *goldenSimulation) respondToPoll() {
	latency := time.Duration(s.random.IntN(60)+1) * ms
	if s.scenario.outage && (s.starts%2 == 1 || s.random.IntN(4) != 0) {
		s.scheduleAfter(latency, EndpointUpdate{Kind: WatchFailed, ValidUntil: s.now + time.Second})
		return
	}
	switch s.random.IntN(6) {
	case 0:
		s.scheduleAfter(latency, EndpointUpdate{Kind: WatchFailed})
	case 1:
		s.scheduleAfter(latency, EndpointUpdate{Kind: Snapshot, Version: s.version, Servers: s.serverList()})
		s.scheduleAfter(latency+2*time.Second, EndpointUpdate{Kind: WatchIdle})
	case 2:
		s.scheduleAfter(latency, EndpointUpdate{Kind: Snapshot, Version: s.version, Servers: s.serverList(),
			ValidUntil: s.now + 7*time.Second})
		s.scheduleAfter(latency+3*time.Second, EndpointUpdate{Kind: WatchClosed, ValidUntil: s.now + 9*time.Second})
	default:
		s.scheduleAfter(latency, EndpointUpdate{Kind: Snapshot, Version: s.version, Servers: s.serverList()})
		s.scheduleAfter(latency+time.Second, EndpointUpdate{Kind: Heartbeat})
		s.scheduleAfter(latency+time.Duration(s.random.IntN(9000))*ms, EndpointUpdate{Kind: WatchClosed})
	}
}

// dueEvents removes and returns the pending events that are due, in the order in which they were scheduled.
func (s *goldenSimulation) dueEvents() []Event {
	var events []Event
	kept := s.pending[:0]
	for _, pending := range s.pending {
		if pending.at <= s.now {
			events = append(events, pending.event)
		} else {
			kept = append(kept, pending)
		}
	}
	s.pending = kept
	return events
}

// arrivals draws the client requests of a step.
func (s *goldenSimulation) arrivals(count int) []Event {
	settings := s.scenario.settings
	var events []Event
	for range count {
		s.nextID++
		class := settings.Classes[s.random.IntN(len(settings.Classes))]
		arrival := RequestArrived{
			ID: s.nextID, Class: class.Name, Plan: settings.Plans[s.random.IntN(len(settings.Plans))].Name,
			Volume: VolumeID(s.random.IntN(9)), Key: uint64(s.random.IntN(30)), Remaining: class.Deadline,
			Units: 0.5 + 4*s.random.Float64(), Shard: s.random.IntN(settings.Shards), Gateways: 1 + s.random.IntN(settings.Gateways),
		}
		s.varyArrival(&arrival)
		events = append(events, arrival)
	}
	return events
}

// varyArrival makes some arrivals unusual: new objects, retries, slow links, requests that the settings do not cover.
func (s *goldenSimulation) varyArrival(arrival *RequestArrived) {
	switch s.random.IntN(20) {
	case 0:
		arrival.Shard = -1
	case 1:
		arrival.Remaining /= 3
		arrival.IsRetry = true
	case 2:
		arrival.ClientDelay, arrival.IsFirstAttempt = arrival.Remaining/4, true
	case 3:
		arrival.Key = NoKey
	case 4:
		arrival.Class = "unknown"
	case 5:
		arrival.Units = -1
	case 6:
		arrival.ID = max(1, arrival.ID-3)
	}
}

// drawDisturbance draws a change of the endpoint list, a message of peers or a canceled request, or nothing.
func (s *goldenSimulation) drawDisturbance() []Event {
	if s.scenario.outage && s.random.IntN(20) != 0 { // few updates arrive, because most of the time no watch is open
		return nil
	}
	index := s.random.IntN(len(s.servers))
	server := &s.servers[index]
	switch s.random.IntN(300) {
	case 0:
		server.State = Draining
		return []Event{s.update(*server)}
	case 1, 2, 3:
		server.State, server.StartedAt = Ready, s.now
		return []Event{s.update(*server)}
	case 4:
		gone := *server
		gone.State = Removed
		server.ID += 100
		server.State, server.StartedAt = Ready, s.now
		return []Event{s.update(gone, *server)}
	case 5, 6, 7, 8, 9, 10:
		return []Event{RequestCanceled{ID: max(1, s.nextID-RequestID(s.random.IntN(5)))}}
	case 11, 12, 13:
		if s.scenario.quota {
			return []Event{EjectServer{Server: server.ID, MinInterval: 300 * ms}, PeerLatency{Server: server.ID, Latency: 70 * ms}}
		}
	case 14:
		return []Event{EndpointUpdate{Kind: Snapshot, Version: s.version, Servers: s.serverList(), ValidUntil: s.now + 5*time.Second}}
	case 15:
		return []Event{ProbeEnded{Server: server.ID, Status: StatusOK, Latency: 5 * ms}}
	}
	return nil
}

// update returns a delta with the given entries and the next version.
func (s *goldenSimulation) update(servers ...Server) EndpointUpdate {
	s.version++
	return EndpointUpdate{Version: s.version, Kind: Delta, Servers: servers}
}

// run executes the steps of a scenario and returns the digest of the actions.
func (s *goldenSimulation) run(t *testing.T, seed uint64) string {
	t.Helper()
	for step := range goldenSteps {
		s.now += time.Duration(1+s.random.IntN(8)) * ms
		if s.random.IntN(3000) == 0 {
			s.now += 2 * time.Second // the process was suspended
		}
		events := s.dueEvents()
		events = append(events, s.arrivals(s.random.IntN(3)*(1+step/3000%3)/2)...)
		events = append(events, s.drawDisturbance()...)
		s.deliver(events...)
		switch step % goldenRestartSteps {
		case goldenRestartSteps - goldenShutdownSteps:
			s.deliver(ShutdownStarted{Deadline: s.now + 700*ms})
		case goldenRestartSteps - 1:
			s.restart(t, seed+uint64(step))
		}
	}
	for _, kind := range []string{"send", "reject", "fail", "wake"} {
		if s.counts[kind] == 0 {
			t.Errorf("the scenario has no action of kind %s, want at least one", kind)
		}
	}
	return hex.EncodeToString(s.digest.Sum(nil))
}

// readGolden returns the recorded digests by scenario and seed.
func readGolden(t *testing.T) map[string]string {
	t.Helper()
	file, err := os.Open(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	digests := map[string]string{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, digest, _ := strings.Cut(lines.Text(), " ")
		digests[name] = digest
	}
	return digests
}

func TestGoldenDecisions(t *testing.T) {
	golden := readGolden(t)
	for _, scenario := range goldenScenarios() {
		for seed := uint64(1); seed <= goldenSeeds; seed++ {
			name := fmt.Sprintf("%s-%d", scenario.name, seed)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				digest := newGoldenSimulation(t, scenario, seed).run(t, seed)
				if golden[name] != digest {
					t.Errorf("digest of the actions is %s, want the recorded %q", digest, golden[name])
				}
			})
		}
	}
}
