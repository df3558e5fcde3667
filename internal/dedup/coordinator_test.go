package dedup

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed/testsettings"
)

const (
	testStartMs       = 1e6
	testMaxExchanges  = 16
	testDedupWindowMs = 3000 // deduplication window of the classes push and zoned
	testShard         = 2    // shard that transmissions name by default
	testResult        = "done"
	unknownShard      = -1
)

// testCoordinator is a coordinator whose clock, timer and request life cycle are controlled by the test.
type testCoordinator struct {
	t *testing.T
	*Coordinator
	nowMs    float64
	executed []*lifecycle.Request // requests submitted for execution, in order
	timer    func(nowMs float64)  // callback of the timer; nil if no timer is set
	timerMs  float64              // time at which the timer fires
}

// newTestCoordinator returns a coordinator with small limits. change adjusts them unless it is nil.
func newTestCoordinator(t *testing.T, change func(*exchange.Settings)) *testCoordinator {
	t.Helper()
	c := &testCoordinator{t: t, nowMs: testStartMs}
	settings := exchange.Settings{MaxExchanges: testMaxExchanges, MaxDevices: 8, MaxActivePerDevice: 4, MaxWaitingTransmissions: 2,
		MaxStoredBytes: 1 << 20, MaxBodyBytes: 64 << 10, MaxUploadBlocks: 64, RetentionMs: 1000, UploadIdleTimeoutMs: 2000,
		MinExecutionMs: 20, MaxRetryAfterMs: 2000,
		Link: exchange.LinkSettings{MinIdleTimeoutMs: 500, MaxIdleTimeoutMs: 5000, MinBlockSize: 64, MaxBlockSize: 4096,
			MaxBlockTransferMs: 300}}
	if change != nil {
		change(&settings)
	}
	classes := testsettings.Settings(4).Classes
	classes = append(classes,
		scheduler.Class{Name: "zoned", Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.DedupZone,
			DedupWindow: testDedupWindowMs * time.Millisecond},
		scheduler.Class{Name: "once", Idempotency: scheduler.NotIdempotent})
	var err error
	c.Coordinator, err = New(Options{
		Settings: settings, Classes: classes, ExecutionIDPrefix: "gw", Metrics: metrics.New(),
		NowMs:     func() float64 { return c.nowMs },
		AfterFunc: c.setTestTimer,
		Submit:    func(_ float64, request *lifecycle.Request) { c.executed = append(c.executed, request) },
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// setTestTimer is the coordinator's Options.AfterFunc.
func (c *testCoordinator) setTestTimer(ms float64, f func(float64)) (stop func()) {
	c.timer, c.timerMs = f, c.nowMs+ms
	return func() { c.timer = nil }
}

// advance advances the time by ms and fires the timer whenever it is due.
func (c *testCoordinator) advance(ms float64) {
	endMs := c.nowMs + ms
	for c.timer != nil && c.timerMs <= endMs {
		c.nowMs = max(c.nowMs, c.timerMs)
		fire := c.timer
		c.timer = nil
		fire(c.nowMs)
	}
	c.nowMs = endMs
}

// sentTransmission is a transmission and the responses to it.
type sentTransmission struct {
	*lifecycle.Request
	responses []lifecycle.Response
}

// response returns the only response to the transmission.
func (c *sentTransmission) response(t *testing.T) lifecycle.Response {
	t.Helper()
	if len(c.responses) != 1 {
		t.Fatalf("got %d responses, want 1: %+v", len(c.responses), c.responses)
	}
	return c.responses[0]
}

// option changes a transmission before it is sent.
type option func(*lifecycle.Request)

// send submits a transmission of a request.
func (c *testCoordinator) send(class, key, body string, options ...option) *sentTransmission {
	sent := &sentTransmission{}
	sent.Request = &lifecycle.Request{Class: class, Plan: "basic", RemainingMs: 2500, Units: 1, Shard: testShard, Gateways: 1,
		Device: &lifecycle.DeviceRequest{ID: "dev", Key: key, Body: []byte(body), BodyDigest: sha256.Sum256([]byte(body)),
			AgeMs: -1, BuildPayload: func(id string, body []byte) any { return fmt.Sprintf("%s %s", id, body) }},
		Respond: func(response lifecycle.Response) { sent.responses = append(sent.responses, response) }}
	for _, apply := range options {
		apply(sent.Request)
	}
	c.Submit(c.nowMs, sent.Request)
	return sent
}

// cancel reports that the connection of a transmission is closed.
func (c *testCoordinator) cancel(sent *sentTransmission) { c.Cancel(c.nowMs, sent.Request) }

// serve ends an execution with testResult. The first attempt of the execution was sent attemptAgeMs ago.
func (c *testCoordinator) serve(execution *lifecycle.Request, attemptAgeMs float64) {
	execution.Respond(lifecycle.Response{Body: []byte(testResult), MayHaveExecuted: true, FirstAttemptMs: c.nowMs - attemptAgeMs,
		Shard: testShard})
}

// checkEmpty checks that no exchange, content or transmission is stored.
func (c *testCoordinator) checkEmpty() {
	c.t.Helper()
	if stats := c.Stats(); stats.Exchanges != 0 || stats.StoredBytes != 0 || len(c.contents) != 0 || len(c.transmissions) != 0 {
		c.t.Errorf("got stats %+v, %d contents and %d transmissions, want an empty store", stats, len(c.contents), len(c.transmissions))
	}
}

// resent marks a transmission as a retry of a request that was first sent ageMs ago. A negative ageMs means unknown.
func resent(ageMs float64) option {
	return func(request *lifecycle.Request) { request.IsRetry, request.Device.AgeMs = true, ageMs }
}

// shard sets the shard that a transmission names.
func shard(shard int) option { return func(request *lifecycle.Request) { request.Shard = shard } }

// class sets the class of a transmission.
func class(name string) option { return func(request *lifecycle.Request) { request.Class = name } }

// blockAt makes a transmission a block of an upload, but not the last one.
func blockAt(offset int) option {
	return block(lifecycle.Block{Tag: "t", Offset: offset, More: true, Total: -1})
}

// lastBlockAt makes a transmission the last block of an upload.
func lastBlockAt(offset int) option {
	return block(lifecycle.Block{Tag: "t", Offset: offset, Total: -1})
}

// block makes a transmission a block of an upload.
func block(position lifecycle.Block) option {
	return func(request *lifecycle.Request) {
		request.Device.Block = &position
		request.Device.Link.RoundTripMs = 50
	}
}

// hasBody reports whether the request of an execution has a body.
func hasBody(execution *lifecycle.Request, body string) bool {
	return strings.HasSuffix(execution.Payload.(string), " "+body)
}
