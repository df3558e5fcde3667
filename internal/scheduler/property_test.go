package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// ruleChecker follows one gateway from outside and checks the seven rules on every action. What it books of
// limits and cold nodes is this gateway's even part, the only thing that one gateway can be held to alone
// (but see coldMost).
type ruleChecker struct {
	t        *testing.T
	settings Settings
	classes  map[string]Class
	plans    map[string]Plan
	now      time.Duration
	started  time.Duration
	requests map[RequestID]*checkedRequest
	order    []*checkedRequest // taken in this life
	servers  map[ServerID]*checkedServer
	limits   map[VolumeID]*checkedBucket // they outlive the gateway
	admitted []time.Duration
	retries  []time.Duration
	// maxSlowStartUnits is the most units a cold node may get in FallWindow in the scenario's pool.
	maxSlowStartUnits float64
}

type checkedRequest struct {
	arrival       RequestArrived
	class         Class
	expiresAt     time.Duration
	finished      bool
	attempts      []*checkedAttempt
	cooldownUntil time.Duration
}

type checkedAttempt struct {
	server *checkedServer
	sentAt time.Duration
	ended  bool
	status Status
}

type checkedServer struct {
	Server
	outOfServiceAt time.Duration // that it drains or is gone
	outOfService   bool
	slowStartSends []sentUnits
}

// sentUnits is a stamped amount.
type sentUnits struct {
	at    time.Duration
	units float64
}

type checkedBucket struct {
	tokens    float64
	updatedAt time.Duration
}

func (f *ruleChecker) fatalf(format string, args ...any) {
	f.t.Helper()
	f.t.Fatalf("at %v: "+format, append([]any{f.now}, args...)...)
}

func (f *ruleChecker) restart() {
	f.requests, f.order, f.admitted, f.retries = map[RequestID]*checkedRequest{}, nil, nil, nil
	f.started = f.now
}

func (f *ruleChecker) applyUpdate(l EndpointUpdate) {
	if l.Kind == WatchFailed {
		return
	}
	named := map[ServerID]bool{}
	for _, e := range l.Servers {
		named[e.ID] = true
		server := f.servers[e.ID]
		if server == nil {
			server = &checkedServer{}
			f.servers[e.ID] = server
		}
		server.Server = e
		f.setOutOfService(server, e.State != Ready)
	}
	if l.Kind != Delta {
		for id, server := range f.servers {
			if !named[id] {
				f.setOutOfService(server, true)
			}
		}
	}
}

func (f *ruleChecker) setOutOfService(server *checkedServer, out bool) {
	if out && !server.outOfService {
		server.outOfServiceAt = f.now
	}
	server.outOfService = out
}

func (f *ruleChecker) recordOutcome(o AttemptEnded) {
	request := f.requests[o.ID]
	t := request.attempts[o.Attempt]
	t.ended, t.status = true, o.Status
	if o.Status == StatusTimedOut || o.Status == StatusConnectionReset || o.Status == StatusCanceled {
		request.cooldownUntil = f.now + f.settings.KeyCooldown
	}
	if o.RequestDone {
		request.finished = true
	}
}

func mayHaveExecuted(t *checkedAttempt) bool {
	return !t.ended || t.status != StatusOverloaded && t.status != StatusConnectFailed && t.status != StatusNotSent
}

// checkSend checks a Send against rules 1 to 7.
func (f *ruleChecker) checkSend(a Send) *checkedAttempt {
	request, server := f.requests[a.ID], f.servers[a.Server]
	if request == nil || server == nil {
		f.fatalf("send of an unknown request or node: %+v", a)
	}
	if request.finished {
		f.fatalf("rule 1: sent %d after its end", a.ID)
	}
	if request.arrival.Shard >= 0 && server.Shard != request.arrival.Shard {
		f.fatalf("sent %d to shard %d, its data is on %d", a.ID, server.Shard, request.arrival.Shard)
	}
	if len(request.attempts) >= f.settings.MaxAttempts {
		f.fatalf("more attempts than allowed for %d", a.ID)
	}
	for _, t := range request.attempts {
		if !t.ended && !f.settings.AllowHedging {
			f.fatalf("rule 2: two attempts of %d at once", a.ID)
		}
		if !mayHaveExecuted(t) {
			continue
		}
		switch request.class.Idempotency {
		case NotIdempotent:
			f.fatalf("rule 2: %d may have run and is sent again", a.ID)
		case IdempotentWithKey:
			same := request.class.DedupScope == DedupAll || request.class.DedupScope == DedupZone && t.server.Zone == server.Zone ||
				request.class.DedupScope == DedupCell && t.server.Shard == server.Shard
			if !same || f.now-t.sentAt > request.class.DedupWindow {
				f.fatalf("rule 2: repeat of %d outside its group or window", a.ID)
			}
		}
	}
	if server.outOfService && f.now-server.outOfServiceAt > f.settings.DrainGrace {
		f.fatalf("rule 3: sent to node %d, told away at %v", server.ID, server.outOfServiceAt)
	}
	if server.StartedAt > 0 && f.now-server.StartedAt < f.settings.SlowStartDuration {
		server.slowStartSends = append(server.slowStartSends, sentUnits{f.now, request.arrival.Units})
		sum := 0.0
		for _, c := range server.slowStartSends {
			if f.now-c.at <= f.settings.OverloadWindow {
				sum += c.units
			}
		}
		if sum > f.maxSlowStartUnits {
			f.fatalf("rule 4: %.1f units to cold node %d within %v", sum, server.ID, f.settings.OverloadWindow)
		}
	}
	if request.class.OrderedByKey && request.arrival.Key != NoKey {
		for _, e := range f.order {
			if e == request {
				break
			}
			if !e.class.OrderedByKey || e.arrival.Key != request.arrival.Key {
				continue
			}
			open := slices.ContainsFunc(e.attempts, func(t *checkedAttempt) bool { return !t.ended })
			if !e.finished || open || len(request.attempts) == 0 && f.now < e.cooldownUntil {
				f.fatalf("rule 5: %d sent before its turn behind %d", request.arrival.ID, e.arrival.ID)
			}
		}
	}
	if len(request.attempts) > 0 && f.settings.RetryBudgetWindow > 0 {
		f.retries = append(f.retries, f.now)
		in := func(ts []time.Duration) (k int) {
			for _, t := range ts {
				if f.now-t < f.settings.RetryBudgetWindow {
					k++
				}
			}
			return k
		}
		if float64(in(f.retries)) > f.settings.RetryBudgetMin+f.settings.RetryBudgetRatio*float64(in(f.admitted))+1e-9 {
			f.fatalf("rule 6: %d further attempts for %d requests", in(f.retries), in(f.admitted))
		}
	}
	if p := f.plans[request.arrival.Plan]; p.Limit > 0 && len(request.attempts) == 0 {
		hosts := float64(request.arrival.Gateways)
		b := f.limits[request.arrival.Volume]
		if b == nil {
			b = &checkedBucket{tokens: p.LimitBurst / hosts}
			f.limits[request.arrival.Volume] = b
		}
		b.tokens = min(p.LimitBurst/hosts, b.tokens+p.Limit/hosts*(f.now-b.updatedAt).Seconds()) - request.arrival.Units
		b.updatedAt = f.now
		if b.tokens < -1e-6 {
			f.fatalf("rule 7: volume %d %.2f units past its even part", request.arrival.Volume, -b.tokens)
		}
	}
	t := &checkedAttempt{server: server, sentAt: f.now}
	request.attempts = append(request.attempts, t)
	return t
}

func (f *ruleChecker) checkReject(a Reject) {
	request := f.requests[a.ID]
	if request == nil || request.finished {
		f.fatalf("rule 1: second answer for %d", a.ID)
	}
	ran := slices.ContainsFunc(request.attempts, mayHaveExecuted)
	if ran && (request.class.Idempotency == NotIdempotent || request.class.Idempotency == IdempotentWithKey && request.class.DedupScope != DedupAll) {
		f.fatalf("rule 2: refused %d, which may have run", a.ID)
	}
	request.finished = true
}

func (f *ruleChecker) checkFail(a Fail) {
	request := f.requests[a.ID]
	if request == nil || request.finished {
		f.fatalf("rule 1: second answer for %d", a.ID)
	}
	request.finished = true
}

// checkDeadlines checks that no request is older than its client's patience.
func (f *ruleChecker) checkDeadlines() {
	for _, request := range f.requests {
		if !request.finished && f.now > request.expiresAt+f.settings.ResponseGrace {
			f.fatalf("rule 1: %d was never answered (expired at %v)", request.arrival.ID, request.expiresAt)
		}
	}
}

func propertySettings(k int) Settings {
	settings := Settings{Gateways: 3, Shards: 4, MeanUnits: 2, MaxUnits: 6, FairShareWeight: 0.4, SurplusWeight: 0.1,
		MaxAttempts: 4, AllowCancel: true, ResponseGrace: 8 * ms, DrainGrace: 250 * ms, InitialCapacity: 0.2,
		SlowStartDuration: 18 * time.Second, OverloadMultiple: 3, OverloadWindow: 1500 * ms, SlowStartUnits: 24,
		KeyCooldown: 200 * ms, MinStepInterval: 2 * ms, UsagePeriod: time.Second, ReportsForeignUnits: true,
		PollEndpoints: k%2 == 1, MaxPollInterval: 10 * time.Second,
		Classes: []Class{
			{Name: "read", LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, LateFraction: 0.2},
			{Name: "once", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, Idempotency: NotIdempotent, OrderedByKey: true},
			{Name: "cell", LatencyObjective: 600 * ms, Deadline: 3 * time.Second, PriorityWeight: 2, Idempotency: IdempotentWithKey, DedupScope: DedupCell,
				DedupWindow: 700 * ms, OrderedByKey: k%3 == 0},
			{Name: "zone", LatencyObjective: 600 * ms, Deadline: 3 * time.Second, PriorityWeight: 1, Idempotency: IdempotentWithKey, DedupScope: DedupZone,
				DedupWindow: 700 * ms},
			{Name: "all", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, Idempotency: IdempotentWithKey, DedupScope: DedupAll,
				DedupWindow: 900 * ms},
		},
		Plans: []Plan{
			{Name: "small", Rate: 10, Reserve: 3, Weight: 1, PriorityFactor: 0.8, Limit: 30, LimitBurst: 45, LimitOverdraft: 6},
			{Name: "large", Rate: 20, Reserve: 20, Weight: 2, PriorityFactor: 0.9},
		}}
	if k%2 == 0 {
		settings.RetryBudgetMin, settings.RetryBudgetRatio, settings.RetryBudgetWindow = 3, 0.15, 5*time.Second
	}
	return settings
}

// TestRulesHoldOverArbitraryEvents plays random legal events, outcomes and restarts against the referee.
func TestRulesHoldOverArbitraryEvents(t *testing.T) {
	for k := range 24 {
		t.Run(fmt.Sprint(k), func(t *testing.T) { checkRules(t, k) })
	}
}

func checkRules(t *testing.T, k int) {
	settings := propertySettings(k)
	rnd := rand.New(rand.NewPCG(uint64(k), 7))
	checker := &ruleChecker{t: t, settings: settings, classes: map[string]Class{}, plans: map[string]Plan{},
		servers: map[ServerID]*checkedServer{}, limits: map[VolumeID]*checkedBucket{}, now: 1e6 * ms}
	for _, c := range settings.Classes {
		checker.classes[c.Name] = c
	}
	for _, p := range settings.Plans {
		checker.plans[p.Name] = p
	}
	// Half of what fells a node of 200 units a second, when fully warm; this gateway never gets more.
	checker.maxSlowStartUnits = max(settings.SlowStartUnits/float64(settings.Gateways), settings.OverloadMultiple/2*200*settings.OverloadWindow.Seconds())
	var s *Scheduler
	var pool []Server
	for i := range settings.Shards {
		pool = append(pool, Server{ID: ServerID(100 + i), Shard: i, Zone: "za", Size: 1})
	}
	type pending struct {
		at time.Duration
		o  AttemptEnded
	}
	var due []pending
	var wakes []time.Duration
	nextID, nextNode := RequestID(1), ServerID(500)
	sends, answers := 0, 0
	open := func() {
		var err error
		if s, err = New(settings, rnd.Uint64()); err != nil {
			t.Fatal(err)
		}
		checker.restart()
		due, wakes = nil, nil
	}
	act := func(events []Event) {
		for _, a := range s.Step(checker.now, events) {
			switch a := a.(type) {
			case Send:
				tr := checker.checkSend(a)
				sends++
				request := checker.requests[a.ID]
				o := AttemptEnded{ID: a.ID, Attempt: len(request.attempts) - 1, Server: a.Server}
				o.Status = []Status{StatusOK, StatusOK, StatusOK, StatusOK, StatusError, StatusOverloaded, StatusTimedOut, StatusConnectFailed, StatusConnectionReset, StatusNotSent}[rnd.IntN(10)]
				at := checker.now + time.Duration(rnd.ExpFloat64()*float64(80*ms))
				if rnd.IntN(20) == 0 {
					at = request.expiresAt // a hang
				}
				if at >= request.expiresAt {
					at, o.Status = request.expiresAt, StatusTimedOut
				}
				if a.Timeout > 0 && at > checker.now+a.Timeout {
					at, o.Status = checker.now+a.Timeout, StatusTimedOut
				}
				o.Latency = at - tr.sentAt
				due = append(due, pending{at, o})
			case Reject:
				checker.checkReject(a)
				answers++
			case Fail:
				checker.checkFail(a)
				answers++
			case SetTimer:
				wakes = append(wakes, a.At)
			}
		}
		checker.checkDeadlines()
	}
	open()
	act([]Event{observedUpdate(checker, EndpointUpdate{Kind: CachedSnapshot, Servers: slices.Clone(pool)})})
	end := checker.now + 20*time.Second
	for checker.now < end+5*time.Second {
		checker.now += 2 * ms
		var events []Event
		if rnd.IntN(2000) == 0 && checker.now < end { // killed and opened again in the same batch
			open()
			events = append(events, observedUpdate(checker, EndpointUpdate{Kind: CachedSnapshot, Servers: slices.Clone(pool)}))
		}
		if i := rnd.IntN(len(pool)); rnd.IntN(700) == 0 && checker.now < end {
			switch rnd.IntN(4) {
			case 0:
				pool[i].State = Draining
			case 1: // a restart: same id, new start
				pool[i].State, pool[i].StartedAt = Ready, checker.now-time.Duration(rnd.IntN(2000))*ms
			case 2: // a replacement
				old := pool[i]
				old.State = Removed
				pool[i] = Server{ID: nextNode, Shard: old.Shard, Zone: []string{"za", "zb"}[rnd.IntN(2)],
					StartedAt: checker.now, Size: 1}
				nextNode++
				events = append(events, observedUpdate(checker, EndpointUpdate{Kind: Delta, Servers: []Server{old}}))
			case 3:
				events = append(events, observedUpdate(checker, EndpointUpdate{Kind: WatchFailed}))
			}
			scope := []UpdateKind{Delta, Snapshot}[rnd.IntN(2)]
			events = append(events, observedUpdate(checker, EndpointUpdate{Kind: scope, Servers: slices.Clone(pool)}))
		}
		for rnd.IntN(3) == 0 && checker.now < end {
			c := settings.Classes[rnd.IntN(len(settings.Classes))]
			v := rnd.IntN(8)
			a := RequestArrived{ID: nextID, Class: c.Name, Plan: settings.Plans[v%2].Name, Volume: VolumeID(v),
				Key: uint64(rnd.IntN(12)), TTL: c.Deadline, Units: float64(1 + rnd.IntN(6)),
				Shard: rnd.IntN(settings.Shards+1) - 1, Gateways: 1 + v%3, IsRetry: rnd.IntN(6) == 0}
			if a.IsRetry {
				a.TTL = time.Duration(rnd.IntN(int(c.Deadline-ms))) + ms
			}
			nextID++
			request := &checkedRequest{arrival: a, class: c, expiresAt: checker.now + a.TTL}
			checker.requests[a.ID], checker.order = request, append(checker.order, request)
			checker.admitted = append(checker.admitted, checker.now)
			events = append(events, a)
		}
		due = slices.DeleteFunc(due, func(p pending) bool {
			if p.at > checker.now {
				return false
			}
			request := checker.requests[p.o.ID]
			p.o.RequestDone = request.finished || p.o.Status == StatusOK
			if p.o.Status == StatusOK {
				request.finished = true
				answers++
			}
			checker.recordOutcome(p.o)
			events = append(events, p.o)
			if rnd.IntN(50) == 0 && request.finished {
				events = append(events, RequestCanceled{ID: p.o.ID})
			}
			return true
		})
		wakes = slices.DeleteFunc(wakes, func(w time.Duration) bool {
			if w > checker.now {
				return false
			}
			events = append(events, TimerFired{})
			return true
		})
		if len(events) > 0 {
			act(events)
		}
	}
	for _, request := range checker.requests {
		if !request.finished {
			checker.fatalf("rule 1: %d is open at the end", request.arrival.ID)
		}
	}
	if sends < 120 || answers < 1000 {
		t.Fatalf("the scenario exercised too little: %d sends, %d answers", sends, answers)
	}
}

// observedUpdate shows a list to the referee and passes it on.
func observedUpdate(checker *ruleChecker, l EndpointUpdate) Event {
	checker.applyUpdate(l)
	return l
}

// TestManyGatewaysShareAColdNode plays gateways that share nothing against one node that restarts, under a
// backlog and with some of them stalled, and adds up what all of them send it in any FallWindow. The node does
// 80 units a second when warm and starts at StartCapacity, the worst that the settings allow.
func TestManyGatewaysShareAColdNode(t *testing.T) {
	for gates, seeds := range map[int]uint64{1: 40, 5: 40, 120: 40, 300: 10} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d/%d", gates, seed), func(t *testing.T) { simulateRestart(t, gates, seed) })
		}
	}
}

func simulateRestart(t *testing.T, gates int, seed uint64) {
	const full = 80.0 // units a second
	settings := propertySettings(1)
	settings.Gateways, settings.Shards, settings.PollEndpoints, settings.OverloadWindow, settings.SlowStartUnits = gates, 1, false, time.Second, 12
	settings.Plans[1].Rate = 0.6 * full / 8 // what the volumes are sized for is a usual day's load
	rnd := rand.New(rand.NewPCG(seed, 11))
	now, restart := time.Hour, time.Hour+30*time.Second
	type pending struct {
		at time.Duration
		o  AttemptEnded
	}
	schedulers, asleep, due := make([]*Scheduler, gates), make([]time.Duration, gates), make([][]pending, gates)
	queue := make([][]Event, gates)
	units := map[RequestID]float64{}
	for i := range schedulers {
		s, err := New(settings, rnd.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		schedulers[i] = s
		queue[i] = []Event{EndpointUpdate{Kind: CachedSnapshot, Servers: []Server{{ID: 1, Shard: 0}}}}
	}
	var window []sentUnits
	free, id, warmUnits, coldUnits, borne := now, RequestID(1), 0.0, 0.0, 0.0
	for ; now < restart+12*time.Second; now += 4 * ms {
		cold := now >= restart
		rate := full
		if cold {
			age := float64(now-restart) / float64(settings.SlowStartDuration)
			rate *= settings.InitialCapacity + (1-settings.InitialCapacity)*age
			borne += settings.SlowStartUnits * (1 + (1/settings.InitialCapacity-1)*age) * 0.004 / settings.OverloadWindow.Seconds()
		}
		if now == restart {
			for i := range schedulers {
				queue[i] = append(queue[i], EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, Shard: 0, StartedAt: now}}})
			}
		}
		load := 0.6
		if cold {
			load = 2 // a backlog of repeats
		}
		for range 4 {
			if rnd.Float64() < load*full/3.5*0.001 { // requests of 1 to 6 units
				v, hosts := rnd.IntN(8), max(gates/8, min(gates, 14))
				i := (v*hosts + rnd.IntN(hosts)) % gates // a volume comes through its own gateways, and no others
				a := RequestArrived{ID: id, Class: "all", Plan: "large", Volume: VolumeID(v), Key: uint64(id),
					TTL: 4 * time.Second, Units: float64(1 + rnd.IntN(6)), Gateways: hosts}
				units[id] = a.Units
				queue[i], id = append(queue[i], a), id+1
			}
		}
		for i, s := range schedulers {
			if now < asleep[i] {
				continue
			}
			if rnd.IntN(1500) == 0 {
				asleep[i] = now + time.Duration(1000+rnd.IntN(1000))*ms
			}
			due[i] = slices.DeleteFunc(due[i], func(p pending) bool {
				if p.at <= now {
					p.o.Latency += now - p.at
					queue[i] = append(queue[i], p.o)
				}
				return p.at <= now
			})
			events := append(queue[i], TimerFired{})
			queue[i] = nil
			for _, a := range s.Step(now, events) {
				send, ok := a.(Send)
				if !ok {
					continue
				}
				u := units[send.ID]
				free = max(free, now) + time.Duration(u/rate*float64(time.Second))
				due[i] = append(due[i], pending{free, AttemptEnded{ID: send.ID, Server: 1, Status: StatusOK, Latency: free - now, RequestDone: true}})
				if !cold {
					warmUnits += u
					continue
				}
				coldUnits += u
				window = append(window, sentUnits{now, u})
				for now-window[0].at > settings.OverloadWindow {
					window = window[1:]
				}
				sum := 0.0
				for _, w := range window {
					sum += w.units
				}
				if most := settings.OverloadMultiple * rate * settings.OverloadWindow.Seconds(); sum > most {
					t.Fatalf("rule 4: %.0f units within %v, %v after its start; it falls at %.0f",
						sum, settings.OverloadWindow, now-restart, most)
				}
			}
		}
	}
	// Of what the settings let it bear, each gateway has its even part, and uses it as far as it is asked just then.
	least := 0.15
	if gates == 300 {
		least = 0.06 // each is asked for a call in seven windows
	}
	if warmUnits < 0.4*full*30 || coldUnits < least*borne {
		t.Errorf("%.0f units while warm, %.0f of %.0f while cold: too little", warmUnits, coldUnits, borne)
	}
	t.Logf("%.0f units while warm, %.0f of %.0f while cold", warmUnits, coldUnits, borne)
}
