// Package gaugerelay decides when a gateway sends which request to a shared pool of storage nodes.
//
// The mechanism is PARDA: each node has a window of requests out, moved by latency, and held requests leave by start-time
// fair tags per volume. The package is pure: it has no clock, no I/O and no goroutine; Scheduler.Step takes events and
// returns actions. The contract (Settings, events, actions) is in api.go; the other files hold one job each:
//
//	scheduler.go       the state, New and Step
//	endpoints.go       the list of nodes
//	discoverycalls.go  when discovery is called
//	admission.go       requests that arrive
//	queueing.go        fair queueing: which request leaves next
//	permission.go      what the rules allow to be sent or repeated now
//	ordering.go        the order of requests for one key
//	slowstart.go       nodes that have just started
//	window.go          congestion control: the window of each node
//	outcome.go         ends of attempts and requests
//	books.go           plain data: queues, buckets, records
package scheduler

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	thresholdFraction = 0.15        // T as part of the shortest aim
	volumeIdleTimeout = time.Minute // the books of a volume that asks for nothing are kept so long
)

// Scheduler makes the decisions of one gateway. It is not safe for concurrent use.
type Scheduler struct {
	settings                   Settings
	random                     *rand.Rand
	classes                    map[string]*Class
	plans                      map[string]*Plan
	longestTTL                 map[*Class]time.Duration // the longest TTL seen
	latencyThreshold           time.Duration            // T
	reservedQueueTimeoutFactor float64                  // patience inside reserves
	meanPlanWeight             float64
	maxPriority                float64
	started                    bool
	startedAt                  time.Duration
	now                        time.Duration
	actions                    []Action
	requests                   map[RequestID]*request
	deadlines                  deadlineHeap
	volumes                    map[VolumeID]*volumeEntry
	servers                    map[ServerID]*serverEntry
	shards                     []*shard
	activeShards               []*shard // those with flows, in the order they got busy: the others cost nothing
	keyQueues                  map[uint64]*keyQueue
	admittedInWindow           []time.Duration // in the last ExtraWindow
	retriesInWindow            []time.Duration // further attempts in the last ExtraWindow
	windowsUpdatedAt           time.Duration   // start of the current window period
	timerAt                    time.Duration
	timerArmed                 bool
	stalledAt                  time.Duration // when this gateway last woke too late
	lastEvictionAt             time.Duration // when volumes were last looked through
	poller                     endpointPoller
	endpointsValidUntil        time.Duration // the list may be used until then; 0: without a bound
	shutdownDeadline           time.Duration // when all must have been answered, since the gateway ends; 0: it does not
}

// New returns a scheduler for one gateway, or an error if the settings cannot be used.
func New(settings Settings, seed uint64) (*Scheduler, error) {
	settings, err := settings.validated()
	if err != nil {
		return nil, err
	}
	s := &Scheduler{settings: settings, random: rand.New(rand.NewPCG(seed, 1)), classes: map[string]*Class{},
		plans: map[string]*Plan{}, longestTTL: map[*Class]time.Duration{},
		requests: map[RequestID]*request{}, volumes: map[VolumeID]*volumeEntry{},
		servers: map[ServerID]*serverEntry{}, keyQueues: map[uint64]*keyQueue{}}
	s.poller = endpointPoller{gateways: settings.Gateways, maxInterval: settings.MaxPollInterval, minDelay: settings.MinStepInterval, random: s.random}
	for i := range settings.Classes {
		c := &settings.Classes[i]
		s.classes[c.Name] = c
		if aim := time.Duration(thresholdFraction * float64(c.LatencyObjective)); s.latencyThreshold == 0 || aim < s.latencyThreshold {
			s.latencyThreshold = aim
		}
	}
	// Inside its reserve a request is worth a try for as long as that is worth more than a sure answer beyond
	// one: where answers take L in the mean, one comes within t by 1-exp(-t/L), which is FairWorth here.
	s.reservedQueueTimeoutFactor = min(max(-math.Log1p(-min(settings.FairShareWeight, 0.5)), queueTimeoutFactor/2), queueTimeoutFactor)
	for i := range settings.Plans {
		p := &settings.Plans[i]
		s.plans[p.Name] = p
		s.meanPlanWeight += p.Weight / float64(len(settings.Plans))
		for _, c := range settings.Classes {
			s.maxPriority = max(s.maxPriority, c.PriorityWeight*p.PriorityFactor)
		}
	}
	if s.maxPriority == 0 { // nothing is worth anything: all alike
		s.maxPriority = 1
	}
	return s, nil
}

// Step takes what happened at one moment and returns what to do now. Time must not run backwards.
func (s *Scheduler) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = max(now, s.now), nil
	if s.timerArmed && s.now > s.timerAt+s.latencyThreshold {
		// This gateway slept: what latencies this batch tells is mostly its own sleep. It guards against
		// stalls and coarse timers; it could harm only where a batch is late and all its answers are, too.
		s.stalledAt = s.now
	}
	if !s.started {
		s.started, s.startedAt, s.windowsUpdatedAt = true, s.now, s.now
		s.poller.scheduleFirst(s.now)
	}
	for _, e := range events {
		switch e := e.(type) {
		case EndpointUpdate:
			s.applyEndpointUpdate(&e)
		case RequestArrived:
			s.admit(&e)
		case AttemptEnded:
			s.recordOutcome(&e)
		case RequestCanceled:
			if request := s.requests[e.ID]; request != nil && !request.finished {
				s.cancelAttempts(request)
				s.finish(request)
			}
		case ResponseStarted:
			if request := s.requests[e.ID]; request != nil {
				request.expiresAt = 0 // it has no deadline any more
			}
		case ShutdownStarted:
			s.shortenDeadlines(e.Deadline)
		case QuotaShare:
			if volume := s.volumes[e.Volume]; volume != nil {
				volume.applyQuotaShare(s.now, e.Share)
			}
		case EjectServer:
			if server := s.servers[e.Server]; server != nil {
				server.ejectionInterval, server.ejectedUntil, server.backoffUntil = e.MinInterval, s.now+e.MinInterval, max(server.backoffUntil, server.lastSendAt+e.MinInterval)
			}
		case PeerLatency:
			if server := s.servers[e.Server]; server != nil {
				server.addPeerSample(e.Latency)
			}
		case TimerFired:
			if s.now >= s.timerAt {
				s.timerArmed = false
			}
		}
	}
	s.expireRequests()
	s.pollEndpoints()
	adapt := s.now-s.windowsUpdatedAt >= s.latencyThreshold
	s.activeShards = slices.DeleteFunc(s.activeShards, func(shard *shard) bool {
		if adapt && s.now > shard.windowsUpdatedAt {
			s.updateWindows(shard)
		}
		s.dispatch(shard)
		shard.active = len(shard.flows) > 0
		return !shard.active
	})
	if adapt {
		s.windowsUpdatedAt = s.now
		s.evictIdle()
	}
	s.armTimer()
	return s.actions
}

// evictIdle drops the turns of keys that have rested, and the books of volumes that have long been idle. With
// the limit full again they say what new ones would; kept, a client that names ever new volumes would fill
// the memory.
func (s *Scheduler) evictIdle() {
	if s.now-s.lastEvictionAt < volumeIdleTimeout/4 {
		return
	}
	s.lastEvictionAt = s.now
	for id, volume := range s.volumes {
		if s.now-volume.lastRequestAt > volumeIdleTimeout && (volume.plan.Limit == 0 || volume.limit.available(s.now) >= volume.limit.capacity) {
			delete(s.volumes, id)
		}
	}
	for key, queue := range s.keyQueues {
		if len(queue.requests) == 0 && s.now >= queue.cooldownUntil { // it was left while it rested
			delete(s.keyQueues, key)
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

// emit records an action.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// armTimer asks for the next wake: soon while requests are held or out, at the next expiry at the latest.
func (s *Scheduler) armTimer() {
	var at time.Duration
	if len(s.requests) > 0 {
		at = s.now + max(4*s.settings.MinStepInterval, s.latencyThreshold/16)
		if len(s.deadlines) > 0 {
			at = min(at, max(s.deadlines[0].at, s.now+1))
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
