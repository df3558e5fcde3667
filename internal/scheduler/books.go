package scheduler

import (
	"math"
	"slices"
	"time"
)

// This file holds plain data structures: what the module knows of requests, volumes and nodes. It decides nothing.

// tokenBucket is a token bucket.
type tokenBucket struct {
	rate, capacity, tokens float64
	updatedAt              time.Duration
}

// configure gives a bucket its figures; it starts empty.
func (b *tokenBucket) configure(rate, most float64, now time.Duration) {
	b.rate, b.capacity, b.updatedAt = rate, most, now
}

// available is its level now.
func (b *tokenBucket) available(now time.Duration) float64 {
	b.tokens = min(b.capacity, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	return b.tokens
}

// consume draws units from it.
func (b *tokenBucket) consume(now time.Duration, units float64) { b.tokens = b.available(now) - units }

// expiresAt is an entry of the heap of deadlines, soonest first.
type deadline struct {
	at      time.Duration
	request *request
}

type deadlineHeap []deadline

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *deadlineHeap) Push(x any)        { *h = append(*h, x.(deadline)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// attempt is one attempt of a request.
type attempt struct {
	request *request
	server  *serverEntry
	sentAt  time.Duration
	ended   bool
	lost    bool // given up as unanswered; it no longer counts in the window
}

// request is one that the gateway has taken; it is kept until over and without an attempt out.
type request struct {
	RequestArrived
	class                *Class
	volume               *volumeEntry
	shard                *shard
	objectiveAt          time.Duration // its aim, on the clock
	expiresAt            time.Duration // the client gives up
	retryNotBefore       time.Duration // pause before a further attempt
	attempts             []*attempt
	outstanding          int           // attempts without an outcome
	mayHaveExecuted      bool          // an attempt may have run
	mayHaveExecutedSince time.Duration // when the first such attempt was sent
	executionZone        string        // the zone of its node
	finished             bool
	queued               bool // in its flow's queue
}

// retryStartDeadline is until when a repeat of what may have run may begin, on the clock: nodes drop repeats for a while from the
// first attempt on, and one that has to wait for its connection may be later than the decision. 0: there is no such time.
func (r *request) retryStartDeadline() time.Duration {
	if !r.mayHaveExecuted || r.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return r.mayHaveExecutedSince + r.class.DedupWindow
}

// volumeEntry is what this gateway knows of a volume over all nodes.
type volumeEntry struct {
	plan            *Plan
	gateways        float64
	reserve         tokenBucket
	baseline        tokenBucket // what it asks on a usual day
	limit           tokenBucket
	localUnits      float64 // units served here, halved every halfLife
	foreignUnits    float64 // and elsewhere, as far as told
	usageUpdatedAt  time.Duration
	lastRequestAt   time.Duration // when its last request came
	recentDemand    float64       // units asked for, fading over demandFade
	demandUpdatedAt time.Duration // when that last faded
	nextDemandAt    time.Duration // when a Demand is due; 0: none has been told
}

// Demand is told at most once in demandEvery, of what was asked for over about demandFade.
const (
	demandInterval  = 100 * time.Millisecond
	demandDecayTime = time.Second
)

// recordDemand counts units asked for, and tells whether a Demand is due.
func (v *volumeEntry) recordDemand(now time.Duration, units float64) bool {
	v.recentDemand = v.recentDemand*math.Exp(-float64(now-v.demandUpdatedAt)/float64(demandDecayTime)) + units
	v.demandUpdatedAt = now
	return v.nextDemandAt == 0 || now >= v.nextDemandAt
}

// quotaDemand is what the volume could use of its limit here.
func (v *volumeEntry) quotaDemand(id VolumeID) QuotaDemand {
	d := QuotaDemand{Volume: id, Gateways: int(v.gateways), Share: v.recentDemand / demandDecayTime.Seconds() / v.plan.Limit, First: v.nextDemandAt == 0}
	v.nextDemandAt = v.demandUpdatedAt + demandInterval
	return d
}

// applyQuotaShare sets the part of its limit that is in force here. What is held beyond its store is gone.
func (v *volumeEntry) applyQuotaShare(now time.Duration, part float64) {
	v.limit.available(now)
	v.limit.rate, v.limit.capacity = v.plan.Limit*part, v.plan.LimitBurst*part
}

// flow is a volume's held requests at one shard.
type flow struct {
	volumeID        VolumeID
	volume          *volumeEntry
	startTag        float64    // start tag of its next request
	queue           []*request // by due time
	outstanding     int
	meanOutstanding float64 // smoothed requests out
}

// shard is a piece of the pool, served by one node, or by two while one replaces the other.
type shard struct {
	servers          []*serverEntry // those that may be sent to, the longest running first; two while one replaces the other
	flows            []*flow
	flowsByVolume    map[VolumeID]*flow
	active           bool
	windowsUpdatedAt time.Duration // when its windows last moved
	virtualTime      float64
	recentUnits      float64 // units that were asked for, fading over RampTime
	demandUpdatedAt  time.Duration
}

// recordDemand counts units asked for now; they fade over a time.
func (sh *shard) recordDemand(now, over time.Duration, units float64) {
	sh.recentUnits = sh.demand(now, over) + units
}

// quotaDemand is what has been asked for and has not faded.
func (sh *shard) demand(now, over time.Duration) float64 {
	sh.recentUnits *= math.Exp(-float64(now-sh.demandUpdatedAt) / float64(over))
	sh.demandUpdatedAt = now
	return sh.recentUnits
}

// serverEntry is a process that serves a shard.
type serverEntry struct {
	Server
	window             float64
	surplusWindow      float64       // the same for what volumes ask beyond their usual rate
	latency            time.Duration // L
	outstanding        []*attempt    // in order of sending, closed ones dropped from the front
	inFlight           int
	latencySum         time.Duration // of this period's latencies
	latencySamples     float64
	latencyUpdatedAt   time.Duration // when L last took in a sample
	lastSendAt         time.Duration
	lastResponseAt     time.Duration   // when it last answered
	lastErrorAt        time.Duration   // when it last answered with an error
	lastEndedAt        time.Duration   // when its last attempt ended
	lastDuration       time.Duration   // and how long that took
	latestAnsweredSend time.Duration   // when the youngest attempt that it answered was sent
	backoffUntil       time.Duration   // nothing is sent before
	ejectionInterval   time.Duration   // between two requests
	ejectedUntil       time.Duration   // as long as several gateways find it failing
	connectFailures    int             // failed connects in a row
	consecutiveRejects int             // attempts in a row that it turned away
	slowStart          slowStartBudget // what it may be sent while it starts up
}

// keyQueue is the requests of one key, in the order taken.
type keyQueue struct {
	requests      []*request
	cooldownUntil time.Duration // nothing is sent before
}

// oldestAttempt is the oldest attempt that is out and not given up.
func (n *serverEntry) oldestAttempt() *attempt {
	for len(n.outstanding) > 0 && (n.outstanding[0].ended || n.outstanding[0].lost) {
		n.outstanding = n.outstanding[1:]
	}
	if len(n.outstanding) == 0 {
		return nil
	}
	return n.outstanding[0]
}

// dequeue takes a request out of its flow.
func (r *request) dequeue() {
	flow := r.shard.flowsByVolume[r.Volume]
	if i := slices.Index(flow.queue, r); i >= 0 {
		flow.queue = slices.Delete(flow.queue, i, i+1)
	}
	r.queued = false
}

// maxPeerSamples bounds the answers of a period that are kept of a node that nothing is asked of meanwhile.
const maxPeerSamples = 8

// addPeerSample takes in a latency that others have measured, as an answer of this period.
func (n *serverEntry) addPeerSample(latency time.Duration) {
	if n.latencySamples >= maxPeerSamples {
		n.latencySum, n.latencySamples = n.latencySum/2, n.latencySamples/2
	}
	n.latencySum += max(0, latency)
	n.latencySamples++
}
