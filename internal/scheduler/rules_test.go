package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// propertySettings returns the settings of the scenario with the given number.
func propertySettings(scenario int) Settings {
	settings := Settings{
		Gateways: 3, Shards: 4, MeanUnits: 2, MaxUnits: 6, FairShareWeight: 0.4, SurplusWeight: 0.1,
		MaxAttempts: 4, AllowCancel: true, ResponseGrace: 8 * ms, DrainGrace: 250 * ms, InitialCapacity: 0.2,
		SlowStartDuration: 18 * time.Second, OverloadMultiple: 3, OverloadWindow: 1500 * ms, SlowStartUnits: 24,
		KeyCooldown: 200 * ms, MinStepInterval: 2 * ms, UsagePeriod: time.Second, ReportsForeignUnits: true,
		PollEndpoints: scenario%2 == 1, MaxPollInterval: 10 * time.Second,
		Classes: []Class{
			{Name: "read", LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, LateFraction: 0.2},
			{Name: "once", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 2,
				Idempotency: NotIdempotent, OrderedByKey: true},
			{Name: "cell", LatencyObjective: 600 * ms, Deadline: 3 * time.Second, PriorityWeight: 2,
				Idempotency: IdempotentWithKey, DedupScope: DedupShard,
				DedupWindow: 700 * ms, OrderedByKey: scenario%3 == 0},
			{Name: "zone", LatencyObjective: 600 * ms, Deadline: 3 * time.Second, PriorityWeight: 1,
				Idempotency: IdempotentWithKey, DedupScope: DedupZone,
				DedupWindow: 700 * ms},
			{Name: "all", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1,
				Idempotency: IdempotentWithKey, DedupScope: DedupAll,
				DedupWindow: 900 * ms},
		},
		Plans: []Plan{
			{Name: "small", Rate: 10, Reserve: 3, Weight: 1, PriorityFactor: 0.8, Limit: 30, LimitBurst: 45, LimitOverdraft: 6},
			{Name: "large", Rate: 20, Reserve: 20, Weight: 2, PriorityFactor: 0.9},
		},
	}
	if scenario%2 == 0 {
		settings.RetryBudgetMin, settings.RetryBudgetRatio, settings.RetryBudgetWindow = 3, 0.15, 5*time.Second
	}
	return settings
}

// No sequence of valid events, attempt results and restarts of the gateway may lead to an action that violates a rule of
// ruleChecker.
func TestRulesHoldOverArbitraryEvents(t *testing.T) {
	for scenario := range 24 {
		t.Run(fmt.Sprint(scenario), func(t *testing.T) {
			simulation := newRuleSimulation(t, scenario)
			simulation.run()
			simulation.checker.checkAllFinished()
			if simulation.sends < 120 || simulation.responses < 1000 {
				t.Fatalf("the scenario has only %d sends and %d responses, want at least 120 and 1000",
					simulation.sends, simulation.responses)
			}
			t.Logf("%d sends, %d responses", simulation.sends, simulation.responses)
		})
	}
}

// ruleSimulation passes random events to the scheduler of one gateway and has a ruleChecker check its actions.
type ruleSimulation struct {
	t         *testing.T
	settings  Settings
	random    *rand.Rand
	checker   *ruleChecker
	scheduler *Scheduler

	servers     []Server
	nextServer  ServerID
	nextRequest RequestID
	activeUntil time.Duration // time until which requests arrive, servers change and the gateway restarts
	pending     []pendingEnd
	timers      []time.Duration

	sends, responses int
}

// newRuleSimulation returns the simulation of a scenario. Its gateway has just started.
func newRuleSimulation(t *testing.T, scenario int) *ruleSimulation {
	settings := propertySettings(scenario)
	simulation := &ruleSimulation{
		t: t, settings: settings, random: rand.New(rand.NewPCG(uint64(scenario), 7)), checker: newRuleChecker(t, settings),
		nextRequest: 1, nextServer: 500,
	}
	for shard := range settings.Shards {
		simulation.servers = append(simulation.servers, Server{ID: ServerID(100 + shard), Shard: shard, Zone: "za", Size: 1})
	}
	simulation.activeUntil = simulation.checker.now + 20*time.Second
	simulation.step([]Event{simulation.start()})
	return simulation
}

// run simulates 20 s with requests, changes of servers and restarts of the gateway, and 5 s in which all requests end.
func (s *ruleSimulation) run() {
	for s.checker.now < s.activeUntil+5*time.Second {
		s.checker.now += 2 * ms
		var events []Event
		if s.random.IntN(2000) == 0 && s.active() { // the gateway is killed and started again
			events = append(events, s.start())
		}
		if i := s.random.IntN(len(s.servers)); s.random.IntN(700) == 0 && s.active() {
			events = append(events, s.changeServer(i)...)
		}
		for s.random.IntN(3) == 0 && s.active() {
			events = append(events, s.drawArrival())
		}
		events = append(events, s.dueEnds()...)
		events = append(events, s.dueTimers()...)
		if len(events) > 0 {
			s.step(events)
		}
	}
}

// active reports whether requests still arrive, servers still change and the gateway still restarts.
func (s *ruleSimulation) active() bool { return s.checker.now < s.activeUntil }

// start replaces the scheduler by a new one and returns the first event for the new one.
func (s *ruleSimulation) start() Event {
	s.scheduler = newScheduler(s.t, s.settings, s.random.Uint64())
	s.checker.restart()
	s.pending, s.timers = nil, nil
	return s.update(CachedSnapshot, slices.Clone(s.servers)...)
}

// update returns an endpoint update after passing it to the checker.
func (s *ruleSimulation) update(kind UpdateKind, servers ...Server) Event {
	update := EndpointUpdate{Kind: kind, Servers: servers}
	s.checker.applyUpdate(update)
	return update
}

// changeServer drains, restarts or replaces a server, or fails a watch, and returns the updates.
func (s *ruleSimulation) changeServer(i int) (events []Event) {
	server := &s.servers[i]
	switch s.random.IntN(4) {
	case 0:
		server.State = Draining
	case 1: // a restart
		server.State, server.StartedAt = Ready, s.checker.now-time.Duration(s.random.IntN(2000))*ms
	case 2: // a replacement
		removed := *server
		removed.State = Removed
		zone := []string{"za", "zb"}[s.random.IntN(2)]
		*server = Server{ID: s.nextServer, Shard: removed.Shard, Zone: zone, StartedAt: s.checker.now, Size: 1}
		s.nextServer++
		events = append(events, s.update(Delta, removed))
	case 3:
		events = append(events, s.update(WatchFailed))
	}
	kind := []UpdateKind{Delta, Snapshot}[s.random.IntN(2)]
	return append(events, s.update(kind, slices.Clone(s.servers)...))
}

// drawArrival returns a random request.
func (s *ruleSimulation) drawArrival() Event {
	class := s.settings.Classes[s.random.IntN(len(s.settings.Classes))]
	volume := s.random.IntN(8)
	arrival := RequestArrived{
		ID: s.nextRequest, Class: class.Name, Plan: s.settings.Plans[volume%2].Name, Volume: VolumeID(volume),
		Key: uint64(s.random.IntN(12)), Remaining: class.Deadline, Units: float64(1 + s.random.IntN(6)),
		Shard: s.random.IntN(s.settings.Shards+1) - 1, Gateways: 1 + volume%3, IsRetry: s.random.IntN(6) == 0,
	}
	if arrival.IsRetry {
		arrival.Remaining = time.Duration(s.random.IntN(int(class.Deadline-ms))) + ms
	}
	s.nextRequest++
	s.checker.recordArrival(arrival)
	return arrival
}

// dueEnds returns the ends of attempts that are due, and cancellations of some requests that have ended.
func (s *ruleSimulation) dueEnds() (events []Event) {
	s.pending = slices.DeleteFunc(s.pending, func(pending pendingEnd) bool {
		if pending.at > s.checker.now {
			return false
		}
		ended := pending.end
		request := s.checker.requests[ended.ID]
		ended.RequestDone = request.finished || ended.Status == StatusOK
		if ended.Status == StatusOK {
			request.finished = true
			s.responses++
		}
		s.checker.recordAttemptEnd(ended)
		events = append(events, ended)
		if s.random.IntN(50) == 0 && request.finished {
			events = append(events, RequestCanceled{ID: ended.ID})
		}
		return true
	})
	return events
}

// dueTimers returns an event for each timer that is due.
func (s *ruleSimulation) dueTimers() (events []Event) {
	s.timers = slices.DeleteFunc(s.timers, func(at time.Duration) bool {
		if at > s.checker.now {
			return false
		}
		events = append(events, TimerFired{})
		return true
	})
	return events
}

// step passes events to the scheduler and checks its actions.
func (s *ruleSimulation) step(events []Event) {
	for _, action := range s.scheduler.Step(s.checker.now, events) {
		switch action := action.(type) {
		case Send:
			s.sends++
			s.drawEnd(action, s.checker.checkSend(action))
		case Reject:
			s.responses++
			s.checker.checkReject(action)
		case Fail:
			s.responses++
			s.checker.checkFail(action)
		case SetTimer:
			s.timers = append(s.timers, action.At)
		}
	}
	s.checker.checkDeadlines()
}

// drawEnd draws how and when an attempt ends.
func (s *ruleSimulation) drawEnd(send Send, attempt *checkedAttempt) {
	request := s.checker.requests[send.ID]
	statuses := []Status{StatusOK, StatusOK, StatusOK, StatusOK, StatusError, StatusOverloaded, StatusTimedOut, StatusConnectFailed,
		StatusConnectionReset, StatusNotSent}
	status := statuses[s.random.IntN(len(statuses))]
	end := AttemptEnded{ID: send.ID, Attempt: len(request.attempts) - 1, Server: send.Server, Status: status}
	at := s.checker.now + time.Duration(s.random.ExpFloat64()*float64(80*ms))
	if s.random.IntN(20) == 0 { // the attempt hangs until the client's deadline
		at = request.expiresAt
	}
	if at >= request.expiresAt {
		at, end.Status = request.expiresAt, StatusTimedOut
	}
	if send.Timeout > 0 && at > s.checker.now+send.Timeout {
		at, end.Status = s.checker.now+send.Timeout, StatusTimedOut
	}
	end.Latency = at - attempt.sentAt
	s.pending = append(s.pending, pendingEnd{at, end})
}
