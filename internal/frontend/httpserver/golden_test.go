package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/testbed"
)

const (
	goldenWrite = "PUT /push/7f3a9c21e0b4d655?x=%2F HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: id-1\r\nX-Service-Class: push\r\n" +
		"X-Plan: basic\r\nX-Time-Left-Ms: 480\r\nIdempotency-Key: k1\r\nX-IO: volume=1,units=2,shard=3,hosts=2\r\n" +
		"Content-Length: 4\r\n\r\ndata"
	goldenRead = "GET /pull/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: id-1\r\nX-Service-Class: pull\r\n" +
		"X-Plan: basic\r\nX-Time-Left-Ms: 480\r\nX-IO: volume=1,units=2,shard=3,hosts=2\r\n\r\n"
)

var dateHeader = regexp.MustCompile(`(?m)^Date: .*GMT`)

// roundTrip sends the text of a request to a server with the handler and returns all bytes that the server sends, with the values
// of Date headers replaced.
func roundTrip(t *testing.T, h *Handler, request string) []byte {
	t.Helper()
	ln := testbed.Listen(t)
	tracker := &ConnTracker{SheddingThreshold: 9, Clock: h.Clock, Metrics: h.Metrics}
	server := &http.Server{
		Handler:   h,
		ConnState: tracker.ConnState,
		ConnContext: func(ctx context.Context, netConn net.Conn) context.Context {
			return tracker.ConnContext(h.ConnContext(ctx, netConn), netConn)
		},
	}
	testbed.ServeHTTP(t, server, tracker.LimitListener(ln, 9))
	client := testbed.Dial(t, ln.Addr().String())
	// The second request uses HTTP/1.0, so that the server closes the connection after the response to it.
	testbed.Write(t, client, request+"GET /ready HTTP/1.0\r\n\r\n")
	wire, err := io.ReadAll(client)
	if err != nil {
		t.Fatal(err)
	}
	return dateHeader.ReplaceAll(wire, []byte("Date: DATE"))
}

// The bytes of each kind of response must not change, because clients depend on them. The same holds for the other golden tests.
func TestGoldenResponses(t *testing.T) {
	for name, test := range map[string]struct {
		request  string
		response lifecycle.Response
	}{
		"served-write":    {goldenWrite, lifecycle.Response{Body: []byte("\x00raw\r\n\xff")}},
		"served-read":     {goldenRead, lifecycle.Response{Body: []byte("content")}},
		"served-empty":    {goldenRead, lifecycle.Response{Body: []byte{}}},
		"refused":         {goldenWrite, lifecycle.Response{Kind: lifecycle.Rejected}},
		"refused-retry":   {goldenWrite, lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 90}},
		"refused-seconds": {goldenWrite, lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 12345}},
		"failed":          {goldenWrite, lifecycle.Response{Kind: lifecycle.Failed}},
		"duplicate-id":    {goldenWrite, lifecycle.Response{Kind: lifecycle.DuplicateID}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHandler(respondWith(test.response))
			testbed.CompareGolden(t, "answer-"+name, testbed.QuoteLines(roundTrip(t, h.Handler, test.request)))
		})
	}
}

func TestGoldenDeviceResponses(t *testing.T) {
	device := func(request, header string) string {
		return strings.Replace(request, "X-Plan:", "X-Device-Id: dev\r\n"+header+"X-Plan:", 1)
	}
	read := strings.Replace(goldenRead, "X-Correlation-Id: id-1", "X-Correlation-Id: id-1\r\nIdempotency-Key: k1", 1)
	for name, test := range map[string]struct {
		request  string
		response lifecycle.Response
	}{
		"write":         {device(goldenWrite, ""), lifecycle.Response{Body: []byte("done"), ETag: 0xabc}},
		"read":          {device(read, ""), lifecycle.Response{Body: []byte("0123456789"), ETag: 0xabc}},
		"range":         {device(read, "Range: bytes=4-\r\nIf-Range: \"0000000000000abc\"\r\n"), lifecycle.Response{Body: []byte("0123456789"), ETag: 0xabc}},
		"range-outside": {device(read, "Range: bytes=99-\r\n"), lifecycle.Response{Body: []byte("0123456789"), ETag: 0xabc}},
		"refused":       {device(goldenWrite, ""), lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 1500}},
		"failed":        {device(goldenWrite, ""), lifecycle.Response{Kind: lifecycle.Failed}},
		"conflict":      {device(goldenWrite, ""), lifecycle.Response{Kind: lifecycle.Conflict}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newDeviceHandler(respondWith(test.response))
			h.GatewayName = "gateway-1"
			testbed.CompareGolden(t, "device-"+name, testbed.QuoteLines(roundTrip(t, h.Handler, test.request)))
		})
	}
}

func TestGoldenMalformed(t *testing.T) {
	for name, test := range map[string]struct{ old, new string }{
		"method":       {"PUT", "DELETE"},
		"no-time":      {"X-Time-Left-Ms: 480\r\n", ""},
		"no-id":        {"X-Correlation-Id: id-1\r\n", ""},
		"two-ids":      {"X-Plan:", "X-Correlation-Id: id-2\r\nX-Plan:"},
		"class":        {"Class: push", "Class: none"},
		"plan":         {"Plan: basic", "Plan: none"},
		"short-key":    {"7f3a9c21e0b4d655", "7f3a"},
		"no-io":        {"X-IO: volume=1,units=2,shard=3,hosts=2\r\n", ""},
		"no-upload":    {"Idempotency-Key: k1\r\n", ""},
		"no-length":    {"Content-Length: 4\r\n\r\ndata", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		"large-body":   {"Content-Length: 4\r\n\r\ndata", "Content-Length: 62914560\r\n\r\n"},
		"two-lengths":  {"Content-Length: 4\r\n", "Content-Length: 4\r\nContent-Length: 5\r\n"},
		"double-slash": {"/push/", "/push//"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHandler(respondWith(lifecycle.Response{}))
			request := strings.Replace(goldenWrite, test.old, test.new, 1)
			testbed.CompareGolden(t, "malformed-"+name, testbed.QuoteLines(roundTrip(t, h.Handler, request)))
		})
	}
}

func TestGoldenStatusPaths(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		change func(*testHandler)
	}{
		"ready":           {"/ready", func(*testHandler) {}},
		"not-ready":       {"/ready", func(h *testHandler) { h.loop.unready = true }},
		"ready-draining":  {"/ready", func(h *testHandler) { h.BeginShutdown(1e12 + 100) }},
		"closing":         {"/ready", func(h *testHandler) { h.DisableKeepAlives() }},
		"metrics-empty":   {"/metrics", func(*testHandler) {}},
		"metrics-several": {"/metrics", func(h *testHandler) { h.Metrics.Add("b_second", 3); h.Metrics.Add("a_first", 12) }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHandler(nil)
			test.change(h)
			testbed.CompareGolden(t, "operator-"+name, testbed.QuoteLines(roundTrip(t, h.Handler, "GET "+test.path+" HTTP/1.1\r\nHost: h\r\n\r\n")))
		})
	}
}

func TestGoldenFullInbox(t *testing.T) {
	h := newTestHandler(nil)
	h.loop.full = true
	testbed.CompareGolden(t, "answer-full-inbox", testbed.QuoteLines(roundTrip(t, h.Handler, goldenWrite)))
}
