package dedup

import (
	"fmt"
	"strings"
	"testing"

	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/lifecycle"
)

const testBlockSize = 64

// testBlock returns the content of a block of the upload tests.
func testBlock(i int) string { return strings.Repeat(string(rune('a'+i)), testBlockSize) }

// expect checks the response to a copy and the bytes of the upload that are buffered.
func expect(t *testing.T, what string, sent *sentCopy, kind lifecycle.ResponseKind, bufferedBytes int) {
	t.Helper()
	if response := sent.response(t); response.Kind != kind || response.BufferedBytes != bufferedBytes {
		t.Errorf("%s: %+v, want %v with %d bytes", what, response, kind, bufferedBytes)
	}
}

// Blocks arrive out of order, twice, with gaps, under another tag and over several connections.
func TestUploadOutOfOrder(t *testing.T) {
	c := newTestCoordinator(t, nil)
	send := func(body string, position option) *sentCopy { return c.send("push", "k", body, position) }
	expect(t, "out of order", send(testBlock(1), part(64)), lifecycle.Incomplete, 0)
	expect(t, "the first", send(testBlock(0), part(0)), lifecycle.Continue, 64)
	expect(t, "after a gap", send(testBlock(2), part(128)), lifecycle.Incomplete, 64)
	expect(t, "the first again", send(testBlock(0), part(0)), lifecycle.Continue, 64)
	expect(t, "the second", send(testBlock(1), part(64)), lifecycle.Continue, 128)
	otherTag := block(lifecycle.Block{Tag: "u", Offset: 128, More: true, Total: -1})
	expect(t, "of another upload", send(testBlock(2), otherTag), lifecycle.Incomplete, 0)
	last := send("end", lastPart(128))
	again := send("end", lastPart(128))
	if len(c.runs) != 1 || len(last.responses)+len(again.responses) != 0 {
		t.Fatalf("%d runs, responses %+v and %+v", len(c.runs), last.responses, again.responses)
	}
	if !hasBody(c.runs[0], testBlock(0)+testBlock(1)+"end") {
		t.Errorf("run with %q", c.runs[0].Payload)
	}
	expect(t, "an early block after the last", send(testBlock(1), part(64)), lifecycle.Continue, 131)
	expect(t, "another last block", send("END", lastPart(128)), lifecycle.Conflict, 0)
	c.serve(c.runs[0], 0)
	if last.response(t).Kind != lifecycle.Served || again.response(t).Kind != lifecycle.Served {
		t.Errorf("responses %+v and %+v", last.responses, again.responses)
	}
	c.advance(20_000)
	c.checkEmpty()
}

// The same body in other blocks and in one piece gets the same response; a changed one never runs.
func TestUploadAfterItsResponse(t *testing.T) {
	c := newTestCoordinator(t, nil)
	send := func(body string, options ...option) *sentCopy { return c.send("push", "k", body, options...) }
	expect(t, "the first", send(testBlock(0), part(0)), lifecycle.Continue, 64)
	expect(t, "the second", send(testBlock(1), part(64)), lifecycle.Continue, 128)
	last := send("end", lastPart(128))
	expect(t, "another last block", send("END", lastPart(128)), lifecycle.Conflict, 0)
	c.serve(c.runs[0], 0)
	expect(t, "the last", last, lifecycle.Served, 0)
	body := testBlock(0) + testBlock(1) + "end"
	expect(t, "in larger blocks", send(body[:128], part(0)), lifecycle.Continue, 128)
	expect(t, "and the rest", send(body[128:], lastPart(128)), lifecycle.Served, 0)
	expect(t, "in one piece", send(body), lifecycle.Served, 0)
	expect(t, "changed", send(testBlock(3), part(0)), lifecycle.Continue, 64)
	expect(t, "and its end", send("end", lastPart(64)), lifecycle.Conflict, 0)
	if len(c.runs) != 1 {
		t.Errorf("%d runs", len(c.runs))
	}
	c.advance(20_000)
	c.checkEmpty()
}

// A size that changes between blocks and one that is too large end an upload.
func TestUploadSizes(t *testing.T) {
	c := newTestCoordinator(t, nil)
	sized := func(offset, total int) option {
		return block(lifecycle.Block{Tag: "t", Offset: offset, More: true, Total: total})
	}
	expect(t, "announced", c.send("push", "s", testBlock(0), sized(0, 128)), lifecycle.Continue, 64)
	expect(t, "changed", c.send("push", "s", testBlock(1), sized(64, 256)), lifecycle.Conflict, 0)
	expect(t, "too large", c.send("push", "l", testBlock(0), sized(0, 1<<20)), lifecycle.TooLarge, 0)
	expect(t, "longer than announced", c.send("push", "m", testBlock(0), sized(0, 32)), lifecycle.TooLarge, 0)
	if len(c.runs) != 0 {
		t.Errorf("%d runs", len(c.runs))
	}
	c.advance(20_000)
	c.checkEmpty()
}

// Uploads that are begun and abandoned are dropped or evicted; what may have executed is not.
func TestAbandonedUploadsAreEvicted(t *testing.T) {
	const uploads = 5000
	c := newTestCoordinator(t, func(settings *exchange.Settings) { settings.MaxDevices = 20 })
	write := c.send("push", "write", "body")
	c.cancel(write)
	c.serve(c.runs[0], 0)
	rejected := 0
	for i := range uploads {
		device := func(request *lifecycle.Request) { request.Device.ID = fmt.Sprint("dev", i%8) }
		sent := c.send("push", fmt.Sprint("k", i), "12345678", part(0), device)
		switch response := sent.response(t); response.Kind {
		case lifecycle.Rejected:
			rejected++
			if response.RetryAfterMs < 100 {
				t.Fatalf("retry after %v ms", response.RetryAfterMs)
			}
		case lifecycle.Continue:
		default:
			t.Fatalf("response %+v", response)
		}
		c.advance(float64(i % 3))
		if stats := c.Stats(); stats.Exchanges > testMaxExchanges || len(c.contents) > testMaxExchanges || len(c.copies) > testMaxExchanges {
			t.Fatalf("%+v, %d contents, %d copies", stats, len(c.contents), len(c.copies))
		}
		if i == 1000 { // the window of the write is still open
			response := c.send("push", "write", "body", resent(1000)).response(t)
			if response.Kind != lifecycle.Served || !response.Cached {
				t.Fatalf("the write was forgotten: %+v", response)
			}
		}
	}
	if rejected == 0 || rejected == uploads {
		t.Errorf("%d of %d were rejected", rejected, uploads)
	}
}
