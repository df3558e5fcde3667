package httpserver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
)

func deviceRequest(change func(*http.Request)) *http.Request {
	return request(func(r *http.Request) {
		r.Header.Set("X-Device-Id", "dev")
		if change != nil {
			change(r)
		}
	})
}

func newDeviceFront(take func(*lifecycle.Request)) (*Handler, *fakeLoop) {
	f, l, _ := newFront(take)
	f.ServesDevices = true
	return f, l
}

// A request from a device is a copy of an exchange; what nodes are sent carries names of the gateway's own.
func TestDeviceRequests(t *testing.T) {
	f, l := newDeviceFront(answering(lifecycle.Response{Result: []byte("done"), ETag: 5}))
	read := func(r *http.Request) {
		r.Method, r.URL.Path, r.RequestURI = "GET", "/pull/7f3a9c21e0b4d655", "/pull/7f3a9c21e0b4d655?x=%2F"
		r.Body, r.ContentLength = http.NoBody, 0
		r.Header.Set("X-Service-Class", "pull")
		r.Header.Del("Idempotency-Key")
	}
	for _, change := range []func(*http.Request){nil, func(r *http.Request) { r.Header.Set("X-Correlation-Id", "other") },
		func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader("DATA")), 4 }, read,
		func(r *http.Request) { read(r); r.Header.Set("X-Correlation-Id", "other") }} {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, deviceRequest(change))
		if w.Code != 200 || w.Body.String() != "done" || w.Header().Get("ETag") != `"0000000000000005"` {
			t.Errorf("%d %q %v", w.Code, w.Body, w.Header())
		}
	}
	d := func(i int) *lifecycle.DeviceRequest { return l.taken[i].Device }
	if d(0).Key != d(1).Key || d(0).HeadDigest != d(1).HeadDigest || d(0).BodyDigest != d(1).BodyDigest || d(0).Key != d(2).Key || d(0).BodyDigest == d(2).BodyDigest {
		t.Error("copies of a write are told by its key and its content, whatever their ids")
	}
	if d(3).Key == d(4).Key || d(3).Key == d(0).Key || d(3).HeadDigest == d(0).HeadDigest {
		t.Error("reads are told by their ids")
	}
	load := d(0).BuildPayload("run-1", []byte("body")).(*httpmessage.Request)
	if load.Header.Get("X-Correlation-Id") != "run-1" || load.Header.Get("Idempotency-Key") == "k1" || string(load.Body) != "body" ||
		load.Header.Get("X-Device-Id") != "" || load.Path != "/push/7f3a9c21e0b4d655" || load.RawQuery != "x=%2F" {
		t.Errorf("sent on as %+v", load)
	}
	if len(l.written) != 5 || l.gone != 0 {
		t.Errorf("%d written, %d gone", len(l.written), l.gone)
	}
}

func TestMalformedDeviceRequests(t *testing.T) {
	f, l := newDeviceFront(answering(lifecycle.Response{Result: []byte("done")}))
	for name, change := range map[string]func(*http.Request){
		"no device":      func(r *http.Request) { r.Header.Del("X-Device-Id") },
		"two devices":    func(r *http.Request) { r.Header.Add("X-Device-Id", "dev2") },
		"a device's CR":  func(r *http.Request) { r.Header.Set("X-Device-Id", "a b") },
		"no key":         func(r *http.Request) { r.Header.Del("Idempotency-Key") },
		"an age":         func(r *http.Request) { r.Header.Set("X-Age-Ms", "-1") },
		"two ages":       func(r *http.Request) { r.Header["X-Age-Ms"] = []string{"1", "2"} },
		"a round trip":   func(r *http.Request) { r.Header.Set("X-Round-Trip-Ms", "fast") },
		"a write by GET": func(r *http.Request) { r.Method, r.Body, r.ContentLength = "GET", http.NoBody, 0 },
	} {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, deviceRequest(change))
		if w.Code != 400 || len(l.taken) != 0 {
			t.Errorf("%s: %d, %d taken", name, w.Code, len(l.taken))
		}
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	if w.Code == 200 {
		t.Error("devices read the operators' counters")
	}
}

// An answer that broke off continues where it stopped, if it is still the same one.
func TestAnswersContinue(t *testing.T) {
	body := strings.Repeat("0123456789", 500)
	f, l := newDeviceFront(answering(lifecycle.Response{Result: []byte(body), ETag: 0xabc}))
	for _, c := range []struct {
		span, match string
		code        int
		want        string
	}{
		{"", "", 200, body},
		{"bytes=4000-", `"0000000000000abc"`, 206, body[4000:]},
		{"bytes=4000-", `"0000000000000def"`, 200, body},
		{"bytes=4990-4994", "", 206, body[4990:4995]},
		{"bytes=9999-", "", 416, ""},
	} {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, deviceRequest(func(r *http.Request) {
			r.Method, r.URL.Path, r.RequestURI = "GET", "/pull/7f3a9c21e0b4d655", "/pull/7f3a9c21e0b4d655?x=%2F"
			r.Body, r.ContentLength = http.NoBody, 0
			r.Header.Set("X-Service-Class", "pull")
			if c.span != "" {
				r.Header.Set("Range", c.span)
			}
			if c.match != "" {
				r.Header.Set("If-Range", c.match)
			}
		}))
		if w.Code != c.code || c.want != "" && w.Body.String() != c.want {
			t.Errorf("%+v: %d, %d bytes", c, w.Code, w.Body.Len())
		}
	}
	if len(l.taken) != 5 {
		t.Errorf("%d taken", len(l.taken))
	}
}

// The answers that only devices get, and what a full inbox means to a copy that may have run.
func TestDeviceAnswers(t *testing.T) {
	f, _ := newDeviceFront(answering(lifecycle.Response{Kind: lifecycle.Conflict}))
	w := httptest.NewRecorder()
	f.ServeHTTP(w, deviceRequest(nil))
	if w.Code != 409 || w.Header().Get("Connection") == "close" {
		t.Errorf("%d %v", w.Code, w.Header())
	}
	f, _ = newDeviceFront(answering(lifecycle.Response{Kind: lifecycle.Superseded}))
	func() {
		defer func() {
			if r := recover(); r != http.ErrAbortHandler {
				t.Errorf("a superseded connection ends by %v", r)
			}
		}()
		f.ServeHTTP(httptest.NewRecorder(), deviceRequest(nil))
	}()
	f, l := newDeviceFront(nil)
	l.full = true
	for repeat, want := range map[string]int{"": 503, "1": 502} {
		w = httptest.NewRecorder()
		f.ServeHTTP(w, deviceRequest(func(r *http.Request) { r.Header.Set("X-Repeat", repeat) }))
		if w.Code != want {
			t.Errorf("a full inbox, repeat %q: %d", repeat, w.Code)
		}
	}
}

// A told age grows by all the time in which the copy may have been on its way: since its connection began, or since
// the answer before.
func TestAgesOnTheWay(t *testing.T) {
	f, l := newDeviceFront(answering(lifecycle.Response{Result: []byte("done")}))
	clock := f.Clock.(interface{ Advance(float64) })
	ctx := f.ConnContext(t.Context(), nil)
	for _, want := range []float64{100 + 700, 100 + 300} {
		clock.Advance(want - 100)
		f.ServeHTTP(httptest.NewRecorder(), deviceRequest(func(r *http.Request) {
			*r = *r.WithContext(ctx)
			r.Header.Set("X-Repeat", "1")
			r.Header.Set("X-Age-Ms", "100")
		}))
		if got := l.taken[len(l.taken)-1].Device.AgeMs; got != want {
			t.Errorf("age %v, want %v", got, want)
		}
	}
}
