package scheduler

import (
	"testing"
	"time"
)

func TestPollsUntilWatchOpens(t *testing.T) {
	gateway := newTestGateway(t, func(s *Settings) { s.PollEndpoints = true })
	count := func(actions []Action) (n int) {
		for _, a := range actions {
			if _, ok := a.(WatchEndpoints); ok {
				n++
			}
		}
		return n
	}
	gateway.step(EndpointUpdate{Kind: WatchFailed})
	if n := count(gateway.advance(5 * time.Second)); n == 0 {
		t.Fatal("not asked again after a broken call")
	}
	if n := count(gateway.advance(20 * time.Second)); n < 3 || n > 4 {
		t.Errorf("asked %d times in 20 s while no call is answered, want one every AskWithin/2", n)
	}
	gateway.step(EndpointUpdate{Kind: Delta})
	if n := count(gateway.advance(60 * time.Second)); n != 0 {
		t.Errorf("asked %d times while subscribed", n)
	}
	for range 5 {
		gateway.step(EndpointUpdate{Kind: WatchFailed})
		if n := count(gateway.advance(10 * time.Second)); n < 1 || n > 3 {
			t.Errorf("asked %d times in 10 s after a broken call", n)
		}
	}
}

// A gateway without a watch may use its list for MaxPollInterval from its last poll, and four times as long if that poll failed. The next
// poll comes within MaxPollInterval of the end of a watch, with time left for it, and within four times that of the last failed poll.
func TestPollAfterWatchEnds(t *testing.T) {
	for _, siblings := range []int{1, 5, 300} {
		for seed := range uint64(40) {
			settings := testSettings()
			settings.Gateways, settings.PollEndpoints, settings.MaxPollInterval = siblings, true, 8*time.Second
			s, err := New(settings, seed)
			if err != nil {
				t.Fatal(err)
			}
			now := time.Hour
			next := func(scope UpdateKind) (wait time.Duration) {
				s.Step(now, []Event{EndpointUpdate{Kind: scope}})
				from := now
				for s.poller.nextPollAt > now {
					now = s.poller.nextPollAt
				}
				called := false
				for _, a := range s.Step(now, []Event{TimerFired{}}) {
					if _, ok := a.(WatchEndpoints); ok {
						called = true
					}
				}
				if !called {
					t.Fatal("no call")
				}
				return now - from
			}
			for i := range 12 {
				if wait := next(WatchFailed); wait > 4*settings.MaxPollInterval-settings.MaxPollInterval/2 {
					t.Fatalf("%d gateways: %v behind failed call %d", siblings, wait, i)
				}
			}
			for i := range 12 {
				s.Step(now, []Event{EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, State: Draining}}}})
				now += 100 * ms
				if wait := next(WatchClosed); wait > settings.MaxPollInterval/2 {
					t.Fatalf("%d gateways: %v behind end %d of a watch that told", siblings, wait, i)
				}
			}
		}
	}
}

// Watches that fall idle are opened again within two seconds, spread over them: what they miss counts as known 6 s after their last message,
// and 3 s of that have passed. An idle watch is no failed poll, so it does not lengthen the cycle.
func TestIdleWatchesAreReopenedSoon(t *testing.T) {
	const gates = 300
	var asked []time.Duration
	for i := range gates {
		settings := testSettings()
		settings.Gateways, settings.PollEndpoints = gates, true
		s, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		calls := func(until time.Duration) (at []time.Duration) {
			for ; now < until; now += 10 * ms {
				for _, a := range s.Step(now, []Event{TimerFired{}}) {
					if _, ok := a.(WatchEndpoints); ok {
						at = append(at, now)
						now += 10 * ms // what a call takes: those of all gateways take 3 s
						s.Step(now, []Event{EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}}}})
					}
				}
			}
			return at
		}
		if at := calls(time.Hour + 10*time.Second); len(at) != 1 {
			t.Fatalf("%d first calls", len(at))
		}
		s.Step(now, []Event{EndpointUpdate{Kind: WatchIdle}})
		fell := now
		at := calls(now + 3*time.Second)
		if len(at) != 1 || at[0] > fell+idlePollSpread+20*ms {
			t.Fatalf("gateway %d: asked again %v behind the silence", i, at)
		}
		asked = append(asked, at[0]-fell)
	}
	// A few gateways need no spread: their calls take no longer than that together.
	settings := testSettings()
	settings.Gateways, settings.PollEndpoints = 5, true
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(time.Hour, []Event{EndpointUpdate{Kind: Snapshot, Servers: []Server{{ID: 1}}}})
	if s.poller.pollLatency != 0 {
		t.Errorf("a list that nobody asked for tells that a call takes %v", s.poller.pollLatency)
	}
	s.Step(time.Hour+time.Minute, []Event{EndpointUpdate{Kind: WatchIdle}})
	if wait := s.poller.nextPollAt - s.now; wait > 5*defaultPollLatency {
		t.Errorf("one of five gateways asks %v behind a silence", wait)
	}
	early := 0
	for _, d := range asked {
		if d < idlePollSpread/2 {
			early++
		}
	}
	if early < gates/3 || early > gates*2/3 {
		t.Errorf("%d of %d ask in the first half of the spread", early, gates)
	}
}
