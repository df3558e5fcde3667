package httpserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/testbed"
)

// This file forces orders of events that are rare on their own.

// A client that sends more while its request is open and then disconnects is noticed: with part of a request, with complete ones,
// with more than is buffered.
func TestDisconnectAfterPipelining(t *testing.T) {
	for name, more := range map[string]string{
		"nothing":        "",
		"a byte":         "G",
		"half a request": rawGet(2)[:40],
		"more requests":  strings.Repeat(rawGet(2), 40),
		"a flood":        strings.Repeat("x", 2*maxPipelinedBytes),
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, nil)
			client := s.dial(t)
			testbed.Write(t, client, rawGet(1))
			request := receive(t, "the request", s.submitted)
			testbed.Write(t, client, more)
			testbed.Close(t, client)
			if canceled := receive(t, "its cancellation", s.canceled); canceled != request {
				t.Error("another request was canceled")
			}
			s.server.Close()
			if len(s.submitted) != 0 {
				t.Errorf("submitted for a client that has disconnected: %d more", len(s.submitted))
			}
		})
	}
}

// The request of a client that disconnects before it has been read is not submitted at all.
func TestDisconnectBeforeRead(t *testing.T) {
	s, gate, closed := startGatedServer(t, http.StateClosed)
	gate.mu.Lock()
	client := s.dial(t)
	testbed.Write(t, client, rawGet(1))
	testbed.Close(t, client)
	gate.mu.Unlock()
	receive(t, "the connection's end", closed)
	if len(s.submitted) != 0 {
		t.Error("a request was submitted whose client had disconnected")
	}
}

// A client that has sent more than is read while its request is open, and disconnects after that, is noticed, too.
func TestDisconnectAfterFlood(t *testing.T) {
	s := startServer(t, nil)
	client := s.dial(t)
	testbed.Write(t, client, rawGet(1))
	request := receive(t, "the request", s.submitted)
	if request.Canceled() {
		t.Fatal("canceled while the client is there")
	}
	// What exceeds these bounds must fit into socket buffers, or the end of the connection does not get through.
	testbed.Write(t, client, strings.Repeat("x", maxDiscardBytes+maxPipelinedBytes+8<<10))
	testbed.Close(t, client)
	for end := time.Now().Add(20 * time.Second); !request.Canceled(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("the disconnect was not noticed")
		}
	}
}

// What is buffered of pipelined requests is bounded over all clients: beyond the bound a connection ends after the response
// that is open, and a connection that is closed releases its buffered bytes.
func TestPipelinedBytesAreBounded(t *testing.T) {
	const clients = 3
	gate := &gatedListener{allRead: make(chan struct{}), bytesLeft: clients * (len(rawGet(1)) + maxPipelinedBytes)}
	s := startServer(t, func(_ *testServer, ln net.Listener) net.Listener { gate.Listener = ln; return gate })
	s.tracker.MaxPipelinedBytes = maxPipelinedBytes / 2
	buffered := func() int {
		s.tracker.mu.Lock()
		defer s.tracker.mu.Unlock()
		return s.tracker.pipelinedBytes
	}
	var conns []*net.TCPConn
	for range clients {
		client := s.dial(t)
		testbed.Write(t, client, rawGet(1))
		receive(t, "a request", s.submitted)
		testbed.Write(t, client, strings.Repeat("x", maxPipelinedBytes))
		conns = append(conns, client)
	}
	receive(t, "all that was sent", gate.allRead) // and all but the last pieces of it have been buffered, or discarded
	if n := buffered(); n == 0 || n > s.tracker.MaxPipelinedBytes {
		t.Errorf("%d bytes are buffered of %d at most", n, s.tracker.MaxPipelinedBytes)
	}
	for _, client := range conns {
		testbed.Close(t, client)
		receive(t, "a canceled request", s.canceled)
	}
	for buffered() > 0 { // it is released when the server closes the connection
		runtime.Gosched()
	}
}

// Pipelined requests of a client that stays are answered one after the other. Those beyond what is buffered are not, and the
// connection ends after the response that was open.
func TestPipelinedRequests(t *testing.T) {
	gate := &gatedListener{allRead: make(chan struct{})}
	s := startServer(t, func(_ *testServer, ln net.Listener) net.Listener { gate.Listener = ln; return gate })
	client := s.dial(t)
	reader := bufio.NewReader(client)
	answer := func(what string) {
		t.Helper()
		receive(t, what, s.submitted).Respond(lifecycle.Response{Body: []byte(what)})
		if body := readResponse(t, what, reader); body != what {
			t.Errorf("answered %q, want %q", body, what)
		}
	}
	testbed.Write(t, client, rawGet(1))
	request := receive(t, "the first", s.submitted)
	testbed.Write(t, client, rawGet(2)+rawGet(3)+rawGet(4))
	s.submitted <- request
	for _, what := range []string{"one", "two", "three", "four"} {
		answer(what)
	}
	testbed.Write(t, client, rawGet(5))
	request = receive(t, "the fifth", s.submitted)
	flood := strings.Repeat(rawGet(6), 1+maxPipelinedBytes/len(rawGet(6)))
	gate.mu.Lock()
	gate.bytesLeft = len(flood)
	gate.mu.Unlock()
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(client, flood)
		sent <- err
	}()
	receive(t, "all read", gate.allRead)
	if err := receive(t, "the end of sending", sent); err != nil {
		t.Errorf("cut off while sending: %v", err)
	}
	s.submitted <- request
	answer("five")
	if err := client.CloseWrite(); err != nil {
		t.Error(err)
	}
	if b, err := io.ReadAll(reader); len(b) != 0 || err != nil || len(s.submitted) != 0 {
		t.Errorf("after a flood: received %q, %v; %d submitted", b, err, len(s.submitted))
	}
}

// The last response on a connection reaches its client completely, and the connection is not reset, whatever the client has
// sent meanwhile: after a malformed request, in a body that is rejected unread, after a response during a shutdown.
func TestLastResponseSurvivesUnreadBytes(t *testing.T) {
	for name, test := range map[string]struct{ send, want string }{
		"malformed head": {"nonsense\r\n\r\n", "HTTP/1.1 400"},
		"malformed form": {strings.Replace(rawGet(1), "volume=1", "volume=z", 1), "HTTP/1.1 400"},
		"too large": {strings.NewReplacer("GET /pull", "PUT /push", "Class: pull", "Class: push\r\nIdempotency-Key: k\r\n"+
			"Content-Length: 9000000").Replace(rawGet(1)), "HTTP/1.1 413"},
		"shutdown": {rawGet(1), "HTTP/1.1 200"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, nil)
			s.handler.keepAlivesDisabled.Store(name == "shutdown")
			client := s.dial(t)
			sent := make(chan error, 1)
			go func() {
				_, err := io.WriteString(client, test.send+strings.Repeat("x", 3<<20))
				sent <- errors.Join(err, client.CloseWrite())
			}()
			if name == "shutdown" {
				receive(t, "the request", s.submitted).Respond(lifecycle.Response{Body: []byte("x")})
			}
			if err := receive(t, "the end of sending", sent); err != nil {
				t.Errorf("cut off while sending: %v", err)
			}
			if b, err := io.ReadAll(client); err != nil || !strings.HasPrefix(string(b), test.want) {
				t.Errorf("%q, %v", b, err)
			}
		})
	}
}

// The number of closed connections whose clients do not close their side is bounded: the oldest are cut off.
func TestClosingConnectionsAreBounded(t *testing.T) {
	s := startServer(t, nil) // one sixteenth of nine connections, and at least one
	var conns []*net.TCPConn
	for range 3 {
		client := s.dial(t)
		testbed.Write(t, client, "nonsense\r\n\r\n")
		if b, err := io.ReadAll(client); err != nil || !strings.Contains(string(b), " 400 ") {
			t.Errorf("%q, %v", b, err)
		}
		conns = append(conns, client)
	}
	s.tracker.mu.Lock()
	n := s.tracker.closingConns.Len()
	s.tracker.mu.Unlock()
	if n != 1 {
		t.Errorf("%d closing, want 1", n)
	}
	s.clock.Advance(gracefulclose.TimeoutMs) // and none for longer than that
	for _, client := range conns {
		for _, err := io.WriteString(client, "more"); err == nil; _, err = io.WriteString(client, "more") {
			runtime.Gosched()
		}
	}
}

// A request that arrives on an idle connection in the moment in which it is shed is not accepted, and its client sees the
// connection end, not reset: it sends the request again.
func TestRequestDuringShedding(t *testing.T) {
	s, gate, idle := startGatedServer(t, http.StateIdle)
	client := s.dial(t)
	reader := bufio.NewReader(client)
	testbed.Write(t, client, rawGet(1))
	receive(t, "the first", s.submitted).Respond(lifecycle.Response{Body: []byte("x")})
	readResponse(t, "the first", reader)
	receive(t, "idle", idle) // the server finishes the response a little later than its client
	gate.mu.Lock()
	testbed.Write(t, client, rawGet(2))
	drained := s.tracker.Drain()
	gate.mu.Unlock()
	if b, err := io.ReadAll(reader); len(b) != 0 || err != nil {
		t.Errorf("the client got %q, %v, want the end", b, err)
	}
	select {
	case <-drained:
		t.Error("drained before the client has closed its connection")
	default:
	}
	testbed.Close(t, client)
	receive(t, "drained", drained)
	if len(s.submitted) != 0 {
		t.Error("a request was accepted from a connection that had been shed")
	}
}

// The same for a request that the server has read together with the one before, so that no further read shows it.
func TestPipelinedRequestDuringShedding(t *testing.T) {
	drains := make(chan (<-chan struct{}), 4)
	s := startServer(t, func(s *testServer, ln net.Listener) net.Listener {
		s.server.ConnState = func(nc net.Conn, at http.ConnState) {
			if s.tracker.ConnState(nc, at); at == http.StateIdle {
				drains <- s.tracker.Drain()
			}
		}
		return ln
	})
	client := s.dial(t)
	testbed.Write(t, client, rawGet(1)+rawGet(2))
	receive(t, "the first", s.submitted).Respond(lifecycle.Response{Body: []byte("x")})
	drained := receive(t, "shed", drains)
	b, err := io.ReadAll(client)
	if err != nil || strings.Count(string(b), "HTTP/1.1 ") != 1 {
		t.Errorf("the client got %q, %v, want one response and the end", b, err)
	}
	testbed.Close(t, client)
	receive(t, "drained", drained)
	if len(s.submitted) != 0 {
		t.Error("a request was submitted whose connection had been shed")
	}
}
