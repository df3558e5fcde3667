package scheduler

import (
	"container/heap"
	"math"
	"time"
)

// This file holds what becomes of a request that arrives: its volume, its shard.

const (
	errorCooldown   = 4 * time.Second // a node that answered with an error gets no new objects for so long
	minKnownServers = 8               // a gateway that has met fewer nodes puts new objects on others, too
)

// admit takes a request: it is held in its volume's flow at its shard.
func (s *Scheduler) admit(arrival *RequestArrived) {
	if s.settings.RetryBudgetWindow > 0 {
		s.admittedInWindow = append(s.admittedInWindow, s.now)
	}
	if s.requests[arrival.ID] != nil {
		return
	}
	request, plan := &request{RequestArrived: *arrival, class: s.classes[arrival.Class], expiresAt: s.now + arrival.TTL}, s.plans[arrival.Plan]
	if len(s.settings.Plans) == 1 {
		plan = &s.settings.Plans[0]
	}
	if request.class == nil || plan == nil || arrival.Shard >= len(s.shards) || arrival.Shard < -1 || arrival.TTL <= 0 || arrival.ClientDelay < 0 ||
		!(arrival.Units >= 0 && arrival.Units < 1e9) {
		s.emit(Reject{ID: arrival.ID, Reason: ReasonInvalidRequest}) // it has not run
		return
	}
	// A client's repeat has used up part of its aim: what it lacks of the longest time seen in its class
	// tells how much, less what it was on its way. Less than half of that is an impatient client: a repeat so
	// old has nothing to lose.
	request.objectiveAt = s.now + request.class.LatencyObjective
	if !arrival.IsFirstAttempt {
		whole := arrival.TTL + arrival.ClientDelay
		s.longestTTL[request.class] = max(s.longestTTL[request.class], whole)
		if age := s.longestTTL[request.class] - whole; age < whole {
			request.objectiveAt -= age
		}
	}
	if s.shutdownDeadline != 0 {
		request.expiresAt = min(request.expiresAt, s.shutdownDeadline)
	}
	request.objectiveAt = min(request.objectiveAt, request.expiresAt)
	if arrival.Shard == -1 {
		request.shard = s.leastLoadedShard()
	} else {
		request.shard = s.shards[arrival.Shard]
	}
	if request.shard == nil {
		s.emit(Reject{ID: arrival.ID, Reason: ReasonNoServer})
		return
	}
	request.volume = s.volumeFor(arrival, plan)
	if s.settings.SlowStartDuration > 0 {
		request.shard.recordDemand(s.now, s.settings.SlowStartDuration, request.Units)
	}
	if s.settings.QuotaLeases && plan.Limit > 0 && request.volume.recordDemand(s.now, arrival.Units) {
		s.emit(request.volume.quotaDemand(arrival.Volume))
	}
	s.requests[arrival.ID] = request
	heap.Push(&s.deadlines, deadline{request.expiresAt, request})
	if s.isOrderedByKey(request) {
		s.enqueueForKey(request)
	}
	s.enqueue(request)
}

// leastLoadedShard is where a new object goes: of two shards drawn by chance the one whose node has less to do, as
// seen from here. The best of all would be the same for every gateway that has little out: with many of
// them it draws the whole fleet's objects, and the reads that follow them. Passed over are nodes that are
// held back, turn all away, owe answers, have failed lately or are cold and may get no more now; and, as
// soon as a few have been met, those that have not: they cost a handshake from every gateway. Such are
// taken where there is no other.
func (s *Scheduler) leastLoadedShard() (best *shard) {
	load, open, seen, met := math.Inf(1), false, 0, 0
	for _, shard := range s.shards {
		if len(shard.servers) > 0 && shard.servers[0].lastResponseAt > 0 {
			met++
		}
	}
	for _, i := range s.random.Perm(len(s.shards)) {
		shard := s.shards[i]
		if len(shard.servers) == 0 {
			continue
		}
		server := shard.servers[0]
		silent, _ := s.unresponsive(server)
		ready := server.consecutiveRejects == 0 && server.connectFailures == 0 && s.now >= server.backoffUntil && !silent && !s.inSlowStart(server) &&
			(server.lastErrorAt == 0 || s.now-server.lastErrorAt > errorCooldown) && (server.lastResponseAt > 0 || met < minKnownServers)
		l := float64(server.inFlight+1) * float64(s.expectedLatency(server))
		if best == nil || ready && !open || ready == open && l < load {
			best, load, open = shard, l, ready
		}
		if ready {
			if seen++; seen == 2 {
				break
			}
		}
	}
	return best
}

// volumeFor finds or opens the books of a volume.
func (s *Scheduler) volumeFor(arrival *RequestArrived, plan *Plan) *volumeEntry {
	hosts := float64(arrival.Gateways)
	if arrival.Gateways < 1 || arrival.Gateways > s.settings.Gateways {
		hosts = float64(s.settings.Gateways)
	}
	volume := s.volumes[arrival.Volume]
	if volume == nil {
		volume = &volumeEntry{plan: plan, gateways: hosts}
		volume.reserve.configure(plan.Reserve/hosts, plan.Reserve/hosts+s.settings.MaxUnits, s.now)
		volume.reserve.tokens = volume.reserve.capacity
		volume.baseline.configure(plan.Rate/hosts, plan.Rate/hosts+s.settings.MaxUnits, s.now)
		volume.baseline.tokens = volume.baseline.capacity
		volume.limit.configure(plan.Limit/hosts*s.settings.InitialQuotaShare, plan.LimitBurst/hosts*s.settings.InitialQuotaShare, s.startedAt)
		s.volumes[arrival.Volume] = volume
	}
	if hosts > volume.gateways { // told of through another front, with more gateways: each one's part is less
		volume.gateways = hosts
		volume.limit.available(s.now)
		volume.limit.rate, volume.limit.capacity = min(volume.limit.rate, plan.Limit/hosts), min(volume.limit.capacity, plan.LimitBurst/hosts)
	}
	volume.lastRequestAt = s.now
	s.updateQuotaRates(volume)
	return volume
}

// withinReserve tells whether units are inside this gateway's part of the reserve now.
func (v *volumeEntry) withinReserve(now time.Duration, units float64) bool {
	return v.plan.Reserve > 0 && v.reserve.available(now) >= units
}
