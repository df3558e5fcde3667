package scheduler

import (
	"math"
	"slices"
	"time"
)

// This file holds how many requests may be out at a node: PARDA's congestion control.

const (
	gain         = 0.8         // γ
	halfLife     = time.Second // α halves the history of L in this time
	windowStart  = 8.0         // requests out at a node at first
	windowSpare  = 24.0        // the same for what volumes ask beyond their usual rate, over all gateways
	windowMin    = 4.0         // the least window, over all gateways
	windowMax    = 20.0
	slowPart     = 2.5 // the window falls under one request from this many times T on
	sparePart    = 1.5 // and the spare window
	growth       = 4.0 // doublings in halfLife of a window under one while nothing is out
	patienceLong = 4   // an answer owed for this many times T and L is missing
	queuePart    = 0.5 // K: what a volume of mean weight adds to β over all its gateways, in requests
)

// silent tells whether a node owes answers and has given none for longer than a pause or a large request
// explains, and whether a trial is due: a thinning trickle past what is stuck in its window. It guards
// against hangs, cut links and lost answers alike; in a long stall it adds to the node's queue.
func (s *Scheduler) silent(n *node) (silent, trial bool) {
	t := n.oldest()
	if t == nil {
		return false, false
	}
	quiet := s.now - max(t.sentAt, n.answered)
	silent = quiet > patienceLong*max(s.threshold, n.latency)
	every := float64(min(max(2*s.threshold, quiet/4), 16*s.threshold)) / min(1, n.window)
	return silent, silent && float64(s.now-n.lastSend) > every
}

// sweep finds attempts that their node has passed over: it has answered one sent clearly later. Such an
// attempt leaves the window. It guards against lost answers, cut links and stuck requests; it could do
// harm where a node serves out of turn for long.
func (s *Scheduler) sweep(n *node) {
	mean := max(1, s.set.MeanUnits)
	for _, t := range n.out {
		r := t.req
		late := time.Duration(float64(patienceLong*max(s.threshold, n.latency)) * max(1, r.Units/mean))
		if s.now-t.sentAt < patienceLong*s.threshold {
			return
		}
		if t.closed || t.lost || s.now-t.sentAt < late || n.newest < t.sentAt+n.latency {
			continue
		}
		t.lost = true
		n.inUse--
		r.shard.byVol[r.Volume].out--
	}
}

// observe feeds an outcome to what is known of its node.
func (s *Scheduler) observe(n *node, t *try, o *AttemptEnded) {
	switch o.Status {
	case StatusOK:
		if s.slept != s.now {
			n.sum += max(0, o.Latency)
			n.answers++
		}
		n.failures, n.turned = 0, 0
		n.answered, n.newest = s.now, max(n.newest, t.sentAt)
	case StatusOverloaded:
		// One queue that is full for a moment says little. A node that turns away one after the other drains, and
		// the list is late to tell: attempts are not to be spent on it.
		if n.turned = min(n.turned+1, 5); n.turned > 1 {
			n.holdUntil = max(n.holdUntil, s.now+s.threshold<<(n.turned-2))
		}
	case StatusError:
		n.erredAt = s.now
		n.answered, n.failures, n.turned = s.now, 0, 0 // no latency: fast errors must not open the window
	case StatusConnectFailed, StatusConnectionReset:
		if o.Status == StatusConnectionReset && s.now-n.answered < patienceLong*s.threshold {
			return // a connection broke, not the node: it has just answered on others
		}
		n.failures = min(n.failures+1, 4)
		n.holdUntil = max(n.holdUntil, s.now+s.threshold<<(n.failures-1))
	}
}

// adapt is PARDA's update, once a period for each node: w ← (1−γ)w + γ(T/L·w + β).
func (s *Scheduler) adapt(sh *shard) {
	weights, top, elapsed := 0.0, 0.0, s.now-sh.moved
	sh.moved = s.now
	alpha := math.Exp2(-float64(elapsed) / float64(halfLife))
	for _, f := range sh.flows {
		f.busy, top = alpha*f.busy+(1-alpha)*float64(f.out), max(top, f.tag)
		if f.out > 0 || len(f.held) > 0 {
			weights += f.vol.plan.Weight
		}
	}
	if weights == 0 { // nothing held or out: the shares start anew
		sh.vtime = max(sh.vtime, top)
	}
	sh.flows = slices.DeleteFunc(sh.flows, func(f *flow) bool { // idle, and its tag tells nothing any more
		idle := f.out == 0 && len(f.held) == 0 && f.tag <= sh.vtime && f.busy < 0.01
		if idle {
			delete(sh.byVol, f.id)
		}
		return idle
	})
	for _, n := range sh.nodes {
		beta := 0.0
		for _, f := range sh.flows {
			if f.out == 0 && len(f.held) == 0 {
				continue
			}
			w := f.vol.plan.Weight
			if slice := n.window * w / weights; f.busy < slice && len(f.held) == 0 {
				w *= f.busy / slice
			}
			beta += queuePart * w / s.meanWeight / f.vol.hosts
		}
		s.move(n, beta)
	}
}

// move takes in a node's latencies of the period and moves its window.
func (s *Scheduler) move(n *node, beta float64) {
	if n.answers > 0 {
		// A sample weighs by the age of what it replaces: a gateway that sees one answer a second would
		// else follow a node over half a minute. More than half takes more than one answer.
		old := math.Exp2(-min(float64(s.now-n.sampledAt)/float64(halfLife), n.answers))
		n.latency = max(time.Millisecond, time.Duration(old*float64(n.latency)+(1-old)*float64(n.sum)/n.answers))
		n.sampledAt, n.sum, n.answers = s.now, 0, 0
	} else if silent, _ := s.silent(n); !silent {
		if n.inUse == 0 { // nothing tells against it
			grow := math.Exp2(growth * float64(s.threshold) / float64(halfLife))
			n.window = max(n.window, min(1, n.window*grow))
			n.spare = max(n.spare, min(1, n.spare*grow))
		}
		return // a period without answers leaves w alone, unless some are owed
	}
	ratio := float64(s.threshold) / float64(s.delay(n))
	w := (1-gain)*n.window + gain*(ratio*n.window+beta)
	if w < 1 {
		w = min(1, (1-gain)*n.window+gain*(slowPart*ratio*n.window+beta))
	}
	n.window = min(max(w, s.share(windowMin)), windowMax)
	n.spare = min(max((1-gain)*n.spare+gain*(sparePart*ratio*n.spare+beta), s.share(windowMin)), windowMax)
}

// delay is how long an answer of the node takes now: L, or the age of the oldest attempt out where that is
// more. The latter never enters L, so that one answer ends it; it guards against hangs, stalls and floods,
// of which the late answer tells too late. With nothing out, an L above T fades: a gateway that sees few
// answers would else refuse for seconds after a flood. A node that stays slow costs a trial now and then.
func (s *Scheduler) delay(n *node) time.Duration {
	if t := n.oldest(); t != nil {
		return max(n.latency, s.now-t.sentAt)
	}
	age := float64(s.now-n.sampledAt) / float64(halfLife)
	return min(n.latency, s.threshold) +
		time.Duration(float64(max(0, n.latency-s.threshold))*math.Exp2(-age))
}
