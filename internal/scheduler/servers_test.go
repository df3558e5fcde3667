package scheduler

import (
	"testing"
	"time"
)

func TestResponsiveness(t *testing.T) {
	const now, threshold = time.Hour, 60 * ms
	const overdue = unresponsiveFactor * threshold // an attempt older than this is overdue if the latency equals the threshold
	newServer := func(sentAt time.Duration) *serverEntry {
		server := &serverEntry{}
		server.congestion.reset(threshold, 1)
		server.recordSend(sentAt, &attempt{server: server, sentAt: sentAt})
		return server
	}
	idle, slow, stuck, tried := &serverEntry{}, newServer(now-overdue), newServer(now-overdue-1), newServer(now-overdue-1)
	tried.lastSendAt = now
	responding := newServer(now - time.Minute)
	responding.recordResponse(now - overdue)
	for name, test := range map[string]struct {
		server *serverEntry
		want   responsiveness
	}{
		"nothing outstanding":     {idle, responsive},
		"not overdue":             {slow, responsive},
		"overdue":                 {stuck, trialDue},
		"overdue after a trial":   {tried, unresponsive},
		"has responded to others": {responding, responsive},
		"attempt ended meanwhile": {withEndedAttempt(newServer(now - time.Minute)), responsive},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.server.responsiveness(now, threshold); got != test.want {
				t.Errorf("responsiveness is %v, want %v", got, test.want)
			}
		})
	}
}

// withEndedAttempt ends the oldest attempt of a server and returns the server.
func withEndedAttempt(server *serverEntry) *serverEntry {
	server.outstanding[0].ended = true
	return server
}

// While a server does not respond, it gets only trials (see responsiveness). When it responds again, it gets its usual number of
// requests.
func TestUnresponsiveServerGetsTrials(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.serveReads(time.Second, 10*ms, 30*ms, StatusOK)
	if sends := gateway.serveReads(3*time.Second, 10*ms, time.Hour, StatusOK); sends > 35 { // no request gets a response
		t.Errorf("%d requests were sent to an unresponsive server, want at most 35", sends)
	}
	if sends := gateway.serveReads(2*time.Second, 10*ms, 30*ms, StatusOK); sends < 60 {
		t.Errorf("%d requests were sent after the server responded again, want at least 60", sends)
	}
}

// The window has room for one attempt. An attempt whose response was lost must not occupy the window forever: detectLostAttempts
// releases the slot of the attempt.
func TestLostResponseDoesNotBlockServer(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.server(1).congestion.window = 1
	if len(sentIDs(gateway.step(gateway.newArrival("read", "gold", 1, 2, 5)))) != 1 {
		t.Fatal("the first request was not sent")
	}
	if sends := gateway.serveReads(3*time.Second, 20*ms, 30*ms, StatusOK); sends < 50 {
		t.Errorf("%d requests were sent after a lost response, want at least 50", sends)
	}
}

// A connection reset causes a backoff only if the server has not responded to other requests lately.
func TestConnectionResetBacksOffOnlyUnresponsiveServer(t *testing.T) {
	for name, otherResponded := range map[string]bool{"responds to others": true, "sends no response": false} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, nil)
			other, reset := gateway.newArrival("read", "gold", 1, 2, 1), gateway.newArrival("read", "gold", 2, 2, 2)
			next := gateway.newArrival("read", "gold", 3, 2, 3)
			if sent := sentIDs(gateway.step(other, reset)); len(sent) != 2 {
				t.Fatalf("sent %v, want two requests", sent)
			}
			if otherResponded {
				gateway.now += 5 * ms
				gateway.step(attemptServed(other.ID, 5*ms))
			}
			gateway.now += 5 * ms
			gateway.step(AttemptEnded{ID: reset.ID, Server: 1, Status: StatusConnectionReset, RequestDone: true})
			if sent := sentIDs(gateway.step(next)); (len(sent) == 1) != otherResponded {
				t.Errorf("sent %v after a connection reset, want a request only if the server responds to others", sent)
			}
		})
	}
}

// rejectAll ends every attempt at server 1 among the actions, and among the actions that follow, with StatusOverloaded. It
// returns the number of these attempts.
func (g *testGateway) rejectAll(actions []Action) (sends int) {
	for len(sentIDs(actions)) > 0 {
		var ends []Event
		for _, send := range actionsOf[Send](actions) {
			if send.Server == 1 {
				sends++
				attempt := len(g.scheduler.requests[send.ID].attempts) - 1
				ends = append(ends, AttemptEnded{ID: send.ID, Attempt: attempt, Server: 1, Status: StatusOverloaded})
			}
		}
		g.now += ms
		actions = g.step(ends...)
	}
	return sends
}

// A draining server may reject requests before the endpoint list reports the drain. New objects, including those that the server
// has just rejected, must go to other servers. Requests for data of the server must not use up their attempts (MaxAttempts) at
// once.
func TestBackoffFromRejectingServer(t *testing.T) {
	gateway := newTestGateway(t, nil)
	newObject := func() RequestArrived {
		arrival := gateway.newArrival("read", "gold", int(gateway.lastID), 2, 1)
		arrival.Shard = -1
		return arrival
	}
	busy := gateway.newArrival("read", "gold", int(gateway.lastID), 2, 1)
	busy.Shard = 1
	gateway.step(busy) // loads server 2, so that the next new object goes to server 1
	first := newObject()
	if sends := gateway.rejectAll(gateway.step(first)); sends != 1 {
		t.Errorf("a new object was sent %d times to the rejecting server, want once", sends)
	}
	gateway.advance(20 * ms)
	if attempts := gateway.scheduler.requests[first.ID].attempts; len(attempts) != 2 || attempts[1].server.ID != 2 {
		t.Errorf("the rejected new object has %d attempts, want a second one at server 2", len(attempts))
	}
	for range 5 {
		if sends := gateway.rejectAll(gateway.step(newObject())); sends != 0 {
			t.Errorf("another new object was sent to the rejecting server, want it sent to server 2 only")
		}
	}
	const requests = 40
	sends := 0
	for range requests {
		arrival := gateway.newArrival("read", "gold", int(gateway.lastID), 2, 1)
		sends += gateway.rejectAll(append(gateway.step(arrival), gateway.advance(5*ms)...))
	}
	if sends < 2 || sends > requests/2 {
		t.Errorf("%d attempts for %d requests within 200 ms at a rejecting server, want 2 to half the number of requests",
			sends, requests)
	}
}

// Failed connects to the previous process of a server must not delay requests to the new process.
func TestRestartClearsBackoff(t *testing.T) {
	gateway := newTestGateway(t, nil)
	gateway.advance(2 * time.Second)
	for range 4 {
		arrival := gateway.newArrival("read", "gold", 1, 2, 5)
		if len(sentIDs(gateway.step(arrival))) == 1 {
			gateway.step(AttemptEnded{ID: arrival.ID, Server: 1, Status: StatusConnectFailed})
		}
	}
	server := gateway.server(1)
	if server.connectFailures == 0 || server.backoffUntil <= gateway.now {
		t.Fatalf("the server has no backoff after failed connects, want one")
	}
	gateway.restartServer()
	if server.connectFailures != 0 || server.backoffUntil > gateway.now {
		t.Errorf("%d connect failures and a backoff until %v after the restart, want none",
			server.connectFailures, server.backoffUntil)
	}
}

// An ejected server gets one request per interval and no new objects as long as the ejection is repeated.
func TestEjectedServerGetsFewRequests(t *testing.T) {
	gateway := newTestGateway(t, nil)
	const interval = 400 * ms
	ejections := []Event{EjectServer{Server: 1, MinInterval: interval}, EjectServer{Server: 99, MinInterval: interval}}
	if sends := gateway.serveBothShards(2 * time.Second); sends[1] < 50 || sends[2] < 50 {
		t.Fatalf("sends by server before the ejection are %v, want at least 50 each", sends)
	}
	sends := gateway.serveBothShards(4*time.Second, ejections...)
	if sends[1] < 5 || sends[1] > int(4*time.Second/interval)+2 || sends[2] < 150 {
		t.Errorf("sends by server during the ejection are %v, want about one per interval to server 1 and at least 150 to server 2",
			sends)
	}
	gateway.advance(interval)
	if sends := gateway.serveBothShards(2 * time.Second); sends[1] < 50 {
		t.Errorf("sends by server after the ejection are %v, want at least 50 to server 1", sends)
	}
}

// serveBothShards delivers a read for one of the shards, or a new object, every 10 ms for a period, together with other events. It
// responds to every attempt at once and returns the number of sends by server.
func (g *testGateway) serveBothShards(period time.Duration, others ...Event) map[ServerID]int {
	sends := map[ServerID]int{}
	for end := g.now + period; g.now < end; g.now += 10 * ms {
		arrival := g.newArrival("read", "gold", int(g.lastID%5), 1, uint64(g.lastID))
		if arrival.Shard = int(g.lastID % 2); g.lastID%4 == 3 {
			arrival.Shard = -1
		}
		events := append([]Event{TimerFired{}}, others...)
		for _, send := range actionsOf[Send](g.step(append(events, arrival)...)) {
			sends[send.Server]++
			g.step(sendServed(send, 5*ms))
		}
	}
	return sends
}
