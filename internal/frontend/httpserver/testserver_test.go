package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend/responsebuffer"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// pendingLoop is an event loop that passes submitted and canceled requests to the test, which responds to them.
type pendingLoop struct{ submitted, canceled chan *lifecycle.Request }

func (l pendingLoop) Submit(r *lifecycle.Request) bool                       { l.submitted <- r; return true }
func (l pendingLoop) Cancel(r *lifecycle.Request)                            { l.canceled <- r }
func (pendingLoop) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}
func (pendingLoop) Ready() bool                                              { return true }

// testServer is an http.Server with a Handler and a ConnTracker on a TCP listener.
type testServer struct {
	pendingLoop
	handler *Handler
	tracker *ConnTracker
	clock   *clock.Manual
	server  *http.Server
	addr    string
}

// startServer starts a server. If change is not nil, it is called before the start and returns the listener to use.
func startServer(t *testing.T, change func(*testServer, net.Listener) net.Listener) *testServer {
	t.Helper()
	ln, settings, counters := testbed.Listen(t), testbed.Settings(4), metrics.New()
	s := &testServer{
		pendingLoop: pendingLoop{make(chan *lifecycle.Request, 16), make(chan *lifecycle.Request, 16)},
		clock:       clock.NewManual(1e12),
		addr:        ln.Addr().String(),
	}
	s.tracker = &ConnTracker{SheddingThreshold: 9, Clock: s.clock, Metrics: counters}
	s.handler = &Handler{Loop: s.pendingLoop, Clock: s.clock, Metrics: counters, Settings: &settings, Responses: responsebuffer.NewSet(nil, "gw", counters)}
	s.server = &http.Server{Handler: s.handler, ConnState: s.tracker.ConnState, ConnContext: s.tracker.ConnContext}
	if change != nil {
		ln = change(s, ln)
	}
	testbed.ServeHTTP(t, s.server, s.tracker.LimitListener(ln, 9))
	return s
}

func (s *testServer) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	return testbed.Dial(t, s.addr)
}

// readResponse reads a response and returns its body. description identifies the response in failures.
func readResponse(t *testing.T, description string, reader *bufio.Reader) string {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("reading the response %s: %v", description, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("reading the body of the response %s: got %q and error %v", description, body, err)
	}
	return string(body)
}

// rawGet returns the HTTP text of a valid read request.
func rawGet(id int) string {
	return fmt.Sprintf("GET /pull/00000000000000aa HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: id-%d\r\nX-Service-Class: pull\r\n"+
		"X-Plan: basic\r\nX-Time-Left-Ms: 900\r\nX-IO: volume=1,units=1,shard=0,hosts=1\r\n\r\n", id)
}

// rawPut returns the HTTP text of a valid write request with a body of the given length.
func rawPut(id, length int) string {
	return fmt.Sprintf("PUT /push/00000000000000aa HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: id-%d\r\nX-Service-Class: push\r\n"+
		"X-Plan: basic\r\nX-Time-Left-Ms: 900\r\nIdempotency-Key: k-%d\r\nX-IO: volume=1,units=1,shard=0,hosts=1\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, id, length, strings.Repeat("b", length))
}

// awaitReading waits until the given number of connections have sent a part of a request.
func (s *testServer) awaitReading(t *testing.T, count int) {
	t.Helper()
	for {
		s.tracker.mu.Lock()
		reading := s.tracker.readingConns.Len()
		s.tracker.mu.Unlock()
		if reading == count {
			return
		}
		runtime.Gosched()
	}
}

// startServerReporting starts a server. reached receives each connection that the server reports to have entered the given state.
func startServerReporting(t *testing.T, state http.ConnState) (s *testServer, reached chan *clientConn) {
	t.Helper()
	reached = make(chan *clientConn, 4)
	s = startServer(t, func(s *testServer, ln net.Listener) net.Listener {
		s.server.ConnState = func(netConn net.Conn, current http.ConnState) {
			if s.tracker.ConnState(netConn, current); current == state {
				reached <- netConn.(*clientConn)
			}
		}
		return ln
	})
	return s, reached
}

// receive returns the next value of a channel. It fails the test if none arrives within 20 s. description identifies the value
// in the failure.
func receive[T any](t *testing.T, description string, values <-chan T) (value T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	select {
	case value = <-values:
	case <-ctx.Done():
		t.Fatalf("timed out while waiting for %s", description)
	}
	return value
}

// gatedListener accepts connections whose reads return only while the test does not hold mu. It also reports when the server has
// read a given number of bytes.
type gatedListener struct {
	net.Listener
	mu        sync.Mutex
	bytesLeft int           // number of bytes that the server must still read before allRead is closed
	allRead   chan struct{} // closed when bytesLeft has reached 0
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

// largeReceiveBuffer is the size of the receive buffer of a largeBufferListener's connections, in bytes. It is smaller than
// maxDiscardBytes, up to which a server reads and discards pipelined bytes, so that the buffer holds only the last of these bytes.
const largeReceiveBuffer = 256 << 10

// largeBufferListener accepts connections with a receive buffer of a fixed size. With the buffer that the kernel sizes by itself,
// the receive window can stay closed although only a few KiB are unread. The peer then cannot send its last bytes
// and its FIN.
type largeBufferListener struct{ net.Listener }

func (l largeBufferListener) Accept() (net.Conn, error) {
	netConn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return netConn, netConn.(*net.TCPConn).SetReadBuffer(largeReceiveBuffer)
}

// startGatedServer starts a server with a gatedListener. reached receives a value each time the server reports that a connection has
// entered the given state.
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
