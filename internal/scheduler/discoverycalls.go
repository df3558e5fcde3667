package scheduler

import "time"

// This file holds when discovery is called. Discovery answers the calls of all gateways one after the other and gives up
// those that have waited too long, and what one gateway learns late it has to heed all the same. So the calls of a fleet
// are spread over about the time that all of them take together, and no more.

const (
	defaultPollLatency        = 60 * time.Millisecond // a call takes so long, as long as none was answered
	maxPollSpread             = 5 * time.Second       // calls behind watches that ended are spread over this at most
	idlePollSpread            = 2 * time.Second       // and behind those that fell silent, which is found late already
	pollSpreadFactor          = 1.25                  // of the time that all calls take: what they are spread over
	pollCycleFactor           = 1.5                   // of that time: from one call that fails to the next, at first
	pollCycleGrowth           = 1.5                   // by this it grows with each further failure
	maxPollCycleFactor        = 8                     // up to this many times what all calls take
	minPollCycle              = time.Second / 2
	maxPollCycle              = 5 * time.Second // with the call itself no longer than a change may go untold
	pollCycleJitter           = 0.1
	estimatedCycleJitter      = 0.3 // the same where what a call takes is a guess: the cycle of that kind
	initialEstimatedCycle     = 6 * time.Second
	estimatedCycleGrowth      = 2.5
	estimatedCycleMinFailures = 2 // doubles behind so many calls
)

// pollEndpoints keeps a subscription to the list where it must be asked for.
func (s *Scheduler) pollEndpoints() {
	if s.settings.PollEndpoints && s.now >= s.nextPollAt {
		s.emit(WatchEndpoints{})
		s.lastPollAt, s.nextPollAt, s.pollInFlight = s.now, s.now+max(s.settings.MaxPollInterval/2, time.Second), true // unless answered
	}
}

// fleetPollTime is how long discovery may take to answer every gateway in turn.
func (s *Scheduler) fleetPollTime() time.Duration {
	call := s.pollLatency
	if call == 0 {
		call = defaultPollLatency
	}
	return time.Duration(s.settings.Gateways) * call
}

// recordPollSuccess notes that the call that was out has been answered. The quickest answer tells what a call takes, since it
// waited least for others; one without entries may come before discovery has got to the call.
func (s *Scheduler) recordPollSuccess(update *EndpointUpdate) {
	if s.pollInFlight && (update.Kind == Snapshot || len(update.Servers) > 0) {
		took := max(s.now-s.lastPollAt, time.Millisecond/2)
		if s.pollLatency == 0 || took < s.pollLatency {
			s.pollLatency = took
		}
	}
	s.watchOpened()
}

// watchOpened notes that a watch is open: another call is made when it ends.
func (s *Scheduler) watchOpened() {
	s.pollInFlight, s.pollFailures = false, 0
	s.nextPollAt = s.now + time.Hour
}

// scheduleFirstPoll draws the time of the first call from all the time in which the settings want one, or in which all gateways
// are answered: they may all have started at once.
func (s *Scheduler) scheduleFirstPoll() { s.schedulePollWithin(s.fleetPollTime()) }

// schedulePollAfterWatch draws the time of the call behind a watch that has ended or fallen silent, from at most a time. No call
// has failed, and what is missed counts as told soon; but all watches may have ended at once.
func (s *Scheduler) schedulePollAfterWatch(most time.Duration) {
	s.pollInFlight = false
	spread := s.fleetPollTime()
	if s.pollLatency > 0 { // it is no guess, so it may be taken at its word
		spread = time.Duration(pollSpreadFactor * float64(spread))
	}
	s.schedulePollWithin(min(spread, most))
}

// schedulePollWithin draws the time of the next call, inside half of the time in which the settings want one.
func (s *Scheduler) schedulePollWithin(spread time.Duration) {
	if s.settings.MaxPollInterval > 0 {
		spread = min(spread, s.settings.MaxPollInterval/2)
	}
	s.nextPollAt = s.now + time.Duration(s.random.Float64()*float64(max(spread, s.settings.MinStepInterval)))
}

// schedulePollAfterFailure sets the time of the call behind one that failed: discovery is down, or has too many callers. From
// one call's beginning to the next passes a cycle.
func (s *Scheduler) schedulePollAfterFailure() {
	s.pollInFlight = false
	all := s.fleetPollTime()
	cycle, jitter := s.pollCycle(all), pollCycleJitter
	if s.pollLatency == 0 && time.Duration(pollCycleFactor*float64(all)) > maxPollCycle {
		cycle, jitter = s.estimatedPollCycle(all), estimatedCycleJitter
	}
	s.pollFailures++
	drawn := time.Duration(float64(cycle) * (1 + jitter*(2*s.random.Float64()-1)))
	pause := time.Duration(s.random.Float64() * float64(min(all, minPollCycle)) / 4)
	s.nextPollAt = max(s.lastPollAt+drawn, s.now+max(pause, s.settings.MinStepInterval))
}

// pollCycle is longer than all gateways' calls take together, so that they don't keep each other from being answered, as
// far as a change may go untold for so long, and so short that none of them is late to learn that discovery is back. It
// grows, since calls may take longer than they did.
func (s *Scheduler) pollCycle(all time.Duration) time.Duration {
	cycle := min(max(time.Duration(pollCycleFactor*float64(all)), minPollCycle), maxPollCycle)
	most := max(cycle, min(maxPollCycleFactor*all, maxPollCycle))
	for range s.pollFailures {
		cycle = min(time.Duration(pollCycleGrowth*float64(cycle)), most)
	}
	return cycle
}

// estimatedPollCycle is the cycle of a gateway that has never been answered, in a fleet so large that the calls of all may take
// far too long for discovery.
func (s *Scheduler) estimatedPollCycle(all time.Duration) time.Duration {
	cycle, most := initialEstimatedCycle, max(s.settings.MaxPollInterval, min(2*all, s.settings.MaxPollInterval*5/2))
	for range s.pollFailures - (estimatedCycleMinFailures - 1) {
		cycle = min(time.Duration(estimatedCycleGrowth*float64(cycle)), most)
	}
	return cycle
}
