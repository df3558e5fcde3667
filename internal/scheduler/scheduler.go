// Package scheduler decides when a gateway sends which request to a shared pool of storage servers.
//
// Each server has a window of requests in flight that latency moves, as in PARDA: it shrinks while responses take longer than a
// threshold, so that gateways that know nothing of each other share a server and keep its queue short. Queued requests leave by
// start-time fair queueing, a flow per volume and shard. Around that stand the rules on what may be sent at all: retries, their
// budget, order by key, volume limits and the slow start of servers.
//
// The package is pure: no clock, no I/O, no goroutine. Scheduler.Step takes the events of one moment and returns the actions to
// carry out, and the same settings, seed and events always give the same actions. Step guarantees that
//   - an admitted request ends exactly once, by a response that the gateway reports, a Reject, a Fail or a RequestCanceled, and
//     gets no Send after its end;
//   - a request that the settings do not cover is rejected at once, and events that name unknown requests, attempts or servers
//     are ignored;
//   - a timer is pending whenever it has to be called again without any other event.
//
// All times are durations on the caller's clock, whose zero is arbitrary and which never runs backwards.
package scheduler

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// thresholdFraction is PARDA's latency threshold as a fraction of the shortest latency objective.
	thresholdFraction = 0.15
	// volumeIdleTimeout is how long the state of a volume without requests is kept.
	volumeIdleTimeout = time.Minute
	// evictionInterval is the least time between two searches for idle state.
	evictionInterval = volumeIdleTimeout / 4
	// maxReservedLoss bounds the FairShareWeight that reservedQueueTimeoutFactor computes with.
	maxReservedLoss = 0.5
)

// Scheduler makes the decisions of one gateway. It is created by New and is not safe for concurrent use.
type Scheduler struct {
	settings                   Settings
	classes                    map[string]*Class
	plans                      map[string]*Plan
	latencyThreshold           time.Duration // T of PARDA
	reservedQueueTimeoutFactor float64       // queueTimeoutFactor for requests within their reserve
	meanPlanWeight             float64
	maxPriority                float64 // the highest product of PriorityWeight and PriorityFactor

	random    *rand.Rand
	started   bool // Step has been called
	startedAt time.Duration
	now       time.Duration
	actions   []Action // of the current Step

	requests         map[RequestID]*request // unfinished or with outstanding attempts
	longestRemaining map[*Class]time.Duration
	volumes          map[VolumeID]*volumeEntry
	servers          map[ServerID]*serverEntry
	shards           []*shard
	activeShards     []*shard // those with flows, in the order they became active

	deadlines   deadlineHeap
	keyOrder    keyOrder
	retryBudget retryBudget
	poller      endpointPoller

	endpointsValidUntil time.Duration // 0: unbounded
	shutdownDeadline    time.Duration // 0: the gateway is not shutting down
	windowsUpdatedAt    time.Duration // start of the current period of window updates
	lastEvictionAt      time.Duration
	stalledAt           time.Duration // the last Step that came late
	timerArmed          bool
	timerAt             time.Duration
}

// New returns a scheduler for one gateway, or an error if the settings cannot be used. The seed makes its random draws
// reproducible; gateways need different seeds.
func New(settings Settings, seed uint64) (*Scheduler, error) {
	settings, err := settings.validated()
	if err != nil {
		return nil, err
	}
	s := &Scheduler{
		settings:         settings,
		classes:          map[string]*Class{},
		plans:            map[string]*Plan{},
		random:           rand.New(rand.NewPCG(seed, 1)),
		requests:         map[RequestID]*request{},
		longestRemaining: map[*Class]time.Duration{},
		volumes:          map[VolumeID]*volumeEntry{},
		servers:          map[ServerID]*serverEntry{},
	}
	s.keyOrder = keyOrder{queues: map[uint64]*keyQueue{}, cooldown: settings.KeyCooldown + settings.MinStepInterval}
	s.retryBudget = retryBudget{
		window: settings.RetryBudgetWindow, minimum: settings.RetryBudgetMin, ratio: settings.RetryBudgetRatio,
	}
	s.poller = endpointPoller{
		gateways: settings.Gateways, maxInterval: settings.MaxPollInterval, minDelay: settings.MinStepInterval, random: s.random,
	}
	s.indexClasses()
	s.indexPlans()
	s.reservedQueueTimeoutFactor = reservedQueueTimeoutFactor(settings.FairShareWeight)
	return s, nil
}

// indexClasses sets up the classes and the latency threshold.
func (s *Scheduler) indexClasses() {
	for i := range s.settings.Classes {
		class := &s.settings.Classes[i]
		s.classes[class.Name] = class
		threshold := time.Duration(thresholdFraction * float64(class.LatencyObjective))
		if s.latencyThreshold == 0 || threshold < s.latencyThreshold {
			s.latencyThreshold = threshold
		}
	}
}

// indexPlans sets up the plans and the scales of weights and priorities.
func (s *Scheduler) indexPlans() {
	for i := range s.settings.Plans {
		plan := &s.settings.Plans[i]
		s.plans[plan.Name] = plan
		s.meanPlanWeight += plan.Weight / float64(len(s.settings.Plans))
		for _, class := range s.settings.Classes {
			s.maxPriority = max(s.maxPriority, class.PriorityWeight*plan.PriorityFactor)
		}
	}
	if s.maxPriority == 0 { // all priorities are zero; any other maximum keeps them equal and can be divided by
		s.maxPriority = 1
	}
}

// reservedQueueTimeoutFactor returns the queue timeout factor of requests within their reserve. A request beyond the reserve that
// is certain to meet its objective earns fairShareWeight of its priority. A request within the reserve is therefore worth sending
// while it meets its objective with at least that probability. Where responses take L in the mean, one arrives within t with a
// probability of 1-exp(-t/L), which equals fairShareWeight at the returned multiple of L.
func reservedQueueTimeoutFactor(fairShareWeight float64) float64 {
	factor := -math.Log1p(-min(fairShareWeight, maxReservedLoss))
	return min(max(factor, queueTimeoutFactor/2), queueTimeoutFactor)
}

// Step applies the events of one moment and returns the actions to carry out, in order. A time before that of the previous call
// counts as that of the previous call. The returned slice belongs to the caller.
func (s *Scheduler) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = max(now, s.now), nil
	s.detectStall()
	if !s.started {
		s.started, s.startedAt, s.windowsUpdatedAt = true, s.now, s.now
		s.poller.scheduleFirst(s.now)
	}
	for _, event := range events {
		s.apply(event)
	}
	s.expireRequests()
	s.pollEndpoints()
	s.dispatchActiveShards()
	s.armTimer()
	return s.actions
}

// detectStall notes whether this step comes late. The latencies of its events are then mostly the gateway's own stall and are
// not held against the servers.
func (s *Scheduler) detectStall() {
	if s.timerArmed && s.now > s.timerAt+s.latencyThreshold {
		s.stalledAt = s.now
	}
}

// apply updates the state by one event.
func (s *Scheduler) apply(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		s.applyEndpointUpdate(&event)
	case RequestArrived:
		s.admit(&event)
	case AttemptEnded:
		s.recordAttemptEnd(&event)
	case RequestCanceled:
		s.cancel(event.ID)
	case ResponseStarted:
		if request := s.requests[event.ID]; request != nil {
			request.expiresAt = 0
		}
	case ShutdownStarted:
		s.shutdownDeadline = event.Deadline
		s.deadlines.shortenTo(event.Deadline)
	case QuotaShare:
		if volume := s.volumes[event.Volume]; volume != nil {
			volume.applyQuotaShare(s.now, event.Share)
		}
	case EjectServer:
		if server := s.servers[event.Server]; server != nil {
			server.eject(s.now, event.MinInterval)
		}
	case PeerLatency:
		if server := s.servers[event.Server]; server != nil {
			server.congestion.addPeerSample(event.Latency)
		}
	case TimerFired:
		if s.now >= s.timerAt {
			s.timerArmed = false
		}
	}
}

// pollEndpoints opens a watch of the endpoint list where the gateway has to ask for it.
func (s *Scheduler) pollEndpoints() {
	if s.settings.PollEndpoints && s.poller.due(s.now) {
		s.emit(WatchEndpoints{})
		s.poller.pollStarted(s.now)
	}
}

// dispatchActiveShards sends queued requests of the shards that have flows and updates their windows once a period.
func (s *Scheduler) dispatchActiveShards() {
	periodEnds := s.now-s.windowsUpdatedAt >= s.latencyThreshold
	s.activeShards = slices.DeleteFunc(s.activeShards, func(shard *shard) bool {
		if periodEnds && s.now > shard.windowsUpdatedAt {
			s.updateWindows(shard)
		}
		s.dispatch(shard)
		shard.active = len(shard.flows) > 0
		return !shard.active
	})
	if periodEnds {
		s.windowsUpdatedAt = s.now
		s.evictIdle()
	}
}

// evictIdle drops the state of keys that have cooled down and of volumes that have long been idle: state created anew would be the
// same. Without it, a client that names a new volume in each request would exhaust the memory.
func (s *Scheduler) evictIdle() {
	if s.now-s.lastEvictionAt < evictionInterval {
		return
	}
	s.lastEvictionAt = s.now
	for id, volume := range s.volumes {
		if volume.isIdle(s.now) {
			delete(s.volumes, id)
		}
	}
	s.keyOrder.evictIdle(s.now)
}

// emit records an action.
func (s *Scheduler) emit(action Action) { s.actions = append(s.actions, action) }

// armTimer asks for the next step: soon while there are requests, and no later than the next deadline or poll.
func (s *Scheduler) armTimer() {
	var at time.Duration
	if len(s.requests) > 0 {
		at = s.now + max(4*s.settings.MinStepInterval, s.latencyThreshold/16)
		if deadline, ok := s.deadlines.next(); ok {
			at = min(at, max(deadline, s.now+1))
		}
	}
	if s.settings.PollEndpoints && (at == 0 || s.poller.nextPollAt < at) {
		at = max(s.poller.nextPollAt, s.now+1)
	}
	if at != 0 && (!s.timerArmed || at < s.timerAt) {
		s.timerArmed, s.timerAt = true, at
		s.emit(SetTimer{At: at})
	}
}
