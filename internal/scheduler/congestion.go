package scheduler

import (
	"math"
	"time"
)

const (
	// windowGain is PARDA's γ: the weight of a period's result in the new window.
	windowGain = 0.8
	// latencyHalfLife is the time in which half of the latency's history is replaced.
	latencyHalfLife = time.Second
	// initialWindow is the window of a new server, in requests.
	initialWindow = 8.0
	// initialSurplusWindow is the surplus window of a new server over all gateways, in requests.
	initialSurplusWindow = 24.0
	// minWindow is the smallest window over all gateways, in requests.
	minWindow = 4.0
	// maxWindow is the largest window of one gateway, in requests.
	maxWindow = 20.0
	// subunitWindowFactor is how many times the threshold the latency must be for the window to fall below one request.
	subunitWindowFactor = 2.5
	// surplusWindowFactor is how many times the threshold the latency must be for the surplus window to shrink.
	surplusWindowFactor = 1.5
	// idleGrowth is the number of doublings, in latencyHalfLife, of a window below one request while nothing is in flight.
	idleGrowth = 4.0
	// targetQueuePerFlow is what a flow of mean weight adds to PARDA's β over all its gateways, in requests.
	targetQueuePerFlow = 0.5
	// maxPeerSamples bounds the samples that a period accumulates from peers at a server without requests.
	maxPeerSamples = 8
	// minLatency is the smallest smoothed latency.
	minLatency = time.Millisecond
)

// congestionControl is PARDA's state for one server: windows of requests in flight that its latency moves. The zero value is that
// of a server that has not been listed yet.
type congestionControl struct {
	window        float64 // requests that may be in flight; below 1 one request is in flight for that part of the time
	surplusWindow float64 // the same for what volumes request beyond their baseline rate

	latency          time.Duration // L of PARDA, smoothed
	latencyUpdatedAt time.Duration
	latencySum       time.Duration // of the samples of this period
	latencySamples   float64
}

// reset sets the windows and the latency of a server that has just been listed or restarted.
func (c *congestionControl) reset(threshold time.Duration, surplusWindow float64) {
	c.window, c.surplusWindow, c.latency = initialWindow, surplusWindow, threshold
}

// addSample adds the latency of a response to the current period.
func (c *congestionControl) addSample(latency time.Duration) {
	c.latencySum += max(0, latency)
	c.latencySamples++
}

// addPeerSample adds a latency that other gateways have measured.
func (c *congestionControl) addPeerSample(latency time.Duration) {
	if c.latencySamples >= maxPeerSamples {
		c.latencySum, c.latencySamples = c.latencySum/2, c.latencySamples/2
	}
	c.addSample(latency)
}

// updateLatency updates the smoothed latency by the samples of the period, of which there is at least one. The longer ago the last
// update, the more the samples weigh, so that a gateway with one response per second follows the server as quickly as one with many.
// A single sample weighs at most half.
func (c *congestionControl) updateLatency(now time.Duration) {
	elapsed := float64(now-c.latencyUpdatedAt) / float64(latencyHalfLife)
	history := math.Exp2(-min(elapsed, c.latencySamples))
	smoothed := time.Duration(history*float64(c.latency) + (1-history)*float64(c.latencySum)/c.latencySamples)
	c.latency = max(minLatency, smoothed)
	c.latencyUpdatedAt, c.latencySum, c.latencySamples = now, 0, 0
}

// updateWindows is PARDA's update, w ← (1−γ)w + γ(T/L·w + β), where latencyRatio is T/L, the threshold over the latency, and
// targetQueue is β. Neither window falls below minimum. Below one request the window falls only at higher latencies.
func (c *congestionControl) updateWindows(latencyRatio, targetQueue, minimum float64) {
	window := (1-windowGain)*c.window + windowGain*(latencyRatio*c.window+targetQueue)
	if window < 1 {
		window = min(1, (1-windowGain)*c.window+windowGain*(subunitWindowFactor*latencyRatio*c.window+targetQueue))
	}
	surplus := (1-windowGain)*c.surplusWindow + windowGain*(surplusWindowFactor*latencyRatio*c.surplusWindow+targetQueue)
	c.window = min(max(window, minimum), maxWindow)
	c.surplusWindow = min(max(surplus, minimum), maxWindow)
}

// growIdle lets windows below one request grow back over a period in which nothing was in flight, since no response would ever
// move them.
func (c *congestionControl) growIdle(period time.Duration) {
	growth := math.Exp2(idleGrowth * float64(period) / float64(latencyHalfLife))
	c.window = max(c.window, min(1, c.window*growth))
	c.surplusWindow = max(c.surplusWindow, min(1, c.surplusWindow*growth))
}

// idleLatency returns the expected latency while nothing is in flight. The excess of the smoothed latency over the threshold decays
// with time; without that, a gateway with few responses would reject requests for seconds after an overload. At a server that stays
// slow the decay costs a slow request now and then.
func (c *congestionControl) idleLatency(now, threshold time.Duration) time.Duration {
	age := float64(now-c.latencyUpdatedAt) / float64(latencyHalfLife)
	excess := float64(max(0, c.latency-threshold))
	return min(c.latency, threshold) + time.Duration(excess*math.Exp2(-age))
}

// updateWindows moves the windows of a shard's servers at the end of a period.
func (s *Scheduler) updateWindows(shard *shard) {
	weights := shard.smoothFlows(s.now - shard.windowsUpdatedAt)
	shard.windowsUpdatedAt = s.now
	shard.dropIdleFlows()
	for _, server := range shard.servers {
		s.updateServerWindows(server, s.targetQueue(shard, server, weights))
	}
}

// targetQueue returns PARDA's β of a server, in requests: the sum over the flows, each by its weight. A flow that uses less than
// its share of the window counts for that much less. weights is the sum of the weights of all flows that are not idle.
func (s *Scheduler) targetQueue(shard *shard, server *serverEntry, weights float64) (targetQueue float64) {
	for _, flow := range shard.flows {
		if flow.isIdle() {
			continue
		}
		weight := flow.volume.plan.Weight
		share := server.congestion.window * weight / weights
		if flow.meanOutstanding < share && len(flow.queue) == 0 {
			weight *= flow.meanOutstanding / share
		}
		targetQueue += targetQueuePerFlow * weight / s.meanPlanWeight / flow.volume.gateways
	}
	return targetQueue
}

// updateServerWindows updates a server's latency and windows at the end of a period. Without a response in the period they stay,
// except at an unresponsive server, whose windows shrink, and at one with nothing in flight, whose windows grow back.
func (s *Scheduler) updateServerWindows(server *serverEntry, targetQueue float64) {
	congestion := &server.congestion
	if congestion.latencySamples > 0 {
		congestion.updateLatency(s.now)
	} else if server.responsiveness(s.now, s.latencyThreshold) == responsive {
		if server.inFlight == 0 {
			congestion.growIdle(s.latencyThreshold)
		}
		return
	}
	latencyRatio := float64(s.latencyThreshold) / float64(server.expectedLatency(s.now, s.latencyThreshold))
	congestion.updateWindows(latencyRatio, targetQueue, s.evenShare(minWindow))
}

// evenShare returns this gateway's equal share of a figure that holds for all gateways together.
func (s *Scheduler) evenShare(total float64) float64 { return total / float64(s.settings.Gateways) }

// hasCapacity reports whether a server's window has room for a request. After failed connects one request at a time tries the
// server; an unresponsive one gets a trial now and then.
func (s *Scheduler) hasCapacity(server *serverEntry, request *request) bool {
	if s.now < server.backoffUntil || server.connectFailures > 0 && server.inFlight > 0 {
		return false
	}
	if state := server.responsiveness(s.now, s.latencyThreshold); state != responsive {
		return state == trialDue
	}
	window := server.congestion.window
	if request.volume.baseline.available(s.now) < request.Units {
		window = min(window, server.congestion.surplusWindow)
	}
	if window < 1 && !request.volume.withinReserve(s.now, request.Units) {
		return s.subunitWindowOpen(server, window)
	}
	return float64(server.inFlight) < max(1, window)
}

// subunitWindowOpen reports whether a window below one request is open: one request is in flight for that part of the time.
func (s *Scheduler) subunitWindowOpen(server *serverEntry, window float64) bool {
	pause := (1/window - 1) * float64(min(server.lastDuration, server.congestion.latency))
	return server.inFlight == 0 && float64(s.now-server.lastEndedAt) >= pause
}
