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

// goldenScenario is one kind of deployment that the golden test replays.
type goldenScenario struct {
	name     string
	settings Settings
	// polls is set where the endpoint list is polled by the gateway; otherwise it is pushed.
	polls bool
	// quota is set where peers move parts of limits and share latencies and ejections.
	quota bool
	// outage is set where most polls of the endpoint list fail and the list expires.
	outage bool
}

func goldenScenarios() []goldenScenario {
	return []goldenScenario{
		{name: "polled", settings: goldenPolledSettings(), polls: true},
		{name: "pushed", settings: goldenPushedSettings()},
		{name: "ordered", settings: goldenOrderedSettings(), polls: true},
		{name: "quota", settings: goldenQuotaSettings(), quota: true},
		{name: "outage", settings: goldenOutageSettings(), polls: true, outage: true},
	}
}

// goldenPolledSettings has idempotent and keyed classes, a retry budget and slow start over many gateways.
func goldenPolledSettings() Settings {
	return Settings{
		Siblings: 40, Shards: 12, MeanUnits: 2, MostUnits: 8, FairWorth: 0.35, IdleWorth: 0.08,
		AskList: true, AskWithin: 8 * time.Second, MaxAttempts: 3, MayCancel: true, MaxComeBack: 900 * ms,
		AnswerGrace: 30 * ms, DrainGrace: 300 * ms, StartCapacity: 0.25, RampTime: 15 * time.Second,
		FallMultiple: 2.5, FallWindow: time.Second, ColdBears: 30, KeyRest: 200 * ms,
		ExtraFloor: 3, ExtraRatio: 0.15, ExtraWindow: 10 * time.Second, UsePeriod: time.Second, TellsElsewhere: true, Tick: 2 * ms,
		Classes: []Class{
			{Name: "read", Aim: 400 * ms, Deadline: 2 * time.Second, Worth: 2, LateValue: 0.2},
			{Name: "write", Aim: 900 * ms, Deadline: 4 * time.Second, Worth: 3, Effect: ByKey, Scope: ScopeCell,
				DedupWindow: 2500 * ms, Write: true},
			{Name: "once", Aim: 700 * ms, Deadline: 3 * time.Second, Worth: 1, Effect: Once, Write: true},
		},
		Plans: []Plan{
			{Name: "base", Rate: 12, Weight: 1, Pays: 1},
			{Name: "reserved", Rate: 20, Weight: 2, Pays: 1.5, Reserve: 25},
			{Name: "limited", Rate: 10, Weight: 1, Pays: 0.5, Limit: 30, LimitCap: 60, LimitDebt: 8},
		},
	}
}

// goldenPushedSettings has few gateways, no retry budget, no cancels and keys dropped inside a zone.
func goldenPushedSettings() Settings {
	settings := goldenPolledSettings()
	settings.Siblings, settings.Shards = 4, 8
	settings.AskList, settings.AskWithin = false, 0
	settings.ExtraWindow, settings.MayCancel, settings.MaxAttempts = 0, false, 4
	settings.ColdBears, settings.StartCapacity = 0, 0.1
	settings.Classes[1].Scope = ScopeZone
	settings.TellsElsewhere = false
	return settings
}

// goldenOrderedSettings has per-key order and keys dropped everywhere.
func goldenOrderedSettings() Settings {
	settings := goldenPolledSettings()
	settings.Siblings, settings.AskWithin = 3, 2*time.Second
	settings.Classes[1].Scope, settings.Classes[1].InTurn = ScopeAll, true
	settings.Classes[2].InTurn = true
	settings.Plans = settings.Plans[:1]
	return settings
}

// goldenQuotaSettings has parts of limits that move between gateways.
func goldenQuotaSettings() Settings {
	settings := goldenPushedSettings()
	settings.Shares, settings.StartPart = true, 0.5
	return settings
}

// goldenOutageSettings has so many gateways that discovery can't answer all of them in time.
func goldenOutageSettings() Settings {
	settings := goldenPolledSettings()
	settings.Siblings, settings.MeanUnits = 300, 0
	return settings
}

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
	servers   []Node
	attempts  map[RequestID]int
	pending   []goldenPending
	counts    map[string]int
}

// goldenPending is an event that falls due at a time.
type goldenPending struct {
	at    time.Duration
	event Event
}

func newGoldenWorld(t *testing.T, scenario goldenScenario, seed uint64) *goldenWorld {
	t.Helper()
	world := &goldenWorld{
		scenario: scenario, random: rand.New(rand.NewPCG(seed, 99)), digest: sha256.New(),
		now: time.Hour, counts: map[string]int{},
	}
	for shard := range scenario.settings.Shards {
		zone := fmt.Sprintf("zone-%d", shard%2)
		world.servers = append(world.servers, Node{ID: NodeID(shard + 1), Shard: shard, Zone: zone, Kind: "disk", Size: 1})
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
	w.deliver(NodeList{Version: w.version, Scope: Stale, Nodes: w.listed()})
}

// listed copies the list of servers.
func (w *goldenWorld) listed() []Node { return append([]Node(nil), w.servers...) }

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
		w.record("send", action.ID, action.Node, action.Timeout, action.Before)
		w.serve(action)
	case Refuse:
		w.record("reject", action.ID, action.ComeBack, action.Reason.String() != "", int(action.Reason))
	case Fail:
		w.record("fail", action.ID, int(action.Reason))
	case Cancel:
		w.record("cancel", action.ID, action.Attempt)
	case Subscribe:
		w.record("poll")
		w.answerPoll()
	case Probe:
		w.record("probe", action.Node)
	case Demand:
		w.record("demand", action.Volume, action.Hosts, fmt.Sprintf("%.12g", action.Part), action.Fresh)
		part := min(1, action.Part) * w.random.Float64()
		w.later(50*ms, Part{Volume: action.Volume, Part: part})
	case WakeAt:
		w.record("wake", action.At)
		w.later(max(0, action.At-w.now), Wake{})
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

func (w *goldenWorld) later(after time.Duration, event Event) {
	w.pending = append(w.pending, goldenPending{at: w.now + after, event: event})
}

// serve draws how an attempt ends.
func (w *goldenWorld) serve(send Send) {
	attempt := w.attempts[send.ID]
	w.attempts[send.ID]++
	status, latency := w.drawStatus(), time.Duration(float64(20*ms)*(0.3+3*w.random.ExpFloat64()))
	if int(send.Node)%5 == 0 { // a slow server
		latency *= 6
	}
	outcome := Outcome{ID: send.ID, Attempt: attempt, Node: send.Node, Status: status, Latency: latency, Terminal: status == OK}
	if w.random.IntN(4) == 0 {
		outcome.ForeignUnits, outcome.HasUse, outcome.VolumeUse = 10*w.random.Float64(), true, w.random.Float64()
	}
	if w.random.IntN(40) == 0 { // a lost answer ends late, if at all
		latency *= 50
	}
	w.later(latency, outcome)
	if status == OK && w.random.IntN(30) == 0 {
		w.later(latency/2, Started{ID: send.ID, Attempt: attempt, Node: send.Node, Latency: latency / 2})
	}
}

func (w *goldenWorld) drawStatus() Status {
	draw := w.random.IntN(100)
	if draw < 80 {
		return OK
	}
	statuses := []Status{Error, Full, TimedOut, ConnectFailed, Reset, Cancelled, Moot}
	return statuses[draw%len(statuses)]
}

// answerPoll answers a poll of the endpoint list: with the list, late, or not at all.
func (w *goldenWorld) answerPoll() {
	latency := time.Duration(w.random.IntN(60)+1) * ms
	if w.scenario.outage && (w.lifetimes%2 == 1 || w.random.IntN(4) != 0) {
		w.later(latency, NodeList{Scope: Broken, Until: w.now + time.Second})
		return
	}
	switch w.random.IntN(6) {
	case 0:
		w.later(latency, NodeList{Scope: Broken})
	case 1:
		w.later(latency, NodeList{Scope: Whole, Version: w.version, Nodes: w.listed()})
		w.later(latency+2*time.Second, NodeList{Scope: Silent})
	case 2:
		w.later(latency, NodeList{Scope: Whole, Version: w.version, Nodes: w.listed(), Until: w.now + 7*time.Second})
		w.later(latency+3*time.Second, NodeList{Scope: Ended, Until: w.now + 9*time.Second})
	default:
		w.later(latency, NodeList{Scope: Whole, Version: w.version, Nodes: w.listed()})
		w.later(latency+time.Second, NodeList{Scope: Alive})
		w.later(latency+time.Duration(w.random.IntN(9000))*ms, NodeList{Scope: Ended})
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
		arrival := Arrival{
			ID: w.nextID, Class: class.Name, Plan: settings.Plans[w.random.IntN(len(settings.Plans))].Name,
			Volume: VolumeID(w.random.IntN(9)), Key: uint64(w.random.IntN(30)), TTL: class.Deadline,
			Units: 0.5 + 4*w.random.Float64(), Shard: w.random.IntN(settings.Shards), Hosts: 1 + w.random.IntN(settings.Siblings),
		}
		w.vary(&arrival)
		events = append(events, arrival)
	}
	return events
}

// vary makes some arrivals unusual: new objects, retries, slow links, requests that settings cannot judge.
func (w *goldenWorld) vary(arrival *Arrival) {
	switch w.random.IntN(20) {
	case 0:
		arrival.Shard = -1
	case 1:
		arrival.TTL /= 3
		arrival.Repeat = true
	case 2:
		arrival.Came, arrival.Fresh = arrival.TTL/4, true
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
		server.State, server.StartedAt = Live, w.now
		return []Event{w.update(*server)}
	case 4:
		gone := *server
		gone.State = Gone
		server.ID += 100
		server.State, server.StartedAt = Live, w.now
		return []Event{w.update(gone, *server)}
	case 5, 6, 7, 8, 9, 10:
		return []Event{Dropped{ID: max(1, w.nextID-RequestID(w.random.IntN(5)))}}
	case 11, 12, 13:
		if w.scenario.quota {
			return []Event{Shun{Node: server.ID, Rest: 300 * ms}, Seen{Node: server.ID, Latency: 70 * ms}}
		}
	case 14:
		return []Event{NodeList{Scope: Whole, Version: w.version, Nodes: w.listed(), Until: w.now + 5*time.Second}}
	case 15:
		return []Event{Probed{Node: server.ID, Status: OK, Latency: 5 * ms}}
	}
	return nil
}

func (w *goldenWorld) update(servers ...Node) NodeList {
	w.version++
	return NodeList{Version: w.version, Scope: Patch, Nodes: servers}
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
			w.deliver(Ending{At: w.now + 700*ms})
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
