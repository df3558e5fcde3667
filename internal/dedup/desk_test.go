package dedup

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed/testsettings"
)

// bench is a desk whose core is the test.
type bench struct {
	t     *testing.T
	d     *Coordinator
	now   float64
	runs  []*lifecycle.Request
	wake  func(float64)
	wakes float64
}

func newBench(t *testing.T, change func(*exchange.Settings)) *bench {
	t.Helper()
	b := &bench{t: t, now: 1e6}
	set := exchange.Settings{MaxExchanges: 16, MaxDevices: 8, MaxActivePerDevice: 4, MaxWaitingCopies: 2, MaxStoredBytes: 1 << 20,
		MaxBodyBytes: 64 << 10, MaxUploadBlocks: 64, RetentionMs: 1000, UploadIdleTimeoutMs: 2000, MinRunMs: 20, MaxRetryAfterMs: 2000,
		Link: exchange.LinkSettings{MinIdleTimeoutMs: 500, MaxIdleTimeoutMs: 5000, MinBlockSize: 64, MaxBlockSize: 4096, MaxBlockTransferMs: 300}}
	if change != nil {
		change(&set)
	}
	classes := testsettings.Settings(4).Classes
	classes = append(classes, scheduler.Class{Name: "zoned", Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.DedupZone, DedupWindow: 3 * time.Second},
		scheduler.Class{Name: "once", Idempotency: scheduler.NotIdempotent})
	var err error
	b.d, err = New(Options{Settings: set, Classes: classes, RunIDPrefix: "gw", Metrics: metrics.New(),
		NowMs: func() float64 { return b.now },
		AfterFunc: func(ms float64, f func(float64)) func() {
			b.wake, b.wakes = f, b.now+ms
			return func() { b.wake = nil }
		},
		Submit: func(_ float64, r *lifecycle.Request) { b.runs = append(b.runs, r) }})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// pass lets time pass.
func (b *bench) pass(ms float64) {
	end := b.now + ms
	for b.wake != nil && b.wakes <= end {
		b.now = max(b.now, b.wakes)
		f := b.wake
		b.wake = nil
		f(b.now)
	}
	b.now = end
}

// copyOf is a copy, with the answers that it gets.
type copyOf struct {
	*lifecycle.Request
	answers []lifecycle.Response
}

func (c *copyOf) told(t *testing.T) lifecycle.Response {
	t.Helper()
	if len(c.answers) != 1 {
		t.Fatalf("told %d times: %+v", len(c.answers), c.answers)
	}
	return c.answers[0]
}

// send offers a copy of a request of a class; change makes it another.
func (b *bench) send(class, key, body string, change func(*lifecycle.Request)) *copyOf {
	c := &copyOf{}
	c.Request = &lifecycle.Request{Class: class, Plan: "basic", RemainingMs: 2500, Units: 1, Shard: 2, Gateways: 1,
		Device: &lifecycle.DeviceRequest{ID: "dev", Key: key, Body: []byte(body), BodyDigest: sha256.Sum256([]byte(body)), AgeMs: -1,
			BuildPayload: func(id string, body []byte) any { return fmt.Sprintf("%s %s", id, body) }},
		Respond: func(a lifecycle.Response) { c.answers = append(c.answers, a) }}
	if change != nil {
		change(c.Request)
	}
	b.d.Submit(b.now, c.Request)
	return c
}

func repeated(age float64) func(*lifecycle.Request) {
	return func(r *lifecycle.Request) { r.IsRetry, r.Device.AgeMs = true, age }
}

func part(offset int, more bool) func(*lifecycle.Request) {
	return func(r *lifecycle.Request) {
		r.Device.Block = &lifecycle.Block{Tag: "t", Offset: offset, More: more, Total: -1}
		r.Device.Link.RoundTripMs = 50
	}
}

// A resend while the first copy is held or out joins it; just after the answer it gets the same; after it is forgotten
// it is another request. A changed one never runs.
func TestResends(t *testing.T) {
	b := newBench(t, nil)
	first := b.send("push", "k", "body", nil)
	second := b.send("push", "k", "body", nil)
	other := b.send("push", "k", "changed", nil)
	if len(b.runs) != 1 || other.told(t).Kind != lifecycle.Conflict {
		t.Fatalf("%d runs, the changed one was told %+v", len(b.runs), other.answers)
	}
	if load := b.runs[0].Payload.(string); load[len(load)-5:] != " body" || !b.runs[0].IsFirstAttempt || b.runs[0].RemainingMs >= 2500 {
		t.Errorf("run as %+v", b.runs[0])
	}
	b.d.Cancel(b.now, first.Request) // its connection is lost
	b.pass(100)
	b.runs[0].Respond(lifecycle.Response{Result: []byte("done"), MayHaveExecuted: true, FirstAttemptMs: b.now - 90, Shard: 2})
	late := b.send("push", "k", "body", repeated(100))
	if a := late.told(t); string(a.Result.([]byte)) != "done" || !a.Cached || a.ETag == 0 || second.told(t).ETag != a.ETag {
		t.Errorf("a late copy was told %+v", a)
	}
	if len(first.answers) != 0 || len(b.runs) != 1 {
		t.Errorf("%d runs; the one that left was told %+v", len(b.runs), first.answers)
	}
	b.pass(6000) // its window and its keeping time are over
	if s := b.d.Stats(); s.Exchanges != 0 || s.StoredBytes != 0 || len(b.d.held) != 0 || len(b.d.copies) != 0 {
		t.Errorf("left over: %+v, %d held, %d copies", s, len(b.d.held), len(b.d.copies))
	}
	if b.send("push", "k", "body", nil); len(b.runs) != 2 {
		t.Error("a forgotten one does not run as a new one")
	}
}

// In doubt: nobody heard of the failure. A copy runs again inside the window and in the cell where the first ran, and
// fails otherwise; what has been told stays told.
func TestInDoubt(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		ran   bool
		wait  float64
		heard bool
		shard int // where the second run must go; -2: there must be none
	}{
		"inside":              {"push", true, 500, false, 3},
		"outside":             {"push", true, 3100, false, -2},
		"heard":               {"push", true, 500, true, -2},
		"never ran":           {"push", false, 500, false, -1},
		"a zone's":            {"zoned", true, 500, false, -2},
		"once":                {"once", true, 500, false, -2},
		"once, and never ran": {"once", false, 500, false, -1},
		"a read":              {"pull", true, 500, false, -1},
	} {
		b := newBench(t, nil)
		anywhere := func(r *lifecycle.Request) { r.Shard = -1 }
		first := b.send(c.class, "k", "body", anywhere)
		if !c.heard {
			b.d.Cancel(b.now, first.Request)
		}
		shard := -1
		if c.ran {
			shard = 3
		}
		b.pass(20)
		b.runs[0].Respond(lifecycle.Response{Kind: lifecycle.Failed, MayHaveExecuted: c.ran, FirstAttemptMs: b.now - 10, Shard: shard})
		b.pass(c.wait)
		second := b.send(c.class, "k", "body", func(r *lifecycle.Request) { repeated(c.wait)(r); anywhere(r) })
		if c.shard == -2 {
			if len(b.runs) != 1 || second.told(t).Kind != lifecycle.Failed {
				t.Errorf("%s: %d runs, told %+v", name, len(b.runs), second.answers)
			}
			continue
		}
		if len(b.runs) != 2 || b.runs[1].Shard != c.shard || b.runs[1].ClientID == b.runs[0].ClientID {
			t.Fatalf("%s: %d runs, told %+v", name, len(b.runs), second.answers)
		}
		if over := b.now + b.runs[1].RemainingMs; c.ran && c.class == "push" && over > 1e6+10+3000 {
			t.Errorf("%s: it may go out up to %v", name, over-1e6)
		}
		b.runs[1].Respond(lifecycle.Response{Kind: lifecycle.Rejected}) // of the second run; the first may have run
		if v := second.told(t).Kind; (v == lifecycle.Failed) != c.ran {
			t.Errorf("%s: told %d", name, v)
		}
	}
}

// A gateway that has started anew knows nothing of what a marked repeat did.
func TestAfterARestart(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*lifecycle.Request)
		runs   bool
	}{
		"inside its window": {repeated(1000), true},
		"outside":           {repeated(2990), false},
		"of no known age":   {repeated(-1), false},
		"in no known cell":  {func(r *lifecycle.Request) { repeated(1000)(r); r.Shard = -1 }, false},
		"a first copy":      {func(r *lifecycle.Request) { r.Shard = -1 }, true},
		"a read":            {func(r *lifecycle.Request) { repeated(-1)(r); r.Class = "pull" }, true},
		"of a zone's class": {func(r *lifecycle.Request) { repeated(100)(r); r.Class = "zoned" }, false},
	} {
		b := newBench(t, nil)
		k := b.send("push", "k", "body", c.change)
		if (len(b.runs) == 1) != c.runs || !c.runs && k.told(t).Kind != lifecycle.Failed {
			t.Errorf("%s: %d runs, told %+v", name, len(b.runs), k.answers)
			continue
		}
		if !c.runs { // a first copy that was only slow must not run behind that
			if late := b.send("push", "k", "body", func(r *lifecycle.Request) { r.Class, r.Shard = k.Class, k.Shard }); len(b.runs) != 0 || late.told(t).Kind != lifecycle.Failed {
				t.Errorf("%s: a late first copy: %d runs, told %+v", name, len(b.runs), late.answers)
			}
		} else if k.IsRetry && k.Class == "push" {
			b.runs[0].Respond(lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 50})
			if k.told(t).Kind != lifecycle.Failed {
				t.Errorf("%s: what may have run elsewhere was told %+v", name, k.answers)
			}
		}
	}
}

// Blocks come out of order, twice, with gaps, with another size, under a tag that is used again, over two connections.
func TestUploads(t *testing.T) {
	b := newBench(t, nil)
	block := func(i int) string { return string(bytes.Repeat([]byte{byte('a' + i)}, 64)) }
	want := func(what string, c *copyOf, v lifecycle.ResponseKind, have int) {
		t.Helper()
		if a := c.told(t); a.Kind != v || a.BufferedBytes != have {
			t.Errorf("%s: told %+v, want %d with %d bytes", what, a, v, have)
		}
	}
	want("out of order", b.send("push", "k", block(1), part(64, true)), lifecycle.Incomplete, 0)
	want("the first", b.send("push", "k", block(0), part(0, true)), lifecycle.Continue, 64)
	want("a gap", b.send("push", "k", block(2), part(128, true)), lifecycle.Incomplete, 64)
	want("the first twice", b.send("push", "k", block(0), part(0, true)), lifecycle.Continue, 64)
	want("the second, on another connection", b.send("push", "k", block(1), part(64, true)), lifecycle.Continue, 128)
	want("of another upload", b.send("push", "k", block(2), func(r *lifecycle.Request) { part(128, true)(r); r.Device.Block.Tag = "u" }), lifecycle.Incomplete, 0)
	last := b.send("push", "k", "end", part(128, false))
	again := b.send("push", "k", "end", part(128, false))
	if len(b.runs) != 1 || len(last.answers)+len(again.answers) != 0 {
		t.Fatalf("%d runs, told %+v and %+v", len(b.runs), last.answers, again.answers)
	}
	if load := b.runs[0].Payload.(string); load[len(load)-131:] != block(0)+block(1)+"end" {
		t.Errorf("run with %q", load)
	}
	want("an early block behind the last", b.send("push", "k", block(1), part(64, true)), lifecycle.Continue, 131)
	want("another last", b.send("push", "k", "END", part(128, false)), lifecycle.Conflict, 0)
	b.runs[0].Respond(lifecycle.Response{Result: []byte("done"), MayHaveExecuted: true, FirstAttemptMs: b.now, Shard: 2})
	if last.told(t).Kind != lifecycle.Served || again.told(t).Kind != lifecycle.Served {
		t.Errorf("told %+v and %+v", last.answers, again.answers)
	}
	// The whole body once more, in other blocks and in one piece: the same content, so the same answer.
	all := block(0) + block(1) + "end"
	want("in other blocks", b.send("push", "k", all[:128], part(0, true)), lifecycle.Continue, 128)
	want("and the rest", b.send("push", "k", all[128:], part(128, false)), lifecycle.Served, 0)
	want("in one piece", b.send("push", "k", all, nil), lifecycle.Served, 0)
	// A changed body under the same key and tag is never run.
	want("changed", b.send("push", "k", block(3), part(0, true)), lifecycle.Continue, 64)
	want("and its end", b.send("push", "k", "end", part(64, false)), lifecycle.Conflict, 0)
	if len(b.runs) != 1 {
		t.Errorf("%d runs", len(b.runs))
	}
	// A size that changes on the way, and one that is too large, end an upload.
	sized := func(offset, total int, more bool) func(*lifecycle.Request) {
		return func(r *lifecycle.Request) { part(offset, more)(r); r.Device.Block.Total = total }
	}
	want("sized", b.send("push", "s", block(0), sized(0, 128, true)), lifecycle.Continue, 64)
	want("resized", b.send("push", "s", block(1), sized(64, 256, true)), lifecycle.Conflict, 0)
	want("too large", b.send("push", "l", block(0), sized(0, 1<<20, true)), lifecycle.TooLarge, 0)
	want("longer than told", b.send("push", "m", block(0), sized(0, 32, true)), lifecycle.TooLarge, 0)
	b.pass(20_000)
	if s := b.d.Stats(); s.Exchanges != 0 || s.StoredBytes != 0 || len(b.d.held) != 0 {
		t.Errorf("left over: %+v", s)
	}
}

// Uploads that are begun and left are dropped, or make room; what may have run never does.
func TestThousandsOfUploadsBegunAndLeft(t *testing.T) {
	b := newBench(t, func(s *exchange.Settings) { s.MaxDevices = 20 })
	kept := b.send("push", "precious", "body", nil)
	b.d.Cancel(b.now, kept.Request)
	b.runs[0].Respond(lifecycle.Response{Result: []byte("done"), MayHaveExecuted: true, FirstAttemptMs: b.now, Shard: 2})
	busy := 0
	for i := range 5000 {
		c := b.send("push", fmt.Sprint("k", i), "12345678", func(r *lifecycle.Request) {
			part(0, true)(r)
			r.Device.ID = fmt.Sprint("dev", i%8)
		})
		switch a := c.told(t); a.Kind {
		case lifecycle.Rejected:
			busy++
			if a.RetryAfterMs < 100 {
				t.Fatalf("come back in %v ms", a.RetryAfterMs)
			}
		case lifecycle.Continue:
		default:
			t.Fatalf("told %+v", a)
		}
		b.pass(float64(i % 3))
		if s := b.d.Stats(); s.Exchanges > 16 || len(b.d.held) > 16 || len(b.d.copies) > 16 {
			t.Fatalf("%+v, %d held, %d copies", s, len(b.d.held), len(b.d.copies))
		}
		if i == 1000 { // its window is still open
			if a := b.send("push", "precious", "body", repeated(1000)).told(t); a.Kind != lifecycle.Served || !a.Cached {
				t.Fatalf("the write was forgotten: %+v", a)
			}
		}
	}
	if busy == 0 || busy == 5000 {
		t.Errorf("%d of 5000 were turned away", busy)
	}
}

// A drain begins nothing new, and answers what is known to devices that are between connections.
func TestDrain(t *testing.T) {
	b := newBench(t, nil)
	first := b.send("push", "k", "body", nil)
	b.send("push", "u", "part", part(0, true))
	b.d.Cancel(b.now, first.Request)
	b.d.Drain(b.now)
	if a := b.send("push", "new", "body", nil).told(t); a.Kind != lifecycle.Rejected || a.RetryAfterMs == 0 {
		t.Errorf("a new one was told %+v", a)
	}
	if a := b.send("push", "old", "body", repeated(100)).told(t); a.Kind != lifecycle.Failed {
		t.Errorf("a repeat that is not known here was told %+v", a)
	}
	joined := b.send("push", "k", "body", repeated(10))
	b.send("push", "u", "rest", part(4, false))
	if len(b.runs) != 2 {
		t.Fatalf("%d runs: an upload that had begun must end", len(b.runs))
	}
	b.runs[0].Respond(lifecycle.Response{Result: []byte("done"), MayHaveExecuted: true, FirstAttemptMs: b.now, Shard: 2})
	if joined.told(t).Kind != lifecycle.Served {
		t.Errorf("told %+v", joined.answers)
	}
}
