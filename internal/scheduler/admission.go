package scheduler

import (
	"container/heap"
	"math"
	"time"
)

// This file holds what becomes of a request that arrives: its volume, its shard.

const (
	errorRest = 4 * time.Second // a node that answered with an error gets no new objects for so long
	fewMet    = 8               // a gateway that has met fewer nodes puts new objects on others, too
)

// arrive takes a request: it is held in its volume's flow at its shard.
func (s *Scheduler) arrive(a *RequestArrived) {
	if s.set.RetryBudgetWindow > 0 {
		s.taken = append(s.taken, s.now)
	}
	if s.reqs[a.ID] != nil {
		return
	}
	r, plan := &request{RequestArrived: *a, class: s.classes[a.Class], expiry: s.now + a.TTL}, s.plans[a.Plan]
	if len(s.set.Plans) == 1 {
		plan = &s.set.Plans[0]
	}
	if r.class == nil || plan == nil || a.Shard >= len(s.shards) || a.Shard < -1 || a.TTL <= 0 || a.ClientDelay < 0 ||
		!(a.Units >= 0 && a.Units < 1e9) {
		s.do(Reject{ID: a.ID, Reason: ReasonInvalidRequest}) // it has not run
		return
	}
	// A client's repeat has used up part of its aim: what it lacks of the longest time seen in its class
	// tells how much, less what it was on its way. Less than half of that is an impatient client: a repeat so
	// old has nothing to lose.
	r.due = s.now + r.class.LatencyObjective
	if !a.IsFirstAttempt {
		whole := a.TTL + a.ClientDelay
		s.longest[r.class] = max(s.longest[r.class], whole)
		if age := s.longest[r.class] - whole; age < whole {
			r.due -= age
		}
	}
	if s.endsAt != 0 {
		r.expiry = min(r.expiry, s.endsAt)
	}
	r.due = min(r.due, r.expiry)
	if a.Shard == -1 {
		r.shard = s.roomiest()
	} else {
		r.shard = s.shards[a.Shard]
	}
	if r.shard == nil {
		s.do(Reject{ID: a.ID, Reason: ReasonNoServer})
		return
	}
	r.vol = s.volume(a, plan)
	if s.set.SlowStartDuration > 0 {
		r.shard.ask(s.now, s.set.SlowStartDuration, r.Units)
	}
	if s.set.QuotaLeases && plan.Limit > 0 && r.vol.wants(s.now, a.Units) {
		s.do(r.vol.demand(a.Volume))
	}
	s.reqs[a.ID] = r
	heap.Push(&s.expiries, expiry{r.expiry, r})
	if s.inTurn(r) {
		s.queueTurn(r)
	}
	s.hold(r)
}

// roomiest is where a new object goes: of two shards drawn by chance the one whose node has less to do, as
// seen from here. The best of all would be the same for every gateway that has little out: with many of
// them it draws the whole fleet's objects, and the reads that follow them. Passed over are nodes that are
// held back, turn all away, owe answers, have failed lately or are cold and may get no more now; and, as
// soon as a few have been met, those that have not: they cost a handshake from every gateway. Such are
// taken where there is no other.
func (s *Scheduler) roomiest() (best *shard) {
	load, open, seen, met := math.Inf(1), false, 0, 0
	for _, sh := range s.shards {
		if len(sh.nodes) > 0 && sh.nodes[0].answered > 0 {
			met++
		}
	}
	for _, i := range s.rnd.Perm(len(s.shards)) {
		sh := s.shards[i]
		if len(sh.nodes) == 0 {
			continue
		}
		n := sh.nodes[0]
		silent, _ := s.silent(n)
		ready := n.turned == 0 && n.failures == 0 && s.now >= n.holdUntil && !silent && !s.startingUp(n) &&
			(n.erredAt == 0 || s.now-n.erredAt > errorRest) && (n.answered > 0 || met < fewMet)
		l := float64(n.inUse+1) * float64(s.delay(n))
		if best == nil || ready && !open || ready == open && l < load {
			best, load, open = sh, l, ready
		}
		if ready {
			if seen++; seen == 2 {
				break
			}
		}
	}
	return best
}

// volume finds or opens the books of a volume.
func (s *Scheduler) volume(a *RequestArrived, plan *Plan) *volume {
	hosts := float64(a.Gateways)
	if a.Gateways < 1 || a.Gateways > s.set.Gateways {
		hosts = float64(s.set.Gateways)
	}
	v := s.volumes[a.Volume]
	if v == nil {
		v = &volume{plan: plan, hosts: hosts}
		v.reserve.set(plan.Reserve/hosts, plan.Reserve/hosts+s.set.MaxUnits, s.now)
		v.reserve.level = v.reserve.most
		v.usual.set(plan.Rate/hosts, plan.Rate/hosts+s.set.MaxUnits, s.now)
		v.usual.level = v.usual.most
		v.limit.set(plan.Limit/hosts*s.set.InitialQuotaShare, plan.LimitBurst/hosts*s.set.InitialQuotaShare, s.openedAt)
		s.volumes[a.Volume] = v
	}
	if hosts > v.hosts { // told of through another front, with more gateways: each one's part is less
		v.hosts = hosts
		v.limit.at(s.now)
		v.limit.rate, v.limit.most = min(v.limit.rate, plan.Limit/hosts), min(v.limit.most, plan.LimitBurst/hosts)
	}
	v.askedAt = s.now
	s.deal(v)
	return v
}

// reserved tells whether units are inside this gateway's part of the reserve now.
func (v *volume) reserved(now time.Duration, units float64) bool {
	return v.plan.Reserve > 0 && v.reserve.at(now) >= units
}
