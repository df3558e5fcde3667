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
			t.Errorf("first poll is due after %v, want it within the fleet's poll time of 10 times defaultPollLatency", wait)
		}
	})
	t.Run("fastest successful poll gives the latency", func(t *testing.T) {
		poller := newTestPoller()
		for _, latency := range []time.Duration{20 * ms, 5 * ms, 50 * ms} {
			poller.pollStarted(now)
			poller.entriesReceived(now+latency, snapshot)
		}
		if poller.pollLatency != 5*ms || poller.fleetPollTime() != 50*ms {
			t.Errorf("poll latency is %v and the fleet's poll time %v, want 5 ms and 50 ms",
				poller.pollLatency, poller.fleetPollTime())
		}
	})
	t.Run("a list without a poll gives no latency", func(t *testing.T) {
		poller := newTestPoller()
		poller.entriesReceived(now, snapshot)
		if poller.pollLatency != 0 {
			t.Errorf("poll latency is %v without a poll, want none", poller.pollLatency)
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
			t.Errorf("a poll is due or in flight while a watch is open: %+v", poller)
		}
	})
	t.Run("poll in flight is repeated within the interval", func(t *testing.T) {
		poller := newTestPoller()
		poller.pollStarted(now)
		if poller.due(now+5*time.Second-1) || !poller.due(now+5*time.Second) {
			t.Errorf("next poll is due at %v, want it 5 s (half of maxInterval) after the start of the poll in flight", poller.nextPollAt)
		}
	})
	t.Run("cycle grows with failures up to its bound", func(t *testing.T) {
		poller := newTestPoller()
		last := time.Duration(0)
		for range 10 {
			cycle := poller.cycle(poller.fleetPollTime())
			if cycle < last || cycle > maxPollCycle {
				t.Errorf("cycle is %v after one of %v, want it no shorter and at most maxPollCycle", cycle, last)
			}
			last = cycle
			poller.scheduleAfterFailure(now)
		}
		if poller.failures != 10 || last <= minPollCycle {
			t.Errorf("%d failures and a cycle of %v after 10 failed polls, want 10 and a cycle longer than minPollCycle",
				poller.failures, last)
		}
	})
}

// A gateway polls again and again until a poll gets a response, and does not poll while the watch is open.
func TestPollsUntilWatchOpens(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.PollEndpoints = true })
	countPolls := func(period time.Duration) int { return len(actionsOf[WatchEndpoints](gateway.advance(period))) }
	gateway.step(EndpointUpdate{Kind: WatchFailed})
	if polls := countPolls(5 * time.Second); polls == 0 {
		t.Fatal("no poll within 5 s after a failed poll, want at least one")
	}
	if polls := countPolls(20 * time.Second); polls < 3 || polls > 4 {
		t.Errorf("%d polls within 20 s without a response, want 3 or 4: one every MaxPollInterval/2, which is 5 s", polls)
	}
	gateway.step(EndpointUpdate{Kind: Delta})
	if polls := countPolls(60 * time.Second); polls != 0 {
		t.Errorf("%d polls while a watch is open, want none", polls)
	}
	for range 5 {
		gateway.step(EndpointUpdate{Kind: WatchFailed})
		if polls := countPolls(10 * time.Second); polls < 1 || polls > 3 {
			t.Errorf("%d polls within 10 s after a failed poll, want 1 to 3", polls)
		}
	}
}

// pollDriver drives a single scheduler from poll to poll.
type pollDriver struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
}

// waitForPoll delivers an update and returns the time until the next poll.
func (d *pollDriver) waitForPoll(kind UpdateKind) time.Duration {
	d.t.Helper()
	d.scheduler.Step(d.now, []Event{EndpointUpdate{Kind: kind}})
	from := d.now
	for d.scheduler.poller.nextPollAt > d.now {
		d.now = d.scheduler.poller.nextPollAt
	}
	if polls := actionsOf[WatchEndpoints](d.scheduler.Step(d.now, []Event{TimerFired{}})); len(polls) == 0 {
		d.t.Fatal("the scheduler does not poll at nextPollAt")
	}
	return d.now - from
}

// A gateway without a watch may use its endpoint list for MaxPollInterval after its last poll, and for four times as long if that
// poll failed. The next poll must therefore start within MaxPollInterval after the end of a watch, or within four times that after
// a failed poll, and leave half of MaxPollInterval for the poll itself.
func TestPollAfterWatchEnds(t *testing.T) {
	for _, gateways := range []int{1, 5, 300} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprintf("%d/%d", gateways, seed), func(t *testing.T) {
				settings := pollingSettings(gateways)
				settings.MaxPollInterval = 8 * time.Second
				driver := &pollDriver{t: t, scheduler: newScheduler(t, settings, seed), now: time.Hour}
				for i := range 12 {
					if wait := driver.waitForPoll(WatchFailed); wait > 4*settings.MaxPollInterval-settings.MaxPollInterval/2 {
						t.Fatalf("next poll starts %v after failed poll %d, want at most 3.5 times MaxPollInterval", wait, i)
					}
				}
				for i := range 12 {
					driver.scheduler.Step(driver.now, []Event{EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, State: Draining}}}})
					driver.now += 100 * ms
					if wait := driver.waitForPoll(WatchClosed); wait > settings.MaxPollInterval/2 {
						t.Fatalf("next poll starts %v after the end of watch %d, want at most half of MaxPollInterval", wait, i)
					}
				}
			})
		}
	}
}

// run simulates the gateway until the given time and returns the times of its polls. Each poll gets a response after 10 ms.
func (d *pollDriver) run(until time.Duration) (polls []time.Duration) {
	for ; d.now < until; d.now += 10 * ms {
		for range actionsOf[WatchEndpoints](d.scheduler.Step(d.now, []Event{TimerFired{}})) {
			polls = append(polls, d.now)
			d.now += 10 * ms
			d.scheduler.Step(d.now, []Event{EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}}}})
		}
	}
	return polls
}

// Gateways whose watches fall idle poll again at times spread over two seconds (idlePollSpread). They must not take longer: 6 s
// after the last message of a watch a gateway is treated as having been notified of the changes since then, and 3 s of these
// 6 s have passed when the watch is found to be idle. An idle watch is not a failed poll, so it does not lengthen the cycle.
func TestIdleWatchesAreReopenedSoon(t *testing.T) {
	const gateways = 300
	early := 0
	for seed := range uint64(gateways) {
		driver := &pollDriver{t: t, scheduler: newScheduler(t, pollingSettings(gateways), seed), now: time.Hour}
		if polls := driver.run(time.Hour + 10*time.Second); len(polls) != 1 {
			t.Fatalf("%d polls within the first 10 s, want 1", len(polls))
		}
		driver.scheduler.Step(driver.now, []Event{EndpointUpdate{Kind: WatchIdle}})
		idleSince := driver.now
		polls := driver.run(driver.now + 3*time.Second)
		if len(polls) != 1 || polls[0] > idleSince+idlePollSpread+20*ms {
			t.Fatalf("gateway %d polls at %v, and its watch fell idle at %v; want one poll within two seconds of that",
				seed, polls, idleSince)
		}
		if polls[0]-idleSince < idlePollSpread/2 {
			early++
		}
	}
	if early < gateways/3 || early > gateways*2/3 {
		t.Errorf("%d of %d gateways poll in the first half of the spread, want about half of them", early, gateways)
	}
}

// A small fleet needs only a short spread after its watches fall idle: the time that its polls take together (see fleetPollTime).
// No poll has succeeded here, so this time is defaultPollLatency for each of five gateways.
func TestIdleWatchOfSmallFleet(t *testing.T) {
	scheduler := newScheduler(t, pollingSettings(5), 1)
	scheduler.Step(time.Hour, []Event{EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}}}})
	if scheduler.poller.pollLatency != 0 {
		t.Errorf("poll latency is %v after a list without a poll, want none", scheduler.poller.pollLatency)
	}
	scheduler.Step(time.Hour+time.Minute, []Event{EndpointUpdate{Kind: WatchIdle}})
	if wait := scheduler.poller.nextPollAt - scheduler.now; wait > 5*defaultPollLatency {
		t.Errorf("one of five gateways polls %v after its watch fell idle, want at most 5 times defaultPollLatency", wait)
	}
}
