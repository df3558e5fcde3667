package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultPollLatency is the assumed time that discovery needs for one poll before any poll has succeeded.
	defaultPollLatency = 60 * time.Millisecond
	// maxPollSpread bounds the time over which polls after closed watches are spread.
	maxPollSpread = 5 * time.Second
	// idlePollSpread bounds the same after idle watches, whose end is detected late already.
	idlePollSpread = 2 * time.Second
	// pollSpreadFactor is the spread of polls after the end of watches, as a multiple of the fleet's poll time.
	pollSpreadFactor = 1.25

	// pollCycleFactor is the time between the starts of two polls after a failure, as a multiple of the fleet's poll time.
	pollCycleFactor = 1.5
	// pollCycleGrowth is the factor by which the cycle grows with each further failure.
	pollCycleGrowth = 1.5
	// maxPollCycleFactor bounds the cycle, as a multiple of the fleet's poll time.
	maxPollCycleFactor = 8
	minPollCycle       = time.Second / 2
	// maxPollCycle bounds the cycle such that a change of the list is received before it counts as notified.
	maxPollCycle    = 5 * time.Second
	pollCycleJitter = 0.1

	// The estimated cycle applies while no poll has succeeded in a fleet that may need very long for all its polls.
	initialEstimatedCycle = 6 * time.Second
	estimatedCycleGrowth  = 2.5
	estimatedCycleJitter  = 0.3
	// estimatedCycleMinFailures is the number of failed polls from which on the estimated cycle grows.
	estimatedCycleMinFailures = 2

	// watchedPollInterval is the time to the next poll while a watch is open: another event comes first.
	watchedPollInterval = time.Hour
	// minPollTimeout is the least time to the next poll while a poll is in flight.
	minPollTimeout = time.Second
	// minPollLatency is the least poll latency that is recorded.
	minPollLatency = time.Millisecond / 2
)

// endpointPoller decides when a gateway polls discovery for the endpoint list.
//
// Discovery responds to the polls of all gateways one after the other and abandons those that have waited too long. On the other
// hand a change counts as notified after a fixed time even at a gateway that has not learned of it. The polls of a fleet are
// therefore spread over about the time that all of them take together, and over no more.
type endpointPoller struct {
	gateways    int           // that poll the same discovery service, including this one
	maxInterval time.Duration // Settings.MaxPollInterval; 0: unbounded
	minDelay    time.Duration // Settings.MinStepInterval
	random      *rand.Rand

	nextPollAt   time.Duration
	lastPollAt   time.Duration
	pollInFlight bool
	pollLatency  time.Duration // the shortest time in which a poll succeeded; 0: none has
	failures     int           // consecutive failed polls
}

// due reports whether nextPollAt has come.
func (p *endpointPoller) due(now time.Duration) bool { return now >= p.nextPollAt }

// pollStarted records that a poll goes out now.
func (p *endpointPoller) pollStarted(now time.Duration) {
	p.lastPollAt, p.nextPollAt, p.pollInFlight = now, now+max(p.maxInterval/2, minPollTimeout), true
}

// entriesReceived records a message of the watch with or without entries. The fastest poll shows what one poll takes, since it
// waited least for others; a message without entries may come before discovery has worked on the poll.
func (p *endpointPoller) entriesReceived(now time.Duration, update *EndpointUpdate) {
	if p.pollInFlight && (update.Kind == Snapshot || len(update.Servers) > 0) {
		latency := max(now-p.lastPollAt, minPollLatency)
		if p.pollLatency == 0 || latency < p.pollLatency {
			p.pollLatency = latency
		}
	}
	p.watchOpened(now)
}

// watchOpened records that a watch is open. The next poll is scheduled when it ends.
func (p *endpointPoller) watchOpened(now time.Duration) {
	p.pollInFlight, p.failures = false, 0
	p.nextPollAt = now + watchedPollInterval
}

// scheduleFirst draws the time of the first poll from the fleet's poll time, since all gateways may have started at once.
func (p *endpointPoller) scheduleFirst(now time.Duration) { p.scheduleWithin(now, p.fleetPollTime()) }

// scheduleAfterWatch draws the time of the poll after a watch has ended or fallen idle, at most maxSpread from now. It is soon,
// because changes that are missed count as notified before long, and spread, because all watches may have ended at once.
func (p *endpointPoller) scheduleAfterWatch(now, maxSpread time.Duration) {
	p.pollInFlight = false
	spread := p.fleetPollTime()
	if p.pollLatency > 0 { // measured, not assumed
		spread = time.Duration(pollSpreadFactor * float64(spread))
	}
	p.scheduleWithin(now, min(spread, maxSpread))
}

// scheduleWithin draws the time of the next poll from a spread, within half of maxInterval.
func (p *endpointPoller) scheduleWithin(now, spread time.Duration) {
	if p.maxInterval > 0 {
		spread = min(spread, p.maxInterval/2)
	}
	p.nextPollAt = now + time.Duration(p.random.Float64()*float64(max(spread, p.minDelay)))
}

// scheduleAfterFailure sets the time of the poll after a failed one: discovery is down or overloaded. A cycle passes from the
// start of one poll to the start of the next.
func (p *endpointPoller) scheduleAfterFailure(now time.Duration) {
	p.pollInFlight = false
	fleetTime := p.fleetPollTime()
	cycle, jitter := p.cycle(fleetTime), pollCycleJitter
	if p.pollLatency == 0 && time.Duration(pollCycleFactor*float64(fleetTime)) > maxPollCycle {
		cycle, jitter = p.estimatedCycle(fleetTime), estimatedCycleJitter
	}
	p.failures++
	jittered := time.Duration(float64(cycle) * (1 + jitter*(2*p.random.Float64()-1)))
	pause := time.Duration(p.random.Float64() * float64(min(fleetTime, minPollCycle)) / 4)
	p.nextPollAt = max(p.lastPollAt+jittered, now+max(pause, p.minDelay))
}

// fleetPollTime returns how long discovery takes to respond to one poll of each gateway.
func (p *endpointPoller) fleetPollTime() time.Duration {
	latency := p.pollLatency
	if latency == 0 {
		latency = defaultPollLatency
	}
	return time.Duration(p.gateways) * latency
}

// cycle returns the time between the starts of two polls after a failure. It is longer than the fleet's poll time, as far as
// maxPollCycle permits, so that gateways do not starve each other, and short enough that each soon learns that discovery is
// back. It grows with the failures, since polls may take longer than they did.
func (p *endpointPoller) cycle(fleetTime time.Duration) time.Duration {
	cycle := min(max(time.Duration(pollCycleFactor*float64(fleetTime)), minPollCycle), maxPollCycle)
	longest := max(cycle, min(maxPollCycleFactor*fleetTime, maxPollCycle))
	for range p.failures {
		cycle = min(time.Duration(pollCycleGrowth*float64(cycle)), longest)
	}
	return cycle
}

// estimatedCycle is the cycle of a gateway without a successful poll in a fleet whose polls may together take far too long.
func (p *endpointPoller) estimatedCycle(fleetTime time.Duration) time.Duration {
	cycle, longest := initialEstimatedCycle, max(p.maxInterval, min(2*fleetTime, p.maxInterval*5/2))
	for range p.failures - (estimatedCycleMinFailures - 1) {
		cycle = min(time.Duration(estimatedCycleGrowth*float64(cycle)), longest)
	}
	return cycle
}
