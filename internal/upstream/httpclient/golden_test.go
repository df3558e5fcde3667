package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/testbed"
)

// recordRequests starts a server that answers each request with status 200. The returned channel receives the exact bytes of each
// request.
func recordRequests(t *testing.T) (addr string, requests <-chan []byte) {
	t.Helper()
	recorded := make(chan []byte, 16)
	addr = testbed.Serve(t, func(c net.Conn) {
		var wire bytes.Buffer
		in := bufio.NewReader(io.TeeReader(c, &wire))
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			recorded <- bytes.Clone(wire.Bytes())
			wire.Reset()
			testbed.TryWrite(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	})
	return addr, recorded
}

// The bytes of an attempt's request on the wire must not change, because servers depend on them.
func TestGoldenAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		payload httpmessage.Request
		leftMs  float64
	}{
		"read": {httpmessage.Request{Method: "GET", Path: "/pull/7f3a9c21e0b4d655",
			Header: http.Header{"X-Correlation-Id": {"id-1"}}}, 1000},
		"read-query": {httpmessage.Request{Method: "GET", Path: "/pull/7f3a9c21e0b4d655", RawQuery: "x=%2F&y=a+b",
			Header: http.Header{}}, 1000},
		"read-escaped-path": {httpmessage.Request{Method: "GET", Path: "/pull/a/b", RawPath: "/pull/a%2Fb",
			Header: http.Header{}}, 1000},
		"read-short-deadline": {httpmessage.Request{Method: "GET", Path: "/pull/7f3a9c21e0b4d655",
			Header: http.Header{"X-Correlation-Id": {"id-2"}}}, 7.9},
		"write": {httpmessage.Request{Method: "PUT", Path: "/push/7f3a9c21e0b4d655", Body: []byte("\x00data\r\n\xff"),
			Header: http.Header{"X-Correlation-Id": {"id-3"}, "Content-Type": {"text/plain"}}}, 480},
		"write-key": {httpmessage.Request{Method: "PUT", Path: "/push/7f3a9c21e0b4d655", Body: []byte("data"),
			Header: http.Header{"X-Correlation-Id": {"id-4"}, "Idempotency-Key": {"k1"}}}, 480},
		"write-retry-mark": {httpmessage.Request{Method: "PUT", Path: "/push/7f3a9c21e0b4d655", Body: []byte("data"),
			Header: http.Header{"X-Correlation-Id": {"id-5"}, "Idempotency-Key": {"k1"}, "X-Repeat": {"1"}}}, 480},
		"write-empty": {httpmessage.Request{Method: "PUT", Path: "/push/7f3a9c21e0b4d655",
			Header: http.Header{"X-Correlation-Id": {"id-6"}, "Idempotency-Key": {"k2"}}}, 480},
	} {
		t.Run(name, func(t *testing.T) {
			addr, requests := recordRequests(t)
			c := newTestClient()
			defer c.Close()
			c.Start(lifecycle.Attempt{Request: &lifecycle.Request{Payload: &test.payload},
				Server: &lifecycle.Server{Addr: addr}, DeadlineMs: c.now.NowMs() + test.leftMs})
			<-c.results.attempts
			testbed.CompareGolden(t, "attempt-"+name, testbed.QuoteLines(<-requests))
		})
	}
}

// The second attempt on a connection is written in the same form as the first.
func TestGoldenSecondAttemptOnConnection(t *testing.T) {
	addr, requests := recordRequests(t)
	c := newTestClient()
	defer c.Close()
	var wire []byte
	for n := range 2 {
		c.Start(lifecycle.Attempt{Request: putRequest(), Number: n + 1, Server: &lifecycle.Server{Addr: addr},
			DeadlineMs: c.now.NowMs() + 900})
		<-c.results.attempts
		wire = append(wire, <-requests...)
		c.now.Advance(20)
	}
	testbed.CompareGolden(t, "attempt-second", testbed.QuoteLines(wire))
}

func TestGoldenProbes(t *testing.T) {
	for name, fields := range map[string][]string{"health": nil, "load": {"queue"}} {
		t.Run(name, func(t *testing.T) {
			addr, requests := recordRequests(t)
			c := newTestClient()
			defer c.Close()
			c.options.LoadReportFields = fields
			c.Probe(&lifecycle.Server{Addr: addr})
			<-c.results.probes
			wire := bytes.ReplaceAll(<-requests, []byte(addr), []byte("ADDRESS"))
			testbed.CompareGolden(t, "probe-"+name, testbed.QuoteLines(wire))
		})
	}
}
