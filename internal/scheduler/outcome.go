package scheduler

import (
	"container/heap"
	"math"
	"time"
)

// This file holds what becomes of a request when an attempt or its time ends.

// outcome books the end of an attempt and decides what becomes of its request.
func (s *Scheduler) outcome(o *AttemptEnded) {
	r := s.reqs[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.tries) || r.tries[o.Attempt].closed {
		return
	}
	t := r.tries[o.Attempt]
	n := t.node
	t.closed, r.out = true, r.out-1
	if !t.lost {
		n.inUse--
		r.shard.byVol[r.Volume].out--
	}
	n.closedAt, n.took = s.now, s.now-t.sentAt
	s.observe(n, t, o)
	if o.Status == StatusOK {
		s.learn(r.vol, r.Units, o)
	}
	switch o.Status {
	case StatusError, StatusTimedOut, StatusConnectionReset, StatusCanceled:
		if !r.mayRun || t.sentAt < r.mayRunAt {
			r.mayRun, r.mayRunAt, r.ranZone = true, t.sentAt, n.Zone
		}
	}
	if o.Status == StatusTimedOut || o.Status == StatusConnectionReset || o.Status == StatusCanceled {
		s.restTurn(r)
	}
	if r.over = r.over || o.RequestDone; r.over {
		s.settle(r)
		return
	}
	if r.out > 0 || r.held {
		return
	}
	// Another attempt, if the rules allow one and the aim can still be met.
	r.notBefore = s.now + n.latency/4
	if r.Shard == -1 && !r.mayRun { // a new object that nobody has yet may go elsewhere
		if sh := s.roomiest(); sh != nil {
			r.shard = sh
		}
	}
	if o.Status != StatusTimedOut && r.notBefore+s.threshold/2 <= r.due && s.mayRepeat(r) && s.extraLeft() {
		s.hold(r)
	} else {
		s.giveUp(r, ReasonRetryNotAllowed)
	}
}

// learn takes in what an answer tells of its volume's use through other gateways.
func (s *Scheduler) learn(v *volume, units float64, o *AttemptEnded) {
	if s.set.ReportsForeignUnits && o.ForeignUnits >= 0 && o.ForeignUnits < 1e9 { // told, and not absurd
		fade := math.Exp2(-float64(s.now-v.toldAt) / float64(2*halfLife))
		v.own, v.foreign, v.toldAt = fade*v.own+units, fade*v.foreign+o.ForeignUnits, s.now
	}
}

// giveUp ends a request: refused where that is true to its effect, else failed.
func (s *Scheduler) giveUp(r *request, reason Reason) {
	if s.listExpired() {
		reason = ReasonEndpointsExpired
	}
	if r.class.Idempotency == Idempotent || r.out == 0 && !r.mayRun ||
		r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupAll {
		s.do(Reject{ID: r.ID, RetryAfter: s.comeBack(r), Reason: reason})
	} else {
		s.do(Fail{ID: r.ID, Reason: reason})
	}
	s.end(r)
}

// comeBack is when a refused client does well to try again: one that comes while its node is still working
// off what it has is refused again, but much later than that its aim has passed; and the volume's limit must
// have room by then.
func (s *Scheduler) comeBack(r *request) time.Duration {
	wait := s.threshold
	for _, n := range r.shard.nodes {
		wait = min(max(wait, s.delay(n)), 2*s.threshold)
	}
	if v := r.vol; v.plan.Limit > 0 {
		short := r.Units - v.limit.at(s.now)
		wait = max(wait, time.Duration(short/v.limit.rate*float64(time.Second)))
	}
	return min(wait, s.set.MaxRetryAfter)
}

// callOff gives up the attempts of a request for which nobody waits any more: where a node stops work that is
// given up, it is free for others. Elsewhere that costs a connection.
func (s *Scheduler) callOff(r *request) {
	for i, t := range r.tries {
		if s.set.AllowCancel && !t.closed {
			s.do(CancelAttempt{ID: r.ID, Attempt: i})
		}
	}
}

// end marks a request as over: nothing more is sent for it.
func (s *Scheduler) end(r *request) {
	r.over = true
	if r.held {
		r.unhold()
	}
	s.settle(r)
}

// settle forgets a request that is over and has nothing out.
func (s *Scheduler) settle(r *request) {
	if r.out > 0 {
		return
	}
	if s.inTurn(r) {
		s.leaveTurn(r)
	}
	delete(s.reqs, r.ID)
}

// expire answers whatever is still open when its client's time is up.
func (s *Scheduler) expire() {
	for len(s.expiries) > 0 && s.expiries[0].at <= s.now {
		r := heap.Pop(&s.expiries).(expiry).r
		if !r.over && r.expiry != 0 {
			s.giveUp(r, ReasonDeadlineExceeded)
		}
	}
}

// curtail moves the ends of all requests that have longer to where the gateway ends. It guards against those
// that were taken before and are out for longer than that: their clients would get no answer.
func (s *Scheduler) curtail(at time.Duration) {
	s.endsAt = at
	for i := range s.expiries { // later ones become equal, so the heap keeps its order
		if e := &s.expiries[i]; e.at > at {
			e.at = at
			if e.r.expiry != 0 {
				e.r.expiry, e.r.due = at, min(e.r.due, at)
			}
		}
	}
}
