package scheduler

import (
	"math"
	"time"
)

// This file holds how much a node that has just started may be sent: slow start.
//
// Let N be the calls of mean work that a starting node bears in FallWindow, from all gateways together: ColdBears over
// MeanUnits as it starts, and more by its age. The rule allows N and a slack of about twice its root in any window. Each
// gateway has an even part of a rate of e times N a window. A part may be far under one call a window: then the gateway has
// a token now and then, at times that are drawn for each of them on its own, and one that is not used while it is fresh is
// gone. So, however demand comes, the calls of a window are at most the tokens that were given out in it and in the time F
// before in which they stay fresh: e x N x (1 + F/FallWindow) in the mean. A gateway that is asked for little does best with
// few tokens that stay fresh for long, one that is asked for much with many; what it may send in a window is the same.
//
// Where there are many gateways these are independent draws, whose sum has at most a root of that as its deviation; with
// slowStartRateFactor the bound is over four of those away for any N.
//
// Where there are so few that the slack has room for a burst of each of them, tokens need not be lost: each gateway has a
// bucket that fills at its even part of N a window and holds no more than its part of the slack.
const (
	slowStartRateFactor  = 0.81 // e x (1 + F/FallWindow) for many gateways
	slowStartOverdraft   = 1.5  // calls of mean work by which a request may overdraw a bucket: one, and at times more
	slowStartMaxInFlight = 16.0 // requests out at a starting node, over all gateways
	minTokenLifetime     = 0.1  // windows
)

// slowStartSlack is by how many calls of mean work a starting node that bears n may get more, by the rule.
func slowStartSlack(n float64) float64 {
	if n < 30 {
		return 3*math.Sqrt(n) + 3
	}
	return 2*math.Sqrt(n) + 2
}

// slowStartTokenLifetime is how many windows a token stays fresh where so many calls are asked for in one, each of which waits for
// so many: what makes the most of a part that is the same for any, e x (1 - exp(-y)) with y calls asked for in both times.
func slowStartTokenLifetime(calls, waits float64) float64 {
	calls = max(calls, 1e-3)
	y := 1.0
	for range 6 { // converges quickly: y = ln(1 + calls + y - calls x waits)
		y = math.Log(max(1, 1+calls+y-calls*waits))
	}
	return max(y/calls-waits, minTokenLifetime)
}

// slowStartBudget is this gateway's part of what one starting node may be sent, in units. At zero or above a request may go.
type slowStartBudget struct {
	level     float64
	updatedAt time.Duration
	phase     float64 // of its tokens, drawn from 0 to 1, until its first use
}

// replenish takes in the units that have come at a rate, up to what the budget holds at most.
func (b *slowStartBudget) replenish(now time.Duration, rate, most float64) float64 {
	b.phase = 0
	b.level = min(b.level+rate*(now-b.updatedAt).Seconds(), most)
	b.updatedAt = now
	return b.level
}

// replenishTokens is its level now, where units come at a rate, a token is worth a mean request, and most is what comes while a
// token is fresh.
func (b *slowStartBudget) replenishTokens(now time.Duration, rate, mean, most float64) float64 {
	if b.phase != 0 { // as if tokens had come before: some have a fresh one
		b.level, b.phase = min(most, mean)-mean*b.phase, 0
	}
	b.level += rate * (now - b.updatedAt).Seconds()
	b.updatedAt = now
	switch {
	case b.level <= most:
	case most < mean: // the token is not fresh any more; the next one comes in its turn
		b.level -= mean * math.Ceil((b.level-most)/mean)
	default:
		b.level = most
	}
	return b.level
}

// newSlowStartBudget is the budget for a node that is new to this gateway or has restarted, with its tokens' times drawn.
func (s *Scheduler) newSlowStartBudget() slowStartBudget {
	drawn := 1 - s.random.Float64()
	if s.now-s.startedAt < s.settings.OverloadWindow { // what ran here before may just have used one
		return slowStartBudget{level: -s.meanUnits() * drawn, updatedAt: s.now}
	}
	return slowStartBudget{phase: drawn, updatedAt: s.now}
}

func (s *Scheduler) meanUnits() float64 {
	if s.settings.MeanUnits > 0 {
		return s.settings.MeanUnits
	}
	return 1
}

// inSlowStart tells whether a node may still be warming up.
func (s *Scheduler) inSlowStart(server *serverEntry) bool {
	return server.StartedAt > 0 && s.now-server.StartedAt < s.settings.SlowStartDuration && s.settings.OverloadMultiple > 0
}

// slowStartAllows tells whether a node may be sent another request as far as it is starting up.
func (s *Scheduler) slowStartAllows(server *serverEntry) bool {
	return !s.inSlowStart(server) || float64(server.inFlight) < max(1, s.evenShare(slowStartMaxInFlight)) && s.replenishSlowStart(server) >= 0
}

// replenishSlowStart is the level of a starting node's budget now. What the node bears grows with its age; counted is the least
// that it may have been in the window that ends now.
func (s *Scheduler) replenishSlowStart(server *serverEntry) float64 {
	age := max(0, float64(s.now-server.StartedAt-s.settings.OverloadWindow)/float64(s.settings.SlowStartDuration))
	bears := s.settings.SlowStartUnits * (1 + (1/s.settings.InitialCapacity-1)*age)
	window, ramp := s.settings.OverloadWindow.Seconds(), s.settings.SlowStartDuration.Seconds()
	even, mean := s.evenShare(bears)/window, s.meanUnits()
	if burst := slowStartSlack(bears/mean)/float64(s.settings.Gateways) - slowStartOverdraft; burst >= 0 {
		return server.slowStart.replenish(s.now, even, burst*mean)
	}
	asked := s.shards[server.Shard].demand(s.now, s.settings.SlowStartDuration) / mean / ramp * window
	waits := float64(s.latencyThreshold) / thresholdFraction / float64(s.settings.OverloadWindow) // the shortest aim
	fresh := min(slowStartTokenLifetime(asked, waits), ramp/window)
	rate := slowStartRateFactor / (1 + fresh) * even
	return server.slowStart.replenishTokens(s.now, rate, mean, rate*window*fresh)
}

// consumeSlowStart takes a request's units from a starting node's budget.
func (s *Scheduler) consumeSlowStart(server *serverEntry, units float64) {
	if s.inSlowStart(server) {
		s.replenishSlowStart(server)
		server.slowStart.level -= units
	}
}
