package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file holds which held request leaves next for which node: start-time fair queueing per volume.

const (
	queueTimeoutFactor = 0.6 // a held request goes out while it has this many times L
)

// enqueue puts a request into its flow, ordered by due time.
func (s *Scheduler) enqueue(request *request) {
	flow := request.shard.flowsByVolume[request.Volume]
	if flow == nil {
		flow = newFlow(request)
		request.shard.flowsByVolume[request.Volume] = flow
		request.shard.flows = append(request.shard.flows, flow)
	}
	flow.volume = request.volume // the flow may be from before its volume was forgotten
	if !request.shard.active {
		request.shard.active, request.shard.windowsUpdatedAt = true, max(request.shard.windowsUpdatedAt, s.now-s.settings.SlowStartDuration, s.startedAt)
		s.activeShards = append(s.activeShards, request.shard)
	}
	if len(flow.queue) == 0 {
		flow.startTag = max(flow.startTag, request.shard.virtualTime)
	}
	i, _ := slices.BinarySearchFunc(flow.queue, request, compareObjectives)
	flow.queue = slices.Insert(flow.queue, i, request)
	request.queued = true
}

// newFlow returns the flow of a request's volume.
func newFlow(request *request) *flow { return &flow{volumeID: request.Volume, volume: request.volume} }

// compareObjectives orders requests by objective; it never returns 0, so that a request goes behind those with the same one.
func compareObjectives(a, b *request) int {
	return cmp.Or(cmp.Compare(a.objectiveAt, b.objectiveAt), -1)
}

// dispatch sends held requests of a shard while the window of its node has room, and gives up those that can
// no longer be answered within their aim and find no room left.
func (s *Scheduler) dispatch(shard *shard) {
	wait := s.latencyThreshold // how long an answer takes that is sent now
	for i, server := range shard.servers {
		l := s.expectedLatency(server)
		if _, trial := s.unresponsive(server); trial {
			l = time.Duration(float64(server.latency) / queueTimeoutFactor) // else nothing would be held long enough to try it
		}
		if i == 0 || l < wait {
			wait = l
		}
	}
	for _, server := range shard.servers { // the warm one first; the next gets what that has no room for
		s.detectLostAttempts(server)
		for {
			flow, request := s.selectNext(shard, server, wait)
			if request == nil || !s.hasCapacity(server, request) {
				break
			}
			s.send(server, flow, request)
		}
	}
	for _, flow := range shard.flows {
		for len(flow.queue) > 0 && !s.canMeetObjective(flow.queue[0], wait) {
			s.expireOrForward(flow, flow.queue[0])
		}
	}
}

// expireOrForward ends a held request whose aim can't be met. One that a poor link has kept back goes out instead,
// while its time lasts, where a quick node has room that the others left. A client's repeat does not: on a
// busy day it would take what the next fresh one needs.
func (s *Scheduler) expireOrForward(flow *flow, request *request) {
	if request.ClientDelay > s.latencyThreshold && len(request.attempts) == 0 && request.expiresAt > s.now+s.latencyThreshold {
		for _, server := range request.shard.servers {
			if s.expectedLatency(server) <= s.latencyThreshold && s.authorizeSend(server, request) && s.hasCapacity(server, request) {
				s.send(server, flow, request)
				return
			}
		}
	}
	s.rejectOrFail(request, ReasonObjectiveMissed)
}

// hasCapacity tells whether a node may be sent another request.
func (s *Scheduler) hasCapacity(server *serverEntry, request *request) bool {
	if s.now < server.backoffUntil || server.connectFailures > 0 && server.inFlight > 0 {
		return false // after failed connects one request at a time tries the node
	}
	if silent, trial := s.unresponsive(server); silent {
		return trial
	}
	w := server.window
	if request.volume.baseline.available(s.now) < request.Units {
		w = min(w, server.surplusWindow)
	}
	if w < 1 && !request.volume.withinReserve(s.now, request.Units) {
		// A window under one request is kept in time: one is out for that part of it.
		return server.inFlight == 0 && float64(s.now-server.lastEndedAt) >= (1/w-1)*float64(min(server.lastDuration, server.latency))
	}
	return float64(server.inFlight) < max(1, w)
}

// evenShare is this gateway's even part of a figure that holds for all gateways at a node.
func (s *Scheduler) evenShare(all float64) float64 { return all / float64(s.settings.Gateways) }

// canMeetObjective tells whether a held request is worth a try where an answer takes wait.
func (s *Scheduler) canMeetObjective(request *request, wait time.Duration) bool {
	part := queueTimeoutFactor
	if request.volume.withinReserve(s.now, request.Units) {
		part = s.reservedQueueTimeoutFactor
	}
	return request.objectiveAt >= s.now+time.Duration(part*float64(wait))
}

// selectNext chooses what leaves next of what is in time: reserved units, then the lowest start tag.
func (s *Scheduler) selectNext(shard *shard, server *serverEntry, wait time.Duration) (best *flow, bestReq *request) {
	bestReserved := false
	for _, flow := range shard.flows {
		i := slices.IndexFunc(flow.queue, func(request *request) bool {
			return s.canMeetObjective(request, wait) && s.now >= request.retryNotBefore && s.authorizeSend(server, request)
		})
		if i < 0 {
			continue
		}
		request := flow.queue[i]
		reserved := flow.volume.withinReserve(s.now, request.Units)
		if best == nil || reserved && !bestReserved || reserved == bestReserved && flow.startTag < best.startTag {
			best, bestReq, bestReserved = flow, request, reserved
		}
	}
	return best, bestReq
}

// send starts an attempt and books it everywhere.
func (s *Scheduler) send(server *serverEntry, flow *flow, request *request) {
	shard := request.shard
	request.dequeue()
	if len(request.attempts) == 0 {
		flow.volume.limit.consume(s.now, request.Units)
	} else if s.settings.RetryBudgetWindow > 0 {
		s.retriesInWindow = append(s.retriesInWindow, s.now)
	}
	if flow.volume.withinReserve(s.now, request.Units) {
		flow.volume.reserve.consume(s.now, request.Units)
	} else {
		shard.virtualTime = max(shard.virtualTime, flow.startTag)
		worth := max(request.class.PriorityWeight*flow.volume.plan.PriorityFactor/s.maxPriority, 0.1)
		flow.startTag += request.Units / (flow.volume.plan.Weight * worth)
	}
	if flow.volume.baseline.available(s.now) >= request.Units {
		flow.volume.baseline.consume(s.now, request.Units)
	}
	attempt := &attempt{request: request, server: server, sentAt: s.now}
	request.attempts = append(request.attempts, attempt)
	server.outstanding = append(server.outstanding, attempt)
	request.outstanding++
	server.inFlight++
	flow.outstanding++
	server.lastSendAt = s.now
	if s.now < server.ejectedUntil {
		server.backoffUntil = s.now + server.ejectionInterval
	}
	s.consumeSlowStart(server, request.Units)
	s.emit(Send{ID: request.ID, Server: server.ID, StartDeadline: request.retryStartDeadline()})
}

// updateQuotaRates sets this gateway's part of its volume's reserve and usual rate: as told by answers, and the even
// part as far as they are few or old.
func (s *Scheduler) updateQuotaRates(volume *volumeEntry) {
	fade := math.Exp2(-float64(s.now-volume.usageUpdatedAt) / float64(2*latencyHalfLife))
	even := max(1, s.settings.MeanUnits)
	part := (fade*volume.localUnits + even/volume.gateways) / (fade*(volume.localUnits+volume.foreignUnits) + even)
	volume.reserve.available(s.now)
	volume.baseline.available(s.now)
	volume.reserve.rate, volume.baseline.rate = volume.plan.Reserve*part, volume.plan.Rate*part
}
