package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newTestPoller returns the poller of a gateway in a fleet of ten.
func newTestPoller() *endpointPoller {
	return &endpointPoller{gateways: 10, maxInterval: 10 * time.Second, minDelay: 2 * ms, random: rand.New(rand.NewPCG(1, 1))}
}

func TestEndpointPoller(t *testing.T) {
	const now = time.Hour
	snapshot := &EndpointUpdate{Kind: Snapshot}
	t.Run("first poll within the fleet's poll time", func(t *testing.T) {
		poller := newTestPoller()
		poller.scheduleFirst(now)
		if wait := poller.nextPollAt - now; wait < 0 || wait > 10*defaultPollLatency {
			t.Errorf("first poll after %v", wait)
		}
	})
	t.Run("fastest successful poll counts", func(t *testing.T) {
		poller := newTestPoller()
		for _, latency := range []time.Duration{20 * ms, 5 * ms, 50 * ms} {
			poller.pollStarted(now)
			poller.entriesReceived(now+latency, snapshot)
		}
		if poller.pollLatency != 5*ms || poller.fleetPollTime() != 50*ms {
			t.Errorf("poll latency %v, fleet %v", poller.pollLatency, poller.fleetPollTime())
		}
	})
	t.Run("a list without a poll gives no latency", func(t *testing.T) {
		poller := newTestPoller()
		poller.entriesReceived(now, snapshot)
		if poller.pollLatency != 0 {
			t.Errorf("poll latency %v", poller.pollLatency)
		}
	})
}

func TestEndpointPollerSchedule(t *testing.T) {
	const now = time.Hour
	t.Run("no poll while a watch is open", func(t *testing.T) {
		poller := newTestPoller()
		poller.pollStarted(now)
		poller.watchOpened(now + 5*ms)
		if poller.due(now+10*time.Minute) || poller.pollInFlight {
			t.Errorf("due: %+v", poller)
		}
	})
	t.Run("poll in flight is repeated within the interval", func(t *testing.T) {
		poller := newTestPoller()
		poller.pollStarted(now)
		if poller.due(now+5*time.Second-1) || !poller.due(now+5*time.Second) {
			t.Errorf("next poll at %v", poller.nextPollAt)
		}
	})
	t.Run("cycle grows with failures up to its bound", func(t *testing.T) {
		poller := newTestPoller()
		last := time.Duration(0)
		for range 10 {
			cycle := poller.cycle(poller.fleetPollTime())
			if cycle < last || cycle > maxPollCycle {
				t.Errorf("cycle %v after %v", cycle, last)
			}
			last = cycle
			poller.scheduleAfterFailure(now)
		}
		if poller.failures != 10 || last <= minPollCycle {
			t.Errorf("%d failures, cycle %v", poller.failures, last)
		}
	})
}

func TestPollsUntilWatchOpens(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.PollEndpoints = true })
	countPolls := func(period time.Duration) int { return len(actionsOf[WatchEndpoints](gateway.advance(period))) }
	gateway.step(EndpointUpdate{Kind: WatchFailed})
	if polls := countPolls(5 * time.Second); polls == 0 {
		t.Fatal("no poll after a failed one")
	}
	if polls := countPolls(20 * time.Second); polls < 3 || polls > 4 {
		t.Errorf("%d polls in 20 s while none gets a response, want one every MaxPollInterval/2", polls)
	}
	gateway.step(EndpointUpdate{Kind: Delta})
	if polls := countPolls(60 * time.Second); polls != 0 {
		t.Errorf("%d polls while a watch is open", polls)
	}
	for range 5 {
		gateway.step(EndpointUpdate{Kind: WatchFailed})
		if polls := countPolls(10 * time.Second); polls < 1 || polls > 3 {
			t.Errorf("%d polls in 10 s after a failed one", polls)
		}
	}
}

// pollClock drives the polls of a single scheduler.
type pollClock struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
}

// waitForPoll passes an update and returns how long the next poll takes to come.
func (c *pollClock) waitForPoll(kind UpdateKind) time.Duration {
	c.t.Helper()
	c.scheduler.Step(c.now, []Event{EndpointUpdate{Kind: kind}})
	from := c.now
	for c.scheduler.poller.nextPollAt > c.now {
		c.now = c.scheduler.poller.nextPollAt
	}
	if polls := actionsOf[WatchEndpoints](c.scheduler.Step(c.now, []Event{TimerFired{}})); len(polls) == 0 {
		c.t.Fatal("no poll")
	}
	return c.now - from
}

// A gateway without a watch may use its list for MaxPollInterval from its last poll, and four times as long if that poll failed. The
// next poll comes within MaxPollInterval of the end of a watch, with time left for it, and within four times that of the last failed
// poll.
func TestPollAfterWatchEnds(t *testing.T) {
	for _, gateways := range []int{1, 5, 300} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprintf("%d/%d", gateways, seed), func(t *testing.T) {
				settings := pollingSettings(gateways)
				settings.MaxPollInterval = 8 * time.Second
				clock := &pollClock{t: t, scheduler: newScheduler(t, settings, seed), now: time.Hour}
				for i := range 12 {
					if wait := clock.waitForPoll(WatchFailed); wait > 4*settings.MaxPollInterval-settings.MaxPollInterval/2 {
						t.Fatalf("%v after failed poll %d", wait, i)
					}
				}
				for i := range 12 {
					clock.scheduler.Step(clock.now, []Event{EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, State: Draining}}}})
					clock.now += 100 * ms
					if wait := clock.waitForPoll(WatchClosed); wait > settings.MaxPollInterval/2 {
						t.Fatalf("%v after the end of watch %d", wait, i)
					}
				}
			})
		}
	}
}

// run lets time pass and returns the times of polls, each of which gets a response after 10 ms.
func (c *pollClock) run(until time.Duration) (polls []time.Duration) {
	for ; c.now < until; c.now += 10 * ms {
		for range actionsOf[WatchEndpoints](c.scheduler.Step(c.now, []Event{TimerFired{}})) {
			polls = append(polls, c.now)
			c.now += 10 * ms
			c.scheduler.Step(c.now, []Event{EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}}}})
		}
	}
	return polls
}

// Watches that fall idle are opened again within two seconds, spread over them: what they miss counts as notified 6 s after their last
// message, and 3 s of that have passed. An idle watch is no failed poll, so it does not lengthen the cycle.
func TestIdleWatchesAreReopenedSoon(t *testing.T) {
	const gateways = 300
	early := 0
	for seed := range uint64(gateways) {
		clock := &pollClock{t: t, scheduler: newScheduler(t, pollingSettings(gateways), seed), now: time.Hour}
		if polls := clock.run(time.Hour + 10*time.Second); len(polls) != 1 {
			t.Fatalf("%d first polls", len(polls))
		}
		clock.scheduler.Step(clock.now, []Event{EndpointUpdate{Kind: WatchIdle}})
		idleSince := clock.now
		polls := clock.run(clock.now + 3*time.Second)
		if len(polls) != 1 || polls[0] > idleSince+idlePollSpread+20*ms {
			t.Fatalf("gateway %d: polls at %v after the watch fell idle at %v", seed, polls, idleSince)
		}
		if polls[0]-idleSince < idlePollSpread/2 {
			early++
		}
	}
	if early < gateways/3 || early > gateways*2/3 {
		t.Errorf("%d of %d poll in the first half of the spread", early, gateways)
	}
}

// A few gateways need no spread after a watch falls idle: their polls take no longer than that together.
func TestIdleWatchOfSmallFleet(t *testing.T) {
	scheduler := newScheduler(t, pollingSettings(5), 1)
	scheduler.Step(time.Hour, []Event{EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}}}})
	if scheduler.poller.pollLatency != 0 {
		t.Errorf("a list without a poll gives a poll latency of %v", scheduler.poller.pollLatency)
	}
	scheduler.Step(time.Hour+time.Minute, []Event{EndpointUpdate{Kind: WatchIdle}})
	if wait := scheduler.poller.nextPollAt - scheduler.now; wait > 5*defaultPollLatency {
		t.Errorf("one of five gateways polls %v after its watch fell idle", wait)
	}
}
