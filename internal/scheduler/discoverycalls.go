package scheduler

import "time"

// This file holds when discovery is called. Discovery answers the calls of all gateways one after the other and gives up
// those that have waited too long, and what one gateway learns late it has to heed all the same. So the calls of a fleet
// are spread over about the time that all of them take together, and no more.

const (
	callGuess    = 60 * time.Millisecond // a call takes so long, as long as none was answered
	mostSpread   = 5 * time.Second       // calls behind watches that ended are spread over this at most
	silentSpread = 2 * time.Second       // and behind those that fell silent, which is found late already
	spreadPart   = 1.25                  // of the time that all calls take: what they are spread over
	cyclePart    = 1.5                   // of that time: from one call that fails to the next, at first
	cycleGrowth  = 1.5                   // by this it grows with each further failure
	cycleRise    = 8                     // up to this many times what all calls take
	leastCycle   = time.Second / 2
	mostCycle    = 5 * time.Second // with the call itself no longer than a change may go untold
	cycleJitter  = 0.1
	guessJitter  = 0.3 // the same where what a call takes is a guess: the cycle of that kind
	guessCycle   = 6 * time.Second
	guessGrowth  = 2.5
	guessCalls   = 2 // doubles behind so many calls
)

// ask keeps a subscription to the list where it must be asked for.
func (s *Scheduler) ask() {
	if s.set.PollEndpoints && s.now >= s.askAgain {
		s.do(WatchEndpoints{})
		s.askedAt, s.askAgain, s.asking = s.now, s.now+max(s.set.MaxPollInterval/2, time.Second), true // unless answered
	}
}

// allCalls is how long discovery may take to answer every gateway in turn.
func (s *Scheduler) allCalls() time.Duration {
	call := s.callTook
	if call == 0 {
		call = callGuess
	}
	return time.Duration(s.set.Gateways) * call
}

// answered notes that the call that was out has been answered. The quickest answer tells what a call takes, since it
// waited least for others; one without entries may come before discovery has got to the call.
func (s *Scheduler) answered(l *EndpointUpdate) {
	if s.asking && (l.Kind == Snapshot || len(l.Servers) > 0) {
		took := max(s.now-s.askedAt, time.Millisecond/2)
		if s.callTook == 0 || took < s.callTook {
			s.callTook = took
		}
	}
	s.watching()
}

// watching notes that a watch is open: another call is made when it ends.
func (s *Scheduler) watching() {
	s.asking, s.callsFailed = false, 0
	s.askAgain = s.now + time.Hour
}

// firstCall draws the time of the first call from all the time in which the settings want one, or in which all gateways
// are answered: they may all have started at once.
func (s *Scheduler) firstCall() { s.callWithin(s.allCalls()) }

// callBehindWatch draws the time of the call behind a watch that has ended or fallen silent, from at most a time. No call
// has failed, and what is missed counts as told soon; but all watches may have ended at once.
func (s *Scheduler) callBehindWatch(most time.Duration) {
	s.asking = false
	spread := s.allCalls()
	if s.callTook > 0 { // it is no guess, so it may be taken at its word
		spread = time.Duration(spreadPart * float64(spread))
	}
	s.callWithin(min(spread, most))
}

// callWithin draws the time of the next call, inside half of the time in which the settings want one.
func (s *Scheduler) callWithin(spread time.Duration) {
	if s.set.MaxPollInterval > 0 {
		spread = min(spread, s.set.MaxPollInterval/2)
	}
	s.askAgain = s.now + time.Duration(s.rnd.Float64()*float64(max(spread, s.set.MinStepInterval)))
}

// callBehindFailure sets the time of the call behind one that failed: discovery is down, or has too many callers. From
// one call's beginning to the next passes a cycle.
func (s *Scheduler) callBehindFailure() {
	s.asking = false
	all := s.allCalls()
	cycle, jitter := s.callCycle(all), cycleJitter
	if s.callTook == 0 && time.Duration(cyclePart*float64(all)) > mostCycle {
		cycle, jitter = s.guessedCycle(all), guessJitter
	}
	s.callsFailed++
	drawn := time.Duration(float64(cycle) * (1 + jitter*(2*s.rnd.Float64()-1)))
	pause := time.Duration(s.rnd.Float64() * float64(min(all, leastCycle)) / 4)
	s.askAgain = max(s.askedAt+drawn, s.now+max(pause, s.set.MinStepInterval))
}

// callCycle is longer than all gateways' calls take together, so that they don't keep each other from being answered, as
// far as a change may go untold for so long, and so short that none of them is late to learn that discovery is back. It
// grows, since calls may take longer than they did.
func (s *Scheduler) callCycle(all time.Duration) time.Duration {
	cycle := min(max(time.Duration(cyclePart*float64(all)), leastCycle), mostCycle)
	most := max(cycle, min(cycleRise*all, mostCycle))
	for range s.callsFailed {
		cycle = min(time.Duration(cycleGrowth*float64(cycle)), most)
	}
	return cycle
}

// guessedCycle is the cycle of a gateway that has never been answered, in a fleet so large that the calls of all may take
// far too long for discovery.
func (s *Scheduler) guessedCycle(all time.Duration) time.Duration {
	cycle, most := guessCycle, max(s.set.MaxPollInterval, min(2*all, s.set.MaxPollInterval*5/2))
	for range s.callsFailed - (guessCalls - 1) {
		cycle = min(time.Duration(guessGrowth*float64(cycle)), most)
	}
	return cycle
}
