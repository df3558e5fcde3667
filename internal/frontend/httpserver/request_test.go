package httpserver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/testbed"
)

// A malformed request must get an error response that closes the connection, and must not be submitted.
func TestMalformedRequests(t *testing.T) {
	header := func(k, v string) func(*http.Request) { return func(r *http.Request) { r.Header.Set(k, v) } }
	for name, test := range map[string]struct {
		change func(*http.Request)
		code   int
	}{
		"method":              {func(r *http.Request) { r.Method = "DELETE" }, 405},
		"class":               {header("X-Service-Class", "pull"), 400},
		"unknown class":       {header("X-Service-Class", "none"), 400},
		"plan":                {header("X-Plan", "none"), 400},
		"short key":           {func(r *http.Request) { r.URL.Path = "/push/7f3a" }, 400},
		"key not hexadecimal": {func(r *http.Request) { r.URL.Path = "/push/7f3a9c21e0b4d65g" }, 400},
		"no key":              {func(r *http.Request) { r.URL.Path = "/push" }, 400},
		"no id":               {header("X-Correlation-Id", ""), 400},
		"long id":             {header("X-Correlation-Id", strings.Repeat("x", 129)), 400},
		"no time":             {header("X-Time-Left-Ms", ""), 400},
		"negative time":       {header("X-Time-Left-Ms", "-5"), 400},
		"time of a day":       {header("X-Time-Left-Ms", "86400000"), 400},
		"two ids":             {func(r *http.Request) { r.Header.Add("X-Correlation-Id", "b") }, 400},
		"two times":           {func(r *http.Request) { r.Header.Add("X-Time-Left-Ms", "480") }, 400},
		"blank in id":         {header("X-Correlation-Id", "a b"), 400},
		"id not ASCII":        {header("X-Correlation-Id", "a\x80"), 400},
		"long key":            {header("Idempotency-Key", strings.Repeat("x", 129)), 400},
		"fragment":            {func(r *http.Request) { r.RequestURI = "/push/7f3a9c21e0b4d655#x" }, 400},
		"absolute URL":        {func(r *http.Request) { r.RequestURI = "http://h/push/7f3a9c21e0b4d655?x=%2F" }, 400},
		"two slashes": {func(r *http.Request) {
			r.URL.Path, r.RequestURI = "/push//7f3a9c21e0b4d655", "/push//7f3a9c21e0b4d655?x=%2F"
		}, 400},
		"time out of range":  {header("X-Time-Left-Ms", "99999999999"), 400},
		"no idempotency key": {header("Idempotency-Key", ""), 400},
		"no X-IO":            {header("X-IO", ""), 400},
		"incomplete X-IO":    {header("X-IO", "volume=1,units=2,shard=3"), 400},
		"units":              {header("X-IO", "volume=1,units=NaN,shard=3,hosts=1"), 400},
		"negative units":     {header("X-IO", "volume=1,units=-2,shard=3,hosts=1"), 400},
		"shard":              {header("X-IO", "volume=1,units=2,shard=-2,hosts=1"), 400},
		"volume":             {header("X-IO", "volume=x,units=2,shard=3,hosts=1"), 400},
		// A request that has both a Content-Length and a Transfer-Encoding looks the same to the handler as a request with a
		// Transfer-Encoding only, because net/http drops the Content-Length.
		"encoded body":   {func(r *http.Request) { r.TransferEncoding, r.ContentLength = []string{"chunked"}, -1 }, 411},
		"unknown length": {func(r *http.Request) { r.ContentLength = -1 }, 411},
		"large body": {func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", httpmessage.MaxBodyBytes+1)))
		}, 413},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHandler(respondWith(lifecycle.Response{}))
			w := h.serve(newRequest(test.change))
			if w.Code != test.code || len(h.loop.submitted) != 0 || strings.Count(w.Body.String(), "\n") != 1 ||
				w.Header().Get("Connection") != "close" {
				t.Errorf("got status %d, body %q and %d submitted requests; want the status of the test case, one line and 0", w.Code, w.Body,
					len(h.loop.submitted))
			}
		})
	}
}

// A request with invalid framing must get one error response, after which the server closes the connection. Neither the request
// nor the text after it must be submitted: otherwise request smuggling would be possible.
func TestInvalidFramingClosesConnection(t *testing.T) {
	const head = "PUT /push/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 1\r\nX-Service-Class: push\r\nX-Plan: basic\r\n" +
		"X-Time-Left-Ms: 480\r\nIdempotency-Key: k\r\nX-IO: volume=1,units=2,shard=3,hosts=2\r\n"
	hidden := strings.Replace(head, "Id: 1", "Id: 2", 1) + "Content-Length: 0\r\n\r\n"
	for name, test := range map[string]struct{ text, status string }{
		"length and encoding": {head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "411"},
		"encoding and length": {head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden, "411"},
		"unknown encoding":    {head + "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n\r\n" + hidden, "501"},
		"two lengths":         {head + "Content-Length: 0\r\nContent-Length: 4\r\n\r\n" + hidden, "400"},
		"negative length":     {head + "Content-Length: -1\r\n\r\n" + hidden, "400"},
		"huge length":         {head + "Content-Length: 62914560\r\n\r\n" + hidden, "413"},
		"length out of range": {head + "Content-Length: 99999999999999999999\r\n\r\n" + hidden, "400"},
		"unknown class, body": {strings.Replace(head, "Class: push", "Class: none", 1) + "Content-Length: 4\r\n\r\n" + hidden, "400"},
		"not HTTP at all":     {"\x00\x01\x02\r\n\r\n" + hidden, "400"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHandler(respondWith(lifecycle.Response{}))
			server := httptest.NewServer(h)
			defer server.Close()
			client := testbed.Dial(t, server.Listener.Addr().String())
			testbed.Write(t, client, test.text)
			got, _ := io.ReadAll(client) // a reset may follow the response, because the server does not read all bytes
			if n := strings.Count(string(got), "HTTP/1.1 "); n != 1 || !strings.HasPrefix(string(got), "HTTP/1.1 "+test.status) ||
				len(h.loop.submitted) != 0 {
				t.Errorf("got %d responses and %d submitted requests, want 1 and 0; received %.40q", n, len(h.loop.submitted), got)
			}
		})
	}
}
