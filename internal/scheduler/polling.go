package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultPollLatency is the assumed time that discovery needs for one poll. It applies until a poll has succeeded.
	defaultPollLatency = 60 * time.Millisecond
	// maxPollSpread bounds the time over which the gateways spread their polls after watches have closed.
	maxPollSpread = 5 * time.Second
	// idlePollSpread bounds the time over which the gateways spread their polls after watches have fallen idle. It is shorter than
	// maxPollSpread because the detection of an idle watch has already taken time.
	idlePollSpread = 2 * time.Second
	// pollSpreadFactor is the time over which polls are spread after watches have ended, as a multiple of the fleet's poll time (see
	// fleetPollTime).
	pollSpreadFactor = 1.25

	// pollCycleFactor is the cycle before it grows, as a multiple of the fleet's poll time. The cycle is the time from
	// the start of a failed poll to the start of the next poll.
	pollCycleFactor = 1.5
	// pollCycleGrowth is the factor by which the cycle grows with each consecutive failure after the first.
	pollCycleGrowth = 1.5
	// maxPollCycleFactor bounds the growth of the cycle, as a multiple of the fleet's poll time.
	maxPollCycleFactor = 8
	// minPollCycle is the lower bound of the cycle.
	minPollCycle = time.Second / 2
	// maxPollCycle bounds the cycle so that a gateway receives a change of the endpoint list before the time from which it is
	// treated as having been notified of the change.
	maxPollCycle = 5 * time.Second
	// pollCycleJitter is the largest random deviation from the cycle, as a fraction of the cycle.
	pollCycleJitter = 0.1

	// Until a poll has succeeded, the poll latency is unknown and the fleet's poll time is estimated from defaultPollLatency. If
	// this estimate gives a cycle longer than maxPollCycle, the estimated cycle is used instead, which is not bounded by
	// maxPollCycle. It begins at initialEstimatedCycle and grows by the factor estimatedCycleGrowth. estimatedCycleJitter is the
	// largest random deviation from the estimated cycle, as a fraction of that cycle.
	initialEstimatedCycle = 6 * time.Second
	estimatedCycleGrowth  = 2.5
	estimatedCycleJitter  = 0.3
	// estimatedCycleMinFailures is the number of consecutive failed polls that do not lengthen the estimated cycle. Each further
	// failure does.
	estimatedCycleMinFailures = 2

	// watchedPollInterval is the time to the next poll while a watch is open. The end of the watch schedules an earlier poll.
	watchedPollInterval = time.Hour
	// minPollTimeout is the shortest time after which a poll in flight is repeated.
	minPollTimeout = time.Second
	// minPollLatency is the lower bound of the recorded poll latency.
	minPollLatency = time.Millisecond / 2
)

// endpointPoller decides when a gateway polls discovery for the endpoint list.
//
// Discovery responds to the polls of all gateways one after the other and abandons those that have waited too long, so the polls
// of a fleet must be spread over about the time that all of them take together. They must not be spread over more: while a
// gateway has no watch, it may use its endpoint list only for a limited time after its last poll (Settings.MaxPollInterval).
type endpointPoller struct {
	gateways    int           // number of gateways that poll the same discovery service, including this one
	maxInterval time.Duration // Settings.MaxPollInterval; 0: no limit
	minDelay    time.Duration // Settings.MinStepInterval; lower bound of the spread of polls and of the pause after a failed one
	random      *rand.Rand

	nextPollAt   time.Duration
	lastPollAt   time.Duration
	pollInFlight bool
	pollLatency  time.Duration // shortest time that a successful poll took; 0: no poll has succeeded yet
	failures     int           // number of consecutive failed polls
}

// due reports whether the next poll is due.
func (p *endpointPoller) due(now time.Duration) bool { return now >= p.nextPollAt }

// pollStarted records that a poll starts now. If the poll neither succeeds nor fails, the next one starts after half of
// maxInterval, but not before minPollTimeout.
func (p *endpointPoller) pollStarted(now time.Duration) {
	p.lastPollAt, p.nextPollAt, p.pollInFlight = now, now+max(p.maxInterval/2, minPollTimeout), true
}

// entriesReceived records a snapshot or a delta and, if a poll is in flight, its latency. Only the shortest latency is kept: the
// poll with the shortest latency waited least for the polls of other gateways. A delta without entries gives no latency, because
// discovery may send it before it has processed the poll.
func (p *endpointPoller) entriesReceived(now time.Duration, update *EndpointUpdate) {
	if p.pollInFlight && (update.Kind == Snapshot || len(update.Servers) > 0) {
		latency := max(now-p.lastPollAt, minPollLatency)
		if p.pollLatency == 0 || latency < p.pollLatency {
			p.pollLatency = latency
		}
	}
	p.watchOpened(now)
}

// watchOpened records that a watch is open. The next poll is scheduled when the watch ends.
func (p *endpointPoller) watchOpened(now time.Duration) {
	p.pollInFlight, p.failures = false, 0
	p.nextPollAt = now + watchedPollInterval
}

// scheduleFirst schedules the first poll at a random time within the fleet's poll time, since all gateways may have started at
// once.
func (p *endpointPoller) scheduleFirst(now time.Duration) { p.scheduleWithin(now, p.fleetPollTime()) }

// scheduleAfterWatch schedules the poll after a watch has ended or fallen idle, at a random time at most maxSpread from now. The
// time is short because the gateway will soon be treated as having been notified of the changes that it misses. It is random
// because the watches of all gateways may have ended at once.
func (p *endpointPoller) scheduleAfterWatch(now, maxSpread time.Duration) {
	p.pollInFlight = false
	spread := p.fleetPollTime()
	if p.pollLatency > 0 { // the fleet's poll time is based on a measured latency
		spread = time.Duration(pollSpreadFactor * float64(spread))
	}
	p.scheduleWithin(now, min(spread, maxSpread))
}

// scheduleWithin schedules the next poll at a random time within spread, which is limited to half of maxInterval.
func (p *endpointPoller) scheduleWithin(now, spread time.Duration) {
	if p.maxInterval > 0 {
		spread = min(spread, p.maxInterval/2)
	}
	p.nextPollAt = now + time.Duration(p.random.Float64()*float64(max(spread, p.minDelay)))
}

// scheduleAfterFailure schedules the poll after a failed one: one cycle after the start of the failed poll, with jitter, but not
// before a short random pause from now. A failed poll means that discovery is down or overloaded.
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

// fleetPollTime returns how long discovery takes to respond to one poll of each gateway. It is an estimate from defaultPollLatency
// until a poll has succeeded.
func (p *endpointPoller) fleetPollTime() time.Duration {
	latency := p.pollLatency
	if latency == 0 {
		latency = defaultPollLatency
	}
	return time.Duration(p.gateways) * latency
}

// cycle returns the time between the starts of two polls after a failure. It exceeds the fleet's poll time as far as maxPollCycle
// permits, so that gateways do not starve each other, and it is short enough for each of them to notice soon that discovery is
// available again. It grows with consecutive failures, because polls may take longer than before.
func (p *endpointPoller) cycle(fleetTime time.Duration) time.Duration {
	cycle := min(max(time.Duration(pollCycleFactor*float64(fleetTime)), minPollCycle), maxPollCycle)
	longest := max(cycle, min(maxPollCycleFactor*fleetTime, maxPollCycle))
	for range p.failures {
		cycle = min(time.Duration(pollCycleGrowth*float64(cycle)), longest)
	}
	return cycle
}

// estimatedCycle returns the time between the starts of two polls after a failure, for a gateway without a successful poll. fleetTime
// is then an estimate (see fleetPollTime), and the polls of the fleet may together take far longer than maxPollCycle.
func (p *endpointPoller) estimatedCycle(fleetTime time.Duration) time.Duration {
	cycle, longest := initialEstimatedCycle, max(p.maxInterval, min(2*fleetTime, p.maxInterval*5/2))
	for range p.failures - (estimatedCycleMinFailures - 1) {
		cycle = min(time.Duration(estimatedCycleGrowth*float64(cycle)), longest)
	}
	return cycle
}
