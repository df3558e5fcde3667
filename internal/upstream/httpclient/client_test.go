package httpclient

import (
	"net/http"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
)

// resultRecorder is a ResultHandler that sends the results to channels.
type resultRecorder struct {
	attempts chan lifecycle.AttemptResult
	probes   chan scheduler.Status
}

func (r *resultRecorder) Complete(_ lifecycle.Attempt, result lifecycle.AttemptResult) {
	r.attempts <- result
}

func (r *resultRecorder) ProbeEnded(_ *lifecycle.Server, _ float64, status scheduler.Status, _ []float64) {
	r.probes <- status
}

// testClient is a client with a manual clock.
type testClient struct {
	*Client
	results  *resultRecorder
	counters *metrics.Registry
	now      *clock.Manual
}

func newTestClient() *testClient {
	c := &testClient{
		results:  &resultRecorder{make(chan lifecycle.AttemptResult, 1), make(chan scheduler.Status, 1)},
		counters: metrics.New(),
		now:      clock.NewManual(1e12),
	}
	options := Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxConns: 10, LoadReportFields: []string{"queue"}}
	c.Client = New(options, c.now, c.counters, c.results)
	return c
}

// attemptAt returns an attempt at a server address with a deadline in one second.
func (c *testClient) attemptAt(addr string, request *lifecycle.Request) lifecycle.Attempt {
	return lifecycle.Attempt{Request: request, Server: &lifecycle.Server{Addr: addr}, DeadlineMs: c.now.NowMs() + 1000}
}

func getRequest() *lifecycle.Request {
	return newTestRequest("GET", nil)
}

func putRequest() *lifecycle.Request {
	return newTestRequest("PUT", []byte("data"))
}

func newTestRequest(method string, body []byte) *lifecycle.Request {
	return &lifecycle.Request{Payload: &httpmessage.Request{Method: method, Path: "/pull/1", RawQuery: "a=%20b",
		Header: http.Header{"Idempotency-Key": {"k"}}, Body: body}}
}

// FuzzAttempts compares attempts on reused connections with a model while the server behaves at random. The model requires that
// the server receives one request for each attempt, even where http.Transport would resend it, and that the attempt ends as
// expectedStatus says.
func FuzzAttempts(f *testing.F) {
	add := func(script ...behavior) {
		bytes := make([]byte, len(script))
		for i, b := range script {
			bytes[i] = byte(b)
		}
		f.Add(bytes)
	}
	add(respond, respond, closeWithoutResponse, respond, closeWithoutResponse)
	add(respond, asPUT+closeWithoutResponse, respond, asPUT+respond, closeWithoutResponse, garbageAndClose)
	add(internalError, rejectUnprocessed, rejectWithoutProof, halfResponse, tooLargeBody, respond, invalidHeaders, asPUT+halfResponse)
	add(duplicateResponse, respond, asPUT+duplicateResponse, garbageAfterResponse, respond, asPUT+garbageAfterResponse, respond,
		interimResponses, respond)
	add(garbage, respond, hugeLength, asPUT+garbage, conflictingLengths, longHead, asPUT+respond, interimResponses,
		asPUT+duplicateResponse, closeWithoutResponse)
	add(noLength, respond, noLengthReset, asPUT+noLength, respond, asPUT+noLengthReset, respond)
	add(respondAndClose, respond, garbageAndClose, respond, asPUT+garbageAndClose, asPUT+rejectUnprocessed, closeWithoutResponse)
	f.Fuzz(func(t *testing.T, script []byte) {
		server, c := newFakeServer(t), newTestClient()
		defer c.Close()
		listed := &lifecycle.Server{Addr: server.addr}
		for i, step := range script[:min(len(script), 12)] {
			b, request, wantBody := behavior(step&127)%behaviorCount, getRequest(), "GET/pull/1?a=%20b"
			if behavior(step) >= asPUT {
				request, wantBody = putRequest(), "PUT/pull/1?a=%20bdata"
			}
			server.behaviors <- b
			c.Start(lifecycle.Attempt{Request: request, Server: listed, DeadlineMs: c.now.NowMs() + 1000})
			result := <-c.results.attempts
			if result.Status != expectedStatus[b] || int(server.requests.Load()) != i+1 {
				t.Fatalf("attempt %d, behavior %d: got status %d, want %d; the server received %d requests, want one for each attempt",
					i, b, result.Status, expectedStatus[b], server.requests.Load())
			}
			checkResult(t, b, result, wantBody)
		}
	})
}

// checkResult checks the parts of an attempt's result other than its status.
func checkResult(t *testing.T, b behavior, result lifecycle.AttemptResult, wantBody string) {
	t.Helper()
	if result.Status == scheduler.StatusOK && string(result.Body.([]byte)) != wantBody {
		t.Fatalf("got body %q, want %q", result.Body, wantBody)
	}
	if b == respond && (result.VolumeUsage != 0.85 || !result.HasVolumeUsage || result.ForeignUnits != 3 || result.LoadReport[0] != 7) {
		t.Fatalf("result does not match the headers of the response: %+v", result)
	}
	if b == invalidHeaders && (result.HasVolumeUsage || result.ForeignUnits != 0 || result.LoadReport != nil) {
		t.Fatalf("invalid headers were not ignored: %+v", result)
	}
}
