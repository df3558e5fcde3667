package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// Behind an outage of discovery, which ends all watches, every gateway is told in time: a change that is made as discovery
// is back counts as told 6 s later, and has to be heeded a grace of 1 s behind that. Calls wait 2 s before they fail, in
// the outage and where too many come.
func TestAFleetIsToldBehindAnOutage(t *testing.T) {
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

// Nothing is sent by a list that may no longer be used, and what is held leaves as soon as it is renewed.
func TestNothingIsSentByAnExpiredList(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.PollEndpoints = true })
	nodes := []Server{{ID: 1}, {ID: 2, Shard: 1}}
	until := gateway.now + 10*time.Second
	gateway.step(EndpointUpdate{Kind: Snapshot, Servers: nodes, ValidUntil: until})
	gateway.now = until - 1
	sent := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 1)))
	if len(sent) != 1 {
		t.Fatalf("sent %v in the last moment of a list that holds", sent)
	}
	gateway.step(AttemptEnded{ID: sent[0], Server: 1, Status: StatusOK, Latency: ms, RequestDone: true})
	gateway.now = until
	if got := sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 1))); len(got) != 0 {
		t.Errorf("sent %v by an expired list", got)
	}
	if got := sentIDs(gateway.step(EndpointUpdate{Kind: Heartbeat, ValidUntil: until + time.Second})); len(got) != 1 {
		t.Errorf("sent %v once the list was renewed", got)
	}
	gateway.now = until + time.Second
	last := gateway.newArrival("read", "gold", 1, 2, 1)
	refusals := 0
	for _, a := range append(gateway.step(last), gateway.advance(5*time.Second)...) {
		switch a := a.(type) {
		case Send:
			t.Errorf("sent to %d by a list that has expired again", a.Server)
		case Reject:
			if a.ID == last.ID {
				refusals++
			}
			if a.Reason != ReasonEndpointsExpired {
				t.Errorf("refused for %v", a.Reason)
			}
		}
	}
	if refusals != 1 {
		t.Errorf("%d refusals", refusals)
	}
}
