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

const (
	staleResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
	ownResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nits"
)

// Unsolicited data that arrives when http.Transport has returned the connection to its pool is seen before the next request
// is written; the request takes another connection, within the same attempt.
func TestUnsolicitedDataMakesConnectionStale(t *testing.T) {
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
				testbed.TryWrite(c, staleResponse)
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
			t.Errorf("attempt %d: %+v", i, result)
		}
		if i == 0 {
			unsolicited <- true
			<-unsolicited // written: it is in this machine's buffers, read or not
		}
	}
	if conns.Load() != 2 || c.counters.Get(serverDataUnsolicited)+c.counters.Get(connectionsStale) == 0 {
		t.Errorf("%d connections, %d unsolicited", conns.Load(), c.counters.Get(serverDataUnsolicited))
	}
}

// timerObserver is a clock that reports when a timer shorter than an attempt's is set.
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

// A second response that arrives when the next attempt already has the connection is not taken for the response to that
// attempt: the attempt waits for the reuse delay first.
func TestReuseDelayExcludesDuplicateResponse(t *testing.T) {
	var conns atomic.Int32
	sendDuplicate := make(chan bool, 1) // the next attempt has arrived, or it waits
	written := make(chan bool, 1)
	addr := testbed.Serve(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if conns.Add(1) > 1 {
			testbed.TryWrite(c, ownResponse)
			_, _ = io.Copy(io.Discard, in) // until the gateway closes
			return
		}
		testbed.TryWrite(c, staleResponse)
		peeked := make(chan bool)
		go func() {
			defer close(peeked)
			if _, err := in.Peek(1); err == nil {
				sendDuplicate <- true
			}
		}()
		<-sendDuplicate
		testbed.TryWrite(c, staleResponse)
		written <- true
		<-peeked
	})
	c := newTestClient()
	c.clock, c.options.ReuseDelayMs = timerObserver{c.now, sendDuplicate}, 5
	defer c.Close()
	a := c.attemptAt(addr, getRequest())
	c.Start(a)
	if result := <-c.results.attempts; result.Status != scheduler.StatusOK || string(result.Body.([]byte)) != "old" {
		t.Fatalf("the first attempt: %+v", result)
	}
	c.Start(a)
	<-written
	c.now.Advance(5)
	if result := <-c.results.attempts; result.Status != scheduler.StatusOK || string(result.Body.([]byte)) != "its" {
		t.Errorf("the second attempt: %s", result.Body)
	}
}

// A long request that is answered before it was written completely is the last one on its connection: a second response, to all
// of it, would be taken for the next one's.
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
	if _, err := io.ReadFull(c, make([]byte, 77)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "rest"); err != nil || !first.requestWritten.Load() {
		t.Errorf("the rest of a request that has been answered: %v", err)
	}
	second := startAttempt(8)
	if _, err := io.WriteString(c, head); err == nil || !second.connStale.Load() {
		t.Errorf("the next request: %v", err)
	}
	testbed.Close(t, c)
	if got := <-received; got != "halfrest" {
		t.Errorf("the server received %q", got)
	}
}

// A response that has begun and does not end fails the attempt long before the client's deadline.
func TestIncompleteResponseTimesOut(t *testing.T) {
	for name, begin := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX-A: b\r\n", "body": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"no length": "HTTP/1.1 200 OK\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			addr := testbed.Serve(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				testbed.TryWrite(c, begin)
				_, _ = c.Read(make([]byte, 1)) // until the gateway closes
			})
			c := newTestClient()
			c.Start(lifecycle.Attempt{Request: putRequest(), Server: &lifecycle.Server{Addr: addr}, DeadlineMs: c.now.NowMs() + 1e9})
			result := c.advanceUntilResult()
			if result.Status != scheduler.StatusError || c.counters.Get(serverResponsesInvalid) != 1 {
				t.Errorf("status %d, %d invalid", result.Status, c.counters.Get(serverResponsesInvalid))
			}
		})
	}
}

// advanceUntilResult moves the clock until an attempt ends.
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
