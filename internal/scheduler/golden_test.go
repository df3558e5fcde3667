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

// The golden test replays seeded streams of events against the scheduler and compares a digest of every action with the one
// recorded in testdata/golden-decisions.txt. A changed digest means that a decision changed. The text of an action is made
// here from its values, so renaming types and fields leaves the digests as they are.

const (
	goldenFile  = "testdata/golden-decisions.txt"
	goldenSteps = 24_000
	goldenSeeds = 3
	// goldenLifetime is after how many steps the gateway is restarted; it shuts down goldenShutdown steps before.
	goldenLifetime = 10_000
	goldenShutdown = 500
)

// goldenWorld makes the events of one scenario and consumes the actions.
type goldenWorld struct {
	scenario  goldenScenario
	random    *rand.Rand
	digest    hash.Hash
	scheduler *Scheduler
	now       time.Duration
	nextID    RequestID
	lifetimes int // how many schedulers there were
	version   uint64
	servers   []Server
	attempts  map[RequestID]int
	pending   []goldenPending
	counts    map[string]int
}

// goldenPending is an event that falls due at a time.
type goldenPending struct {
	at    time.Duration
	event Event
}

// newGoldenWorld returns the world of a scenario before its first event.
func newGoldenWorld(t *testing.T, scenario goldenScenario, seed uint64) *goldenWorld {
	t.Helper()
	world := &goldenWorld{
		scenario: scenario, random: rand.New(rand.NewPCG(seed, 99)), digest: sha256.New(),
		now: time.Hour, counts: map[string]int{},
	}
	for shard := range scenario.settings.Shards {
		zone := fmt.Sprintf("zone-%d", shard%2)
		world.servers = append(world.servers, Server{ID: ServerID(shard + 1), Shard: shard, Zone: zone, Kind: "disk", Size: 1})
	}
	world.restart(t, seed)
	return world
}

// restart replaces the scheduler by a new one, as a killed gateway would.
func (w *goldenWorld) restart(t *testing.T, seed uint64) {
	t.Helper()
	scheduler, err := New(w.scenario.settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	w.scheduler, w.attempts, w.pending = scheduler, map[RequestID]int{}, nil
	w.lifetimes++
	w.deliver(EndpointUpdate{Version: w.version, Kind: CachedSnapshot, Servers: w.listed()})
}

// listed copies the list of servers.
func (w *goldenWorld) listed() []Server { return append([]Server(nil), w.servers...) }

// deliver steps the scheduler and carries out its actions.
func (w *goldenWorld) deliver(events ...Event) {
	for _, action := range w.scheduler.Step(w.now, events) {
		w.carryOut(action)
	}
}

// carryOut writes an action to the digest and makes its consequences.
func (w *goldenWorld) carryOut(action Action) {
	switch action := action.(type) {
	case Send:
		w.record("send", action.ID, action.Server, action.Timeout, action.StartDeadline)
		w.serve(action)
	case Reject:
		w.record("reject", action.ID, action.RetryAfter, action.Reason.String() != "", int(action.Reason))
	case Fail:
		w.record("fail", action.ID, int(action.Reason))
	case CancelAttempt:
		w.record("cancel", action.ID, action.Attempt)
	case WatchEndpoints:
		w.record("poll")
		w.respondToPoll()
	case ProbeServer:
		w.record("probe", action.Server)
	case QuotaDemand:
		w.record("demand", action.Volume, action.Gateways, fmt.Sprintf("%.12g", action.Share), action.First)
		part := min(1, action.Share) * w.random.Float64()
		w.later(50*ms, QuotaShare{Volume: action.Volume, Share: part})
	case SetTimer:
		w.record("wake", action.At)
		w.later(max(0, action.At-w.now), TimerFired{})
	case Log:
		w.record("log", action.Text)
	default:
		w.record("unknown")
	}
}

// record adds a line to the digest.
func (w *goldenWorld) record(kind string, values ...any) {
	w.counts[kind]++
	line := fmt.Sprintln(append([]any{int64(w.now), kind}, plainNumbers(values)...)...)
	w.digest.Write([]byte(line))
}

// plainNumbers turns durations into nanoseconds, so that no String method shows in the digest.
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

// later delivers an event after a time.
func (w *goldenWorld) later(after time.Duration, event Event) {
	w.pending = append(w.pending, goldenPending{at: w.now + after, event: event})
}

// serve draws how an attempt ends.
func (w *goldenWorld) serve(send Send) {
	attempt := w.attempts[send.ID]
	w.attempts[send.ID]++
	status, latency := w.drawStatus(), time.Duration(float64(20*ms)*(0.3+3*w.random.ExpFloat64()))
	if int(send.Server)%5 == 0 { // a slow server
		latency *= 6
	}
	ended := AttemptEnded{ID: send.ID, Attempt: attempt, Server: send.Server, Status: status, Latency: latency, RequestDone: status == StatusOK}
	if w.random.IntN(4) == 0 {
		ended.ForeignUnits, ended.HasVolumeUsage, ended.VolumeUsage = 10*w.random.Float64(), true, w.random.Float64()
	}
	if w.random.IntN(40) == 0 { // a lost response ends late, if at all
		latency *= 50
	}
	w.later(latency, ended)
	if status == StatusOK && w.random.IntN(30) == 0 {
		w.later(latency/2, ResponseStarted{ID: send.ID, Attempt: attempt, Server: send.Server, Latency: latency / 2})
	}
}

// drawStatus draws how an attempt ends: mostly with success.
func (w *goldenWorld) drawStatus() Status {
	draw := w.random.IntN(100)
	if draw < 80 {
		return StatusOK
	}
	statuses := []Status{StatusError, StatusOverloaded, StatusTimedOut, StatusConnectFailed, StatusConnectionReset, StatusCanceled, StatusNotSent}
	return statuses[draw%len(statuses)]
}

// respondToPoll responds to a poll of the endpoint list: with the list, late, or not at all.
func (w *goldenWorld) respondToPoll() {
	latency := time.Duration(w.random.IntN(60)+1) * ms
	if w.scenario.outage && (w.lifetimes%2 == 1 || w.random.IntN(4) != 0) {
		w.later(latency, EndpointUpdate{Kind: WatchFailed, ValidUntil: w.now + time.Second})
		return
	}
	switch w.random.IntN(6) {
	case 0:
		w.later(latency, EndpointUpdate{Kind: WatchFailed})
	case 1:
		w.later(latency, EndpointUpdate{Kind: Snapshot, Version: w.version, Servers: w.listed()})
		w.later(latency+2*time.Second, EndpointUpdate{Kind: WatchIdle})
	case 2:
		w.later(latency, EndpointUpdate{Kind: Snapshot, Version: w.version, Servers: w.listed(), ValidUntil: w.now + 7*time.Second})
		w.later(latency+3*time.Second, EndpointUpdate{Kind: WatchClosed, ValidUntil: w.now + 9*time.Second})
	default:
		w.later(latency, EndpointUpdate{Kind: Snapshot, Version: w.version, Servers: w.listed()})
		w.later(latency+time.Second, EndpointUpdate{Kind: Heartbeat})
		w.later(latency+time.Duration(w.random.IntN(9000))*ms, EndpointUpdate{Kind: WatchClosed})
	}
}

// due removes and returns the pending events whose time has come, in the order they were made.
func (w *goldenWorld) due() []Event {
	var events []Event
	kept := w.pending[:0]
	for _, pending := range w.pending {
		if pending.at <= w.now {
			events = append(events, pending.event)
		} else {
			kept = append(kept, pending)
		}
	}
	w.pending = kept
	return events
}

// arrivals draws the client requests of a step.
func (w *goldenWorld) arrivals(count int) []Event {
	settings := w.scenario.settings
	var events []Event
	for range count {
		w.nextID++
		class := settings.Classes[w.random.IntN(len(settings.Classes))]
		arrival := RequestArrived{
			ID: w.nextID, Class: class.Name, Plan: settings.Plans[w.random.IntN(len(settings.Plans))].Name,
			Volume: VolumeID(w.random.IntN(9)), Key: uint64(w.random.IntN(30)), Remaining: class.Deadline,
			Units: 0.5 + 4*w.random.Float64(), Shard: w.random.IntN(settings.Shards), Gateways: 1 + w.random.IntN(settings.Gateways),
		}
		w.vary(&arrival)
		events = append(events, arrival)
	}
	return events
}

// vary makes some arrivals unusual: new objects, retries, slow links, requests that settings cannot judge.
func (w *goldenWorld) vary(arrival *RequestArrived) {
	switch w.random.IntN(20) {
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

// disturb draws changes of the endpoint list, messages of peers and clients that leave.
func (w *goldenWorld) disturb() []Event {
	if w.scenario.outage && w.random.IntN(20) != 0 { // no watch is open: hardly any update comes
		return nil
	}
	index := w.random.IntN(len(w.servers))
	server := &w.servers[index]
	switch w.random.IntN(300) {
	case 0:
		server.State = Draining
		return []Event{w.update(*server)}
	case 1, 2, 3:
		server.State, server.StartedAt = Ready, w.now
		return []Event{w.update(*server)}
	case 4:
		gone := *server
		gone.State = Removed
		server.ID += 100
		server.State, server.StartedAt = Ready, w.now
		return []Event{w.update(gone, *server)}
	case 5, 6, 7, 8, 9, 10:
		return []Event{RequestCanceled{ID: max(1, w.nextID-RequestID(w.random.IntN(5)))}}
	case 11, 12, 13:
		if w.scenario.quota {
			return []Event{EjectServer{Server: server.ID, MinInterval: 300 * ms}, PeerLatency{Server: server.ID, Latency: 70 * ms}}
		}
	case 14:
		return []Event{EndpointUpdate{Kind: Snapshot, Version: w.version, Servers: w.listed(), ValidUntil: w.now + 5*time.Second}}
	case 15:
		return []Event{ProbeEnded{Server: server.ID, Status: StatusOK, Latency: 5 * ms}}
	}
	return nil
}

func (w *goldenWorld) update(servers ...Server) EndpointUpdate {
	w.version++
	return EndpointUpdate{Version: w.version, Kind: Delta, Servers: servers}
}

// run plays the steps of a scenario and returns the digest of its decisions.
func (w *goldenWorld) run(t *testing.T, seed uint64) string {
	t.Helper()
	for step := range goldenSteps {
		w.now += time.Duration(1+w.random.IntN(8)) * ms
		if w.random.IntN(3000) == 0 {
			w.now += 2 * time.Second // the process was suspended
		}
		events := w.due()
		events = append(events, w.arrivals(w.random.IntN(3)*(1+step/3000%3)/2)...)
		events = append(events, w.disturb()...)
		w.deliver(events...)
		switch step % goldenLifetime {
		case goldenLifetime - goldenShutdown:
			w.deliver(ShutdownStarted{Deadline: w.now + 700*ms})
		case goldenLifetime - 1:
			w.restart(t, seed+uint64(step))
		}
	}
	for _, kind := range []string{"send", "reject", "fail", "wake"} {
		if w.counts[kind] == 0 {
			t.Errorf("the scenario made no action of kind %s", kind)
		}
	}
	return hex.EncodeToString(w.digest.Sum(nil))
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
				digest := newGoldenWorld(t, scenario, seed).run(t, seed)
				if golden[name] != digest {
					t.Errorf("digest of the decisions is %s, recorded is %q", digest, golden[name])
				}
			})
		}
	}
}
