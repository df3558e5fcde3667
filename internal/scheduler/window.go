package scheduler

import (
	"math"
	"slices"
	"time"
)

// This file holds how many requests may be out at a node: PARDA's congestion control.

const (
	windowGain           = 0.8         // γ
	latencyHalfLife      = time.Second // α halves the history of L in this time
	initialWindow        = 8.0         // requests out at a node at first
	initialSurplusWindow = 24.0        // the same for what volumes ask beyond their usual rate, over all gateways
	minWindow            = 4.0         // the least window, over all gateways
	maxWindow            = 20.0
	subunitWindowFactor  = 2.5 // the window falls under one request from this many times T on
	surplusWindowFactor  = 1.5 // and the spare window
	idleGrowth           = 4.0 // doublings in halfLife of a window under one while nothing is out
	unresponsiveFactor   = 4   // an answer owed for this many times T and L is missing
	targetQueuePerFlow   = 0.5 // K: what a volume of mean weight adds to β over all its gateways, in requests
)

// unresponsive tells whether a node owes answers and has given none for longer than a pause or a large request
// explains, and whether a trial is due: a thinning trickle past what is stuck in its window. It guards
// against hangs, cut links and lost answers alike; in a long stall it adds to the node's queue.
func (s *Scheduler) unresponsive(server *serverEntry) (silent, trial bool) {
	attempt := server.oldestAttempt()
	if attempt == nil {
		return false, false
	}
	quiet := s.now - max(attempt.sentAt, server.lastResponseAt)
	silent = quiet > unresponsiveFactor*max(s.latencyThreshold, server.latency)
	every := float64(min(max(2*s.latencyThreshold, quiet/4), 16*s.latencyThreshold)) / min(1, server.window)
	return silent, silent && float64(s.now-server.lastSendAt) > every
}

// detectLostAttempts finds attempts that their node has passed over: it has answered one sent clearly later. Such an
// attempt leaves the window. It guards against lost answers, cut links and stuck requests; it could do
// harm where a node serves out of turn for long.
func (s *Scheduler) detectLostAttempts(server *serverEntry) {
	mean := max(1, s.settings.MeanUnits)
	for _, attempt := range server.outstanding {
		request := attempt.request
		late := time.Duration(float64(unresponsiveFactor*max(s.latencyThreshold, server.latency)) * max(1, request.Units/mean))
		if s.now-attempt.sentAt < unresponsiveFactor*s.latencyThreshold {
			return
		}
		if attempt.ended || attempt.lost || s.now-attempt.sentAt < late || server.latestAnsweredSend < attempt.sentAt+server.latency {
			continue
		}
		attempt.lost = true
		server.inFlight--
		request.shard.flowsByVolume[request.Volume].outstanding--
	}
}

// recordServerOutcome feeds an outcome to what is known of its node.
func (s *Scheduler) recordServerOutcome(server *serverEntry, attempt *attempt, outcome *AttemptEnded) {
	switch outcome.Status {
	case StatusOK:
		if s.stalledAt != s.now {
			server.latencySum += max(0, outcome.Latency)
			server.latencySamples++
		}
		server.connectFailures, server.consecutiveRejects = 0, 0
		server.lastResponseAt, server.latestAnsweredSend = s.now, max(server.latestAnsweredSend, attempt.sentAt)
	case StatusOverloaded:
		// One queue that is full for a moment says little. A node that turns away one after the other drains, and
		// the list is late to tell: attempts are not to be spent on it.
		if server.consecutiveRejects = min(server.consecutiveRejects+1, 5); server.consecutiveRejects > 1 {
			server.backoffUntil = max(server.backoffUntil, s.now+s.latencyThreshold<<(server.consecutiveRejects-2))
		}
	case StatusError:
		server.lastErrorAt = s.now
		server.lastResponseAt, server.connectFailures, server.consecutiveRejects = s.now, 0, 0 // no latency: fast errors must not open the window
	case StatusConnectFailed, StatusConnectionReset:
		if outcome.Status == StatusConnectionReset && s.now-server.lastResponseAt < unresponsiveFactor*s.latencyThreshold {
			return // a connection broke, not the node: it has just answered on others
		}
		server.connectFailures = min(server.connectFailures+1, 4)
		server.backoffUntil = max(server.backoffUntil, s.now+s.latencyThreshold<<(server.connectFailures-1))
	}
}

// updateWindows is PARDA's update, once a period for each node: w ← (1−γ)w + γ(T/L·w + β).
func (s *Scheduler) updateWindows(shard *shard) {
	weights, top, elapsed := 0.0, 0.0, s.now-shard.windowsUpdatedAt
	shard.windowsUpdatedAt = s.now
	alpha := math.Exp2(-float64(elapsed) / float64(latencyHalfLife))
	for _, flow := range shard.flows {
		flow.meanOutstanding, top = alpha*flow.meanOutstanding+(1-alpha)*float64(flow.outstanding), max(top, flow.startTag)
		if flow.outstanding > 0 || len(flow.queue) > 0 {
			weights += flow.volume.plan.Weight
		}
	}
	if weights == 0 { // nothing held or out: the shares start anew
		shard.virtualTime = max(shard.virtualTime, top)
	}
	shard.flows = slices.DeleteFunc(shard.flows, func(flow *flow) bool { // idle, and its tag tells nothing any more
		idle := flow.outstanding == 0 && len(flow.queue) == 0 && flow.startTag <= shard.virtualTime && flow.meanOutstanding < 0.01
		if idle {
			delete(shard.flowsByVolume, flow.volumeID)
		}
		return idle
	})
	for _, server := range shard.servers {
		beta := 0.0
		for _, flow := range shard.flows {
			if flow.outstanding == 0 && len(flow.queue) == 0 {
				continue
			}
			w := flow.volume.plan.Weight
			if slice := server.window * w / weights; flow.meanOutstanding < slice && len(flow.queue) == 0 {
				w *= flow.meanOutstanding / slice
			}
			beta += targetQueuePerFlow * w / s.meanPlanWeight / flow.volume.gateways
		}
		s.updateWindow(server, beta)
	}
}

// updateWindow takes in a node's latencies of the period and moves its window.
func (s *Scheduler) updateWindow(server *serverEntry, beta float64) {
	if server.latencySamples > 0 {
		// A sample weighs by the age of what it replaces: a gateway that sees one answer a second would
		// else follow a node over half a minute. More than half takes more than one answer.
		old := math.Exp2(-min(float64(s.now-server.latencyUpdatedAt)/float64(latencyHalfLife), server.latencySamples))
		server.latency = max(time.Millisecond, time.Duration(old*float64(server.latency)+(1-old)*float64(server.latencySum)/server.latencySamples))
		server.latencyUpdatedAt, server.latencySum, server.latencySamples = s.now, 0, 0
	} else if silent, _ := s.unresponsive(server); !silent {
		if server.inFlight == 0 { // nothing tells against it
			grow := math.Exp2(idleGrowth * float64(s.latencyThreshold) / float64(latencyHalfLife))
			server.window = max(server.window, min(1, server.window*grow))
			server.surplusWindow = max(server.surplusWindow, min(1, server.surplusWindow*grow))
		}
		return // a period without answers leaves w alone, unless some are owed
	}
	ratio := float64(s.latencyThreshold) / float64(s.expectedLatency(server))
	w := (1-windowGain)*server.window + windowGain*(ratio*server.window+beta)
	if w < 1 {
		w = min(1, (1-windowGain)*server.window+windowGain*(subunitWindowFactor*ratio*server.window+beta))
	}
	server.window = min(max(w, s.evenShare(minWindow)), maxWindow)
	server.surplusWindow = min(max((1-windowGain)*server.surplusWindow+windowGain*(surplusWindowFactor*ratio*server.surplusWindow+beta), s.evenShare(minWindow)), maxWindow)
}

// expectedLatency is how long an answer of the node takes now: L, or the age of the oldest attempt out where that is
// more. The latter never enters L, so that one answer ends it; it guards against hangs, stalls and floods,
// of which the late answer tells too late. With nothing out, an L above T fades: a gateway that sees few
// answers would else refuse for seconds after a flood. A node that stays slow costs a trial now and then.
func (s *Scheduler) expectedLatency(server *serverEntry) time.Duration {
	if attempt := server.oldestAttempt(); attempt != nil {
		return max(server.latency, s.now-attempt.sentAt)
	}
	age := float64(s.now-server.latencyUpdatedAt) / float64(latencyHalfLife)
	return min(server.latency, s.latencyThreshold) +
		time.Duration(float64(max(0, server.latency-s.latencyThreshold))*math.Exp2(-age))
}
