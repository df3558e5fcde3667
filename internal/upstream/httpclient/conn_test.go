package httpclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed"
)

// reusableFramings build a response with a body of three bytes after which a server leaves the connection open.
var reusableFramings = map[string]func(body string) string{
	"length": func(body string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + body },
	"chunks": func(body string) string {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n" + body[:1] + "\r\n2\r\n" + body[1:] + "\r\n0\r\n\r\n"
	},
	"chunks and trailers": func(body string) string {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n3\r\n" + body + "\r\n0\r\nA: b\r\n\r\n"
	},
	"after an interim response": func(body string) string {
		return "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n" + body + "\r\n0\r\n\r\n"
	},
}

// TestUnsolicitedDataMakesConnectionStale guards against a client that gets the response to another client's request. If unsolicited data arrives after http.Transport has returned the connection to its pool, it is detected before the next request
// is written. The request is then sent on another connection, within the same attempt.
func TestUnsolicitedDataMakesConnectionStale(t *testing.T) {
	for name, response := range reusableFramings {
		t.Run(name, func(t *testing.T) { checkUnsolicitedData(t, response("its"), response("old")) })
	}
}

func checkUnsolicitedData(t *testing.T, ownResponse, oldResponse string) {
	t.Helper()
	var conns atomic.Int32
	unsolicited := make(chan bool)
	addr := testbed.Serve(t, func(c net.Conn) {
		first := conns.Add(1) == 1
		in := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			testbed.TryWrite(c, ownResponse)
			if first {
				<-unsolicited
				testbed.TryWrite(c, oldResponse)
				unsolicited <- true
			}
		}
	})
	c := newTestClient()
	defer c.Close()
	a := c.attemptAt(addr, getRequest())
	for i := range 2 {
		c.Start(a)
		if result := <-c.results.attempts; result.Status != scheduler.StatusOK || string(result.Body.([]byte)) != "its" {
			t.Errorf("attempt %d: got %+v, want StatusOK and the body of its own response", i, result)
		}
		if i == 0 {
			unsolicited <- true
			<-unsolicited // the data is written, so the client's socket has received it
		}
	}
	if conns.Load() != 2 || c.counters.Get(serverDataUnsolicited)+c.counters.Get(connectionsStale) == 0 {
		t.Errorf("got %d connections, want 2; counted unsolicited data %d times, want at least once unless a connection was stale",
			conns.Load(), c.counters.Get(serverDataUnsolicited))
	}
}

// timerObserver is a clock that reports when a timer of less than 100 ms is set. Only the timer for the reuse delay is that short.
type timerObserver struct {
	*clock.Manual
	timerSet chan bool
}

func (o timerObserver) AfterFunc(ms float64, f func()) func() {
	stop := o.Manual.AfterFunc(ms, f)
	if ms < 100 {
		o.timerSet <- true
	}
	return stop
}

// TestReuseDelayExcludesDuplicateResponse guards against the same. A duplicate response that arrives when the next attempt already has the connection is not taken for the response to that
// attempt, because the attempt waits for the reuse delay before it writes its request.
func TestReuseDelayExcludesDuplicateResponse(t *testing.T) {
	for name, response := range reusableFramings {
		t.Run(name, func(t *testing.T) { checkReuseDelay(t, response("its"), response("old")) })
	}
}

func checkReuseDelay(t *testing.T, ownResponse, oldResponse string) {
	t.Helper()
	var conns atomic.Int32
	sendDuplicate := make(chan bool, 1) // signaled when the next request has arrived, or its attempt waits for the reuse delay
	written := make(chan bool, 1)
	addr := testbed.Serve(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if conns.Add(1) > 1 {
			testbed.TryWrite(c, ownResponse)
			_, _ = io.Copy(io.Discard, in) // returns when the gateway closes the connection
			return
		}
		testbed.TryWrite(c, oldResponse)
		peeked := make(chan bool)
		go func() {
			defer close(peeked)
			if _, err := in.Peek(1); err == nil {
				sendDuplicate <- true
			}
		}()
		<-sendDuplicate
		testbed.TryWrite(c, oldResponse)
		written <- true
		<-peeked
	})
	c := newTestClient()
	c.clock, c.options.ReuseDelayMs = timerObserver{c.now, sendDuplicate}, 5
	defer c.Close()
	a := c.attemptAt(addr, getRequest())
	c.Start(a)
	if result := <-c.results.attempts; result.Status != scheduler.StatusOK || string(result.Body.([]byte)) != "old" {
		t.Fatalf("the first attempt: got %+v, want StatusOK and the body of the first response", result)
	}
	c.Start(a)
	<-written
	c.now.Advance(5)
	if result := <-c.results.attempts; result.Status != scheduler.StatusOK || string(result.Body.([]byte)) != "its" {
		t.Errorf("the second attempt: got body %s, want the body of its own response", result.Body)
	}
}

// TestReuseDelayAppliesToProbes guards against a probe that is written right after the response to an attempt: a duplicate of that is
// taken for the response to the probe, and the response to the probe for that of the next attempt.
func TestReuseDelayAppliesToProbes(t *testing.T) {
	var conns atomic.Int32
	duplicateWritten := make(chan bool)
	proceed := make(chan bool, 1) // signaled when the probe waits for the reuse delay, or has arrived
	addr := testbed.Serve(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		first := conns.Add(1) == 1
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			testbed.TryWrite(c, reusableFramings["length"]("its"))
			if first {
				go func() {
					if _, err := in.Peek(1); err == nil {
						proceed <- true
					}
				}()
				<-proceed
				testbed.TryWrite(c, reusableFramings["length"]("old"))
				duplicateWritten <- true
				return
			}
		}
	})
	c := newTestClient()
	c.clock, c.options.ReuseDelayMs = timerObserver{c.now, proceed}, 5
	defer c.Close()
	c.Start(c.attemptAt(addr, getRequest()))
	if result := <-c.results.attempts; result.Status != scheduler.StatusOK {
		t.Fatalf("the attempt: got %+v, want StatusOK", result)
	}
	c.Probe(&lifecycle.Server{Addr: addr})
	<-duplicateWritten
	c.now.Advance(5)
	if status := <-c.results.probes; status != scheduler.StatusOK || conns.Load() != 2 {
		t.Errorf("the probe: got status %v over %d connections, want StatusOK over a second one", status, conns.Load())
	}
}

// TestUnfinishedResponseEndsConnectionReuse guards against a request on a connection whose last response has not been seen to end: what
// comes next on it may belong to that response. http.Transport takes a folded Transfer-Encoding for chunks; responseFraming does not.
func TestUnfinishedResponseEndsConnectionReuse(t *testing.T) {
	var conns atomic.Int32
	addr := testbed.Serve(t, func(c net.Conn) {
		conns.Add(1)
		in := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			testbed.TryWrite(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n\r\n3\r\nits\r\n0\r\n\r\n")
		}
	})
	c := newTestClient()
	defer c.Close()
	for i := range 2 {
		c.Start(c.attemptAt(addr, getRequest()))
		if result := <-c.results.attempts; result.Status != scheduler.StatusOK || string(result.Body.([]byte)) != "its" {
			t.Fatalf("attempt %d: got %+v, want StatusOK and its body", i, result)
		}
	}
	if conns.Load() != 2 || c.counters.Get(connectionsUnfinished) != 1 {
		t.Errorf("got %d connections and %d unfinished ones, want 2 and 1", conns.Load(), c.counters.Get(connectionsUnfinished))
	}
}

// TestConnectionIsReusedAfterEachFraming checks that a connection carries the next request after a complete response.
func TestConnectionIsReusedAfterEachFraming(t *testing.T) {
	for name, response := range reusableFramings {
		t.Run(name, func(t *testing.T) {
			var conns atomic.Int32
			addr := testbed.Serve(t, func(c net.Conn) {
				conns.Add(1)
				in := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					testbed.TryWrite(c, response("its"))
				}
			})
			c := newTestClient()
			defer c.Close()
			for i := range 5 {
				c.Start(c.attemptAt(addr, getRequest()))
				if result := <-c.results.attempts; result.Status != scheduler.StatusOK || string(result.Body.([]byte)) != "its" {
					t.Fatalf("attempt %d: got %+v, want StatusOK and its body", i, result)
				}
			}
			if conns.Load() != 1 {
				t.Errorf("got %d connections for 5 attempts, want 1", conns.Load())
			}
		})
	}
}

// A request that is answered before it was written completely is the last one on its connection. The server may send a second
// response when it has the whole request, and that response would be taken for the response to the next request.
func TestEarlyResponseEndsConnectionReuse(t *testing.T) {
	received := make(chan string, 1)
	addr := testbed.Serve(t, func(netConn net.Conn) {
		in := bufio.NewReader(netConn)
		if _, err := http.ReadRequest(in); err != nil {
			received <- err.Error()
			return
		}
		testbed.TryWrite(netConn, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nfull")
		b, _ := io.ReadAll(in)
		received <- string(b)
	})
	netConn, err := newTestClient().dial(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c := netConn.(*conn)
	startAttempt := func(body int) *attemptState {
		a := &attemptState{Attempt: lifecycle.Attempt{Request: putRequest(), Server: &lifecycle.Server{}, DeadlineMs: 1e14},
			isCanceled: func() bool { return t.Context().Err() != nil }, bodyLeft: body, conn: c}
		c.attempt.Store(a)
		return a
	}
	head := "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n"
	first := startAttempt(8)
	testbed.Write(t, c, head+"half")
	if _, err := io.ReadFull(c, make([]byte, 77)); err != nil { // the whole response has 77 bytes
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "rest"); err != nil || !first.requestWritten.Load() {
		t.Errorf("writing the rest of a request that has been answered: got error %v, want none and a complete request", err)
	}
	second := startAttempt(8)
	if _, err := io.WriteString(c, head); err == nil || !second.connStale.Load() {
		t.Errorf("writing the next request: got error %v, want one that marks the connection as stale", err)
	}
	testbed.Close(t, c)
	if got := <-received; got != "halfrest" {
		t.Errorf("got the body %q on the server, want both parts of it", got)
	}
}

// A response that begins but does not end fails the attempt after responseTimeoutMs, long before the client's deadline.
func TestIncompleteResponseTimesOut(t *testing.T) {
	for name, responseStart := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX-A: b\r\n", "body": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"no length": "HTTP/1.1 200 OK\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			addr := testbed.Serve(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				testbed.TryWrite(c, responseStart)
				_, _ = c.Read(make([]byte, 1)) // returns when the gateway closes the connection
			})
			c := newTestClient()
			c.Start(lifecycle.Attempt{Request: putRequest(), Server: &lifecycle.Server{Addr: addr}, DeadlineMs: c.now.NowMs() + 1e9})
			result := c.advanceUntilResult()
			if result.Status != scheduler.StatusError || c.counters.Get(serverResponsesInvalid) != 1 {
				t.Errorf("got status %d, want StatusError; got %d invalid responses, want 1", result.Status,
					c.counters.Get(serverResponsesInvalid))
			}
		})
	}
}

// advanceUntilResult advances the clock until an attempt ends.
func (c *testClient) advanceUntilResult() lifecycle.AttemptResult {
	for {
		select {
		case result := <-c.results.attempts:
			return result
		default:
			c.now.Advance(1)
			runtime.Gosched()
		}
	}
}
