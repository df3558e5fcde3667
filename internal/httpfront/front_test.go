package httpfront

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gaugerelay/internal/backend"
	"gaugerelay/internal/clock"
	"gaugerelay/internal/core"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/standin"
)

// fakeLoop takes requests and lets the test answer them.
type fakeLoop struct {
	full, unready bool
	taken         []*core.Request
	gone          int
	take          func(*core.Request)
}

func (l *fakeLoop) Offer(r *core.Request) bool {
	if l.full {
		return false
	}
	l.taken = append(l.taken, r)
	l.take(r)
	return true
}
func (l *fakeLoop) Gone(*core.Request) { l.gone++ }
func (l *fakeLoop) Ready() bool        { return !l.unready }

func newFront(take func(*core.Request)) (*Front, *fakeLoop, *clock.Manual) {
	set := standin.Settings(4)
	l, now := &fakeLoop{take: take}, clock.NewManual(1e12)
	return &Front{Loop: l, Clock: now, Metrics: metrics.New(), Settings: &set, Draining: func() bool { return false }}, l, now
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

func answering(a core.Answer) func(*core.Request) { return func(r *core.Request) { r.Reply(a) } }

func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer     core.Answer
		code       int
		body, come string
	}{
		"served":         {core.Answer{Result: []byte("\x00raw\r\n")}, 200, "\x00raw\r\n", ""},
		"refused":        {core.Answer{Verdict: core.Refused}, 503, "busy\n", ""},
		"refused, later": {core.Answer{Verdict: core.Refused, ComeBackMs: 90}, 503, "busy\n", "0.090"},
		"failed":         {core.Answer{Verdict: core.Failed}, 502, "failed\n", ""},
	} {
		f, l, _ := newFront(answering(c.answer))
		w := httptest.NewRecorder()
		f.ServeHTTP(w, request(nil))
		if w.Code != c.code || w.Body.String() != c.body || w.Header().Get("Retry-After") != c.come {
			t.Errorf("%s: %d %q, come back %q", name, w.Code, w.Body, w.Header().Get("Retry-After"))
		}
		r := l.taken[0]
		load := r.Load.(*backend.Load)
		if r.Key != 0x7f3a9c21e0b4d655 || r.Volume != 0x3b4d60021 || r.Units != 2 || r.Shard != 3 || r.Hosts != 2 ||
			r.LeftMs != 480-marginMs || load.RawQuery != "x=%2F" || string(load.Body) != "data" ||
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
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", backend.MaxBody+1)))
		}, 413},
	} {
		f, l, _ := newFront(answering(core.Answer{}))
		w := httptest.NewRecorder()
		f.ServeHTTP(w, request(c.change))
		if w.Code != c.code || len(l.taken) != 0 || strings.Count(w.Body.String(), "\n") != 1 ||
			w.Header().Get("Connection") != "close" {
			t.Errorf("%s: %d %q, %d taken", name, w.Code, w.Body, len(l.taken))
		}
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
	f, l, now := newFront(func(*core.Request) {})
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
		}
	}
}

func TestClientGone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	f, l, _ := newFront(func(*core.Request) { cancel() })
	f.ServeHTTP(httptest.NewRecorder(), request(nil).WithContext(ctx))
	if l.gone != 1 {
		t.Errorf("gone %d times", l.gone)
	}
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
	l.unready, f.Draining = false, func() bool { return true }
	if get("/ready").Code != 503 {
		t.Error("ready while stopping")
	}
	f.Metrics.Add("requests_taken", 3)
	if b := get("/metrics").Body.String(); b != "requests_taken 3\n" {
		t.Errorf("metrics %q", b)
	}
}

// Over the limit the connection that has been idle longest goes; busy ones stay.
func TestIdleConnectionsAreShed(t *testing.T) {
	c := &Conns{Most: 2}
	var ours, theirs [4]net.Conn
	for i := range ours {
		ours[i], theirs[i] = net.Pipe()
		defer ours[i].Close()
	}
	c.State(ours[0], http.StateNew)
	c.State(ours[0], http.StateActive)
	c.State(ours[1], http.StateNew)
	c.State(ours[1], http.StateIdle)
	c.State(ours[0], http.StateIdle)
	c.State(ours[1], http.StateActive)
	c.State(ours[1], http.StateIdle) // 0 has been idle longer now
	c.State(ours[2], http.StateNew)
	if _, err := theirs[0].Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the longest idle: %v", err)
	}
	c.State(ours[0], http.StateClosed)
	c.State(ours[1], http.StateActive)
	c.State(ours[3], http.StateNew) // none is idle: nothing to shed
	for i, nc := range ours[1:] {
		go theirs[i+1].Read(make([]byte, 1))
		if _, err := nc.Write([]byte("x")); err != nil {
			t.Errorf("connection %d: %v", i+1, err)
		}
	}
	if c.open != 3 {
		t.Errorf("%d open", c.open)
	}
}
