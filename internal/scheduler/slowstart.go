package scheduler

import (
	"math"
	"time"
)

// Slow start limits the requests that are sent to a server that has just started. The server's allowance N is the number of
// requests of mean size that all gateways together may send it per OverloadWindow: SlowStartUnits/MeanUnits at its start, growing
// with its age. In any window, a slack of 2√N + 2 requests (3√N + 3 if N is below 30) is allowed beyond N (slowStartSlack).
// Gateways do not coordinate, so each has an equal share. A gateway stays within its share in one of two ways:
//
// With few gateways, each gateway's share of the slack has room for a burst. Each gateway then has a token bucket that fills at its
// equal share of N per window and whose capacity is at most its share of the slack.
//
// With many gateways, a gateway's share may be far below one request per window. Each gateway then gets single tokens. A token
// that is not used during its lifetime F is lost. Each gateway chooses F by its demand, and gets its equal share of a rate of
// r·N tokens per window, where r is slowStartRateFactor/(1 + F/OverloadWindow). The tokens of a gateway come at regular
// times; only their offset is drawn, independently of the other gateways. Whatever the arrival pattern, the requests in a window
// that come from one gateway are therefore at most its tokens issued in it and in the time F before it: in the mean, its equal
// share of r·N·(1 + F/OverloadWindow), which is slowStartRateFactor·N for any F. All gateways together therefore send at most
// slowStartRateFactor·N in the mean, even if each has a different F.
// Few tokens with a long lifetime suit a gateway with little demand, many tokens with a short one suit a gateway with high demand.
// In both cases the gateway may use the same number per window. The draws are independent, so the standard deviation of their sum
// is at most the square root of the mean. With the value of slowStartRateFactor below, the bound on the requests in a window, which
// is N plus the slack, is at least 3.7 standard deviations above the mean for any N. The distance is smallest at N = 30.
const (
	// slowStartRateFactor is r·(1 + F/OverloadWindow): the tokens of all gateways that can be used in a window, as a fraction of N.
	slowStartRateFactor = 0.81
	// slowStartOverdraft is the part of a gateway's share of the slack that is set aside for the overdraft of its bucket, in requests
	// of mean size. A request may be sent while the level of the bucket is not negative. A request of mean size therefore overdraws
	// the bucket by at most one, a larger request by more.
	slowStartOverdraft = 1.5
	// slowStartMaxInFlight is the number of requests in flight at a starting server of which each gateway has its equal share. A
	// gateway may always have one request in flight, so more gateways than this number may exceed it together.
	slowStartMaxInFlight = 16.0
	// minTokenLifetime is the shortest lifetime of a token, in windows.
	minTokenLifetime = 0.1
	// minTokenDemand is the smallest demand for which a lifetime is computed, in requests per window.
	minTokenDemand = 1e-3
	// tokenLifetimeIterations is a number of iterations after which the fixed point of slowStartTokenLifetime has converged.
	tokenLifetimeIterations = 6
	// slowStartSmallAllowance is the allowance N below which the slack is wider, in requests of mean size per window.
	slowStartSmallAllowance = 30
)

// slowStartSlack returns how many requests of mean size a starting server may be sent per window beyond its allowance.
func slowStartSlack(allowance float64) float64 {
	if allowance < slowStartSmallAllowance {
		return 3*math.Sqrt(allowance) + 3
	}
	return 2*math.Sqrt(allowance) + 2
}

// slowStartTokenLifetime returns the lifetime of a token, in windows, with which a gateway uses the most of its equal share. demand is
// the number of requests that arrive per window, and maxWait is how many windows each of them waits for a token. The lifetime
// maximizes r·(1 - exp(-y)), where r is slowStartRateFactor/(1 + lifetime) and y is the number of requests that arrive during the
// lifetime and maxWait together.
func slowStartTokenLifetime(demand, maxWait float64) float64 {
	demand = max(demand, minTokenDemand)
	arrivals := 1.0
	for range tokenLifetimeIterations { // solves y = ln(1 + demand + y - demand·maxWait)
		arrivals = math.Log(max(1, 1+demand+arrivals-demand*maxWait))
	}
	return max(arrivals/demand-maxWait, minTokenLifetime)
}

// slowStartBudget is this gateway's share of the units that a starting server may be sent. A request may be sent while the level
// is not negative. replenish is used if the gateway's share of the slack has room for a burst, replenishTokens otherwise.
type slowStartBudget struct {
	level     float64 // units that may be sent; negative after an overdraft
	updatedAt time.Duration
	phase     float64 // random offset of the token times, in (0, 1]; 0 once replenish or replenishTokens has been called
}

// newSlowStartBudget returns the budget of a server that is new to this gateway or has restarted. It draws the phase of the
// tokens. Within one OverloadWindow of the gateway's own start the budget starts below zero: the gateway's previous process may
// just have used a token.
func (s *Scheduler) newSlowStartBudget() slowStartBudget {
	phase := 1 - s.random.Float64()
	if s.now-s.startedAt < s.settings.OverloadWindow {
		return slowStartBudget{level: -s.meanUnits() * phase, updatedAt: s.now}
	}
	return slowStartBudget{phase: phase, updatedAt: s.now}
}

// replenish adds the units that are due at the given rate since the last update, up to the capacity, and returns the level.
func (b *slowStartBudget) replenish(now time.Duration, rate, capacity float64) float64 {
	b.phase = 0
	b.level = min(b.level+rate*(now-b.updatedAt).Seconds(), capacity)
	b.updatedAt = now
	return b.level
}

// replenishTokens adds the units that are due at the given rate since the last update and returns the level. A token is worth one
// request of meanUnits. lifetimeUnits are the units that are added during the lifetime of a token.
func (b *slowStartBudget) replenishTokens(now time.Duration, rate, meanUnits, lifetimeUnits float64) float64 {
	if b.phase != 0 { // start as if tokens had been issued before, so that some gateways hold one that has not expired
		b.level, b.phase = min(lifetimeUnits, meanUnits)-meanUnits*b.phase, 0
	}
	b.level += rate * (now - b.updatedAt).Seconds()
	b.updatedAt = now
	switch {
	case b.level <= lifetimeUnits:
	case lifetimeUnits < meanUnits: // the token has expired; the time of the next one stays as drawn
		b.level -= meanUnits * math.Ceil((b.level-lifetimeUnits)/meanUnits)
	default:
		b.level = lifetimeUnits
	}
	return b.level
}

// consume subtracts the units of a request from the budget.
func (b *slowStartBudget) consume(units float64) { b.level -= units }

// meanUnits returns the mean size of a request in units: 1 if the settings have none.
func (s *Scheduler) meanUnits() float64 {
	if s.settings.MeanUnits > 0 {
		return s.settings.MeanUnits
	}
	return 1
}

// inSlowStart reports whether a server has started so recently that it may not have its full capacity yet.
func (s *Scheduler) inSlowStart(server *serverEntry) bool {
	return server.StartedAt > 0 && s.now-server.StartedAt < s.settings.SlowStartDuration && s.settings.OverloadMultiple > 0
}

// slowStartAllows reports whether slow start allows another request to be sent to a server.
func (s *Scheduler) slowStartAllows(server *serverEntry) bool {
	if !s.inSlowStart(server) {
		return true
	}
	return float64(server.inFlight) < max(1, s.equalShare(slowStartMaxInFlight)) && s.replenishSlowStart(server) >= 0
}

// chargeSlowStart charges the units of a request that is sent now to the budget of a server, if the server is in slow start.
func (s *Scheduler) chargeSlowStart(server *serverEntry, units float64) {
	if s.inSlowStart(server) {
		s.replenishSlowStart(server)
		server.slowStart.consume(units)
	}
}

// replenishSlowStart updates the budget of a starting server to the current time and returns its level.
func (s *Scheduler) replenishSlowStart(server *serverEntry) float64 {
	allowance := s.slowStartAllowance(server)
	window, meanUnits := s.settings.OverloadWindow.Seconds(), s.meanUnits()
	rate := s.equalShare(allowance) / window
	burst := slowStartSlack(allowance/meanUnits)/float64(s.settings.Gateways) - slowStartOverdraft
	if burst >= 0 {
		return server.slowStart.replenish(s.now, rate, burst*meanUnits)
	}
	lifetime := s.tokenLifetime(server)
	rate = slowStartRateFactor / (1 + lifetime) * rate
	return server.slowStart.replenishTokens(s.now, rate, meanUnits, rate*window*lifetime)
}

// slowStartAllowance returns the units per OverloadWindow that all gateways together may send to a starting server. The allowance
// grows with the server's age. The value at the start of the window that ends now is used, because it is the lowest in that
// window.
func (s *Scheduler) slowStartAllowance(server *serverEntry) float64 {
	age := max(0, float64(s.now-server.StartedAt-s.settings.OverloadWindow)/float64(s.settings.SlowStartDuration))
	return s.settings.SlowStartUnits * (1 + (1/s.settings.InitialCapacity-1)*age)
}

// tokenLifetime returns the lifetime of a starting server's tokens, in windows, for the current demand for its shard.
func (s *Scheduler) tokenLifetime(server *serverEntry) float64 {
	window, duration := s.settings.OverloadWindow.Seconds(), s.settings.SlowStartDuration.Seconds()
	units := s.shards[server.Shard].demand.value(s.now, s.settings.SlowStartDuration)
	demand := units / s.meanUnits() / duration * window
	shortestObjective := float64(s.latencyThreshold) / thresholdFraction
	maxWait := shortestObjective / float64(s.settings.OverloadWindow)
	return min(slowStartTokenLifetime(demand, maxWait), duration/window)
}
