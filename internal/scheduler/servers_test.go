package scheduler

import (
	"testing"
	"time"
)

func TestUnresponsiveServerGetsTrials(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(time.Second, 10*ms, 30*ms, StatusOK)
	stuck := gateway.serveReads(3*time.Second, 10*ms, time.Hour, StatusOK) // nothing is answered
	if stuck > 35 {
		t.Errorf("%d requests sent to a silent node", stuck)
	}
	if back := gateway.serveReads(2*time.Second, 10*ms, 30*ms, StatusOK); back < 60 {
		t.Errorf("only %d sent after it answers again", back)
	}
}

func TestLostAnswerDoesNotBlockServer(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.scheduler.servers[1].congestion.window = 1
	lost := gateway.newArrival("read", "gold", 1, 2, 5)
	if len(sentIDs(gateway.step(lost))) != 1 {
		t.Fatal("not sent")
	}
	if n := gateway.serveReads(3*time.Second, 20*ms, 30*ms, StatusOK); n < 50 {
		t.Errorf("%d sent beside a lost answer", n)
	}
}

// A reset leads to a backoff only if the server has not answered other requests lately.
func TestConnectionResetBacksOffOnlyUnresponsiveServer(t *testing.T) {
	for _, answered := range []bool{true, false} {
		gateway := newTestGateway(t, nil)
		a, b, c := gateway.newArrival("read", "gold", 1, 2, 1), gateway.newArrival("read", "gold", 2, 2, 2), gateway.newArrival("read", "gold", 3, 2, 3)
		if got := sentIDs(gateway.step(a, b)); len(got) != 2 {
			t.Fatalf("sent %v", got)
		}
		if answered {
			gateway.now += 5 * ms
			gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
		}
		gateway.now += 5 * ms
		gateway.step(AttemptEnded{ID: b.ID, Server: 1, Status: StatusConnectionReset, RequestDone: true})
		if got := sentIDs(gateway.step(c)); (len(got) == 1) != answered {
			t.Errorf("answered %v: sent %v", answered, got)
		}
	}
}

// The endpoint list is late to report a drain. New objects go to other servers, also those that the server has just rejected, and requests
// for its own data do not use up their attempts at once.
func TestBackoffFromRejectingServer(t *testing.T) {
	gateway := newTestGateway(t, nil)
	away := func(actions []Action) (sends int) { // node 1 turns away, node 2 holds what it gets
		for len(sentIDs(actions)) > 0 {
			var next []Event
			for _, a := range actions {
				if a, ok := a.(Send); ok && a.Server == 1 {
					sends++
					next = append(next, AttemptEnded{ID: a.ID, Attempt: len(gateway.scheduler.requests[a.ID].attempts) - 1, Server: 1, Status: StatusOverloaded})
				}
			}
			gateway.now += ms
			actions = gateway.step(next...)
		}
		return sends
	}
	fresh := func() RequestArrived {
		a := gateway.newArrival("read", "gold", int(gateway.lastID), 2, 1)
		a.Shard = -1
		return a
	}
	busy := gateway.newArrival("read", "gold", int(gateway.lastID), 2, 1)
	busy.Shard = 1
	gateway.step(busy) // so node 1 has less to do
	first := fresh()
	if n := away(gateway.step(first)); n != 1 {
		t.Errorf("a new object was sent %d times to the node that turns away", n)
	}
	gateway.advance(20 * ms)
	if tries := gateway.scheduler.requests[first.ID].attempts; len(tries) != 2 || tries[1].server.ID != 2 {
		t.Errorf("it was not sent elsewhere: %d attempts", len(tries))
	}
	for range 5 {
		if n := away(gateway.step(fresh())); n != 0 {
			t.Errorf("a further new object went to the node that turns away")
		}
	}
	own, sends := 0, 0
	for range 40 {
		a := gateway.newArrival("read", "gold", int(gateway.lastID), 2, 1)
		own++
		sends += away(append(gateway.step(a), gateway.advance(5*ms)...))
	}
	if sends < 2 || sends > own/2 {
		t.Errorf("%d attempts of %d requests in 200 ms", sends, own)
	}
}

// Failed connects to the old process do not delay requests to the new one.
func TestRestartClearsBackoff(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.advance(2 * time.Second)
	for range 4 {
		a := gateway.newArrival("read", "gold", 1, 2, 5)
		if len(sentIDs(gateway.step(a))) == 1 {
			gateway.step(AttemptEnded{ID: a.ID, Server: 1, Status: StatusConnectFailed})
		}
	}
	server := gateway.scheduler.servers[1]
	if server.connectFailures == 0 || server.backoffUntil <= gateway.now {
		t.Fatalf("no hold after failed connects")
	}
	gateway.step(EndpointUpdate{Kind: Delta, Servers: []Server{{ID: 1, StartedAt: gateway.now}}})
	if server.connectFailures != 0 || server.backoffUntil > gateway.now {
		t.Errorf("%d failures, held until %v, after its restart", server.connectFailures, server.backoffUntil)
	}
}

// An ejected server gets one request per interval and no new objects, for as long as the ejection is repeated.
func TestEjectedServerGetsFewRequests(t *testing.T) {
	gateway := newTestGateway(t, nil)
	const rest = 400 * ms
	sends := map[ServerID]int{}
	play := func(d time.Duration, shun bool) {
		clear(sends)
		for end := gateway.now + d; gateway.now < end; {
			events := []Event{TimerFired{}}
			if shun {
				events = append(events, EjectServer{Server: 1, MinInterval: rest}, EjectServer{Server: 99, MinInterval: rest})
			}
			a := gateway.newArrival("read", "gold", int(gateway.lastID%5), 1, uint64(gateway.lastID))
			if a.Shard = int(gateway.lastID % 2); gateway.lastID%4 == 3 {
				a.Shard = -1
			}
			for _, act := range gateway.step(append(events, a)...) {
				if s, ok := act.(Send); ok {
					sends[s.Server]++
					gateway.step(AttemptEnded{ID: s.ID, Server: s.Server, Status: StatusOK, Latency: 5 * ms, RequestDone: true})
				}
			}
			gateway.now += 10 * ms
		}
	}
	play(2*time.Second, false)
	if sends[1] < 50 || sends[2] < 50 {
		t.Fatalf("before: %v", sends)
	}
	play(4*time.Second, true)
	if sends[1] < 5 || sends[1] > int(4*time.Second/rest)+2 || sends[2] < 150 {
		t.Errorf("shunned: %v", sends)
	}
	gateway.advance(rest)
	if play(2*time.Second, false); sends[1] < 50 {
		t.Errorf("afterwards: %v", sends)
	}
}
