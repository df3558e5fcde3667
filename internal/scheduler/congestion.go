package scheduler

import (
	"math"
	"time"
)

const (
	// windowGain is γ in PARDA: the weight of the window computed for a period; the previous window has the remaining weight.
	windowGain = 0.8
	// latencyHalfLife is the time in which the weight of earlier samples in the smoothed latency halves.
	latencyHalfLife = time.Second
	// initialWindow is the window of a new server, in requests.
	initialWindow = 8.0
	// initialExcessWindow is congestionControl.excessWindow of a new server, summed over all gateways, in requests.
	initialExcessWindow = 24.0
	// minWindow is the smallest window of a server, summed over all gateways, in requests.
	minWindow = 4.0
	// maxWindow is the largest window that one gateway has at a server, in requests.
	maxWindow = 20.0
	// fractionalWindowFactor is the multiple of the threshold that the latency must exceed for the window to fall below one
	// request.
	fractionalWindowFactor = 2.5
	// excessWindowFactor is the multiple of the threshold that the latency must exceed for the excess window to shrink.
	excessWindowFactor = 1.5
	// idleDoublings is how many times a window below one request doubles per latencyHalfLife while nothing is in flight.
	idleDoublings = 4.0
	// targetQueuePerFlow is what a flow of mean weight adds to PARDA's β, the number of requests to keep queued at a server. The
	// gateways that receive requests of the flow's volume add it in equal parts.
	targetQueuePerFlow = 0.5
	// maxPeerSamples bounds the latency samples that accumulate from peers for a server to which this gateway sends no requests.
	maxPeerSamples = 8
	// minLatency is the lower bound of the smoothed latency.
	minLatency = time.Millisecond
)

// congestionControl is PARDA's state for one server: windows that limit the requests in flight and follow the server's latency. The
// zero value belongs to a server that has not been listed yet.
type congestionControl struct {
	window       float64 // limit on requests in flight; below 1, it is the fraction of the time in which one request may be in flight
	excessWindow float64 // limit for requests beyond the baseline rate of their volume; used where it is lower than window

	latency          time.Duration // smoothed latency; L in PARDA
	latencyUpdatedAt time.Duration
	latencySum       time.Duration // sum of the latency samples of the current period
	latencySamples   float64       // number of latency samples of the current period
}

// reset sets the initial windows and latency of a server that has just been listed or restarted.
func (c *congestionControl) reset(threshold time.Duration, excessWindow float64) {
	c.window, c.excessWindow, c.latency = initialWindow, excessWindow, threshold
}

// addSample adds the latency of a response to the current period.
func (c *congestionControl) addSample(latency time.Duration) {
	c.latencySum += max(0, latency)
	c.latencySamples++
}

// addPeerSample adds a latency that other gateways have measured. If there are maxPeerSamples or more already, it halves the weight
// of the earlier samples.
func (c *congestionControl) addPeerSample(latency time.Duration) {
	if c.latencySamples >= maxPeerSamples {
		c.latencySum, c.latencySamples = c.latencySum/2, c.latencySamples/2
	}
	c.addSample(latency)
}

// updateLatency updates the smoothed latency with the samples of the period, of which there must be at least one. The weight of
// the samples grows with the time since the last update, so that a gateway with one response per second follows the server as
// quickly as one with many. A single sample has a weight of at most one half.
func (c *congestionControl) updateLatency(now time.Duration) {
	elapsed := float64(now-c.latencyUpdatedAt) / float64(latencyHalfLife)
	history := math.Exp2(-min(elapsed, c.latencySamples))
	smoothed := time.Duration(history*float64(c.latency) + (1-history)*float64(c.latencySum)/c.latencySamples)
	c.latency = max(minLatency, smoothed)
	c.latencyUpdatedAt, c.latencySum, c.latencySamples = now, 0, 0
}

// updateWindows applies PARDA's update w ← (1−γ)w + γ(T/L·w + β), where latencyRatio is T/L, the threshold over the latency, and
// targetQueue is β. It multiplies T/L by fractionalWindowFactor if the window would fall below one request, and by
// excessWindowFactor for the excess window, so that these shrink only at higher latencies. Neither window falls below minimum.
func (c *congestionControl) updateWindows(latencyRatio, targetQueue, minimum float64) {
	window := (1-windowGain)*c.window + windowGain*(latencyRatio*c.window+targetQueue)
	if window < 1 {
		window = min(1, (1-windowGain)*c.window+windowGain*(fractionalWindowFactor*latencyRatio*c.window+targetQueue))
	}
	excess := (1-windowGain)*c.excessWindow + windowGain*(excessWindowFactor*latencyRatio*c.excessWindow+targetQueue)
	c.window = min(max(window, minimum), maxWindow)
	c.excessWindow = min(max(excess, minimum), maxWindow)
}

// growIdle lets windows below one request grow towards one after a period without latency samples in which nothing was in flight.
// updateWindows is not applied after such a period.
func (c *congestionControl) growIdle(period time.Duration) {
	growth := math.Exp2(idleDoublings * float64(period) / float64(latencyHalfLife))
	c.window = max(c.window, min(1, c.window*growth))
	c.excessWindow = max(c.excessWindow, min(1, c.excessWindow*growth))
}

// idleLatency returns the expected latency while nothing is in flight. The excess of the smoothed latency over the threshold decays
// with latencyHalfLife. Without the decay, a gateway with few responses would reject requests for seconds after the end of an
// overload. Because of the decay, a request is occasionally sent to a server that is still slow.
func (c *congestionControl) idleLatency(now, threshold time.Duration) time.Duration {
	age := float64(now-c.latencyUpdatedAt) / float64(latencyHalfLife)
	excess := float64(max(0, c.latency-threshold))
	return min(c.latency, threshold) + time.Duration(excess*math.Exp2(-age))
}

// updateWindows updates the windows of a shard's servers at the end of a period.
func (s *Scheduler) updateWindows(shard *shard) {
	weights := shard.smoothFlows(s.now - shard.windowsUpdatedAt)
	shard.windowsUpdatedAt = s.now
	shard.dropIdleFlows()
	for _, server := range shard.servers {
		s.updateServerWindows(server, s.targetQueue(shard, server, weights))
	}
}

// targetQueue returns PARDA's β for a server, in requests: the sum of the contributions of all flows, each proportional to the
// weight of the flow. If a flow has no queued requests and uses only a fraction of its share of the window, its contribution is
// reduced to that fraction. weights is the sum of the weights of all flows that are not idle.
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

// updateServerWindows updates a server's latency and windows at the end of a period. After a period without latency samples they
// are unchanged, with two exceptions: the windows of an unresponsive server shrink, and those of a server with nothing in flight
// grow back to one request if they are smaller.
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
	congestion.updateWindows(latencyRatio, targetQueue, s.equalShare(minWindow))
}

// equalShare returns this gateway's equal share of an amount that applies to all gateways together.
func (s *Scheduler) equalShare(total float64) float64 { return total / float64(s.settings.Gateways) }

// hasCapacity reports whether a server's window has room for a request. During a backoff there is no room. After a failed connect,
// only one request at a time may be in flight until the server responds. An unresponsive server gets one request whenever a trial
// is due.
func (s *Scheduler) hasCapacity(server *serverEntry, request *request) bool {
	if s.now < server.backoffUntil || server.connectFailures > 0 && server.inFlight > 0 {
		return false
	}
	if state := server.responsiveness(s.now, s.latencyThreshold); state != responsive {
		return state == trialDue
	}
	window := server.congestion.window
	if request.volume.baseline.available(s.now) < request.Units {
		window = min(window, server.congestion.excessWindow)
	}
	if window < 1 && !request.volume.withinReserve(s.now, request.Units) {
		return s.fractionalWindowOpen(server, window)
	}
	return float64(server.inFlight) < max(1, window)
}

// fractionalWindowOpen reports whether a window below one request allows a request now. After each attempt it requires a pause, so
// that one request is in flight for the fraction of the time that the window gives.
func (s *Scheduler) fractionalWindowOpen(server *serverEntry, window float64) bool {
	pause := (1/window - 1) * float64(min(server.lastDuration, server.congestion.latency))
	return server.inFlight == 0 && float64(s.now-server.lastEndedAt) >= pause
}
