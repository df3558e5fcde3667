package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// fakeLoop takes requests and lets the test answer them.
type fakeLoop struct {
	full, unready bool
	taken         []*lifecycle.Request
	written       []*lifecycle.Request
	gone          int
	take          func(*lifecycle.Request)
}

func (l *fakeLoop) Submit(r *lifecycle.Request) bool {
	if l.full {
		return false
	}
	l.taken = append(l.taken, r)
	l.take(r)
	return true
}
func (l *fakeLoop) Cancel(*lifecycle.Request) { l.gone++ }
func (l *fakeLoop) Ready() bool               { return !l.unready }
func (l *fakeLoop) ResponseWritten(r *lifecycle.Request, _ lifecycle.LinkSample) {
	l.written = append(l.written, r)
}

func newFront(take func(*lifecycle.Request)) (*Handler, *fakeLoop, *clock.Manual) {
	set := testbed.Settings(4)
	l, now := &fakeLoop{take: take}, clock.NewManual(1e12)
	return &Handler{Loop: l, Clock: now, Metrics: metrics.New(), Settings: &set}, l, now
}

// request is a good one; change spoils it.
func request(change func(*http.Request)) *http.Request {
	r := httptest.NewRequest("PUT", "/push/7f3a9c21e0b4d655?x=%2F", strings.NewReader("data"))
	for k, v := range map[string]string{"X-Correlation-Id": "9b1f03aa5c7e2d41", "X-Service-Class": "push",
		"X-Plan": "basic", "X-Time-Left-Ms": "480", "Idempotency-Key": "k1",
		"X-IO": "volume=00000003b4d60021,units=2,shard=3,hosts=2,later=1"} {
		r.Header.Set(k, v)
	}
	if change != nil {
		change(r)
	}
	return r
}

func answering(a lifecycle.Response) func(*lifecycle.Request) {
	return func(r *lifecycle.Request) { r.Respond(a) }
}

func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer     lifecycle.Response
		code       int
		body, come string
	}{
		"served":         {lifecycle.Response{Result: []byte("\x00raw\r\n")}, 200, "\x00raw\r\n", ""},
		"refused":        {lifecycle.Response{Kind: lifecycle.Rejected}, 503, "busy\n", ""},
		"refused, later": {lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 90}, 503, "busy\n", "0.090"},
		"failed":         {lifecycle.Response{Kind: lifecycle.Failed}, 502, "failed\n", ""},
		"an open id":     {lifecycle.Response{Kind: lifecycle.DuplicateID}, 409, "a request with this X-Correlation-Id is open\n", ""},
	} {
		f, l, _ := newFront(answering(c.answer))
		w := httptest.NewRecorder()
		f.ServeHTTP(w, request(nil))
		if w.Code != c.code || w.Body.String() != c.body || w.Header().Get("Retry-After") != c.come {
			t.Errorf("%s: %d %q, come back %q", name, w.Code, w.Body, w.Header().Get("Retry-After"))
		}
		r := l.taken[0]
		load := r.Payload.(*httpmessage.Request)
		if r.Key != 0x7f3a9c21e0b4d655 || r.Volume != 0x3b4d60021 || r.Units != 2 || r.Shard != 3 || r.Gateways != 2 ||
			r.RemainingMs != 480-marginMs || load.RawQuery != "x=%2F" || string(load.Body) != "data" ||
			load.Header.Get("Idempotency-Key") != "k1" || load.Header.Get("X-Correlation-Id") != "9b1f03aa5c7e2d41" {
			t.Errorf("%s: read %+v, %+v", name, r, load)
		}
	}
}

func TestMalformedRequestsNeverReachTheModule(t *testing.T) {
	header := func(k, v string) func(*http.Request) { return func(r *http.Request) { r.Header.Set(k, v) } }
	for name, c := range map[string]struct {
		change func(*http.Request)
		code   int
	}{
		"method":         {func(r *http.Request) { r.Method = "DELETE" }, 405},
		"class":          {header("X-Service-Class", "pull"), 400},
		"unknown class":  {header("X-Service-Class", "none"), 400},
		"plan":           {header("X-Plan", "none"), 400},
		"short key":      {func(r *http.Request) { r.URL.Path = "/push/7f3a" }, 400},
		"no hex":         {func(r *http.Request) { r.URL.Path = "/push/7f3a9c21e0b4d65g" }, 400},
		"no key":         {func(r *http.Request) { r.URL.Path = "/push" }, 400},
		"no id":          {header("X-Correlation-Id", ""), 400},
		"long id":        {header("X-Correlation-Id", strings.Repeat("x", 129)), 400},
		"no time":        {header("X-Time-Left-Ms", ""), 400},
		"negative time":  {header("X-Time-Left-Ms", "-5"), 400},
		"a day's time":   {header("X-Time-Left-Ms", "86400000"), 400},
		"two ids":        {func(r *http.Request) { r.Header.Add("X-Correlation-Id", "b") }, 400},
		"two times":      {func(r *http.Request) { r.Header.Add("X-Time-Left-Ms", "480") }, 400},
		"blank in id":    {header("X-Correlation-Id", "a b"), 400},
		"id beyond text": {header("X-Correlation-Id", "a\x80"), 400},
		"long key":       {header("Idempotency-Key", strings.Repeat("x", 129)), 400},
		"fragment":       {func(r *http.Request) { r.RequestURI = "/push/7f3a9c21e0b4d655#x" }, 400},
		"whole URL":      {func(r *http.Request) { r.RequestURI = "http://h/push/7f3a9c21e0b4d655?x=%2F" }, 400},
		"two slashes": {func(r *http.Request) {
			r.URL.Path, r.RequestURI = "/push//7f3a9c21e0b4d655", "/push//7f3a9c21e0b4d655?x=%2F"
		}, 400},
		"endless time":   {header("X-Time-Left-Ms", "99999999999"), 400},
		"no upload key":  {header("Idempotency-Key", ""), 400},
		"no extras":      {header("X-IO", ""), 400},
		"a missing one":  {header("X-IO", "volume=1,units=2,shard=3"), 400},
		"units":          {header("X-IO", "volume=1,units=NaN,shard=3,hosts=1"), 400},
		"negative units": {header("X-IO", "volume=1,units=-2,shard=3,hosts=1"), 400},
		"shard":          {header("X-IO", "volume=1,units=2,shard=-2,hosts=1"), 400},
		"volume":         {header("X-IO", "volume=x,units=2,shard=3,hosts=1"), 400},
		// net/http drops the length that came beside it before the handler sees the request
		"encoded body":   {func(r *http.Request) { r.TransferEncoding, r.ContentLength = []string{"chunked"}, -1 }, 411},
		"unknown length": {func(r *http.Request) { r.ContentLength = -1 }, 411},
		"large body": {func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", httpmessage.MaxBodyBytes+1)))
		}, 413},
	} {
		f, l, _ := newFront(answering(lifecycle.Response{}))
		w := httptest.NewRecorder()
		f.ServeHTTP(w, request(c.change))
		if w.Code != c.code || len(l.taken) != 0 || strings.Count(w.Body.String(), "\n") != 1 ||
			w.Header().Get("Connection") != "close" {
			t.Errorf("%s: %d %q, %d taken", name, w.Code, w.Body, len(l.taken))
		}
	}
}

// What cannot be framed gets one error on the wire, then the connection's end: nothing behind it is served, and
// nothing of it reaches the module.
func TestBadFramingEndsTheConnection(t *testing.T) {
	const head = "PUT /push/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 1\r\nX-Service-Class: push\r\nX-Plan: basic\r\n" +
		"X-Time-Left-Ms: 480\r\nIdempotency-Key: k\r\nX-IO: volume=1,units=2,shard=3,hosts=2\r\n"
	hidden := strings.Replace(head, "Id: 1", "Id: 2", 1) + "Content-Length: 0\r\n\r\n"
	for name, c := range map[string]struct{ text, status string }{
		"length and encoding": {head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "411"},
		"encoding and length": {head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden, "411"},
		"unknown encoding":    {head + "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n\r\n" + hidden, "501"},
		"two lengths":         {head + "Content-Length: 0\r\nContent-Length: 4\r\n\r\n" + hidden, "400"},
		"negative length":     {head + "Content-Length: -1\r\n\r\n" + hidden, "400"},
		"huge length":         {head + "Content-Length: 62914560\r\n\r\n" + hidden, "413"},
		"beyond any length":   {head + "Content-Length: 99999999999999999999\r\n\r\n" + hidden, "400"},
		"bad class, a body":   {strings.Replace(head, "Class: push", "Class: none", 1) + "Content-Length: 4\r\n\r\n" + hidden, "400"},
		"no request at all":   {"\x00\x01\x02\r\n\r\n" + hidden, "400"},
	} {
		f, l, _ := newFront(answering(lifecycle.Response{}))
		srv := httptest.NewServer(f)
		nc, err := net.Dial("tcp", srv.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, c.text)
		got, _ := io.ReadAll(nc) // a reset may follow the error, as part of what was sent is never read
		if n := strings.Count(string(got), "HTTP/1.1 "); n != 1 || !strings.HasPrefix(string(got), "HTTP/1.1 "+c.status) || len(l.taken) != 0 {
			t.Errorf("%s: %d answers, %d taken: %.40q", name, n, len(l.taken), got)
		}
		nc.Close()
		srv.Close()
	}
}

// A full inbox still answers, and says when to come back.
func TestFullInbox(t *testing.T) {
	f, l, _ := newFront(nil)
	l.full = true
	w := httptest.NewRecorder()
	f.ServeHTTP(w, request(nil))
	if w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("%d %v", w.Code, w.Header())
	}
}

// Where the loop gives no answer the front fails the request by itself: it may have run, so it is no refusal.
func TestGuard(t *testing.T) {
	f, l, now := newFront(func(*lifecycle.Request) {})
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() { f.ServeHTTP(w, request(nil)); close(done) }()
	for {
		select {
		case <-done:
			if w.Code != 504 || l.gone != 1 {
				t.Errorf("%d, gone %d", w.Code, l.gone)
			}
			return
		default:
			now.Advance(1)
			runtime.Gosched()
		}
	}
}

func TestClientGone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	f, l, _ := newFront(func(*lifecycle.Request) { cancel() })
	defer func() {
		if r := recover(); r != http.ErrAbortHandler || l.gone != 1 {
			t.Errorf("gone %d times, ended by %v: the server would write an answer of its own", l.gone, r)
		}
	}()
	f.ServeHTTP(httptest.NewRecorder(), request(nil).WithContext(ctx))
}

func TestReadyAndMetrics(t *testing.T) {
	f, l, _ := newFront(nil)
	get := func(path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		return w
	}
	if c := get("/ready").Code; c != 200 {
		t.Errorf("ready: %d", c)
	}
	if l.unready = true; get("/ready").Code != 503 {
		t.Error("ready without a list")
	}
	l.unready = false
	f.Drain(1e12 + 100)
	if get("/ready").Code != 503 {
		t.Error("ready while stopping")
	}
	f.Metrics.Add("requests_taken", 3)
	if b := get("/metrics").Body.String(); b != "requests_taken 3\n" {
		t.Errorf("metrics %q", b)
	}
}

// While the gateway stops a request gets its answer before the program ends, and at last its connection closes.
func TestDrain(t *testing.T) {
	f, l, now := newFront(answering(lifecycle.Response{Result: []byte("x")}))
	f.Drain(now.NowMs() + 100)
	for _, closes := range []string{"", "close"} {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, request(nil))
		if r := l.taken[len(l.taken)-1]; r.RemainingMs != 100 || w.Code != 200 || w.Header().Get("Connection") != closes {
			t.Errorf("%v left, %d, connection %q", r.RemainingMs, w.Code, w.Header().Get("Connection"))
		}
		f.DisableKeepAlives()
	}
}

// At the end of a stop idle connections go at once, busy ones with their answers.
func TestConnsDrain(t *testing.T) {
	c := &ConnTracker{MaxOpen: 9, Clock: clock.NewManual(0), Metrics: metrics.New()}
	var k [3]*client
	for i, s := range []http.ConnState{http.StateNew, http.StateIdle, http.StateActive} {
		ours, _ := net.Pipe()
		k[i] = &client{Conn: ours, conns: c}
		c.ConnState(k[i], http.StateNew)
		if s != http.StateNew {
			c.ConnState(k[i], s)
		}
	}
	quiet := c.Drain()
	if !k[0].shed || !k[1].shed || k[2].shed {
		t.Errorf("shed %v %v %v", k[0].shed, k[1].shed, k[2].shed)
	}
	select {
	case <-quiet:
		t.Error("quiet with a request open")
	default:
	}
	c.ConnState(k[2], http.StateIdle)
	<-quiet
	if !k[2].shed {
		t.Error("kept after its answer")
	}
}

// FuzzConns checks random steps against a model of each connection: silent, busy, idle or closed. Over the limit
// the ones that have been silent or idle longest are shed; one from which a request has been read never is.
func FuzzConns(f *testing.F) {
	f.Add([]byte{0, 0, 0, 9, 2, 10, 6, 0, 0})
	f.Add([]byte{0, 1, 2, 0, 9, 10, 7, 0, 7, 0, 3, 11, 0, 7})
	f.Add([]byte{0, 0, 0, 0, 1, 9, 17, 25, 0, 0, 2, 10, 7, 7, 7, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		now := clock.NewManual(1e12)
		c := &ConnTracker{MaxOpen: 3, Clock: now, Metrics: metrics.New()}
		type model struct {
			k     *client
			peer  net.Conn
			state http.ConnState
		}
		var all []*model
		defer func() {
			for _, m := range all {
				m.k.Conn.Close()
			}
		}()
		for i, s := range steps[:min(len(steps), 60)] {
			if s%8 == 0 || len(all) == 0 {
				ours, theirs := net.Pipe()
				m := &model{&client{Conn: ours, conns: c}, theirs, http.StateNew}
				all = append(all, m)
				c.ConnState(m.k, http.StateNew)
			} else {
				m := all[int(s>>3)%len(all)]
				switch s % 8 {
				case 1, 5: // the client says something
					if m.state == http.StateNew || m.state == http.StateIdle {
						go m.peer.Write([]byte("x"))
						n, err := m.k.Read(make([]byte, 1))
						if (n == 1) == m.k.shed {
							t.Fatalf("step %d: read %d, %v of one shed: %v", i, n, err, m.k.shed)
						}
						if n == 1 {
							m.state = http.StateActive // as the model has it: the server has yet to notice
						}
					}
				case 2: // its answer is written
					if m.state == http.StateActive {
						c.ConnState(m.k, http.StateActive)
						c.ConnState(m.k, http.StateIdle)
						m.state = http.StateIdle
					}
				case 3: // it ends
					if m.state != http.StateClosed {
						c.ConnState(m.k, http.StateClosed)
						m.state = http.StateClosed
					}
				default:
					now.Advance(400)
				}
			}
			open, sheddable := 0, 0
			for j, m := range all {
				if m.k.shed && m.state == http.StateActive {
					t.Fatalf("step %d: connection %d was shed with a request", i, j)
				}
				if !m.k.shed && m.state != http.StateClosed {
					open++
					if m.state != http.StateActive {
						sheddable++
					}
				}
			}
			if open != c.open || open > c.MaxOpen && sheddable > 0 {
				t.Fatalf("step %d: %d open, counted as %d, %d could be shed", i, open, c.open, sheddable)
			}
		}
	})
}

// A request read from a connection that is shed at that moment is not taken: its client sends it once more.
func TestReadLosesToShedding(t *testing.T) {
	c := &ConnTracker{MaxOpen: 1, Clock: clock.NewManual(0), Metrics: metrics.New()}
	ours, theirs := net.Pipe()
	k := &client{conns: c}
	k.Conn = reading{ours, func() { c.drop(k) }}
	c.ConnState(k, http.StateNew)
	go theirs.Write([]byte("GET"))
	if n, err := k.Read(make([]byte, 3)); n != 0 || err == nil {
		t.Errorf("read %d, %v", n, err)
	}
}

// reading is a connection on which something happens just behind each read.
type reading struct {
	net.Conn
	then func()
}

func (r reading) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.then()
	return n, err
}

// Connections that are kept idle go after the platform's two seconds once half of the room is taken, and not
// before; a silent one goes before those only if it has had time to speak.
func TestIdleAndSilentConnections(t *testing.T) {
	now := clock.NewManual(0)
	c := &ConnTracker{MaxOpen: 4, Clock: now, Metrics: metrics.New()}
	k := make([]*client, 6)
	add := func(i int, s http.ConnState) {
		ours, _ := net.Pipe()
		k[i] = &client{Conn: ours, conns: c}
		c.ConnState(k[i], http.StateNew)
		if s != http.StateNew {
			c.ConnState(k[i], s)
		}
	}
	gone := func(at string, want ...int) {
		t.Helper()
		for i := range k {
			if k[i] != nil && k[i].shed != slices.Contains(want, i) {
				t.Errorf("%s: connection %d shed: %v", at, i, k[i].shed)
			}
		}
	}
	add(0, http.StateIdle)
	add(1, http.StateIdle)
	now.Advance(60_000)
	gone("half taken")
	add(2, http.StateIdle)
	gone("over half", 0)
	add(3, http.StateIdle)
	gone("over half again", 0, 1)
	add(4, http.StateNew)
	now.Advance(1999)
	gone("just before", 0, 1)
	now.Advance(1)
	gone("after two seconds", 0, 1, 2)
	add(5, http.StateNew)
	c.MaxOpen = 1
	c.ConnState(k[5], http.StateActive)
	gone("a silent one first", 0, 1, 2, 3, 4)
}
