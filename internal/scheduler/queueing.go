package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file holds which held request leaves next for which node: start-time fair queueing per volume.

const (
	patience = 0.6 // a held request goes out while it has this many times L
)

// hold puts a request into its flow, ordered by due time.
func (s *Scheduler) hold(r *request) {
	f := r.shard.byVol[r.Volume]
	if f == nil {
		f = &flow{id: r.Volume, vol: r.vol}
		r.shard.byVol[r.Volume] = f
		r.shard.flows = append(r.shard.flows, f)
	}
	f.vol = r.vol // the flow may be from before its volume was forgotten
	if !r.shard.busy {
		r.shard.busy, r.shard.moved = true, max(r.shard.moved, s.now-s.set.SlowStartDuration, s.openedAt)
		s.busy = append(s.busy, r.shard)
	}
	if len(f.held) == 0 {
		f.tag = max(f.tag, r.shard.vtime)
	}
	i, _ := slices.BinarySearchFunc(f.held, r, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.due, b.due), -1) // behind those due at the same time
	})
	f.held = slices.Insert(f.held, i, r)
	r.held = true
}

// release sends held requests of a shard while the window of its node has room, and gives up those that can
// no longer be answered within their aim and find no room left.
func (s *Scheduler) release(sh *shard) {
	wait := s.threshold // how long an answer takes that is sent now
	for i, n := range sh.nodes {
		l := s.delay(n)
		if _, trial := s.silent(n); trial {
			l = time.Duration(float64(n.latency) / patience) // else nothing would be held long enough to try it
		}
		if i == 0 || l < wait {
			wait = l
		}
	}
	for _, n := range sh.nodes { // the warm one first; the next gets what that has no room for
		s.sweep(n)
		for {
			f, r := s.pick(sh, n, wait)
			if r == nil || !s.roomFor(n, r) {
				break
			}
			s.send(n, f, r)
		}
	}
	for _, f := range sh.flows {
		for len(f.held) > 0 && !s.inTime(f.held[0], wait) {
			s.lastCall(f, f.held[0])
		}
	}
}

// lastCall ends a held request whose aim can't be met. One that a poor link has kept back goes out instead,
// while its time lasts, where a quick node has room that the others left. A client's repeat does not: on a
// busy day it would take what the next fresh one needs.
func (s *Scheduler) lastCall(f *flow, r *request) {
	if r.ClientDelay > s.threshold && len(r.tries) == 0 && r.expiry > s.now+s.threshold {
		for _, n := range r.shard.nodes {
			if s.delay(n) <= s.threshold && s.mayGo(n, r) && s.roomFor(n, r) {
				s.send(n, f, r)
				return
			}
		}
	}
	s.giveUp(r, ReasonObjectiveMissed)
}

// roomFor tells whether a node may be sent another request.
func (s *Scheduler) roomFor(n *node, r *request) bool {
	if s.now < n.holdUntil || n.failures > 0 && n.inUse > 0 {
		return false // after failed connects one request at a time tries the node
	}
	if silent, trial := s.silent(n); silent {
		return trial
	}
	w := n.window
	if r.vol.usual.at(s.now) < r.Units {
		w = min(w, n.spare)
	}
	if w < 1 && !r.vol.reserved(s.now, r.Units) {
		// A window under one request is kept in time: one is out for that part of it.
		return n.inUse == 0 && float64(s.now-n.closedAt) >= (1/w-1)*float64(min(n.took, n.latency))
	}
	return float64(n.inUse) < max(1, w)
}

// share is this gateway's even part of a figure that holds for all gateways at a node.
func (s *Scheduler) share(all float64) float64 { return all / float64(s.set.Gateways) }

// inTime tells whether a held request is worth a try where an answer takes wait.
func (s *Scheduler) inTime(r *request, wait time.Duration) bool {
	part := patience
	if r.vol.reserved(s.now, r.Units) {
		part = s.patienceIn
	}
	return r.due >= s.now+time.Duration(part*float64(wait))
}

// pick chooses what leaves next of what is in time: reserved units, then the lowest start tag.
func (s *Scheduler) pick(sh *shard, n *node, wait time.Duration) (best *flow, bestReq *request) {
	bestReserved := false
	for _, f := range sh.flows {
		i := slices.IndexFunc(f.held, func(r *request) bool {
			return s.inTime(r, wait) && s.now >= r.notBefore && s.mayGo(n, r)
		})
		if i < 0 {
			continue
		}
		r := f.held[i]
		reserved := f.vol.reserved(s.now, r.Units)
		if best == nil || reserved && !bestReserved || reserved == bestReserved && f.tag < best.tag {
			best, bestReq, bestReserved = f, r, reserved
		}
	}
	return best, bestReq
}

// send starts an attempt and books it everywhere.
func (s *Scheduler) send(n *node, f *flow, r *request) {
	sh := r.shard
	r.unhold()
	if len(r.tries) == 0 {
		f.vol.limit.take(s.now, r.Units)
	} else if s.set.RetryBudgetWindow > 0 {
		s.extras = append(s.extras, s.now)
	}
	if f.vol.reserved(s.now, r.Units) {
		f.vol.reserve.take(s.now, r.Units)
	} else {
		sh.vtime = max(sh.vtime, f.tag)
		worth := max(r.class.PriorityWeight*f.vol.plan.PriorityFactor/s.bestWorth, 0.1)
		f.tag += r.Units / (f.vol.plan.Weight * worth)
	}
	if f.vol.usual.at(s.now) >= r.Units {
		f.vol.usual.take(s.now, r.Units)
	}
	t := &try{req: r, node: n, sentAt: s.now}
	r.tries = append(r.tries, t)
	n.out = append(n.out, t)
	r.out++
	n.inUse++
	f.out++
	n.lastSend = s.now
	if s.now < n.restTill {
		n.holdUntil = s.now + n.rest
	}
	s.drawSlowStart(n, r.Units)
	s.do(Send{ID: r.ID, Server: n.ID, StartDeadline: r.repeatBefore()})
}

// deal sets this gateway's part of its volume's reserve and usual rate: as told by answers, and the even
// part as far as they are few or old.
func (s *Scheduler) deal(v *volume) {
	fade := math.Exp2(-float64(s.now-v.toldAt) / float64(2*halfLife))
	even := max(1, s.set.MeanUnits)
	part := (fade*v.own + even/v.hosts) / (fade*(v.own+v.foreign) + even)
	v.reserve.at(s.now)
	v.usual.at(s.now)
	v.reserve.rate, v.usual.rate = v.plan.Reserve*part, v.plan.Rate*part
}
