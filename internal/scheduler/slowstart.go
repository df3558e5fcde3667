package scheduler

import (
	"math"
	"time"
)

// Slow start limits what a server that has just started is sent. Let N be the requests of mean size that it tolerates per
// OverloadWindow from all gateways together: SlowStartUnits over MeanUnits when it starts, and more with its age. The rule allows
// N and a slack of about twice its root in any window. Gateways do not coordinate, so each has an equal share:
//
// Where gateways are so few that the slack has room for a burst of each of them, each has a bucket that fills at its equal share of
// N per window and holds no more than its part of the slack.
//
// Where there are many, a gateway's part may be far below one request per window. It then gets single tokens, at times that each
// gateway draws on its own, at its equal share of a rate of e·N per window, and a token that is not used during its lifetime F is
// lost. So, however demand arrives, the requests of a window are at most the tokens issued in it and in the time F before it:
// e·N·(1 + F/OverloadWindow) in the mean. A gateway with little demand does best with few tokens that live long, one with much
// demand with many; what it may send per window is the same. The draws are independent, so their sum deviates by at most its
// root; with slowStartRateFactor the bound is more than four of those away for any N.
const (
	// slowStartRateFactor is e·(1 + F/OverloadWindow), the tokens of all gateways as a fraction of N.
	slowStartRateFactor = 0.81
	// slowStartOverdraft is by how many requests of mean size a request may overdraw a bucket: one, and sometimes more.
	slowStartOverdraft = 1.5
	// slowStartMaxInFlight is how many requests may be in flight at a starting server over all gateways.
	slowStartMaxInFlight = 16.0
	// minTokenLifetime is the shortest lifetime of a token, in windows.
	minTokenLifetime = 0.1
	// minTokenDemand is the smallest demand per window for which a lifetime is computed.
	minTokenDemand = 1e-3
	// tokenLifetimeIterations is enough for the fixed point of slowStartTokenLifetime to converge.
	tokenLifetimeIterations = 6
	// slowStartSmallN is the N below which the slack is wider.
	slowStartSmallN = 30
)

// slowStartSlack returns by how many requests of mean size a starting server that tolerates n may get more.
func slowStartSlack(n float64) float64 {
	if n < slowStartSmallN {
		return 3*math.Sqrt(n) + 3
	}
	return 2*math.Sqrt(n) + 2
}

// slowStartTokenLifetime returns the lifetime of a token, in windows, that makes the most of an equal share where demand requests
// arrive per window and each of them waits for maxWait windows: that with the largest e·(1 - exp(-y)), where y is the demand in
// both times.
func slowStartTokenLifetime(demand, maxWait float64) float64 {
	demand = max(demand, minTokenDemand)
	y := 1.0
	for range tokenLifetimeIterations { // y = ln(1 + demand + y - demand·maxWait)
		y = math.Log(max(1, 1+demand+y-demand*maxWait))
	}
	return max(y/demand-maxWait, minTokenLifetime)
}

// slowStartBudget is this gateway's part of what a starting server may be sent, in units. A request may be sent while the level
// is not negative. Of the two replenishing methods the one that fits the server's tolerance is used.
type slowStartBudget struct {
	level     float64
	updatedAt time.Duration
	phase     float64 // of the tokens' times, in (0, 1], until the first call of replenish or replenishTokens; 0: applied
}

// newSlowStartBudget returns the budget of a server that is new to this gateway or has restarted. It draws the times of the
// tokens. Right after the gateway's start the budget is negative: a predecessor may just have used a token.
func (s *Scheduler) newSlowStartBudget() slowStartBudget {
	phase := 1 - s.random.Float64()
	if s.now-s.startedAt < s.settings.OverloadWindow {
		return slowStartBudget{level: -s.meanUnits() * phase, updatedAt: s.now}
	}
	return slowStartBudget{phase: phase, updatedAt: s.now}
}

// replenish adds units at a rate up to a capacity and returns the level.
func (b *slowStartBudget) replenish(now time.Duration, rate, capacity float64) float64 {
	b.phase = 0
	b.level = min(b.level+rate*(now-b.updatedAt).Seconds(), capacity)
	b.updatedAt = now
	return b.level
}

// replenishTokens adds units at a rate and returns the level. A token is worth a request of meanUnits, and lifetimeUnits are what
// arrives in the lifetime of a token.
func (b *slowStartBudget) replenishTokens(now time.Duration, rate, meanUnits, lifetimeUnits float64) float64 {
	if b.phase != 0 { // as if tokens had been issued before: some gateways have a live one
		b.level, b.phase = min(lifetimeUnits, meanUnits)-meanUnits*b.phase, 0
	}
	b.level += rate * (now - b.updatedAt).Seconds()
	b.updatedAt = now
	switch {
	case b.level <= lifetimeUnits:
	case lifetimeUnits < meanUnits: // the token has expired; the next one is issued at its own time
		b.level -= meanUnits * math.Ceil((b.level-lifetimeUnits)/meanUnits)
	default:
		b.level = lifetimeUnits
	}
	return b.level
}

// consume takes the units of a request out of the budget.
func (b *slowStartBudget) consume(units float64) { b.level -= units }

// meanUnits returns the mean size of a request.
func (s *Scheduler) meanUnits() float64 {
	if s.settings.MeanUnits > 0 {
		return s.settings.MeanUnits
	}
	return 1
}

// inSlowStart reports whether a server may not have its full capacity yet.
func (s *Scheduler) inSlowStart(server *serverEntry) bool {
	return server.StartedAt > 0 && s.now-server.StartedAt < s.settings.SlowStartDuration && s.settings.OverloadMultiple > 0
}

// slowStartAllows reports whether slow start lets a server be sent another request.
func (s *Scheduler) slowStartAllows(server *serverEntry) bool {
	if !s.inSlowStart(server) {
		return true
	}
	return float64(server.inFlight) < max(1, s.evenShare(slowStartMaxInFlight)) && s.replenishSlowStart(server) >= 0
}

// consumeSlowStart charges a request that is sent to a starting server.
func (s *Scheduler) consumeSlowStart(server *serverEntry, units float64) {
	if s.inSlowStart(server) {
		s.replenishSlowStart(server)
		server.slowStart.consume(units)
	}
}

// replenishSlowStart brings a starting server's budget up to date and returns its level.
func (s *Scheduler) replenishSlowStart(server *serverEntry) float64 {
	tolerance := s.slowStartTolerance(server)
	window, meanUnits := s.settings.OverloadWindow.Seconds(), s.meanUnits()
	rate := s.evenShare(tolerance) / window
	burst := slowStartSlack(tolerance/meanUnits)/float64(s.settings.Gateways) - slowStartOverdraft
	if burst >= 0 {
		return server.slowStart.replenish(s.now, rate, burst*meanUnits)
	}
	lifetime := s.tokenLifetime(server)
	rate = slowStartRateFactor / (1 + lifetime) * rate
	return server.slowStart.replenishTokens(s.now, rate, meanUnits, rate*window*lifetime)
}

// slowStartTolerance returns the units per OverloadWindow that a starting server tolerates from all gateways. It grows with the
// server's age. The value at the start of the window that ends now is used, because it is the lowest in that window.
func (s *Scheduler) slowStartTolerance(server *serverEntry) float64 {
	age := max(0, float64(s.now-server.StartedAt-s.settings.OverloadWindow)/float64(s.settings.SlowStartDuration))
	return s.settings.SlowStartUnits * (1 + (1/s.settings.InitialCapacity-1)*age)
}

// tokenLifetime returns the lifetime of a starting server's tokens, in windows, by the demand for its shard.
func (s *Scheduler) tokenLifetime(server *serverEntry) float64 {
	window, duration := s.settings.OverloadWindow.Seconds(), s.settings.SlowStartDuration.Seconds()
	units := s.shards[server.Shard].demand.value(s.now, s.settings.SlowStartDuration)
	demand := units / s.meanUnits() / duration * window
	shortestObjective := float64(s.latencyThreshold) / thresholdFraction
	maxWait := shortestObjective / float64(s.settings.OverloadWindow)
	return min(slowStartTokenLifetime(demand, maxWait), duration/window)
}
