package scheduler

import (
	"math"
	"slices"
	"time"
)

// This file holds plain data structures: what the module knows of requests, volumes and nodes. It decides nothing.

// bucket is a token bucket.
type bucket struct {
	rate, most, level float64
	last              time.Duration
}

// set gives a bucket its figures; it starts empty.
func (b *bucket) set(rate, most float64, now time.Duration) { b.rate, b.most, b.last = rate, most, now }

// at is its level now.
func (b *bucket) at(now time.Duration) float64 {
	b.level = min(b.most, b.level+b.rate*(now-b.last).Seconds())
	b.last = now
	return b.level
}

// take draws units from it.
func (b *bucket) take(now time.Duration, units float64) { b.level = b.at(now) - units }

// expiry is an entry of the heap of deadlines, soonest first.
type expiry struct {
	at time.Duration
	r  *request
}

type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// try is one attempt of a request.
type try struct {
	req    *request
	node   *node
	sentAt time.Duration
	closed bool
	lost   bool // given up as unanswered; it no longer counts in the window
}

// request is one that the gateway has taken; it is kept until over and without an attempt out.
type request struct {
	RequestArrived
	class     *Class
	vol       *volume
	shard     *shard
	due       time.Duration // its aim, on the clock
	expiry    time.Duration // the client gives up
	notBefore time.Duration // pause before a further attempt
	tries     []*try
	out       int           // attempts without an outcome
	mayRun    bool          // an attempt may have run
	mayRunAt  time.Duration // when the first such attempt was sent
	ranZone   string        // the zone of its node
	over      bool
	held      bool // in its flow's queue
}

// repeatBefore is until when a repeat of what may have run may begin, on the clock: nodes drop repeats for a while from the
// first attempt on, and one that has to wait for its connection may be later than the decision. 0: there is no such time.
func (r *request) repeatBefore() time.Duration {
	if !r.mayRun || r.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return r.mayRunAt + r.class.DedupWindow
}

// volume is what this gateway knows of a volume over all nodes.
type volume struct {
	plan    *Plan
	hosts   float64
	reserve bucket
	usual   bucket // what it asks on a usual day
	limit   bucket
	own     float64 // units served here, halved every halfLife
	foreign float64 // and elsewhere, as far as told
	toldAt  time.Duration
	askedAt time.Duration // when its last request came
	asked   float64       // units asked for, fading over demandFade
	askedTo time.Duration // when that last faded
	tellAt  time.Duration // when a Demand is due; 0: none has been told
}

// Demand is told at most once in demandEvery, of what was asked for over about demandFade.
const (
	demandEvery = 100 * time.Millisecond
	demandFade  = time.Second
)

// wants counts units asked for, and tells whether a Demand is due.
func (v *volume) wants(now time.Duration, units float64) bool {
	v.asked = v.asked*math.Exp(-float64(now-v.askedTo)/float64(demandFade)) + units
	v.askedTo = now
	return v.tellAt == 0 || now >= v.tellAt
}

// demand is what the volume could use of its limit here.
func (v *volume) demand(id VolumeID) QuotaDemand {
	d := QuotaDemand{Volume: id, Gateways: int(v.hosts), Share: v.asked / demandFade.Seconds() / v.plan.Limit, First: v.tellAt == 0}
	v.tellAt = v.askedTo + demandEvery
	return d
}

// limitTo sets the part of its limit that is in force here. What is held beyond its store is gone.
func (v *volume) limitTo(now time.Duration, part float64) {
	v.limit.at(now)
	v.limit.rate, v.limit.most = v.plan.Limit*part, v.plan.LimitBurst*part
}

// flow is a volume's held requests at one shard.
type flow struct {
	id   VolumeID
	vol  *volume
	tag  float64    // start tag of its next request
	held []*request // by due time
	out  int
	busy float64 // smoothed requests out
}

// shard is a piece of the pool, served by one node, or by two while one replaces the other.
type shard struct {
	nodes  []*node // those that may be sent to, the longest running first; two while one replaces the other
	flows  []*flow
	byVol  map[VolumeID]*flow
	busy   bool
	moved  time.Duration // when its windows last moved
	vtime  float64
	asked  float64 // units that were asked for, fading over RampTime
	fadeAt time.Duration
}

// ask counts units asked for now; they fade over a time.
func (sh *shard) ask(now, over time.Duration, units float64) { sh.asked = sh.demand(now, over) + units }

// demand is what has been asked for and has not faded.
func (sh *shard) demand(now, over time.Duration) float64 {
	sh.asked *= math.Exp(-float64(now-sh.fadeAt) / float64(over))
	sh.fadeAt = now
	return sh.asked
}

// node is a process that serves a shard.
type node struct {
	Server
	window    float64
	spare     float64       // the same for what volumes ask beyond their usual rate
	latency   time.Duration // L
	out       []*try        // in order of sending, closed ones dropped from the front
	inUse     int
	sum       time.Duration // of this period's latencies
	answers   float64
	sampledAt time.Duration // when L last took in a sample
	lastSend  time.Duration
	answered  time.Duration   // when it last answered
	erredAt   time.Duration   // when it last answered with an error
	closedAt  time.Duration   // when its last attempt ended
	took      time.Duration   // and how long that took
	newest    time.Duration   // when the youngest attempt that it answered was sent
	holdUntil time.Duration   // nothing is sent before
	rest      time.Duration   // between two requests
	restTill  time.Duration   // as long as several gateways find it failing
	failures  int             // failed connects in a row
	turned    int             // attempts in a row that it turned away
	starting  slowStartBudget // what it may be sent while it starts up
}

// turn is the requests of one key, in the order taken.
type turn struct {
	queue []*request
	rest  time.Duration // nothing is sent before
}

// oldest is the oldest attempt that is out and not given up.
func (n *node) oldest() *try {
	for len(n.out) > 0 && (n.out[0].closed || n.out[0].lost) {
		n.out = n.out[1:]
	}
	if len(n.out) == 0 {
		return nil
	}
	return n.out[0]
}

// unhold takes a request out of its flow.
func (r *request) unhold() {
	f := r.shard.byVol[r.Volume]
	if i := slices.Index(f.held, r); i >= 0 {
		f.held = slices.Delete(f.held, i, i+1)
	}
	r.held = false
}

// mostSeen bounds the answers of a period that are kept of a node that nothing is asked of meanwhile.
const mostSeen = 8

// seen takes in a latency that others have measured, as an answer of this period.
func (n *node) seen(latency time.Duration) {
	if n.answers >= mostSeen {
		n.sum, n.answers = n.sum/2, n.answers/2
	}
	n.sum += max(0, latency)
	n.answers++
}
