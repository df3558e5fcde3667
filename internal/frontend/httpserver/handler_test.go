package httpserver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// fakeLoop records requests and lets the test answer them.
type fakeLoop struct {
	full, unready bool
	submitted     []*lifecycle.Request
	written       []*lifecycle.Request
	canceled      int
	onSubmit      func(*lifecycle.Request)
}

func (l *fakeLoop) Submit(r *lifecycle.Request) bool {
	if l.full {
		return false
	}
	l.submitted = append(l.submitted, r)
	l.onSubmit(r)
	return true
}

func (l *fakeLoop) Cancel(*lifecycle.Request) { l.canceled++ }

func (l *fakeLoop) Ready() bool { return !l.unready }

func (l *fakeLoop) ResponseWritten(r *lifecycle.Request, _ lifecycle.LinkSample) {
	l.written = append(l.written, r)
}

// testHandler is a handler with a fake loop, on a clock that the test moves.
type testHandler struct {
	*Handler
	loop *fakeLoop
	now  *clock.Manual
}

func newTestHandler(onSubmit func(*lifecycle.Request)) *testHandler {
	settings := testbed.Settings(4)
	h := &testHandler{loop: &fakeLoop{onSubmit: onSubmit}, now: clock.NewManual(1e12)}
	h.Handler = &Handler{Loop: h.loop, Clock: h.now, Metrics: metrics.New(), Settings: &settings}
	return h
}

// serve passes a request to the handler and returns the response.
func (h *testHandler) serve(r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// newRequest returns a valid request that change, if not nil, has changed.
func newRequest(change func(*http.Request)) *http.Request {
	r := httptest.NewRequestWithContext(context.Background(), "PUT", "/push/7f3a9c21e0b4d655?x=%2F", strings.NewReader("data"))
	for name, value := range map[string]string{"X-Correlation-Id": "9b1f03aa5c7e2d41", "X-Service-Class": "push",
		"X-Plan": "basic", "X-Time-Left-Ms": "480", "Idempotency-Key": "k1",
		"X-IO": "volume=00000003b4d60021,units=2,shard=3,hosts=2,later=1"} {
		r.Header.Set(name, value)
	}
	if change != nil {
		change(r)
	}
	return r
}

// newGet returns a request for a path that reports the gateway's state.
func newGet(path string) *http.Request {
	return httptest.NewRequestWithContext(context.Background(), "GET", path, nil)
}

// expectAbort checks that a call panics with http.ErrAbortHandler, by which a handler closes the connection without a
// response.
func expectAbort(t *testing.T, call func()) {
	t.Helper()
	defer func() {
		t.Helper()
		if r := recover(); r != http.ErrAbortHandler { //nolint:errorlint // net/http, too, compares the value itself
			t.Errorf("ended by %v: the server would write a response of its own", r)
		}
	}()
	call()
}

// respondWith returns a function that answers each request with a response.
func respondWith(response lifecycle.Response) func(*lifecycle.Request) {
	return func(r *lifecycle.Request) { r.Respond(response) }
}

func TestResponses(t *testing.T) {
	for name, test := range map[string]struct {
		response         lifecycle.Response
		code             int
		body, retryAfter string
	}{
		"served":         {lifecycle.Response{Result: []byte("\x00raw\r\n")}, 200, "\x00raw\r\n", ""},
		"rejected":       {lifecycle.Response{Kind: lifecycle.Rejected}, 503, "busy\n", ""},
		"rejected, when": {lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 90}, 503, "busy\n", "0.090"},
		"failed":         {lifecycle.Response{Kind: lifecycle.Failed}, 502, "failed\n", ""},
		"duplicate id":   {lifecycle.Response{Kind: lifecycle.DuplicateID}, 409, "a request with this X-Correlation-Id is open\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHandler(respondWith(test.response))
			w := h.serve(newRequest(nil))
			if w.Code != test.code || w.Body.String() != test.body || w.Header().Get("Retry-After") != test.retryAfter {
				t.Errorf("%d %q, Retry-After %q", w.Code, w.Body, w.Header().Get("Retry-After"))
			}
			r := h.loop.submitted[0]
			payload := r.Payload.(*httpmessage.Request)
			if r.Key != 0x7f3a9c21e0b4d655 || r.Volume != 0x3b4d60021 || r.Units != 2 || r.Shard != 3 || r.Gateways != 2 ||
				r.RemainingMs != 480-networkMarginMs || payload.RawQuery != "x=%2F" || string(payload.Body) != "data" ||
				payload.Header.Get("Idempotency-Key") != "k1" || payload.Header.Get("X-Correlation-Id") != "9b1f03aa5c7e2d41" {
				t.Errorf("parsed as %+v, %+v", r, payload)
			}
		})
	}
}

// A full inbox is answered, too, and the response says when to retry.
func TestFullInbox(t *testing.T) {
	h := newTestHandler(nil)
	h.loop.full = true
	if w := h.serve(newRequest(nil)); w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("%d %v", w.Code, w.Header())
	}
}

// If the loop gives no response the handler fails the request by itself: it may have been executed, so it is not rejected.
func TestResponseGuard(t *testing.T) {
	h := newTestHandler(func(*lifecycle.Request) {})
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() { h.ServeHTTP(w, newRequest(nil)); close(done) }()
	for {
		select {
		case <-done:
			if w.Code != 504 || h.loop.canceled != 1 {
				t.Errorf("%d, canceled %d times", w.Code, h.loop.canceled)
			}
			return
		default:
			h.now.Advance(1)
			runtime.Gosched()
		}
	}
}

func TestClientDisconnects(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	h := newTestHandler(func(*lifecycle.Request) { cancel() })
	expectAbort(t, func() { h.serve(newRequest(nil).WithContext(ctx)) })
	if h.loop.canceled != 1 {
		t.Errorf("canceled %d times", h.loop.canceled)
	}
}

func TestReadyAndMetrics(t *testing.T) {
	h := newTestHandler(nil)
	get := func(path string) *httptest.ResponseRecorder { return h.serve(newGet(path)) }
	if code := get("/ready").Code; code != 200 {
		t.Errorf("ready: %d", code)
	}
	if h.loop.unready = true; get("/ready").Code != 503 {
		t.Error("ready without a list")
	}
	h.loop.unready = false
	h.BeginShutdown(1e12 + 100)
	if get("/ready").Code != 503 {
		t.Error("ready during a shutdown")
	}
	h.Metrics.Add("requests_taken", 3)
	if body := get("/metrics").Body.String(); body != "requests_taken 3\n" {
		t.Errorf("metrics %q", body)
	}
}
