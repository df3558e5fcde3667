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

// An attempt that can't connect ends with StatusConnectFailed.
func TestConnectFailed(t *testing.T) {
	c := newTestClient()
	ln := testbed.Listen(t)
	ln.Close()
	c.Start(c.attemptAt(ln.Addr().String(), putRequest()))
	if result := <-c.results.attempts; result.Status != scheduler.StatusConnectFailed {
		t.Errorf("attempt at a closed port: got status %d, want StatusConnectFailed", result.Status)
	}
}

// If the connection ends before the last byte of a request is written, the request was not executed. The attempt then ends with
// StatusConnectFailed.
func TestConnectionClosedBeforeLastByte(t *testing.T) {
	addr := testbed.Serve(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 10)) // the connection is closed afterwards, whether or not the read succeeds
	})
	c, request := newTestClient(), putRequest()
	request.Payload.(*httpmessage.Request).Body = bytes.Repeat([]byte("x"), 32<<20) // more than the socket buffers hold
	c.Start(c.attemptAt(addr, request))
	if result := <-c.results.attempts; result.Status != scheduler.StatusConnectFailed {
		t.Errorf("attempt that was written in part: got status %d, want StatusConnectFailed", result.Status)
	}
}

// While an attempt waits for its connection, its client may disconnect, the attempt may be canceled, or its start deadline may pass.
// The attempt must then write nothing, even if the scheduler has not canceled it yet. A disconnect of the client is not reported as a
// failure of the server.
func TestCanceledOrExpiredAttemptIsNotStarted(t *testing.T) {
	for _, test := range []struct {
		name string
		// whileConnecting is called when the connection is established and the attempt has not received it yet.
		whileConnecting func(w *connectingAttempt)
		want            scheduler.Status
	}{
		{"request canceled", func(w *connectingAttempt) { w.request.Cancel() }, scheduler.StatusCanceled},
		{"request and attempt canceled", func(w *connectingAttempt) { w.request.Cancel(); w.cancel() }, scheduler.StatusCanceled},
		{"attempt canceled", func(w *connectingAttempt) { w.cancel() }, scheduler.StatusCanceled},
		{"client disconnected, not canceled", func(w *connectingAttempt) { w.disconnected.Store(true) }, scheduler.StatusCanceled},
		{"start deadline passed", func(w *connectingAttempt) { w.now.Advance(500) }, scheduler.StatusConnectFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range 20 {
				checkNothingWritten(t, test.whileConnecting, test.want)
			}
		})
	}
}

// connectingAttempt is an attempt that waits for its connection. With its fields, a test can cancel the request or the attempt, make
// the client disconnect, or advance the clock past the start deadline.
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
		b := make([]byte, 1) // one byte is enough to fail the test; the connection is closed after the read
		n, _ := c.Read(b)
		received <- string(b[:n])
	})
	c := newTestClient()
	waiting := &connectingAttempt{request: putRequest(), now: c.now}
	waiting.request.ClientDisconnected = waiting.disconnected.Load
	a := lifecycle.Attempt{Request: waiting.request, Server: &lifecycle.Server{Addr: addr},
		DeadlineMs: 1e12 + 1000, StartDeadlineMs: 1e12 + 500}
	cancel := make(chan func(), 1)
	c.options.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		netConn, err := (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, addr)
		waiting.cancel = <-cancel
		whileConnecting(waiting)
		return netConn, err
	}
	cancel <- c.Start(a)
	if result := <-c.results.attempts; result.Status != want {
		t.Errorf("the attempt ended with the unexpected status %v", result.Status)
	}
	for len(received) == 0 { // c.Close closes only idle connections, and the connection may not be idle yet
		c.Close()
	}
	if got := <-received; got != "" {
		t.Fatalf("the server received %d bytes, want none", len(got))
	}
}

// A server that has left the endpoint list after the scheduler chose it for an attempt receives no byte of the attempt.
func TestDrainWhileConnecting(t *testing.T) {
	server, c := newFakeServer(t), newTestClient()
	manager := lifecycle.New(lifecycle.Options{})
	listed := &lifecycle.Server{Name: "a", Addr: server.addr}
	manager.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Snapshot, Servers: []*lifecycle.Server{listed}})
	manager.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Snapshot}) // the server is removed after the scheduler chose it
	c.Start(lifecycle.Attempt{Request: getRequest(), Server: listed, DeadlineMs: c.now.NowMs() + 1000})
	if result := <-c.results.attempts; result.Status != scheduler.StatusConnectFailed || server.requests.Load() != 0 {
		t.Errorf("got status %d, want StatusConnectFailed; the server received %d requests, want none", result.Status,
			server.requests.Load())
	}
}

// An attempt ends at its deadline and when it is canceled, although the server does not respond. An attempt that would need a
// connection above MaxConns is not sent.
func TestTimeoutCancelAndConnectionLimit(t *testing.T) {
	server, c := newFakeServer(t), newTestClient()
	waitForRequests := func(count int32) { // the fake server does not respond, because the test gives it no behavior
		for server.requests.Load() < count {
			runtime.Gosched()
		}
	}
	request := putRequest()
	c.Start(c.attemptAt(server.addr, request))
	waitForRequests(1)
	c.now.Advance(1001)
	if result := <-c.results.attempts; result.Status != scheduler.StatusTimedOut {
		t.Errorf("attempt past its deadline: got status %d, want StatusTimedOut", result.Status)
	}
	cancel := c.Start(c.attemptAt(server.addr, request))
	waitForRequests(2)
	cancel()
	if result := <-c.results.attempts; result.Status != scheduler.StatusCanceled {
		t.Errorf("canceled attempt: got status %d, want StatusCanceled", result.Status)
	}
	c.options.MaxConns = 0
	c.Start(c.attemptAt(server.addr, request))
	if result := <-c.results.attempts; result.Status != scheduler.StatusConnectFailed || c.counters.Get(connectionsCapped) != 1 {
		t.Errorf("attempt above the connection limit: got status %d, want StatusConnectFailed; got %d refused connections, want 1",
			result.Status, c.counters.Get(connectionsCapped))
	}
}
