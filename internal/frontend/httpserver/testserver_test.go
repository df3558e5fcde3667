package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// pendingLoop is a loop that keeps requests until the test answers them, and passes on which are canceled.
type pendingLoop struct{ submitted, canceled chan *lifecycle.Request }

func (l pendingLoop) Submit(r *lifecycle.Request) bool                       { l.submitted <- r; return true }
func (l pendingLoop) Cancel(r *lifecycle.Request)                            { l.canceled <- r }
func (pendingLoop) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}
func (pendingLoop) Ready() bool                                              { return true }

// testServer is a handler on a real listener.
type testServer struct {
	pendingLoop
	handler *Handler
	tracker *ConnTracker
	clock   *clock.Manual
	server  *http.Server
	addr    string
}

// startServer starts a server. change, if not nil, is called before that and returns the listener to use.
func startServer(t *testing.T, change func(*testServer, net.Listener) net.Listener) *testServer {
	t.Helper()
	ln, settings, counters := testbed.Listen(t), testbed.Settings(4), metrics.New()
	s := &testServer{
		pendingLoop: pendingLoop{make(chan *lifecycle.Request, 16), make(chan *lifecycle.Request, 16)},
		clock:       clock.NewManual(1e12),
		addr:        ln.Addr().String(),
	}
	s.tracker = &ConnTracker{MaxOpen: 9, Clock: s.clock, Metrics: counters}
	s.handler = &Handler{Loop: s.pendingLoop, Clock: s.clock, Metrics: counters, Settings: &settings}
	s.server = &http.Server{Handler: s.handler, ConnState: s.tracker.ConnState, ConnContext: s.tracker.ConnContext}
	if change != nil {
		ln = change(s, ln)
	}
	testbed.ServeHTTP(t, s.server, s.tracker.LimitListener(ln, 9))
	return s
}

// dial connects to the server.
func (s *testServer) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	return testbed.Dial(t, s.addr)
}

// readResponse reads a response and returns its body. what names the response in errors.
func readResponse(t *testing.T, what string, reader *bufio.Reader) string {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("%s: body %q, %v", what, body, err)
	}
	return string(body)
}

// rawGet returns the bytes of a valid read.
func rawGet(id int) string {
	return fmt.Sprintf("GET /pull/00000000000000aa HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: id-%d\r\nX-Service-Class: pull\r\n"+
		"X-Plan: basic\r\nX-Time-Left-Ms: 900\r\nX-IO: volume=1,units=1,shard=0,hosts=1\r\n\r\n", id)
}

// receive returns what arrives on a channel. It fails the test if nothing does.
func receive[T any](t *testing.T, what string, c <-chan T) (value T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	select {
	case value = <-c:
	case <-ctx.Done():
		t.Fatalf("%s: nothing", what)
	}
	return value
}

// gatedListener delays the results of its connections' reads while the test holds mu, and counts the bytes read.
type gatedListener struct {
	net.Listener
	mu        sync.Mutex
	bytesLeft int           // bytes still to be read
	allRead   chan struct{} // closed when they have been
}

// gatedConn is a connection of a gatedListener.
type gatedConn struct {
	*net.TCPConn
	gate *gatedListener
}

func (g *gatedListener) Accept() (net.Conn, error) {
	netConn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{netConn.(*net.TCPConn), g}, nil
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.gate.bytesLeft > 0 {
		if c.gate.bytesLeft -= n; c.gate.bytesLeft <= 0 {
			close(c.gate.allRead)
		}
	}
	return n, err
}

// startGatedServer starts a server behind a gate. reached receives a value for each connection that gets to a state.
func startGatedServer(t *testing.T, state http.ConnState) (s *testServer, gate *gatedListener, reached chan bool) {
	t.Helper()
	reached = make(chan bool, 4)
	s = startServer(t, func(s *testServer, ln net.Listener) net.Listener {
		s.server.ConnState = func(netConn net.Conn, current http.ConnState) {
			if s.tracker.ConnState(netConn, current); current == state {
				reached <- true
			}
		}
		gate = &gatedListener{Listener: ln}
		return gate
	})
	return s, gate, reached
}
