package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// testGateway is a scheduler under test with the actions it took.
type testGateway struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
	lastID    RequestID
}

func testSettings() Settings {
	return Settings{Gateways: 2, Shards: 2, MeanUnits: 2, MaxUnits: 6, FairShareWeight: 0.4, SurplusWeight: 0.1, MaxAttempts: 4,
		AllowCancel: true, ResponseGrace: 8 * ms, DrainGrace: 250 * ms, InitialCapacity: 0.2, SlowStartDuration: 18 * time.Second,
		OverloadMultiple: 3, OverloadWindow: time.Second, SlowStartUnits: 12, MinStepInterval: 2 * ms, MaxPollInterval: 10 * time.Second,
		Classes: []Class{
			{Name: "read", LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 2},
			{Name: "bulk", LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, PriorityWeight: 1},
			{Name: "once", LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 2, Idempotency: NotIdempotent, OrderedByKey: true},
		},
		Plans: []Plan{{Name: "gold", Rate: 10, Weight: 1, PriorityFactor: 1}, {Name: "twice", Rate: 10, Weight: 2, PriorityFactor: 1},
			{Name: "kept", Rate: 10, Weight: 1, PriorityFactor: 1, Reserve: 100},
			{Name: "capped", Rate: 10, Weight: 1, PriorityFactor: 1, Limit: 20, LimitBurst: 24}}}
}

func newTestGateway(t *testing.T, change func(*Settings)) *testGateway {
	t.Helper()
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	gateway := &testGateway{t: t, scheduler: s, now: time.Hour}
	gateway.step(EndpointUpdate{Kind: CachedSnapshot, Servers: []Server{{ID: 1, Shard: 0}, {ID: 2, Shard: 1}}})
	return gateway
}

func (g *testGateway) step(events ...Event) []Action { return g.scheduler.Step(g.now, events) }

// advance lets time pass in small steps and collects the actions.
func (g *testGateway) advance(d time.Duration) (all []Action) {
	for end := g.now + d; g.now < end; {
		g.now += 5 * ms
		all = append(all, g.step(TimerFired{})...)
	}
	return all
}

// newArrival makes an arrival with a new id.
func (g *testGateway) newArrival(class, plan string, volume int, units float64, key uint64) RequestArrived {
	g.lastID++
	ttl := g.scheduler.classes[class].Deadline
	return RequestArrived{ID: g.lastID, Class: class, Plan: plan, Volume: VolumeID(volume), Key: key, TTL: ttl, Units: units, Gateways: 1}
}

func sentIDs(actions []Action) (ids []RequestID) {
	for _, a := range actions {
		if a, ok := a.(Send); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

func rejectedIDs(actions []Action) (ids []RequestID) {
	for _, a := range actions {
		if a, ok := a.(Reject); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

func failedIDs(actions []Action) (ids []RequestID) {
	for _, a := range actions {
		if a, ok := a.(Fail); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// serveReads plays a stretch of reads that are answered after lat each and returns how many were sent.
func (g *testGateway) serveReads(d, every, lat time.Duration, status Status) (sends int) {
	type open struct {
		id RequestID
		at time.Duration
	}
	var out []open
	for end, k := g.now+d, 0; g.now < end; k++ {
		g.now += 5 * ms
		var events []Event
		for len(out) > 0 && out[0].at <= g.now {
			request := g.scheduler.requests[out[0].id]
			events = append(events, AttemptEnded{ID: out[0].id, Attempt: len(request.attempts) - 1, Server: 1, Status: status,
				Latency: lat, RequestDone: status == StatusOK})
			out = out[1:]
		}
		if k%max(1, int(every/(5*ms))) == 0 {
			events = append(events, g.newArrival("read", "gold", 1, 2, uint64(g.lastID)+1000))
		}
		for _, id := range sentIDs(g.step(append(events, TimerFired{})...)) {
			out = append(out, open{id, g.now + lat})
			sends++
		}
	}
	return sends
}

func TestNewRefusesUnusableSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":   func(s *Settings) { s.Classes = nil },
		"no siblings":  func(s *Settings) { s.Gateways = 0 },
		"no attempts":  func(s *Settings) { s.MaxAttempts = 0 },
		"no aim":       func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"class twice":  func(s *Settings) { s.Classes[1].Name = s.Classes[0].Name },
		"plan twice":   func(s *Settings) { s.Plans[1].Name = s.Plans[0].Name },
		"no weight":    func(s *Settings) { s.Plans[0].Weight = 0 },
		"shards below": func(s *Settings) { s.Shards = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			spoil(&settings)
			if _, err := New(settings, 1); err == nil {
				t.Error("accepted")
			}
		})
	}
}

// Figures that settings leave out, or that are as small as they can be, make no decision senseless.
func TestFiguresThatAreAbsent(t *testing.T) {
	cold := func(gateway *testGateway) (sends int) { // a node that has just started, asked for a request of each volume
		gateway.step(EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 9, Shard: 0, StartedAt: gateway.now}}})
		for range 100 {
			a := gateway.newArrival("read", "gold", 1+gateway.nextVolume(), 2, 1)
			for range sentIDs(append(gateway.step(a), gateway.advance(20*ms)...)) {
				sends++
				gateway.step(AttemptEnded{ID: a.ID, Server: 9, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
			}
		}
		return sends
	}
	for name, c := range map[string]func(*Settings){
		"start capacity":       func(s *Settings) { s.InitialCapacity = 0 },
		"the cold rule's time": func(s *Settings) { s.OverloadWindow = 0 },
		"what cold nodes bear": func(s *Settings) { s.SlowStartUnits, s.InitialCapacity = 0, 0 },
		"worth, classes'": func(s *Settings) {
			for i := range s.Classes {
				s.Classes[i].PriorityWeight = 0
			}
		},
		"worth, plans'": func(s *Settings) {
			for i := range s.Plans {
				s.Plans[i].PriorityFactor = 0
			}
		},
		"sizes":                 func(s *Settings) { s.MeanUnits, s.MaxUnits, s.MinStepInterval = 0, 0, 0 },
		"worth beyond reserves": func(s *Settings) { s.FairShareWeight, s.SurplusWeight = 0, 0 },
	} {
		gateway := newTestGateway(t, c)
		if n := cold(gateway); n < 2 {
			t.Errorf("%s: %d of 100 sent", name, n)
		}
		for _, volume := range gateway.scheduler.volumes {
			if f := gateway.scheduler.shards[0].flowsByVolume; len(f) > 0 && math.IsNaN(gateway.scheduler.shards[0].virtualTime+volume.reserve.tokens) {
				t.Errorf("%s: a tag or level is no number", name)
			}
		}
	}
	// Without a bound on how long a gateway may go without asking, calls are spread over as long as all take.
	first := map[time.Duration]bool{}
	for seed := range uint64(20) {
		settings := testSettings()
		settings.PollEndpoints, settings.MaxPollInterval, settings.Gateways = true, 0, 300
		s, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(time.Hour, []Event{EndpointUpdate{Kind: CachedSnapshot}})
		first[(s.poller.nextPollAt - time.Hour).Round(time.Second)] = true
	}
	if len(first) < 8 {
		t.Errorf("20 gateways of 300 call within %d different seconds", len(first))
	}
	// A deployment with more shards than any known one has all of them served.
	gateway := newTestGateway(t, func(s *Settings) { s.Shards = 6000 })
	gateway.step(EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 9, Shard: 5999}, {ID: 10, Shard: 6000}}})
	a := gateway.newArrival("read", "gold", 1, 2, 1)
	a.Shard = 5999
	if got := sentIDs(gateway.step(a)); len(got) != 1 || len(gateway.scheduler.shards) != 6000 {
		t.Errorf("sent %v, %d shards", got, len(gateway.scheduler.shards))
	}
}

// nextVolume is one of seven, another for each request.
func (g *testGateway) nextVolume() int { return int(g.lastID % 7) }

// What is out for a client that has gone away is called off, once, where that is allowed.
func TestAttemptsOfTheGoneAreCalledOff(t *testing.T) {
	for _, may := range []bool{true, false} {
		gateway := newTestGateway(t, func(s *Settings) { s.AllowCancel = may })
		a, b := gateway.newArrival("read", "gold", 1, 2, 1), gateway.newArrival("once", "gold", 1, 2, 2)
		gateway.step(a, b)
		gateway.step(AttemptEnded{ID: b.ID, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
		var off []CancelAttempt
		for _, act := range append(gateway.step(RequestCanceled{ID: a.ID}, RequestCanceled{ID: b.ID}, RequestCanceled{ID: a.ID}), gateway.advance(50*ms)...) {
			if c, ok := act.(CancelAttempt); ok {
				off = append(off, c)
			}
		}
		if want := []CancelAttempt{{ID: a.ID}}; may && !slices.Equal(off, want) || !may && len(off) > 0 {
			t.Errorf("allowed %v: called off %v", may, off)
		}
		gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusCanceled, Latency: 9 * ms, RequestDone: true})
		if len(gateway.scheduler.requests) != 0 || gateway.scheduler.servers[1].inFlight != 0 {
			t.Errorf("allowed %v: %d requests kept, %d out", may, len(gateway.scheduler.requests), gateway.scheduler.servers[1].inFlight)
		}
	}
}

func TestOddEventsAreIgnoredOrRefused(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.step(AttemptEnded{ID: 99, Status: StatusOK}, RequestCanceled{ID: 99}, ResponseStarted{ID: 99}, ProbeEnded{Server: 77}, TimerFired{})
	a := gateway.newArrival("read", "gold", 1, 2, 5)
	if got := sentIDs(gateway.step(a, a)); len(got) != 1 {
		t.Errorf("a repeated id was sent %d times", len(got))
	}
	gateway.step(AttemptEnded{ID: a.ID, Attempt: 3, Status: StatusOK}, AttemptEnded{ID: a.ID, Attempt: -1, Status: StatusOK})
	for _, bad := range []func(*RequestArrived){func(arrival *RequestArrived) { arrival.Class = "none" }, func(arrival *RequestArrived) { arrival.Plan = "none" },
		func(arrival *RequestArrived) { arrival.Shard = 7 }, func(arrival *RequestArrived) { arrival.Shard = -2 }, func(arrival *RequestArrived) { arrival.TTL = 0 }} {
		a := gateway.newArrival("read", "gold", 1, 2, 5)
		bad(&a)
		if got := rejectedIDs(gateway.step(a)); len(got) != 1 || got[0] != a.ID {
			t.Errorf("%+v: refused %v", a, got)
		}
	}
	gateway.now -= time.Second
	gateway.step(TimerFired{}) // a clock that stands still or slips must not panic
}

func TestWindowFollowsLatency(t *testing.T) {
	quick, slow := newTestGateway(t, nil), newTestGateway(t, nil)
	quick.serveReads(3*time.Second, 10*ms, 20*ms, StatusOK)
	slow.serveReads(3*time.Second, 10*ms, 300*ms, StatusOK)
	if w, v := quick.scheduler.servers[1].window, slow.scheduler.servers[1].window; w < 2*v || v > 2 {
		t.Errorf("window %.1f at 20 ms, %.1f at 300 ms", w, v)
	}
}

func TestFastErrorsDoNotOpenTheWindow(t *testing.T) {
	gateway := newTestGateway(t, nil)
	before := gateway.scheduler.servers[1].latency
	gateway.serveReads(2*time.Second, 10*ms, 5*ms, StatusError)
	if gateway.scheduler.servers[1].latency != before || gateway.scheduler.servers[1].window > initialWindow {
		t.Errorf("L %v (was %v), window %.1f", gateway.scheduler.servers[1].latency, before, gateway.scheduler.servers[1].window)
	}
}

func TestSilentNodeGetsATrickleAndComesBack(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(time.Second, 10*ms, 30*ms, StatusOK)
	stuck := gateway.serveReads(3*time.Second, 10*ms, time.Hour, StatusOK) // nothing is answered
	if stuck > 35 {
		t.Errorf("%d requests sent to a silent node", stuck)
	}
	if back := gateway.serveReads(2*time.Second, 10*ms, 30*ms, StatusOK); back < 60 {
		t.Errorf("only %d sent after it answers again", back)
	}
}

func TestOneLostAnswerDoesNotShutTheNodeOff(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.scheduler.servers[1].window = 1
	lost := gateway.newArrival("read", "gold", 1, 2, 5)
	if len(sentIDs(gateway.step(lost))) != 1 {
		t.Fatal("not sent")
	}
	if n := gateway.serveReads(3*time.Second, 20*ms, 30*ms, StatusOK); n < 50 {
		t.Errorf("%d sent beside a lost answer", n)
	}
}

func TestImpatientClientsAreNotTakenForOldRepeats(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.step(gateway.newArrival("read", "gold", 1, 2, 5)) // shows the usual TTL
	gateway.scheduler.servers[1].window = 1                   // the next one must wait
	short, repeat := gateway.newArrival("read", "gold", 1, 2, 6), gateway.newArrival("read", "gold", 1, 2, 7)
	short.TTL, repeat.TTL = 150*ms, 2*time.Second
	if got := rejectedIDs(gateway.step(short, repeat)); len(got) != 1 || got[0] != repeat.ID {
		t.Errorf("refused %v, want only the repeat past its aim (%d)", got, repeat.ID)
	}
}

func TestSharesFollowWeights(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.scheduler.servers[1].window = 1
	var events []Event
	plan := map[RequestID]string{}
	for k := range 60 {
		p := []string{"gold", "twice"}[k%2]
		a := gateway.newArrival("bulk", p, k%2, 2, uint64(k))
		plan[a.ID], events = p, append(events, a)
	}
	count := map[string]int{}
	sent := sentIDs(gateway.step(events...))
	for len(sent) > 0 && count["gold"]+count["twice"] < 24 {
		id := sent[0]
		count[plan[id]]++
		gateway.now += 5 * ms
		gateway.scheduler.servers[1].window = 1
		sent = append(sent[1:], sentIDs(gateway.step(AttemptEnded{ID: id, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true}))...)
	}
	if count["twice"] < 14 || count["twice"] > 18 || count["gold"] < 6 {
		t.Errorf("sent %v, want about 1 to 2", count)
	}
}

func TestReservedUnitsLeaveFirst(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.scheduler.servers[1].window = 1
	first := gateway.newArrival("read", "gold", 1, 2, 1)
	gateway.step(first)
	gateway.step(gateway.newArrival("read", "twice", 2, 2, 2), gateway.newArrival("read", "twice", 2, 2, 3), gateway.newArrival("read", "kept", 3, 2, 4))
	gateway.now += 5 * ms
	gateway.scheduler.servers[1].window = 1
	got := sentIDs(gateway.step(AttemptEnded{ID: first.ID, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true}))
	if len(got) == 0 || got[0] != 4 {
		t.Errorf("sent %v, want the reserved 4 first", got)
	}
}

// Held behind a node that is busy, a request is given up when what is left of its aim is no longer worth a try: inside
// its reserve that is later than beyond it, and how much later follows from what units beyond reserves are worth.
func TestHeldCloserToTheAimInsideTheReserve(t *testing.T) {
	for _, c := range []struct {
		fairWorth      float64
		inside, beyond time.Duration // of an L of 100 ms
	}{{0.3, 36 * ms, 60 * ms}, {0, 30 * ms, 60 * ms}, {0.9, 60 * ms, 60 * ms}} {
		gateway := newTestGateway(t, func(s *Settings) { s.FairShareWeight = c.fairWorth })
		inside, beyond := gateway.newArrival("read", "kept", 1, 2, 1), gateway.newArrival("read", "gold", 2, 2, 2)
		given := map[RequestID]time.Duration{}
		for began := gateway.now; len(given) < 2 && gateway.now < began+time.Second; gateway.now += ms {
			server := gateway.scheduler.servers[1]
			server.latency, server.latencyUpdatedAt, server.backoffUntil = 100*ms, gateway.now, gateway.now+time.Second
			var events []Event
			if gateway.now == began {
				events = []Event{inside, beyond}
			}
			for _, id := range rejectedIDs(gateway.step(events...)) {
				given[id] = began + 400*ms - gateway.now
			}
		}
		for id, want := range map[RequestID]time.Duration{inside.ID: c.inside, beyond.ID: c.beyond} {
			if got := given[id]; got > want || got < want-3*ms {
				t.Errorf("worth %v: request %d given up %v before its aim, want %v", c.fairWorth, id, got, want)
			}
		}
	}
}

func TestLimitStartsEmptyAfterAStart(t *testing.T) {
	gateway := newTestGateway(t, nil)
	var events []Event
	for k := range 12 {
		events = append(events, gateway.newArrival("bulk", "capped", 1, 6, uint64(k)))
	}
	if got := sentIDs(gateway.step(events...)); len(got) != 0 {
		t.Errorf("sent %v from a bucket that a predecessor may have emptied", got)
	}
	if got := sentIDs(gateway.advance(1000 * ms)); len(got) != 3 { // 20 units a second: 6 at 0.3, 0.6 and 0.9 s
		t.Errorf("sent %d in a second, want 3", len(got))
	}
}

func TestDrainingAndGoneNodesGetNothing(t *testing.T) {
	for name, l := range map[string]EndpointUpdate{
		"draining":     {Kind: Delta, Servers: []Server{{ID: 1, State: Draining}}},
		"gone":         {Kind: Delta, Servers: []Server{{ID: 1, State: Removed}}},
		"not in whole": {Kind: Snapshot, Servers: []Server{{ID: 2, Shard: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, nil)
			gateway.step(l)
			gateway.step(EndpointUpdate{Kind: WatchFailed}) // a broken list changes nothing
			a := gateway.newArrival("read", "gold", 1, 2, 5)
			got := append(gateway.step(a), gateway.advance(time.Second)...)
			if len(sentIDs(got)) != 0 || len(rejectedIDs(got)) != 1 {
				t.Errorf("sent %v, refused %v", sentIDs(got), rejectedIDs(got))
			}
		})
	}
}

func TestReplacementKeepsTheWarmNodeInUse(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.advance(2 * time.Second) // the cold node bears the request by now
	gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 3, Shard: 0, StartedAt: gateway.now}}})
	for _, a := range gateway.step(gateway.newArrival("read", "gold", 1, 2, 5)) {
		if a, ok := a.(Send); ok && a.Server != 1 {
			t.Errorf("sent to the cold node %d", a.Server)
		}
	}
}

func TestColdNode(t *testing.T) {
	restart := func(gateway *testGateway) {
		gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, StartedAt: gateway.now}}})
	}
	t.Run("right after the own start nothing", func(t *testing.T) {
		gateway := newTestGateway(t, nil)
		restart(gateway)
		if got := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 5))); len(got) != 0 {
			t.Errorf("sent %v", got)
		}
	})
	t.Run("a gateway that nobody asks usually sends its even part, one request at a time", func(t *testing.T) {
		gateway := newTestGateway(t, func(s *Settings) { s.Plans[0].Rate = 0.1 })
		gateway.advance(2 * time.Second)
		restart(gateway)
		sends, units := 0, 0.0
		for k := range 400 { // 4 s of more than it may send, held long enough to wait for its turn
			gateway.now += 10 * ms
			events := []Event{gateway.newArrival("bulk", "gold", 1, 2, uint64(k))}
			for _, id := range sentIDs(gateway.step(events...)) {
				sends, units = sends+1, units+2
				gateway.step(AttemptEnded{ID: id, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
			}
		}
		// Half of 12 units a second when it starts, twice that after 4 s, and a burst.
		if units < 18 || units > 42 {
			t.Errorf("%d requests, %.0f units in 4 s, want about 6 units a second growing slowly", sends, units)
		}
	})
	t.Run("what was sent before does not widen the bound, nor do quick answers", func(t *testing.T) {
		gateway := newTestGateway(t, func(s *Settings) { s.Plans[0].Rate = 100 })
		gateway.serveReads(20*time.Second, 20*ms, 30*ms, StatusOK)
		restart(gateway)
		if n := gateway.serveReads(time.Second, 10*ms, 30*ms, StatusOK); n < 2 || n > 4 { // half of 12 units in a second, and a burst
			t.Errorf("%d sent in the first second", n)
		}
	})
	// asked plays 12 s of a request of 2 units every 500 ms, to a node that has just started, on one of 80 gateways, whose
	// even part is 0.11 to 0.5 units a second.
	asked := func(lat time.Duration) (sends int) {
		gateway := newTestGateway(t, func(s *Settings) { s.Gateways = 80 })
		restart(gateway)
		type pending struct {
			at time.Duration
			o  AttemptEnded
		}
		var out []pending
		for k := range 1200 {
			gateway.now += 10 * ms
			events := []Event{TimerFired{}}
			for len(out) > 0 && out[0].at <= gateway.now {
				events, out = append(events, out[0].o), out[1:]
			}
			if k%50 == 0 {
				events = append(events, gateway.newArrival("bulk", "gold", 1, 2, uint64(k)))
			}
			for _, id := range sentIDs(gateway.step(events...)) {
				sends++
				out = append(out, pending{gateway.now + lat, AttemptEnded{ID: id, Server: 1, Status: StatusOK, Latency: lat, RequestDone: true}})
			}
		}
		return sends
	}
	t.Run("one of many sends its even part, however quick the answers are", func(t *testing.T) {
		if quick, slow := asked(5*ms), asked(100*ms); quick < 1 || quick > 3 || slow < 1 || slow > quick {
			t.Errorf("of 24 requests %d were sent with answers of 5 ms, %d with answers of 100 ms", quick, slow)
		}
	})
	t.Run("a surge does not count as usual", func(t *testing.T) {
		gateway := newTestGateway(t, func(s *Settings) { s.Plans[0].Rate = 2 })
		restart(gateway)
		n := gateway.serveReads(4*time.Second, 10*ms, 500*ms, StatusOK) // 200 units a second
		if units := 2 * n; units > 30 {
			t.Errorf("%d units sent in 4 s", units)
		}
	})
}

func TestKeysTakeTurns(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.KeyCooldown = 200 * ms })
	a, b, c := gateway.newArrival("once", "gold", 1, 2, 5), gateway.newArrival("once", "gold", 1, 2, 5), gateway.newArrival("once", "gold", 1, 2, 6)
	if got := sentIDs(gateway.step(a, b, c)); len(got) != 2 || got[0] != a.ID || got[1] != c.ID {
		t.Fatalf("sent %v, want %d and %d: a key must not block its volume", got, a.ID, c.ID)
	}
	gateway.now += 20 * ms
	got := gateway.step(AttemptEnded{ID: c.ID, Server: 1, Status: StatusOK, RequestDone: true}, AttemptEnded{ID: a.ID, Server: 1, Status: StatusConnectionReset})
	if len(failedIDs(got)) != 1 || len(sentIDs(got)) != 0 {
		t.Fatalf("after a reset: %v", got)
	}
	if got := sentIDs(gateway.advance(150 * ms)); len(got) != 0 {
		t.Errorf("sent %v before the key had rested", got)
	}
	if got := sentIDs(gateway.advance(150 * ms)); len(got) != 1 || got[0] != b.ID {
		t.Errorf("sent %v after the rest, want %d", got, b.ID)
	}
}

func TestFurtherAttemptsKeepTheBudget(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.RetryBudgetMin, s.RetryBudgetRatio, s.RetryBudgetWindow = 3, 0.1, 5*time.Second })
	further := 0
	for k := range 40 {
		a := gateway.newArrival("bulk", "gold", 1, 2, uint64(k))
		gateway.step(a)
		gateway.now += 5 * ms
		gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusError, Latency: 5 * ms})
		for _, id := range sentIDs(gateway.advance(50 * ms)) {
			if id == a.ID {
				further++
				gateway.step(AttemptEnded{ID: a.ID, Attempt: 1, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
			}
		}
	}
	if further < 3 || further > 7 {
		t.Errorf("%d further attempts for 40 requests, want 3 to 7", further)
	}
}

func TestListIsAskedForAgain(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.PollEndpoints = true })
	count := func(actions []Action) (n int) {
		for _, a := range actions {
			if _, ok := a.(WatchEndpoints); ok {
				n++
			}
		}
		return n
	}
	gateway.step(EndpointUpdate{Kind: WatchFailed})
	if n := count(gateway.advance(5 * time.Second)); n == 0 {
		t.Fatal("not asked again after a broken call")
	}
	if n := count(gateway.advance(20 * time.Second)); n < 3 || n > 4 {
		t.Errorf("asked %d times in 20 s while no call is answered, want one every AskWithin/2", n)
	}
	gateway.step(EndpointUpdate{Kind: Delta})
	if n := count(gateway.advance(60 * time.Second)); n != 0 {
		t.Errorf("asked %d times while subscribed", n)
	}
	for range 5 {
		gateway.step(EndpointUpdate{Kind: WatchFailed})
		if n := count(gateway.advance(10 * time.Second)); n < 1 || n > 3 {
			t.Errorf("asked %d times in 10 s after a broken call", n)
		}
	}
}

// TestOverlap: a node hangs during a surge while the list is broken, and the gateway itself is new.
func TestOverlap(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.PollEndpoints = true })
	gateway.step(EndpointUpdate{Kind: WatchFailed})
	sends := gateway.serveReads(3*time.Second, 5*ms, time.Hour, StatusOK)
	open := 0
	for _, request := range gateway.scheduler.requests {
		if !request.finished && request.expiresAt < gateway.now {
			open++
		}
	}
	if open != 0 || sends > 30 {
		t.Errorf("%d overdue, %d sent to a silent node", open, sends)
	}
}

// TestLateRequestsDoNotTakeThePlaceOfFreshOnes: what is past its aim is refused at once.
func TestLateRequestsDoNotTakeThePlaceOfFreshOnes(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(500*ms, 50*ms, 20*ms, StatusOK)
	late := gateway.newArrival("read", "gold", 1, 2, 9)
	late.TTL -= time.Second // a client's repeat, past its aim of 400 ms
	if got := rejectedIDs(gateway.step(late)); len(got) != 1 {
		t.Errorf("refused %v, want %d at once", got, late.ID)
	}
	gateway.advance(3 * time.Second)
	late = gateway.newArrival("read", "gold", 1, 2, 9)
	late.TTL -= time.Second
	if got := rejectedIDs(gateway.step(late)); len(got) != 1 {
		t.Errorf("refused %v, want %d: a node left alone is no reason either", got, late.ID)
	}
}

// TestALatenessOfTheLinkIsNoRepeat: a request that a poor link kept back goes out at once where a quick node has
// room, though its aim is over. The same time spent by an earlier try, or a slow node, still gets a refusal.
func TestALatenessOfTheLinkIsNoRepeat(t *testing.T) {
	for name, c := range map[string]struct {
		came, latency time.Duration
		want          int
	}{
		"the link":               {time.Second, 20 * ms, 1},
		"an earlier try":         {0, 20 * ms, 0},
		"a little of it":         {10 * ms, 20 * ms, 0},
		"the link, a slow node":  {2900 * ms, 900 * ms, 0},
		"the link, time for one": {2950 * ms, 20 * ms, 1},
		"the link, its aim over": {2500 * ms, 20 * ms, 1},
	} {
		gateway := newTestGateway(t, nil)
		gateway.serveReads(500*ms, 50*ms, c.latency, StatusOK)
		r := gateway.newArrival("read", "gold", 1, 2, 9)
		r.TTL, r.ClientDelay = r.TTL-max(c.came, time.Second), c.came
		got := gateway.step(r)
		if sent, refused := len(sentIDs(got)), len(rejectedIDs(got)); sent != c.want || sent+refused != 1 {
			t.Errorf("%s: %d sent, %d refused, want %d sent", name, sent, refused, c.want)
		}
	}
}

// TestFreshRequestsOfLessTime: fronts give a class different times; less of it is no sign of a repeat where the
// gateway knows better, and more of it tells nothing of the others.
func TestFreshRequestsOfLessTime(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(500*ms, 50*ms, 20*ms, StatusOK)
	long := gateway.newArrival("read", "gold", 1, 2, 9)
	long.TTL, long.IsFirstAttempt = 3*long.TTL, true
	plain := gateway.newArrival("read", "gold", 1, 2, 10)
	short := gateway.newArrival("read", "gold", 1, 2, 11)
	short.TTL, short.IsFirstAttempt = short.TTL/2, true
	if sent := sentIDs(gateway.step(long, plain, short)); len(sent) != 3 {
		t.Errorf("sent %v, want all three", sent)
	}
}

// TestAMissingOutcomeStillGetsAnAnswer: the end of the client's time is enough, whatever becomes of the attempt.
func TestAMissingOutcomeStillGetsAnAnswer(t *testing.T) {
	gateway := newTestGateway(t, nil)
	a, b := gateway.newArrival("once", "gold", 1, 2, 5), gateway.newArrival("read", "gold", 1, 2, 6)
	if len(sentIDs(gateway.step(a, b))) != 2 {
		t.Fatal("not sent")
	}
	got := gateway.advance(2900 * ms)
	if len(failedIDs(got))+len(rejectedIDs(got)) != 0 {
		t.Errorf("answered early: %v", got)
	}
	got = gateway.advance(105 * ms)
	if f, r := failedIDs(got), rejectedIDs(got); len(f) != 1 || f[0] != a.ID || len(r) != 1 || r[0] != b.ID {
		t.Errorf("failed %v, refused %v; want %d failed, as it may have run, and %d refused", f, r, a.ID, b.ID)
	}
}

func TestRepeatsStayInTheirZone(t *testing.T) {
	for zone, want := range map[string]int{"za": 1, "zb": 0} {
		gateway := newTestGateway(t, func(s *Settings) {
			s.Classes[1].Idempotency, s.Classes[1].DedupScope, s.Classes[1].DedupWindow = IdempotentWithKey, DedupZone, 5*time.Second
		})
		gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, Zone: "za"}}})
		a := gateway.newArrival("bulk", "gold", 1, 2, 5)
		gateway.step(a)
		gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, State: Removed, Zone: "za"}, {ID: 3, Zone: zone}}})
		got := append(gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusError}), gateway.advance(3*time.Second)...)
		if n := len(sentIDs(got)); n != want {
			t.Errorf("successor in %s: %d repeats, want %d", zone, n, want)
		}
	}
}

// A repeat of what may have run goes out with the time by which it has to begin: its nodes drop repeats for so long from
// the first attempt on, whatever it has to wait for. What has not run, or may be repeated at will, has no such time.
func TestRepeatsBeginInsideTheirWindow(t *testing.T) {
	for name, c := range map[string]struct {
		effect Idempotency
		status Status
		want   bool
	}{
		"may have run": {IdempotentWithKey, StatusError, true},
		"has not run":  {IdempotentWithKey, StatusConnectFailed, false},
		"at will":      {Idempotent, StatusError, false},
	} {
		gateway := newTestGateway(t, func(s *Settings) {
			s.Classes[1].Idempotency, s.Classes[1].DedupScope, s.Classes[1].DedupWindow = c.effect, DedupCell, 5*time.Second
		})
		a := gateway.newArrival("bulk", "gold", 1, 2, 5)
		first, got := gateway.now, gateway.step(a)
		gateway.now += 100 * ms
		got = append(got, gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: c.status})...)
		got = append(got, gateway.advance(2*time.Second)...)
		var before []time.Duration
		for _, a := range got {
			if s, ok := a.(Send); ok {
				before = append(before, s.StartDeadline)
			}
		}
		want := []time.Duration{0, 0}
		if c.want {
			want[1] = first + 5*time.Second
		}
		if !slices.Equal(before, want) {
			t.Errorf("%s: to begin before %v, want %v", name, before, want)
		}
	}
}

// TestWindowUnderOneIsKeptInTime: one request is out for that part of the time, and reserved units do not wait.
func TestWindowUnderOneIsKeptInTime(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.Gateways = 100 })
	server := gateway.scheduler.servers[1]
	server.window, server.surplusWindow, server.latency, server.lastDuration, server.lastEndedAt = 0.25, 0.25, 40*ms, 40*ms, gateway.now
	a, kept := gateway.newArrival("bulk", "gold", 1, 2, 5), gateway.newArrival("bulk", "kept", 3, 2, 6)
	if got := sentIDs(gateway.step(a)); len(got) != 0 {
		t.Errorf("sent %v right after an answer with a window of a quarter", got)
	}
	gateway.now += 30 * ms
	if got := sentIDs(gateway.step(kept)); len(got) != 1 || got[0] != kept.ID {
		t.Errorf("sent %v, want the reserved %d", got, kept.ID)
	}
	gateway.now += 20 * ms
	gateway.step(AttemptEnded{ID: kept.ID, Server: 1, Status: StatusOK, Latency: 20 * ms, RequestDone: true})
	server.window, server.surplusWindow = 0.25, 0.25
	if got := sentIDs(gateway.advance(150 * ms)); len(got) != 1 || got[0] != a.ID {
		t.Errorf("sent %v, want %d after three times what the last one took", got, a.ID)
	}
}

// TestFewAnswersMoveL: a gateway that sees an answer every two seconds must follow a node that has turned slow.
func TestFewAnswersMoveL(t *testing.T) {
	gateway := newTestGateway(t, nil)
	for range 3 {
		gateway.advance(2 * time.Second)
		a := gateway.newArrival("bulk", "gold", 1, 2, 5)
		gateway.step(a)
		gateway.advance(600 * ms)
		gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusOK, Latency: 600 * ms, RequestDone: true})
	}
	gateway.advance(100 * ms)
	if l := gateway.scheduler.servers[1].latency; l < 450*ms {
		t.Errorf("L is %v after three answers of 600 ms", l)
	}
}

// TestLFadesWithNothingOut: after a flood the node is empty; requests must not be refused for what was.
func TestLFadesWithNothingOut(t *testing.T) {
	gateway := newTestGateway(t, nil)
	server := gateway.scheduler.servers[1]
	server.latency, server.latencyUpdatedAt = time.Second, gateway.now
	if got := rejectedIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 5))); len(got) != 1 {
		t.Fatalf("refused %v right after answers of a second, want it", got)
	}
	gateway.advance(2 * time.Second)
	if got := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 6))); len(got) != 1 {
		t.Errorf("sent %v two seconds later, want it", got)
	}
}

// TestASleepIsNotTheNodesLatency: what a stalled gateway is told on waking counts its own sleep.
func TestASleepIsNotTheNodesLatency(t *testing.T) {
	gateway := newTestGateway(t, nil)
	before := gateway.scheduler.servers[1].latency
	a := gateway.newArrival("bulk", "gold", 1, 2, 5)
	gateway.step(a)
	gateway.now += 1800 * ms
	gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusOK, Latency: 1800 * ms, RequestDone: true}, TimerFired{})
	gateway.advance(200 * ms)
	if l := gateway.scheduler.servers[1].latency; l > 2*before {
		t.Errorf("L went from %v to %v over a sleep", before, l)
	}
	if got := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 6))); len(got) != 1 {
		t.Errorf("sent %v after a sleep, want it", got)
	}
}

// TestSurgesLeaveByTheSpareWindow: what a volume asks beyond its usual rate is sent one at a time where many
// gateways share the node, and all at once where few do.
func TestSurgesLeaveByTheSpareWindow(t *testing.T) {
	for siblings, want := range map[int][2]int{2: {7, 8}, 100: {1, 5}} {
		gateway := newTestGateway(t, func(s *Settings) { s.Gateways = siblings })
		var events []Event
		for k := range 12 {
			events = append(events, gateway.newArrival("bulk", "gold", 1, 6, uint64(k)))
		}
		if got := len(sentIDs(gateway.step(events...))); got < want[0] || got > want[1] {
			t.Errorf("%d gateways: %d of 12 sent at once, want %v", siblings, got, want)
		}
	}
}

// TestPartOfTheReserveIsLearned: a host that carries all of a volume may use all of its reserve; absurd and
// missing news leave the even part.
func TestPartOfTheReserveIsLearned(t *testing.T) {
	for name, c := range map[string]struct {
		foreign  float64
		min, max float64
	}{
		"alone":  {0, 60, 100},
		"a part": {18, 5, 30},
		"absurd": {1e300, 24, 26},
		"nan":    {nan(), 24, 26},
		"below":  {-5, 24, 26},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, func(s *Settings) { s.ReportsForeignUnits, s.Gateways = true, 8 })
			for k := range 40 {
				a := gateway.newArrival("read", "kept", 3, 2, uint64(k))
				a.Gateways = 4
				if len(sentIDs(gateway.step(a))) == 0 {
					t.Fatal("not sent")
				}
				gateway.now += 20 * ms
				gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusOK, Latency: 20 * ms, ForeignUnits: c.foreign, RequestDone: true})
			}
			if r := gateway.scheduler.volumes[3].reserve.rate; !(r >= c.min && r <= c.max) {
				t.Errorf("reserve of this gateway %.1f of 100, want %v to %v", r, c.min, c.max)
			}
		})
	}
}

func nan() float64 { z := 0.0; return z / z }

// TestBadInput: no panic, and what cannot be judged is refused.
func TestBadInput(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.ReportsForeignUnits, s.UsagePeriod = true, time.Second })
	for _, units := range []float64{nan(), -1, 1e300} {
		a := gateway.newArrival("read", "capped", 1, units, 5)
		if got := rejectedIDs(gateway.step(a)); len(got) != 1 {
			t.Errorf("%v units: refused %v", units, got)
		}
	}
	for _, hosts := range []int{0, -3, 99} {
		a := gateway.newArrival("read", "gold", 40+hosts, 2, 5)
		a.Gateways = hosts
		gateway.step(a)
		if h := gateway.scheduler.volumes[a.Volume].gateways; h != 2 {
			t.Errorf("hosts %d read as %v, want all siblings", hosts, h)
		}
	}
	a := gateway.newArrival("read", "gold", 1, 2, 5)
	gateway.step(a, AttemptEnded{ID: a.ID, LoadReport: []float64{nan(), -1, 1e300, 4, 5, 6}, VolumeUsage: nan(), HasVolumeUsage: true,
		Latency: -time.Hour, Status: StatusOK, RequestDone: true})
	var nodes []Server
	for k := range 60 {
		nodes = append(nodes, Server{ID: ServerID(k), Shard: k % 2, StartedAt: gateway.now + time.Duration(k)*time.Second})
	}
	gateway.step(EndpointUpdate{Kind: Snapshot, Servers: nodes})
	gateway.now += time.Hour
	gateway.step(gateway.newArrival("read", "gold", 1, 2, 5), TimerFired{})
	if l := gateway.scheduler.servers[1].latency; l <= 0 {
		t.Errorf("L is %v", l)
	}
}

// TestMemoryIsBounded: gone nodes and idle flows are forgotten, and idle shards are not walked.
func TestMemoryIsBounded(t *testing.T) {
	gateway := newTestGateway(t, nil)
	for k := range 200 {
		id := ServerID(1000 + k)
		gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: id, Shard: 0}}})
		a := gateway.newArrival("bulk", "gold", k, 2, uint64(k))
		for _, id := range sentIDs(append(gateway.step(a), gateway.advance(50*ms)...)) {
			gateway.step(AttemptEnded{ID: id, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
		}
		gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: id, Shard: 0, State: Removed}}})
	}
	gateway.advance(30 * time.Second)
	if len(gateway.scheduler.servers) != 2 || len(gateway.scheduler.shards[0].flows) != 0 || len(gateway.scheduler.activeShards) != 0 || len(gateway.scheduler.requests) != 0 {
		t.Errorf("%d nodes, %d flows, %d busy shards, %d requests kept", len(gateway.scheduler.servers), len(gateway.scheduler.shards[0].flows),
			len(gateway.scheduler.activeShards), len(gateway.scheduler.requests))
	}
	if len(gateway.scheduler.volumes) != 200 {
		t.Errorf("%d volumes are known, want 200 that have asked a while ago", len(gateway.scheduler.volumes))
	}
	// The books of one whose limit is not full yet must stay: a new one's would let it ask for more.
	slow := gateway.newArrival("bulk", "capped", 999, 20, 1)
	gateway.step(slow)
	gateway.now += volumeIdleTimeout + time.Second
	gateway.scheduler.volumes[999].limit.configure(0.001, 1e9, gateway.now)
	gateway.step(gateway.newArrival("bulk", "gold", 1, 2, 1), TimerFired{})
	if len(gateway.scheduler.volumes) != 2 || gateway.scheduler.volumes[999] == nil {
		t.Errorf("%d volumes are known, want the one that asks and the one in debt", len(gateway.scheduler.volumes))
	}
}

// TestARestartClearsWhatBelongedToTheOldProcess: failed connects of the old one do not hold the new one up.
func TestARestartClearsWhatBelongedToTheOldProcess(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.advance(2 * time.Second)
	for range 4 {
		a := gateway.newArrival("read", "gold", 1, 2, 5)
		if len(sentIDs(gateway.step(a))) == 1 {
			gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusConnectFailed})
		}
	}
	server := gateway.scheduler.servers[1]
	if server.connectFailures == 0 || server.backoffUntil <= gateway.now {
		t.Fatalf("no hold after failed connects")
	}
	gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, StartedAt: gateway.now}}})
	if server.connectFailures != 0 || server.backoffUntil > gateway.now {
		t.Errorf("%d failures, held until %v, after its restart", server.connectFailures, server.backoffUntil)
	}
}

// TestTheOldestAttemptTellsBeforeItsAnswer: a request that could no longer be answered in time behind one that is
// out for long is refused, not held until it is late.
func TestTheOldestAttemptTellsBeforeItsAnswer(t *testing.T) {
	gateway := newTestGateway(t, nil)
	if len(sentIDs(gateway.step(gateway.newArrival("bulk", "gold", 1, 2, 5)))) != 1 {
		t.Fatal("not sent")
	}
	gateway.scheduler.servers[1].latency = 200 * ms // so that the node is not silent yet
	gateway.advance(700 * ms)
	if got := rejectedIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 6))); len(got) != 1 {
		t.Errorf("refused %v, want the read with an aim of 400 ms while 700 ms are owed", got)
	}
}

// TestAWindowUnderOneGrowsBack: with nothing out there is nothing against it, and no answer would ever tell.
func TestAWindowUnderOneGrowsBack(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.Gateways = 100 })
	server := gateway.scheduler.servers[1]
	server.window, server.surplusWindow, server.latency, server.lastDuration, server.lastEndedAt = 0.05, 0.05, time.Second, time.Second, gateway.now
	a := gateway.newArrival("bulk", "gold", 1, 2, 5)
	a.TTL = 8 * time.Second
	if got := sentIDs(append(gateway.step(a), gateway.advance(1900*ms)...)); len(got) != 1 {
		t.Errorf("sent %v within two seconds, want it: a twentieth of a window would wait 19", got)
	}
}

// A refused client is told when to come back: soon, while its aim can still be met, and once its limit has room.
func TestRefusalsTellWhenToComeBack(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.MaxRetryAfter = 500 * ms })
	come := map[RequestID]time.Duration{}
	a, b := gateway.newArrival("read", "capped", 1, 6, 1), gateway.newArrival("read", "gold", 2, 6, 2)
	gateway.scheduler.volumeFor(&a, gateway.scheduler.plans["capped"]).limit.tokens = -2 // 8 units short at 20 a second
	b.TTL = ms                                                                           // too late for its node
	for _, act := range append(gateway.step(a, b), gateway.advance(time.Second)...) {
		if r, ok := act.(Reject); ok {
			come[r.ID] = r.RetryAfter
		}
	}
	if len(come) != 2 {
		t.Fatalf("refused: %v", come)
	}
	if c := come[b.ID]; c <= 0 || c > 2*gateway.scheduler.latencyThreshold {
		t.Errorf("late at its node: come back in %v", c)
	}
	if c := come[a.ID]; c <= 0 || c > 400*ms {
		t.Errorf("limit: come back in %v", c)
	}
}

// A volume that comes through more gateways than first told has a smaller part of its limit in each.
func TestLimitFollowsTheMostHostsTold(t *testing.T) {
	gateway := newTestGateway(t, nil)
	a := gateway.newArrival("read", "capped", 1, 1, 1)
	volume := gateway.scheduler.volumeFor(&a, gateway.scheduler.plans["capped"])
	a.Gateways = 2
	if gateway.scheduler.volumeFor(&a, gateway.scheduler.plans["capped"]); volume.limit.rate != 10 || volume.limit.capacity != 12 {
		t.Errorf("two hosts: rate %v, most %v", volume.limit.rate, volume.limit.capacity)
	}
	a.Gateways = 1
	if gateway.scheduler.volumeFor(&a, gateway.scheduler.plans["capped"]); volume.limit.rate != 10 {
		t.Errorf("one again: rate %v", volume.limit.rate)
	}
}

// TestABrokenConnectionIsNoBrokenNode: a reset holds a node back only if it has not answered of late on others.
func TestABrokenConnectionIsNoBrokenNode(t *testing.T) {
	for _, answered := range []bool{true, false} {
		gateway := newTestGateway(t, nil)
		a, b, c := gateway.newArrival("read", "gold", 1, 2, 1), gateway.newArrival("read", "gold", 2, 2, 2), gateway.newArrival("read", "gold", 3, 2, 3)
		if got := sentIDs(gateway.step(a, b)); len(got) != 2 {
			t.Fatalf("sent %v", got)
		}
		if answered {
			gateway.now += 5 * ms
			gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
		}
		gateway.now += 5 * ms
		gateway.step(AttemptEnded{ID: b.ID, Server: 1, Status: StatusConnectionReset, RequestDone: true})
		if got := sentIDs(gateway.step(c)); (len(got) == 1) != answered {
			t.Errorf("answered %v: sent %v", answered, got)
		}
	}
}

// TestANodeThatTurnsAllAwayIsLeftAlone: the list is late to tell of a drain. New objects go to other nodes, also
// those that the node has just turned away, and requests for its own data do not spend their attempts at once.
func TestANodeThatTurnsAllAwayIsLeftAlone(t *testing.T) {
	gateway := newTestGateway(t, nil)
	away := func(actions []Action) (sends int) { // node 1 turns away, node 2 holds what it gets
		for len(sentIDs(actions)) > 0 {
			var next []Event
			for _, a := range actions {
				if a, ok := a.(Send); ok && a.Server == 1 {
					sends++
					next = append(next, AttemptEnded{ID: a.ID, Attempt: len(gateway.scheduler.requests[a.ID].attempts) - 1, Server: 1, Status: StatusOverloaded})
				}
			}
			gateway.now += ms
			actions = gateway.step(next...)
		}
		return sends
	}
	fresh := func() RequestArrived {
		a := gateway.newArrival("read", "gold", int(gateway.lastID), 2, 1)
		a.Shard = -1
		return a
	}
	busy := gateway.newArrival("read", "gold", int(gateway.lastID), 2, 1)
	busy.Shard = 1
	gateway.step(busy) // so node 1 has less to do
	first := fresh()
	if n := away(gateway.step(first)); n != 1 {
		t.Errorf("a new object was sent %d times to the node that turns away", n)
	}
	gateway.advance(20 * ms)
	if tries := gateway.scheduler.requests[first.ID].attempts; len(tries) != 2 || tries[1].server.ID != 2 {
		t.Errorf("it was not sent elsewhere: %d attempts", len(tries))
	}
	for range 5 {
		if n := away(gateway.step(fresh())); n != 0 {
			t.Errorf("a further new object went to the node that turns away")
		}
	}
	own, sends := 0, 0
	for range 40 {
		a := gateway.newArrival("read", "gold", int(gateway.lastID), 2, 1)
		own++
		sends += away(append(gateway.step(a), gateway.advance(5*ms)...))
	}
	if sends < 2 || sends > own/2 {
		t.Errorf("%d attempts of %d requests in 200 ms", sends, own)
	}
}

// TestAFleetSpreadsNewObjects: many gateways that each have next to nothing out must not all take the same node
// for the roomiest; nor does a node that is known to be slow, cold or silent get new objects while others do not.
func TestAFleetSpreadsNewObjects(t *testing.T) {
	const gates, shards, bad = 200, 20, 3
	got := make([]int, shards)
	for seed := range uint64(gates) {
		settings := testSettings()
		settings.Gateways, settings.Shards = gates, shards
		s, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		l := endpointList(shards)
		l.Servers[0].StartedAt = time.Hour
		s.Step(time.Hour, []Event{l})
		now := time.Hour + 5*time.Second
		a := RequestArrived{ID: 1, Class: "read", Plan: "gold", TTL: time.Second, Units: 1, Shard: 1, Gateways: 1}
		s.Step(now, []Event{a}) // node 2 owes an answer for long
		now += 900 * ms
		s.servers[3].connectFailures = 1
		a.ID, a.Shard = 2, -1
		for _, a := range s.Step(now, []Event{a}) {
			if a, ok := a.(Send); ok {
				got[a.Server-1]++
			}
		}
	}
	for i, n := range got {
		if fair := gates / (shards - bad); i < bad && n > 0 || i >= bad && (n < fair/4 || n > 3*fair) {
			t.Errorf("node %d got %d of %d new objects: %v", i+1, n, gates, got)
		}
	}
}

// TestAFleetIsTold: all gateways start at once, and discovery takes its time for each call, in turn. It gives up on
// calls that waited 2 s, but has their work all the same. Calls that come together, fail together and come again
// together would keep it busy for good with calls that fail. Where it is quick, a large fleet must not wait as long
// as a slow one would take: a gateway that is not told in time knows no node that has come since.
func TestAFleetIsTold(t *testing.T) {
	for _, c := range []struct {
		gates        int
		cost, within time.Duration
		calls        int // most of them, for each gateway
	}{
		{80, 100 * ms, 30 * time.Second, 2},
		{300, 10 * ms, 5500 * ms, 1},
		{300, 50 * ms, 90 * time.Second, 6},
	} {
		t.Run(fmt.Sprint(c.gates, "x", c.cost), func(t *testing.T) { simulatePolls(t, c.gates, c.cost, c.within, c.calls) })
	}
}

func simulatePolls(t *testing.T, gates int, cost, within time.Duration, each int) {
	const most = 2 * time.Second
	type call struct {
		gate       int
		from, upTo time.Duration
		end        bool
	}
	now, free, calls, told := time.Hour, time.Hour, []*call{}, 0
	schedulers, queue := make([]*Scheduler, gates), make([][]Event, gates)
	for i := range schedulers {
		settings := testSettings()
		settings.Gateways, settings.PollEndpoints = gates, true
		s, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		schedulers[i], queue[i] = s, []Event{EndpointUpdate{Kind: CachedSnapshot, Servers: []Server{{ID: 1}, {ID: 2, Shard: 1}}}}
	}
	for ; now < time.Hour+within; now += 10 * ms {
		for _, c := range calls {
			switch {
			case c.end:
			case now >= c.upTo && c.upTo <= c.from+most:
				c.end, told = true, told+1
				queue[c.gate] = append(queue[c.gate], EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}, {ID: 2, Shard: 1}}})
			case now >= c.from+most:
				c.end = true
				queue[c.gate] = append(queue[c.gate], EndpointUpdate{Kind: WatchFailed})
			}
		}
		for i, s := range schedulers {
			for _, a := range s.Step(now, append(queue[i], TimerFired{})) {
				if _, ok := a.(WatchEndpoints); ok {
					free = max(free, now) + cost
					calls = append(calls, &call{gate: i, from: now, upTo: free})
				}
			}
			queue[i] = nil
		}
	}
	if told != gates || len(calls) > each*gates {
		t.Errorf("%d of %d gateways were told in %v, by %d calls", told, gates, within, len(calls))
	}
}

// placeNewObjects tells where a gateway puts new objects that it is asked for one by one, each answered at once.
func placeNewObjects(t *testing.T, s *Scheduler, now *time.Duration, id *RequestID, count int, answer func(ServerID) Status) map[ServerID]int {
	t.Helper()
	got := map[ServerID]int{}
	for range count {
		*now += 20 * ms
		*id++
		a := RequestArrived{ID: *id, Class: "read", Plan: "gold", TTL: 3 * time.Second, Units: 1, Shard: -1, Gateways: 1}
		for _, a := range s.Step(*now, []Event{a}) {
			switch a := a.(type) {
			case ProbeServer:
				t.Fatal("a probe")
			case Send:
				got[a.Server]++
				s.Step(*now+5*ms, []Event{AttemptEnded{ID: a.ID, Server: a.Server, Status: answer(a.Server), Latency: 5 * ms, RequestDone: true}})
			}
		}
		*now += 5 * ms
	}
	return got
}

// TestNewObjectsKeepToNodesThatAreMet: a gateway that puts its new objects on ever new nodes opens a connection to
// each of them, and so do all the others: handshakes cost the nodes work. Nor do new objects go to a node that has
// just answered with an error, as quick as that may be, until it has rested.
func TestNewObjectsKeepToNodesThatAreMet(t *testing.T) {
	settings := testSettings()
	settings.Shards = 60
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now, id := time.Hour, RequestID(0)
	s.Step(now, []Event{endpointList(settings.Shards)})
	fine := func(ServerID) Status { return StatusOK }
	got := placeNewObjects(t, s, &now, &id, 200, fine)
	if len(got) != minKnownServers {
		t.Errorf("200 new objects went to %d nodes, want %d: %v", len(got), minKnownServers, got)
	}
	var bad ServerID
	for n := range got {
		bad = max(bad, n)
	}
	errs := placeNewObjects(t, s, &now, &id, 100, func(n ServerID) Status {
		if n == bad {
			return StatusError
		}
		return StatusOK
	})
	if errs[bad] != 1 {
		t.Errorf("%d new objects went to a node that fails them", errs[bad])
	}
	now += errorCooldown
	if got := placeNewObjects(t, s, &now, &id, 200, fine); got[bad] == 0 {
		t.Errorf("the node that has rested got none: %v", got)
	}
}
