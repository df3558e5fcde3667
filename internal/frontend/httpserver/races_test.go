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
	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// holder is a loop that keeps what it takes until the test answers it, and tells who has left.
type holder struct{ taken, gone chan *lifecycle.Request }

func (h holder) Submit(r *lifecycle.Request) bool                       { h.taken <- r; return true }
func (h holder) Cancel(r *lifecycle.Request)                            { h.gone <- r }
func (holder) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}
func (holder) Ready() bool                                              { return true }

// server is the front on a real listener.
type server struct {
	holder
	conns *ConnTracker
	clock *clock.Manual
	http  *http.Server
	addr  string
}

// serving starts it; change is made before, if there is one.
func serving(t *testing.T, change func(*server, net.Listener) net.Listener) *server {
	ln, set := testbed.Listen(t), testbed.Settings(4)
	s := &server{holder: holder{make(chan *lifecycle.Request, 16), make(chan *lifecycle.Request, 16)}, clock: clock.NewManual(1e12),
		addr: ln.Addr().String()}
	m := metrics.New()
	s.conns = &ConnTracker{MaxOpen: 9, Clock: s.clock, Metrics: m}
	s.http = &http.Server{Handler: &Handler{Loop: s.holder, Clock: s.clock, Metrics: m, Settings: &set},
		ConnState: s.conns.ConnState, ConnContext: s.conns.ConnContext}
	if change != nil {
		ln = change(s, ln)
	}
	go s.http.Serve(s.conns.LimitListener(ln, 9))
	t.Cleanup(func() { s.http.Close() })
	return s
}

func (s *server) dial(t *testing.T) *net.TCPConn {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

func get(id int) string {
	return fmt.Sprintf("GET /pull/00000000000000aa HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: id-%d\r\nX-Service-Class: pull\r\n"+
		"X-Plan: basic\r\nX-Time-Left-Ms: 900\r\nX-IO: volume=1,units=1,shard=0,hosts=1\r\n\r\n", id)
}

// soon is what comes, or the test fails: what never happens without a mend must end the test, too.
func soon[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	select {
	case v = <-c:
	case <-ctx.Done():
		t.Fatalf("%s: nothing", what)
	}
	return v
}

// gated holds what its connections have read while the test has mu, and counts it.
type gated struct {
	net.Listener
	mu   sync.Mutex
	left int           // bytes to be read until
	read chan struct{} // is closed
}

type gatedConn struct {
	*net.TCPConn
	g *gated
}

func (g *gated) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{c.(*net.TCPConn), g}, nil
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if had := c.g.left; had > 0 {
		if c.g.left -= n; c.g.left <= 0 {
			close(c.g.read)
		}
	}
	return n, err
}

// gatedAt is a server behind a gate; it tells of each connection that gets to a state.
func gatedAt(t *testing.T, state http.ConnState) (s *server, g *gated, there chan bool) {
	there = make(chan bool, 4)
	s = serving(t, func(s *server, ln net.Listener) net.Listener {
		s.http.ConnState = func(nc net.Conn, at http.ConnState) {
			if s.conns.ConnState(nc, at); at == state {
				there <- true
			}
		}
		g = &gated{Listener: ln}
		return g
	})
	return s, g, there
}

// A client that sends more behind its open request and then leaves has left all the same: with half a request, with a
// whole one, with more than may be kept.
func TestAClientThatSendsOnAndLeaves(t *testing.T) {
	for name, more := range map[string]string{
		"nothing":        "",
		"a byte":         "G",
		"half a request": get(2)[:40],
		"whole ones":     strings.Repeat(get(2), 40),
		"a flood":        strings.Repeat("x", 2*aheadMost),
	} {
		s := serving(t, nil)
		c := s.dial(t)
		io.WriteString(c, get(1))
		r := soon(t, name, s.taken)
		io.WriteString(c, more)
		c.Close()
		if gone := soon(t, name+", left", s.gone); gone != r {
			t.Errorf("%s: another has left", name)
		}
		s.http.Close()
		if len(s.taken) != 0 {
			t.Errorf("%s: taken for a client that has left: %d more", name, len(s.taken))
		}
	}
}

// A client that leaves before its request has been read has left as well: it is not handed in at all.
func TestAClientThatLeavesUnread(t *testing.T) {
	s, g, closed := gatedAt(t, http.StateClosed)
	g.mu.Lock()
	c := s.dial(t)
	io.WriteString(c, get(1))
	c.Close()
	g.mu.Unlock()
	soon(t, "the connection's end", closed)
	if len(s.taken) != 0 {
		t.Error("a request was taken whose client had left")
	}
}

// A client that has sent more than is read while its request is open, and leaves behind that, is away all the same.
func TestAClientThatLeavesBehindAFlood(t *testing.T) {
	s := serving(t, nil)
	c := s.dial(t)
	io.WriteString(c, get(1))
	r := soon(t, "the request", s.taken)
	if r.Canceled() {
		t.Fatal("it is said to be away while it is there")
	}
	io.WriteString(c, strings.Repeat("x", floodMost+aheadMost+8<<10)) // the rest must fit into the system, or the end waits for room
	c.Close()
	for end := time.Now().Add(20 * time.Second); !r.Canceled(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("it counts as there")
		}
	}
}

// What all clients together send ahead is bounded, whatever each of them may: beyond it, a connection ends behind the
// answer that is under way, and what is closed gives back what it held.
func TestSentAheadIsBoundedInAll(t *testing.T) {
	const clients = 3
	g := &gated{read: make(chan struct{}), left: clients * (len(get(1)) + aheadMost)}
	s := serving(t, func(_ *server, ln net.Listener) net.Listener { g.Listener = ln; return g })
	s.conns.MaxPipelinedBytes = aheadMost / 2
	held := func() int {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		return s.conns.ahead
	}
	var all []*net.TCPConn
	for range clients {
		c := s.dial(t)
		io.WriteString(c, get(1))
		soon(t, "a request", s.taken)
		io.WriteString(c, strings.Repeat("x", aheadMost))
		all = append(all, c)
	}
	soon(t, "all that was sent", g.read) // and all but the last pieces of it have been kept, or dropped
	if n := held(); n == 0 || n > s.conns.MaxPipelinedBytes {
		t.Errorf("%d bytes are held of %d at most", n, s.conns.MaxPipelinedBytes)
	}
	for _, c := range all {
		c.Close()
		soon(t, "one that has left", s.gone)
	}
	for held() > 0 { // it is given back where the server closes the connection
		runtime.Gosched()
	}
}

// Requests sent at once by a client that stays are answered one after the other. Those beyond what may be kept are not,
// and the connection ends behind the answer that was under way.
func TestRequestsSentAtOnce(t *testing.T) {
	g := &gated{read: make(chan struct{})}
	s := serving(t, func(_ *server, ln net.Listener) net.Listener { g.Listener = ln; return g })
	c := s.dial(t)
	in := bufio.NewReader(c)
	answer := func(what string) {
		t.Helper()
		soon(t, what, s.taken).Respond(lifecycle.Response{Result: []byte(what)})
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		if b, err := io.ReadAll(resp.Body); err != nil || string(b) != what {
			t.Errorf("answered %q, %v, want %q", b, err, what)
		}
	}
	io.WriteString(c, get(1))
	r := soon(t, "the first", s.taken)
	io.WriteString(c, get(2)+get(3)+get(4))
	s.taken <- r
	for _, what := range []string{"one", "two", "three", "four"} {
		answer(what)
	}
	io.WriteString(c, get(5))
	r = soon(t, "the fifth", s.taken)
	flood := strings.Repeat(get(6), 1+aheadMost/len(get(6)))
	g.mu.Lock()
	g.left = len(flood)
	g.mu.Unlock()
	go io.WriteString(c, flood)
	soon(t, "all read", g.read)
	s.taken <- r
	answer("five")
	c.CloseWrite()
	if b, err := io.ReadAll(in); len(b) != 0 || err != nil || len(s.taken) != 0 {
		t.Errorf("behind a flood came %q, %v; %d taken", b, err, len(s.taken))
	}
}

// The last answer on a connection reaches its client whole, and its end is no reset, whatever the client has sent
// meanwhile: behind what is malformed, in the body of what is turned down unread, behind an answer while stopping.
func TestLastAnswerOutlivesBytesNotRead(t *testing.T) {
	for name, c := range map[string]struct{ send, want string }{
		"malformed head": {"nonsense\r\n\r\n", "HTTP/1.1 400"},
		"malformed form": {strings.Replace(get(1), "volume=1", "volume=z", 1), "HTTP/1.1 400"},
		"too large": {strings.NewReplacer("GET /pull", "PUT /push", "Class: pull", "Class: push\r\nIdempotency-Key: k\r\n"+
			"Content-Length: 9000000").Replace(get(1)), "HTTP/1.1 413"},
		"stopping": {get(1), "HTTP/1.1 200"},
	} {
		s := serving(t, nil)
		s.http.Handler.(*Handler).closing.Store(name == "stopping")
		k := s.dial(t)
		sent := make(chan error, 1)
		go func() {
			_, err := io.WriteString(k, c.send+strings.Repeat("x", 3<<20))
			k.CloseWrite()
			sent <- err
		}()
		if name == "stopping" {
			soon(t, name, s.taken).Respond(lifecycle.Response{Result: []byte("x")})
		}
		if err := soon(t, name, sent); err != nil {
			t.Errorf("%s: cut while sending: %v", name, err)
		}
		if b, err := io.ReadAll(k); err != nil || !strings.HasPrefix(string(b), c.want) {
			t.Errorf("%s: %q, %v", name, b, err)
		}
	}
}

// Clients that do not end their side of a connection that has been closed hold few places: the first are cut.
func TestFewConnectionsLinger(t *testing.T) {
	s := serving(t, nil) // one sixteenth of nine places, and one at the least
	var all []*net.TCPConn
	for range 3 {
		c := s.dial(t)
		io.WriteString(c, "nonsense\r\n\r\n")
		if b, err := io.ReadAll(c); err != nil || !strings.Contains(string(b), " 400 ") {
			t.Errorf("%q, %v", b, err)
		}
		all = append(all, c)
	}
	s.conns.mu.Lock()
	n := s.conns.closing.Len()
	s.conns.mu.Unlock()
	if n != 1 {
		t.Errorf("%d linger, want 1", n)
	}
	s.clock.Advance(gracefulclose.TimeoutMs) // and none for longer than that
	for _, c := range all {
		for _, err := io.WriteString(c, "more"); err == nil; _, err = io.WriteString(c, "more") {
			runtime.Gosched()
		}
	}
}

// A request that reaches a resting connection in the moment in which it is shed is not taken, and its client sees the
// connection end, not reset: it sends the request once more.
func TestRequestThatCrossesShedding(t *testing.T) {
	s, g, resting := gatedAt(t, http.StateIdle)
	c := s.dial(t)
	in := bufio.NewReader(c)
	io.WriteString(c, get(1))
	soon(t, "the first", s.taken).Respond(lifecycle.Response{Result: []byte("x")})
	if resp, err := http.ReadResponse(in, nil); err != nil {
		t.Fatal(err)
	} else {
		io.Copy(io.Discard, resp.Body)
	}
	soon(t, "resting", resting) // the server is done with it a little later than its client
	g.mu.Lock()
	io.WriteString(c, get(2))
	quiet := s.conns.Drain()
	g.mu.Unlock()
	if b, err := io.ReadAll(in); len(b) != 0 || err != nil {
		t.Errorf("the client got %q, %v, want the end", b, err)
	}
	select {
	case <-quiet:
		t.Error("quiet before the client has ended its connection")
	default:
	}
	c.Close()
	soon(t, "quiet", quiet)
	if len(s.taken) != 0 {
		t.Error("a request was taken from a connection that had been ended")
	}
}

// The same for one that the server has read together with the request before, which no read tells of.
func TestRequestReadAheadOfShedding(t *testing.T) {
	drained := make(chan (<-chan struct{}), 4)
	s := serving(t, func(s *server, ln net.Listener) net.Listener {
		s.http.ConnState = func(nc net.Conn, at http.ConnState) {
			if s.conns.ConnState(nc, at); at == http.StateIdle {
				drained <- s.conns.Drain()
			}
		}
		return ln
	})
	c := s.dial(t)
	io.WriteString(c, get(1)+get(2))
	soon(t, "the first", s.taken).Respond(lifecycle.Response{Result: []byte("x")})
	quiet := soon(t, "shed", drained)
	b, err := io.ReadAll(c)
	if err != nil || strings.Count(string(b), "HTTP/1.1 ") != 1 {
		t.Errorf("the client got %q, %v, want one answer and the end", b, err)
	}
	c.Close()
	soon(t, "quiet", quiet)
	if len(s.taken) != 0 {
		t.Error("a request was sent on whose connection had been ended")
	}
}
