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
	thresholdPart = 0.15        // T as part of the shortest aim
	idleVolume    = time.Minute // the books of a volume that asks for nothing are kept so long
)

// Scheduler makes the decisions of one gateway. It is not safe for concurrent use.
type Scheduler struct {
	set         Settings
	rnd         *rand.Rand
	classes     map[string]*Class
	plans       map[string]*Plan
	longest     map[*Class]time.Duration // the longest TTL seen
	threshold   time.Duration            // T
	patienceIn  float64                  // patience inside reserves
	meanWeight  float64
	bestWorth   float64
	opened      bool
	openedAt    time.Duration
	now         time.Duration
	out         []Action
	reqs        map[RequestID]*request
	expiries    expiryHeap
	volumes     map[VolumeID]*volume
	nodes       map[ServerID]*node
	shards      []*shard
	busy        []*shard // those with flows, in the order they got busy: the others cost nothing
	turns       map[uint64]*turn
	taken       []time.Duration // in the last ExtraWindow
	extras      []time.Duration // further attempts in the last ExtraWindow
	period      time.Duration   // start of the current window period
	wakeAt      time.Duration
	wakeSet     bool
	slept       time.Duration // when this gateway last woke too late
	forgotAt    time.Duration // when volumes were last looked through
	askAgain    time.Duration // when to subscribe (again)
	askedAt     time.Duration // when that was done last
	asking      bool          // and nothing has come of it yet
	callTook    time.Duration // the shortest time in which that was answered; 0: it never was
	callsFailed int           // calls in a row that failed
	listUntil   time.Duration // the list may be used until then; 0: without a bound
	endsAt      time.Duration // when all must have been answered, since the gateway ends; 0: it does not
}

// New returns a scheduler for one gateway, or an error if the settings cannot be used.
func New(set Settings, seed uint64) (*Scheduler, error) {
	set, err := set.usable()
	if err != nil {
		return nil, err
	}
	s := &Scheduler{set: set, rnd: rand.New(rand.NewPCG(seed, 1)), classes: map[string]*Class{},
		plans: map[string]*Plan{}, longest: map[*Class]time.Duration{},
		reqs: map[RequestID]*request{}, volumes: map[VolumeID]*volume{},
		nodes: map[ServerID]*node{}, turns: map[uint64]*turn{}}
	for i := range set.Classes {
		c := &set.Classes[i]
		s.classes[c.Name] = c
		if aim := time.Duration(thresholdPart * float64(c.LatencyObjective)); s.threshold == 0 || aim < s.threshold {
			s.threshold = aim
		}
	}
	// Inside its reserve a request is worth a try for as long as that is worth more than a sure answer beyond
	// one: where answers take L in the mean, one comes within t by 1-exp(-t/L), which is FairWorth here.
	s.patienceIn = min(max(-math.Log1p(-min(set.FairShareWeight, 0.5)), patience/2), patience)
	for i := range set.Plans {
		p := &set.Plans[i]
		s.plans[p.Name] = p
		s.meanWeight += p.Weight / float64(len(set.Plans))
		for _, c := range set.Classes {
			s.bestWorth = max(s.bestWorth, c.PriorityWeight*p.PriorityFactor)
		}
	}
	if s.bestWorth == 0 { // nothing is worth anything: all alike
		s.bestWorth = 1
	}
	return s, nil
}

// Step takes what happened at one moment and returns what to do now. Time must not run backwards.
func (s *Scheduler) Step(now time.Duration, events []Event) []Action {
	s.now, s.out = max(now, s.now), nil
	if s.wakeSet && s.now > s.wakeAt+s.threshold {
		// This gateway slept: what latencies this batch tells is mostly its own sleep. It guards against
		// stalls and coarse timers; it could harm only where a batch is late and all its answers are, too.
		s.slept = s.now
	}
	if !s.opened {
		s.opened, s.openedAt, s.period = true, s.now, s.now
		s.firstCall()
	}
	for _, e := range events {
		switch e := e.(type) {
		case EndpointUpdate:
			s.list(&e)
		case RequestArrived:
			s.arrive(&e)
		case AttemptEnded:
			s.outcome(&e)
		case RequestCanceled:
			if r := s.reqs[e.ID]; r != nil && !r.over {
				s.callOff(r)
				s.end(r)
			}
		case ResponseStarted:
			if r := s.reqs[e.ID]; r != nil {
				r.expiry = 0 // it has no deadline any more
			}
		case ShutdownStarted:
			s.curtail(e.Deadline)
		case QuotaShare:
			if v := s.volumes[e.Volume]; v != nil {
				v.limitTo(s.now, e.Share)
			}
		case EjectServer:
			if n := s.nodes[e.Server]; n != nil {
				n.rest, n.restTill, n.holdUntil = e.MinInterval, s.now+e.MinInterval, max(n.holdUntil, n.lastSend+e.MinInterval)
			}
		case PeerLatency:
			if n := s.nodes[e.Server]; n != nil {
				n.seen(e.Latency)
			}
		case TimerFired:
			if s.now >= s.wakeAt {
				s.wakeSet = false
			}
		}
	}
	s.expire()
	s.ask()
	adapt := s.now-s.period >= s.threshold
	s.busy = slices.DeleteFunc(s.busy, func(sh *shard) bool {
		if adapt && s.now > sh.moved {
			s.adapt(sh)
		}
		s.release(sh)
		sh.busy = len(sh.flows) > 0
		return !sh.busy
	})
	if adapt {
		s.period = s.now
		s.forget()
	}
	s.schedule()
	return s.out
}

// forget drops the turns of keys that have rested, and the books of volumes that have long been idle. With
// the limit full again they say what new ones would; kept, a client that names ever new volumes would fill
// the memory.
func (s *Scheduler) forget() {
	if s.now-s.forgotAt < idleVolume/4 {
		return
	}
	s.forgotAt = s.now
	for id, v := range s.volumes {
		if s.now-v.askedAt > idleVolume && (v.plan.Limit == 0 || v.limit.at(s.now) >= v.limit.most) {
			delete(s.volumes, id)
		}
	}
	for key, t := range s.turns {
		if len(t.queue) == 0 && s.now >= t.rest { // it was left while it rested
			delete(s.turns, key)
		}
	}
}

// do records an action.
func (s *Scheduler) do(a Action) { s.out = append(s.out, a) }

// schedule asks for the next wake: soon while requests are held or out, at the next expiry at the latest.
func (s *Scheduler) schedule() {
	var at time.Duration
	if len(s.reqs) > 0 {
		at = s.now + max(4*s.set.MinStepInterval, s.threshold/16)
		if len(s.expiries) > 0 {
			at = min(at, max(s.expiries[0].at, s.now+1))
		}
	}
	if s.set.PollEndpoints && (at == 0 || s.askAgain < at) {
		at = max(s.askAgain, s.now+1)
	}
	if at != 0 && (!s.wakeSet || at < s.wakeAt) {
		s.wakeSet, s.wakeAt = true, at
		s.do(SetTimer{At: at})
	}
}
