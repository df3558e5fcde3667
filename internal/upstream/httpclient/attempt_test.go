package httpclient

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed"
)

func TestConnectFailed(t *testing.T) {
	c := newTestClient()
	ln := testbed.Listen(t)
	ln.Close()
	c.Start(c.attemptAt(ln.Addr().String(), putRequest()))
	if result := <-c.results.attempts; result.Status != scheduler.StatusConnectFailed {
		t.Errorf("status %d", result.Status)
	}
}

// What the server has read in part was not executed: the connection ends before the request's last byte is written.
func TestConnectionClosedBeforeLastByte(t *testing.T) {
	addr := testbed.Serve(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 10)) // the connection ends either way
	})
	c, request := newTestClient(), putRequest()
	request.Payload.(*httpmessage.Request).Body = bytes.Repeat([]byte("x"), 32<<20) // more than the socket buffers hold
	c.Start(c.attemptAt(addr, request))
	if result := <-c.results.attempts; result.Status != scheduler.StatusConnectFailed {
		t.Errorf("status %d", result.Status)
	}
}

// An attempt writes nothing if its client disconnected, if it was canceled, or if its start deadline passed while it waited for
// its connection, even if the scheduler has not canceled it. A disconnect does not count as a failure of the server.
func TestAttemptIsNotStartedWhenOver(t *testing.T) {
	for _, test := range []struct {
		name string
		// whileConnecting is called once the connection is up, before the attempt gets it.
		whileConnecting func(w *connectingAttempt)
		want            scheduler.Status
	}{
		{"request canceled", func(w *connectingAttempt) { w.request.Cancel() }, scheduler.StatusCanceled},
		{"request and attempt canceled", func(w *connectingAttempt) { w.request.Cancel(); w.cancel() }, scheduler.StatusCanceled},
		{"attempt canceled", func(w *connectingAttempt) { w.cancel() }, scheduler.StatusCanceled},
		{"disconnected, unnoticed", func(w *connectingAttempt) { w.disconnected.Store(true) }, scheduler.StatusCanceled},
		{"start deadline passed", func(w *connectingAttempt) { w.now.Advance(500) }, scheduler.StatusConnectFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range 20 {
				checkNothingWritten(t, test.whileConnecting, test.want)
			}
		})
	}
}

// connectingAttempt is an attempt that waits for its connection.
type connectingAttempt struct {
	request      *lifecycle.Request
	disconnected atomic.Bool
	cancel       func()
	now          *clock.Manual
}

func checkNothingWritten(t *testing.T, whileConnecting func(*connectingAttempt), want scheduler.Status) {
	t.Helper()
	received := make(chan string, 1)
	addr := testbed.Serve(t, func(c net.Conn) {
		b := make([]byte, 1) // the attempt ends with its first byte
		n, _ := c.Read(b)
		received <- string(b[:n])
	})
	c := newTestClient()
	waiting := &connectingAttempt{request: putRequest(), now: c.now}
	waiting.request.ClientDisconnected = waiting.disconnected.Load
	a := lifecycle.Attempt{Request: waiting.request, Server: &lifecycle.Server{Addr: addr}, DeadlineMs: 1e12 + 1000, StartDeadlineMs: 1e12 + 500}
	cancel := make(chan func(), 1)
	c.options.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		netConn, err := (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, addr)
		waiting.cancel = <-cancel
		whileConnecting(waiting)
		return netConn, err
	}
	cancel <- c.Start(a)
	if result := <-c.results.attempts; result.Status != want {
		t.Errorf("ended as %v", result.Status)
	}
	for len(received) == 0 { // the connection may not have become idle yet
		c.Close()
	}
	if got := <-received; got != "" {
		t.Fatalf("%d bytes were written", len(got))
	}
}

// A server that starts to drain while an attempt waits for its connection receives none of it.
func TestDrainWhileConnecting(t *testing.T) {
	server, c := newFakeServer(t), newTestClient()
	manager := lifecycle.New(lifecycle.Options{})
	listed := &lifecycle.Server{Name: "a", Addr: server.addr}
	manager.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Snapshot, Servers: []*lifecycle.Server{listed}})
	manager.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Snapshot}) // the scheduler sent just before
	c.Start(lifecycle.Attempt{Request: getRequest(), Server: listed, DeadlineMs: c.now.NowMs() + 1000})
	if result := <-c.results.attempts; result.Status != scheduler.StatusConnectFailed || server.requests.Load() != 0 {
		t.Errorf("status %d, the server received %d", result.Status, server.requests.Load())
	}
}

func TestTimeoutCancelAndConnectionLimit(t *testing.T) {
	server, c := newFakeServer(t), newTestClient()
	waitForRequests := func(n int32) { // the server holds the request, since it was given no behavior
		for server.requests.Load() < n {
			runtime.Gosched()
		}
	}
	request := putRequest()
	c.Start(c.attemptAt(server.addr, request))
	waitForRequests(1)
	c.now.Advance(1001)
	if result := <-c.results.attempts; result.Status != scheduler.StatusTimedOut {
		t.Errorf("timed out: status %d", result.Status)
	}
	cancel := c.Start(c.attemptAt(server.addr, request))
	waitForRequests(2)
	cancel()
	if result := <-c.results.attempts; result.Status != scheduler.StatusCanceled {
		t.Errorf("canceled: status %d", result.Status)
	}
	c.options.MaxConns = 0
	c.Start(c.attemptAt(server.addr, request))
	if result := <-c.results.attempts; result.Status != scheduler.StatusConnectFailed || c.counters.Get(connectionsCapped) != 1 {
		t.Errorf("over the limit: status %d, %d capped", result.Status, c.counters.Get(connectionsCapped))
	}
}
