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
	testDedupWindowMs = 3000 // of the classes push and zoned
	testShard         = 2    // that copies name
	testResult        = "done"
	unknownShard      = -1
)

// testCoordinator is a coordinator whose request life cycle and timer are the test.
type testCoordinator struct {
	t *testing.T
	*Coordinator
	nowMs   float64
	runs    []*lifecycle.Request
	timer   func(nowMs float64) // nil: none is set
	timerMs float64
}

// newTestCoordinator returns a coordinator with small limits; change, which may be nil, changes them.
func newTestCoordinator(t *testing.T, change func(*exchange.Settings)) *testCoordinator {
	t.Helper()
	c := &testCoordinator{t: t, nowMs: testStartMs}
	settings := exchange.Settings{MaxExchanges: testMaxExchanges, MaxDevices: 8, MaxActivePerDevice: 4, MaxWaitingCopies: 2,
		MaxStoredBytes: 1 << 20, MaxBodyBytes: 64 << 10, MaxUploadBlocks: 64, RetentionMs: 1000, UploadIdleTimeoutMs: 2000,
		MinRunMs: 20, MaxRetryAfterMs: 2000,
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
		Settings: settings, Classes: classes, RunIDPrefix: "gw", Metrics: metrics.New(),
		NowMs:     func() float64 { return c.nowMs },
		AfterFunc: c.setTestTimer,
		Submit:    func(_ float64, request *lifecycle.Request) { c.runs = append(c.runs, request) },
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

// advance lets time pass; the timer fires on the way.
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

// sentCopy is a copy and the responses that it got.
type sentCopy struct {
	*lifecycle.Request
	responses []lifecycle.Response
}

// response returns the copy's only response.
func (c *sentCopy) response(t *testing.T) lifecycle.Response {
	t.Helper()
	if len(c.responses) != 1 {
		t.Fatalf("%d responses: %+v", len(c.responses), c.responses)
	}
	return c.responses[0]
}

// option changes a copy before it is sent.
type option func(*lifecycle.Request)

// send submits a copy of a request of a class.
func (c *testCoordinator) send(class, key, body string, options ...option) *sentCopy {
	sent := &sentCopy{}
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

// cancel closes the connection of a copy.
func (c *testCoordinator) cancel(sent *sentCopy) { c.Cancel(c.nowMs, sent.Request) }

// serve ends a run with testResult, after an attempt that was sent some time ago.
func (c *testCoordinator) serve(run *lifecycle.Request, attemptAgeMs float64) {
	run.Respond(lifecycle.Response{Body: []byte(testResult), MayHaveExecuted: true, FirstAttemptMs: c.nowMs - attemptAgeMs,
		Shard: testShard})
}

// checkEmpty checks that nothing is stored any more.
func (c *testCoordinator) checkEmpty() {
	c.t.Helper()
	if stats := c.Stats(); stats.Exchanges != 0 || stats.StoredBytes != 0 || len(c.contents) != 0 || len(c.copies) != 0 {
		c.t.Errorf("left over: %+v, %d contents, %d copies", stats, len(c.contents), len(c.copies))
	}
}

// resent marks a copy as a retry of one that was first sent some time ago; below zero: the device did not say.
func resent(ageMs float64) option {
	return func(request *lifecycle.Request) { request.IsRetry, request.Device.AgeMs = true, ageMs }
}

// shard makes a copy name a shard.
func shard(shard int) option { return func(request *lifecycle.Request) { request.Shard = shard } }

// class makes a copy one of a class.
func class(name string) option { return func(request *lifecycle.Request) { request.Class = name } }

// part makes a copy a block that further blocks follow.
func part(offset int) option {
	return block(lifecycle.Block{Tag: "t", Offset: offset, More: true, Total: -1})
}

// lastPart makes a copy the last block of an upload.
func lastPart(offset int) option { return block(lifecycle.Block{Tag: "t", Offset: offset, Total: -1}) }

// block makes a copy a block of an upload.
func block(position lifecycle.Block) option {
	return func(request *lifecycle.Request) {
		request.Device.Block = &position
		request.Device.Link.RoundTripMs = 50
	}
}

// hasBody reports whether a run carries a body.
func hasBody(run *lifecycle.Request, body string) bool {
	return strings.HasSuffix(run.Payload.(string), " "+body)
}
