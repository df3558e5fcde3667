package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// simulatedGateways is the number of gateways in the tests of a whole fleet.
const simulatedGateways = 300

// All gateways start at once, and discovery answers their polls one by one. It abandons polls that have waited 2 s but does their work
// all the same, so polls that come together, fail together and are repeated together would keep it busy for good. Where it is fast, a
// large fleet must not wait as long as a slow one would take.
func TestFleetGetsFirstSnapshots(t *testing.T) {
	for _, c := range []struct {
		gates        int
		cost, within time.Duration
		calls        int // most of them, for each gateway
	}{
		{80, 100 * ms, 30 * time.Second, 2},
		{300, 10 * ms, 5500 * ms, 1},
		{300, 50 * ms, 90 * time.Second, 6},
	} {
		t.Run(fmt.Sprint(c.gates, "x", c.cost), func(t *testing.T) { simulatePolls(t, c.gates, c.cost, c.within, c.calls) })
	}
}

func simulatePolls(t *testing.T, gates int, cost, within time.Duration, each int) {
	const most = 2 * time.Second
	type call struct {
		gate       int
		from, upTo time.Duration
		end        bool
	}
	now, free, calls, told := time.Hour, time.Hour, []*call{}, 0
	schedulers, queue := make([]*Scheduler, gates), make([][]Event, gates)
	for i := range schedulers {
		settings := testSettings()
		settings.Gateways, settings.PollEndpoints = gates, true
		s, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		schedulers[i], queue[i] = s, []Event{EndpointUpdate{Kind: CachedSnapshot, Servers: []Server{{ID: 1}, {ID: 2, Shard: 1}}}}
	}
	for ; now < time.Hour+within; now += 10 * ms {
		for _, c := range calls {
			switch {
			case c.end:
			case now >= c.upTo && c.upTo <= c.from+most:
				c.end, told = true, told+1
				queue[c.gate] = append(queue[c.gate], EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}, {ID: 2, Shard: 1}}})
			case now >= c.from+most:
				c.end = true
				queue[c.gate] = append(queue[c.gate], EndpointUpdate{Kind: WatchFailed})
			}
		}
		for i, s := range schedulers {
			for _, a := range s.Step(now, append(queue[i], TimerFired{})) {
				if _, ok := a.(WatchEndpoints); ok {
					free = max(free, now) + cost
					calls = append(calls, &call{gate: i, from: now, upTo: free})
				}
			}
			queue[i] = nil
		}
	}
	if told != gates || len(calls) > each*gates {
		t.Errorf("%d of %d gateways were told in %v, by %d calls", told, gates, within, len(calls))
	}
}

// After an outage of discovery, which ends all watches, every gateway gets a snapshot in time: a change that is made as discovery comes
// back counts as known 6 s later and binds after a grace of 1 s. Polls wait 2 s before they fail, in the outage and under overload.
func TestFleetGetsSnapshotsAfterOutage(t *testing.T) {
	for _, c := range []struct {
		gates  int
		cost   time.Duration
		outage time.Duration
	}{
		{5, 60 * ms, 8 * time.Second}, {60, 50 * ms, 8 * time.Second}, {300, 8 * ms, 8 * time.Second}, {300, 8 * ms, 25 * time.Second},
		{900, 3 * ms, 12 * time.Second},
	} {
		t.Run(fmt.Sprint(c.gates, "x", c.cost, ",", c.outage), func(t *testing.T) { simulateOutage(t, c.gates, c.cost, c.outage) })
	}
}

func simulateOutage(t *testing.T, gates int, cost, outage time.Duration) {
	const (
		giveUp = 2 * time.Second
		step   = 2 * ms
		toldIn = 7 * time.Second
	)
	type call struct {
		gate int
		from time.Duration
	}
	list := func() Event { return EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}, {ID: 2, Shard: 1}}} }
	schedulers, news := make([]*Scheduler, gates), make([][]Event, gates)
	watching, out := make([]bool, gates), make([]bool, gates)
	for i := range schedulers {
		settings := testSettings()
		settings.Gateways, settings.PollEndpoints, settings.MaxPollInterval = gates, true, 10*time.Second
		s, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		schedulers[i], news[i] = s, []Event{EndpointUpdate{Kind: CachedSnapshot, Servers: []Server{{ID: 1}}}}
	}
	var waiting []call
	now, free := time.Hour, time.Hour
	told := 0
	play := func(until time.Duration, up bool) {
		for ; now < until && (!up || told < gates); now += step {
			for len(waiting) > 0 && now >= waiting[0].from+giveUp {
				news[waiting[0].gate] = append(news[waiting[0].gate], EndpointUpdate{Kind: WatchFailed})
				out[waiting[0].gate] = false
				waiting = waiting[1:]
			}
			for up && len(waiting) > 0 && free <= now {
				free = max(free, now-step) + cost
				g := waiting[0].gate
				waiting, out[g], watching[g] = waiting[1:], false, true
				told++
				news[g] = append(news[g], list())
			}
			for i, s := range schedulers {
				for _, a := range s.Step(now, append(news[i], TimerFired{})) {
					if _, ok := a.(WatchEndpoints); !ok {
						continue
					}
					if watching[i] || out[i] {
						t.Fatalf("gateway %d calls twice", i)
					}
					out[i] = true
					waiting = append(waiting, call{i, now})
				}
				news[i] = nil
			}
		}
	}
	play(now+15*time.Second, true)
	if told != gates {
		t.Fatalf("%d of %d gateways were told at first", told, gates)
	}
	now += time.Minute
	for i := range schedulers {
		watching[i] = false
		news[i] = append(news[i], EndpointUpdate{Kind: WatchClosed})
	}
	play(now+outage, false)
	told, free = 0, now
	back := now
	play(now+toldIn, true)
	if told != gates {
		t.Errorf("%d of %d gateways were told within %v of discovery's return", told, gates, toldIn)
	}
	t.Logf("all were told %v behind discovery's return", now-back)
}
