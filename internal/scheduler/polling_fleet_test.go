package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// pollTimeout is how long a poll waits for its response in the simulations.
const pollTimeout = 2 * time.Second

// pollingSettings returns settings of a fleet whose gateways poll for the endpoint list.
func pollingSettings(gateways int) Settings {
	settings := testSettings()
	settings.Gateways, settings.PollEndpoints = gateways, true
	return settings
}

// newPollingFleet returns a fleet of polling gateways that start with a cached list.
func newPollingFleet(t *testing.T, gateways int, cached ...Server) *simulatedFleet {
	t.Helper()
	fleet := newSimulatedFleet(t, gateways, pollingSettings(gateways), func(gateway int) uint64 { return uint64(gateway) })
	fleet.deliverAll(EndpointUpdate{Kind: CachedSnapshot, Servers: cached})
	return fleet
}

// simulatedPoll is a poll of the endpoint list.
type simulatedPoll struct {
	gateway     int
	startedAt   time.Duration
	respondedAt time.Duration // time at which discovery has finished the work for the poll
	done        bool          // whether the poll has got its response or has timed out
}

// overloadableDiscovery responds to polls one by one. It spends time on polls that have timed out, too, so that it can stay
// overloaded.
type overloadableDiscovery struct {
	fleet     *simulatedFleet
	cost      time.Duration // time that discovery spends on one poll
	idleAt    time.Duration // time at which discovery has finished the work for all polls so far
	polls     []*simulatedPoll
	snapshots int // number of gateways that got a list
}

// poll queues a gateway's poll and sets the time at which discovery will have finished the work for it.
func (d *overloadableDiscovery) poll(gateway int) {
	d.idleAt = max(d.idleAt, d.fleet.now) + d.cost
	d.polls = append(d.polls, &simulatedPoll{gateway: gateway, startedAt: d.fleet.now, respondedAt: d.idleAt})
}

// respondToPolls delivers the responses and the timeouts that are due.
func (d *overloadableDiscovery) respondToPolls() {
	for _, poll := range d.polls {
		timesOutAt := poll.startedAt + pollTimeout
		switch {
		case poll.done:
		case d.fleet.now >= poll.respondedAt && poll.respondedAt <= timesOutAt:
			poll.done = true
			d.snapshots++
			d.fleet.deliver(poll.gateway, EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}, {ID: 2, Shard: 1}}})
		case d.fleet.now >= timesOutAt:
			poll.done = true
			d.fleet.deliver(poll.gateway, EndpointUpdate{Kind: WatchFailed})
		}
	}
}

// All gateways start at once, and discovery responds to their polls one by one. Polls time out after 2 s, but discovery still
// spends the time for them, so polls that start, fail and are repeated at the same time would keep it overloaded forever. If
// discovery is fast, a large fleet must not wait as long as a slow discovery would need.
func TestFleetGetsFirstSnapshots(t *testing.T) {
	for _, test := range []struct {
		gateways     int
		cost, within time.Duration
		maxPolls     int // largest allowed number of polls per gateway, in the mean
	}{
		{80, 100 * ms, 30 * time.Second, 2},
		{300, 10 * ms, 5500 * ms, 1},
		{300, 50 * ms, 90 * time.Second, 6},
	} {
		t.Run(fmt.Sprint(test.gateways, "x", test.cost), func(t *testing.T) {
			fleet := newPollingFleet(t, test.gateways, Server{ID: 1}, Server{ID: 2, Shard: 1})
			discovery := &overloadableDiscovery{fleet: fleet, cost: test.cost, idleAt: fleet.now}
			for end := fleet.now + test.within; fleet.now < end; fleet.now += 10 * ms {
				discovery.respondToPolls()
				for gateway := range fleet.schedulers {
					for range actionsOf[WatchEndpoints](fleet.step(gateway)) {
						discovery.poll(gateway)
					}
				}
			}
			if discovery.snapshots != test.gateways || len(discovery.polls) > test.maxPolls*test.gateways {
				t.Errorf("%d of %d gateways got a snapshot within %v, with %d polls; want all, with at most maxPolls per gateway in the mean",
					discovery.snapshots, test.gateways, test.within, len(discovery.polls))
			}
		})
	}
}

// failingDiscovery responds to polls one by one while it is up. Polls that wait for pollTimeout time out, and discovery spends no
// time on them.
type failingDiscovery struct {
	fleet     *simulatedFleet
	up        bool
	cost      time.Duration // time that discovery spends on one poll
	idleAt    time.Duration // time at which discovery has finished the current poll
	waiting   []simulatedPoll
	polling   []bool // whether a poll is in flight, by gateway
	watching  []bool // whether a watch is open, by gateway
	snapshots int    // number of gateways that got a list since discovery last came up
}

// outageStep is the time between two steps of the simulation of an outage.
const outageStep = 2 * ms

// timeOutPolls fails the polls that have waited for pollTimeout.
func (d *failingDiscovery) timeOutPolls() {
	for len(d.waiting) > 0 && d.fleet.now >= d.waiting[0].startedAt+pollTimeout {
		gateway := d.waiting[0].gateway
		d.fleet.deliver(gateway, EndpointUpdate{Kind: WatchFailed})
		d.polling[gateway] = false
		d.waiting = d.waiting[1:]
	}
}

// respondToPolls responds to as many polls as the time since the last step allows.
func (d *failingDiscovery) respondToPolls() {
	for d.up && len(d.waiting) > 0 && d.idleAt <= d.fleet.now {
		d.idleAt = max(d.idleAt, d.fleet.now-outageStep) + d.cost
		gateway := d.waiting[0].gateway
		d.waiting, d.polling[gateway], d.watching[gateway] = d.waiting[1:], false, true
		d.snapshots++
		d.fleet.deliver(gateway, EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}, {ID: 2, Shard: 1}}})
	}
}

// poll queues a gateway's poll. It fails the test if the gateway already has a poll in flight or an open watch.
func (d *failingDiscovery) poll(gateway int) {
	if d.watching[gateway] || d.polling[gateway] {
		d.fleet.t.Fatalf("gateway %d polls while it has a poll in flight or an open watch", gateway)
	}
	d.polling[gateway] = true
	d.waiting = append(d.waiting, simulatedPoll{gateway: gateway, startedAt: d.fleet.now})
}

// run simulates a period. If discovery is up, it returns as soon as each gateway has got a list.
func (d *failingDiscovery) run(period time.Duration) {
	gateways := len(d.fleet.schedulers)
	for end := d.fleet.now + period; d.fleet.now < end && (!d.up || d.snapshots < gateways); d.fleet.now += outageStep {
		d.timeOutPolls()
		d.respondToPolls()
		for gateway := range gateways {
			for range actionsOf[WatchEndpoints](d.fleet.step(gateway)) {
				d.poll(gateway)
			}
		}
	}
}

// closeWatches ends all watches.
func (d *failingDiscovery) closeWatches() {
	clear(d.watching)
	d.fleet.deliverAll(EndpointUpdate{Kind: WatchClosed})
}

// After an outage of discovery, which ends all watches, every gateway must get a snapshot within 7 s: a gateway is treated as
// having been notified of a change 6 s after the change, and must comply with the change after a grace of 1 s. A change may be
// made as soon as discovery is available again. Polls time out after 2 s, during the outage and under overload.
func TestFleetGetsSnapshotsAfterOutage(t *testing.T) {
	const snapshotsWithin = 7 * time.Second
	for _, test := range []struct {
		gateways int
		cost     time.Duration
		outage   time.Duration
	}{
		{5, 60 * ms, 8 * time.Second},
		{60, 50 * ms, 8 * time.Second},
		{300, 8 * ms, 8 * time.Second},
		{300, 8 * ms, 25 * time.Second},
		{900, 3 * ms, 12 * time.Second},
	} {
		t.Run(fmt.Sprint(test.gateways, "x", test.cost, ",", test.outage), func(t *testing.T) {
			fleet := newPollingFleet(t, test.gateways, Server{ID: 1})
			discovery := &failingDiscovery{fleet: fleet, up: true, cost: test.cost, idleAt: fleet.now,
				polling: make([]bool, test.gateways), watching: make([]bool, test.gateways)}
			discovery.run(15 * time.Second)
			if discovery.snapshots != test.gateways {
				t.Fatalf("%d of %d gateways got a first snapshot, want all", discovery.snapshots, test.gateways)
			}
			fleet.now += time.Minute
			discovery.up = false
			discovery.closeWatches()
			discovery.run(test.outage)
			discovery.up, discovery.snapshots, discovery.idleAt = true, 0, fleet.now
			back := fleet.now
			discovery.run(snapshotsWithin)
			if discovery.snapshots != test.gateways {
				t.Errorf("%d of %d gateways got a snapshot within %v after the outage, want all",
					discovery.snapshots, test.gateways, snapshotsWithin)
			}
			t.Logf("all gateways had a snapshot %v after the outage", fleet.now-back)
		})
	}
}
