package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// propertySettings returns settings by the number of a scenario.
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

// Random legal events, outcomes and restarts must keep the rules.
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

// observedUpdate shows an update to the checker and returns it.
func observedUpdate(checker *ruleChecker, l EndpointUpdate) Event {
	checker.applyUpdate(l)
	return l
}
