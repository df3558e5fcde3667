package httpserver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend/responsebuffer"
	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// fakeLoop is an event loop that records requests. onSubmit may respond to them.
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

// testHandler is a handler with a fake event loop and a manual clock.
type testHandler struct {
	*Handler
	loop        *fakeLoop
	manualClock *clock.Manual
}

func newTestHandler(onSubmit func(*lifecycle.Request)) *testHandler {
	settings := testbed.Settings(4)
	h := &testHandler{loop: &fakeLoop{onSubmit: onSubmit}, manualClock: clock.NewManual(1e12)}
	counters := metrics.New()
	h.Handler = &Handler{Loop: h.loop, Clock: h.manualClock, Metrics: counters, Settings: &settings,
		Responses: responsebuffer.NewSet(nil, "gw", counters)}
	return h
}

// serve calls the handler with a request and returns the response.
func (h *testHandler) serve(r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// newRequest returns a valid write request. If change is not nil, it is applied to the request.
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

// newStatusRequest returns a request for a path that reports the gateway's state.
func newStatusRequest(path string) *http.Request {
	return httptest.NewRequestWithContext(context.Background(), "GET", path, nil)
}

// expectAbort checks that the given function panics with http.ErrAbortHandler, which makes the server close the connection
// without a response.
func expectAbort(t *testing.T, call func()) {
	t.Helper()
	defer func() {
		t.Helper()
		if r := recover(); r != http.ErrAbortHandler { //nolint:errorlint // net/http, too, compares the value itself
			t.Errorf("the handler panicked with %v, want http.ErrAbortHandler: the server would write a response", r)
		}
	}()
	call()
}

// respondWith returns an onSubmit function that responds to each request with the given response.
func respondWith(response lifecycle.Response) func(*lifecycle.Request) {
	return func(r *lifecycle.Request) { r.Respond(response) }
}

// Each kind of response must get its status, body and Retry-After, and the event loop must get the values of the request's fields.
func TestResponses(t *testing.T) {
	for name, test := range map[string]struct {
		response         lifecycle.Response
		code             int
		body, retryAfter string
	}{
		"served":                    {lifecycle.Response{Body: []byte("\x00raw\r\n")}, 200, "\x00raw\r\n", ""},
		"rejected":                  {lifecycle.Response{Kind: lifecycle.Rejected}, 503, "busy\n", ""},
		"rejected with retry delay": {lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 90}, 503, "busy\n", "0.090"},
		"failed":                    {lifecycle.Response{Kind: lifecycle.Failed}, 502, "failed\n", ""},
		"duplicate id":              {lifecycle.Response{Kind: lifecycle.DuplicateID}, 409, "a request with this X-Correlation-Id is open\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHandler(respondWith(test.response))
			w := h.serve(newRequest(nil))
			if w.Code != test.code || w.Body.String() != test.body || w.Header().Get("Retry-After") != test.retryAfter {
				t.Errorf("got status %d, body %q, Retry-After %q; want those of the test case", w.Code, w.Body, w.Header().Get("Retry-After"))
			}
			r := h.loop.submitted[0]
			payload := r.Payload.(*httpmessage.Request)
			if r.Key != 0x7f3a9c21e0b4d655 || r.Volume != 0x3b4d60021 || r.Units != 2 || r.Shard != 3 || r.Gateways != 2 ||
				r.RemainingMs != 480-networkMarginMs || payload.RawQuery != "x=%2F" || string(payload.Body) != "data" ||
				payload.Header.Get("Idempotency-Key") != "k1" || payload.Header.Get("X-Correlation-Id") != "9b1f03aa5c7e2d41" {
				t.Errorf("the request was parsed as %+v with payload %+v, want the values of newRequest", r, payload)
			}
		})
	}
}

// A request that arrives while the inbox of the event loop is full must be rejected with a Retry-After header, which tells the client
// when to send the request again.
func TestFullInbox(t *testing.T) {
	h := newTestHandler(nil)
	h.loop.full = true
	if w := h.serve(newRequest(nil)); w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("got status %d and headers %v, want 503 with Retry-After", w.Code, w.Header())
	}
}

// If the event loop does not respond, the response guard must fail the request. The guard must not reject it, because a rejection
// states that the request was not executed.
func TestResponseGuard(t *testing.T) {
	h := newTestHandler(func(*lifecycle.Request) {})
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() { h.ServeHTTP(w, newRequest(nil)); close(done) }()
	for {
		select {
		case <-done:
			if w.Code != 504 || h.loop.canceled != 1 {
				t.Errorf("got status %d, request canceled %d times; want 504, once", w.Code, h.loop.canceled)
			}
			return
		default:
			h.manualClock.Advance(1)
			runtime.Gosched()
		}
	}
}

// If the client disconnects while its request is open, the request must be canceled, and no response must be written.
func TestClientDisconnects(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	h := newTestHandler(func(*lifecycle.Request) { cancel() })
	expectAbort(t, func() { h.serve(newRequest(nil).WithContext(ctx)) })
	if h.loop.canceled != 1 {
		t.Errorf("the request was canceled %d times, want once", h.loop.canceled)
	}
}

// /ready must not return 200 while the event loop is not ready or the gateway is shutting down. /metrics must return all counters.
func TestReadyAndMetrics(t *testing.T) {
	h := newTestHandler(nil)
	get := func(path string) *httptest.ResponseRecorder { return h.serve(newStatusRequest(path)) }
	if code := get("/ready").Code; code != 200 {
		t.Errorf("/ready returned status %d, want 200", code)
	}
	if h.loop.unready = true; get("/ready").Code != 503 {
		t.Error("/ready did not return 503 while the event loop was not ready")
	}
	h.loop.unready = false
	h.BeginShutdown(1e12 + 100)
	if get("/ready").Code != 503 {
		t.Error("/ready did not return 503 during a shutdown")
	}
	h.Metrics.Add("requests_taken", 3)
	if body := get("/metrics").Body.String(); body != "requests_taken 3\n" {
		t.Errorf("/metrics returned %q, want the counter only", body)
	}
}
