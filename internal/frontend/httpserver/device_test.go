package httpserver

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
)

// deviceRequest returns a valid write request of a device. If change is not nil, it is applied to the request.
func deviceRequest(change func(*http.Request)) *http.Request {
	return newRequest(func(r *http.Request) {
		r.Header.Set("X-Device-Id", "dev")
		if change != nil {
			change(r)
		}
	})
}

// makeRead turns a valid write request into a valid read request.
func makeRead(r *http.Request) {
	r.Method, r.URL.Path, r.RequestURI = "GET", "/pull/7f3a9c21e0b4d655", "/pull/7f3a9c21e0b4d655?x=%2F"
	r.Body, r.ContentLength = http.NoBody, 0
	r.Header.Set("X-Service-Class", "pull")
}

func newDeviceHandler(onSubmit func(*lifecycle.Request)) *testHandler {
	h := newTestHandler(onSubmit)
	h.ServesDevices = true
	return h
}

// Each request of a device must be assigned to its exchange, and the request that servers get must carry the id and the
// idempotency key that the gateway has generated.
func TestDeviceRequests(t *testing.T) {
	h := newDeviceHandler(respondWith(lifecycle.Response{Body: []byte("done"), ETag: 5}))
	otherID := func(r *http.Request) { r.Header.Set("X-Correlation-Id", "other") }
	otherBody := func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader("DATA")), 4 }
	read := func(r *http.Request) { makeRead(r); r.Header.Del("Idempotency-Key") }
	readOtherID := func(r *http.Request) { read(r); otherID(r) }
	for _, change := range []func(*http.Request){nil, otherID, otherBody, read, readOtherID} {
		w := h.serve(deviceRequest(change))
		if w.Code != 200 || w.Body.String() != "done" || w.Header().Get("ETag") != `"0000000000000005"` {
			t.Errorf("got status %d, body %q and headers %v, want the response of the event loop", w.Code, w.Body, w.Header())
		}
	}
	device := func(i int) *lifecycle.DeviceRequest { return h.loop.submitted[i].Device }
	if device(0).Key != device(1).Key || device(0).HeadDigest != device(1).HeadDigest || device(0).BodyDigest != device(1).BodyDigest ||
		device(0).Key != device(2).Key || device(0).BodyDigest == device(2).BodyDigest {
		t.Error("want equal keys and digests for transmissions of a write with different ids, and another BodyDigest for another body")
	}
	if device(3).Key == device(4).Key || device(3).Key == device(0).Key || device(3).HeadDigest == device(0).HeadDigest {
		t.Error("two reads with different ids, or a read and a write, have the same key or digest")
	}
	payload := device(0).BuildPayload("run-1", []byte("body")).(*httpmessage.Request)
	if payload.Header.Get("X-Correlation-Id") != "run-1" || payload.Header.Get("Idempotency-Key") == "k1" || string(payload.Body) != "body" ||
		payload.Header.Get("X-Device-Id") != "" || payload.Path != "/push/7f3a9c21e0b4d655" || payload.RawQuery != "x=%2F" {
		t.Errorf("the payload for servers is %+v, want its own id and key and no X-Device-Id", payload)
	}
	if len(h.loop.written) != 5 || h.loop.canceled != 0 {
		t.Errorf("%d responses reported as written and %d requests canceled, want 5 and 0", len(h.loop.written), h.loop.canceled)
	}
}

// A malformed request of a device must get status 400 and must not be submitted.
func TestMalformedDeviceRequests(t *testing.T) {
	h := newDeviceHandler(respondWith(lifecycle.Response{Body: []byte("done")}))
	for name, change := range map[string]func(*http.Request){
		"no device":       func(r *http.Request) { r.Header.Del("X-Device-Id") },
		"two devices":     func(r *http.Request) { r.Header.Add("X-Device-Id", "dev2") },
		"blank in device": func(r *http.Request) { r.Header.Set("X-Device-Id", "a b") },
		"no key":          func(r *http.Request) { r.Header.Del("Idempotency-Key") },
		"negative age":    func(r *http.Request) { r.Header.Set("X-Age-Ms", "-1") },
		"two ages":        func(r *http.Request) { r.Header["X-Age-Ms"] = []string{"1", "2"} },
		"round trip":      func(r *http.Request) { r.Header.Set("X-Round-Trip-Ms", "fast") },
		"write by GET":    func(r *http.Request) { r.Method, r.Body, r.ContentLength = "GET", http.NoBody, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			w := h.serve(deviceRequest(change))
			if w.Code != 400 || len(h.loop.submitted) != 0 {
				t.Errorf("got status %d and %d submitted requests, want 400 and 0", w.Code, len(h.loop.submitted))
			}
		})
	}
	if w := h.serve(newStatusRequest("/metrics")); w.Code == 200 {
		t.Error("/metrics is served to devices, but only operators may read the counters")
	}
}

// A device must be able to resume an interrupted response with Range, and must get the whole response if If-Range does not match.
func TestRangeRequests(t *testing.T) {
	body := strings.Repeat("0123456789", 500)
	h := newDeviceHandler(respondWith(lifecycle.Response{Body: []byte(body), ETag: 0xabc}))
	for _, test := range []struct {
		byteRange, ifRange string
		code               int
		want               string
	}{
		{"", "", 200, body},
		{"bytes=4000-", `"0000000000000abc"`, 206, body[4000:]},
		{"bytes=4000-", `"0000000000000def"`, 200, body},
		{"bytes=4990-4994", "", 206, body[4990:4995]},
		{"bytes=9999-", "", 416, ""},
	} {
		w := h.serve(deviceRequest(func(r *http.Request) {
			makeRead(r)
			if test.byteRange != "" {
				r.Header.Set("Range", test.byteRange)
			}
			if test.ifRange != "" {
				r.Header.Set("If-Range", test.ifRange)
			}
		}))
		if w.Code != test.code || test.want != "" && w.Body.String() != test.want {
			t.Errorf("test case %+v: got status %d and %d bytes, want the status and the body of the test case", test, w.Code, w.Body.Len())
		}
	}
	if len(h.loop.submitted) != 5 {
		t.Errorf("%d requests were submitted, want 5", len(h.loop.submitted))
	}
}

// The response kinds Conflict and Superseded occur for devices only. If the inbox is full, a repeated write must fail, because an
// earlier transmission may have been executed, while a first transmission must be rejected.
func TestDeviceResponses(t *testing.T) {
	h := newDeviceHandler(respondWith(lifecycle.Response{Kind: lifecycle.Conflict}))
	if w := h.serve(deviceRequest(nil)); w.Code != 409 || w.Header().Get("Connection") == "close" {
		t.Errorf("for a conflict got status %d and headers %v, want 409 without Connection: close", w.Code, w.Header())
	}
	h = newDeviceHandler(respondWith(lifecycle.Response{Kind: lifecycle.Superseded}))
	expectAbort(t, func() { h.serve(deviceRequest(nil)) })
	h = newDeviceHandler(nil)
	h.loop.full = true
	for retry, want := range map[string]int{"": 503, "1": 502} {
		w := h.serve(deviceRequest(func(r *http.Request) { r.Header.Set("X-Repeat", retry) }))
		if w.Code != want {
			t.Errorf("with a full inbox and X-Repeat %q got status %d, want 502 for a repeated write and 503 otherwise", retry, w.Code)
		}
	}
}

// X-Age-Ms is the age of a request when the device sends it, so the gateway must add the longest time that the request can have been
// in transit: the time since the connection was opened, or since the last response on it was written.
func TestAgeIncludesTransitTime(t *testing.T) {
	h := newDeviceHandler(respondWith(lifecycle.Response{Body: []byte("done")}))
	ctx := h.ConnContext(t.Context(), nil)
	for _, want := range []float64{100 + 700, 100 + 300} {
		h.manualClock.Advance(want - 100)
		h.serve(deviceRequest(func(r *http.Request) {
			*r = *r.WithContext(ctx)
			r.Header.Set("X-Repeat", "1")
			r.Header.Set("X-Age-Ms", "100")
		}))
		if got := h.loop.submitted[len(h.loop.submitted)-1].Device.AgeMs; got != want {
			t.Errorf("got age %v ms, want %v ms", got, want)
		}
	}
}
