package dedup

import (
	"fmt"
	"strings"
	"testing"

	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/lifecycle"
)

// testBlockSize is the size of the blocks in the upload tests, in bytes.
const testBlockSize = 64

// testBlock returns the content of the block with the given index. Blocks with different indexes differ.
func testBlock(index int) string { return strings.Repeat(string(rune('a'+index)), testBlockSize) }

// expectResponse checks the kind of the response to a transmission and the number of buffered bytes that it reports.
func expectResponse(t *testing.T, what string, sent *sentTransmission, kind lifecycle.ResponseKind, bufferedBytes int) {
	t.Helper()
	if response := sent.response(t); response.Kind != kind || response.BufferedBytes != bufferedBytes {
		t.Errorf("%s: got response %+v, want kind %v with %d buffered bytes", what, response, kind, bufferedBytes)
	}
}

// Blocks may arrive out of order, repeatedly, with gaps, with another tag and over several connections. A block that does not
// continue the upload must not be stored, a repeated block must not be appended again, and the complete body must be executed
// once.
func TestUploadOutOfOrder(t *testing.T) {
	c := newTestCoordinator(t, nil)
	send := func(body string, position option) *sentTransmission { return c.send("push", "k", body, position) }
	expectResponse(t, "second block without a first", send(testBlock(1), blockAt(64)), lifecycle.Incomplete, 0)
	expectResponse(t, "first block", send(testBlock(0), blockAt(0)), lifecycle.Continue, 64)
	expectResponse(t, "block after a gap", send(testBlock(2), blockAt(128)), lifecycle.Incomplete, 64)
	expectResponse(t, "repeated first block", send(testBlock(0), blockAt(0)), lifecycle.Continue, 64)
	expectResponse(t, "second block", send(testBlock(1), blockAt(64)), lifecycle.Continue, 128)
	otherTag := block(lifecycle.Block{Tag: "u", Offset: 128, More: true, Total: -1})
	expectResponse(t, "block with another tag", send(testBlock(2), otherTag), lifecycle.Incomplete, 0)
	last := send("end", lastBlockAt(128))
	again := send("end", lastBlockAt(128))
	if len(c.executed) != 1 || len(last.responses)+len(again.responses) != 0 {
		t.Fatalf("got %d executions, want 1; responses before its end %+v and %+v, want none",
			len(c.executed), last.responses, again.responses)
	}
	if !hasBody(c.executed[0], testBlock(0)+testBlock(1)+"end") {
		t.Errorf("the execution has the payload %q, want the assembled body", c.executed[0].Payload)
	}
	expectResponse(t, "repeated second block after the last", send(testBlock(1), blockAt(64)), lifecycle.Continue, 131)
	expectResponse(t, "last block with another content", send("END", lastBlockAt(128)), lifecycle.Conflict, 0)
	c.serve(c.executed[0], 0)
	if last.response(t).Kind != lifecycle.Served || again.response(t).Kind != lifecycle.Served {
		t.Errorf("the last block and its repeat got %+v and %+v, want the response of the execution", last.responses, again.responses)
	}
	c.advance(20_000)
	c.checkEmpty()
}

// The same body, sent again in blocks of another size or in one piece, gets the same response. A changed body is never
// executed.
func TestUploadAfterItsResponse(t *testing.T) {
	c := newTestCoordinator(t, nil)
	send := func(body string, options ...option) *sentTransmission { return c.send("push", "k", body, options...) }
	expectResponse(t, "first block", send(testBlock(0), blockAt(0)), lifecycle.Continue, 64)
	expectResponse(t, "second block", send(testBlock(1), blockAt(64)), lifecycle.Continue, 128)
	last := send("end", lastBlockAt(128))
	expectResponse(t, "last block with another content", send("END", lastBlockAt(128)), lifecycle.Conflict, 0)
	c.serve(c.executed[0], 0)
	expectResponse(t, "last block", last, lifecycle.Served, 0)
	body := testBlock(0) + testBlock(1) + "end"
	expectResponse(t, "first larger block", send(body[:128], blockAt(0)), lifecycle.Continue, 128)
	expectResponse(t, "last block after a larger one", send(body[128:], lastBlockAt(128)), lifecycle.Served, 0)
	expectResponse(t, "body in one piece", send(body), lifecycle.Served, 0)
	expectResponse(t, "changed", send(testBlock(3), blockAt(0)), lifecycle.Continue, 64)
	expectResponse(t, "last block of a changed body", send("end", lastBlockAt(64)), lifecycle.Conflict, 0)
	if len(c.executed) != 1 {
		t.Errorf("got %d executions, want 1", len(c.executed))
	}
	c.advance(20_000)
	c.checkEmpty()
}

// TestUploadBegunAgain guards against a first block that is acknowledged and not stored, because it is taken for the repeat of the first
// block of an earlier upload with another tag.
func TestUploadBegunAgain(t *testing.T) {
	c := newTestCoordinator(t, nil)
	send := func(tag, body string, offset int, more bool) *sentTransmission {
		return c.send("push", "k", body, block(lifecycle.Block{Tag: tag, Offset: offset, More: more, Total: -1}))
	}
	expectResponse(t, "first block", send("t", testBlock(0), 0, true), lifecycle.Continue, 64)
	expectResponse(t, "second block", send("t", testBlock(1), 64, true), lifecycle.Continue, 128)
	expectResponse(t, "same first block with another tag", send("u", testBlock(0), 0, true), lifecycle.Continue, 64)
	expectResponse(t, "its repeat", send("u", testBlock(0), 0, true), lifecycle.Continue, 64)
	expectResponse(t, "second block with another tag", send("u", testBlock(2), 64, true), lifecycle.Continue, 128)
	last := send("u", "end", 128, false)
	if len(c.executed) != 1 || !hasBody(c.executed[0], testBlock(0)+testBlock(2)+"end") {
		t.Fatalf("got %d executions, want one with the body of the second upload", len(c.executed))
	}
	c.serve(c.executed[0], 0)
	expectResponse(t, "last block", last, lifecycle.Served, 0)
	expectResponse(t, "first block of a third upload", send("v", testBlock(0), 0, true), lifecycle.Continue, 64)
	expectResponse(t, "second block of a third upload", send("v", testBlock(2), 64, true), lifecycle.Continue, 128)
	expectResponse(t, "last block of a third upload", send("v", "end", 128, false), lifecycle.Served, 0)
	if len(c.executed) != 1 {
		t.Errorf("got %d executions, want 1", len(c.executed))
	}
	c.advance(20_000)
	c.checkEmpty()
}

// TestUploadOfOneBlockBegunAgain guards against a body of one block that is not recognized when it comes again with another tag.
func TestUploadOfOneBlockBegunAgain(t *testing.T) {
	c := newTestCoordinator(t, nil)
	send := func(tag string) *sentTransmission {
		return c.send("push", "k", "end", block(lifecycle.Block{Tag: tag, Offset: 0, More: false, Total: -1}))
	}
	first := send("t")
	again := send("u")
	if len(c.executed) != 1 {
		t.Fatalf("got %d executions, want 1", len(c.executed))
	}
	c.serve(c.executed[0], 0)
	expectResponse(t, "first", first, lifecycle.Served, 0)
	expectResponse(t, "again with another tag", again, lifecycle.Served, 0)
	c.advance(20_000)
	c.checkEmpty()
}

// An upload must be ended with an error if its announced size changes between blocks, if the announced size exceeds the limit, or
// if the blocks exceed the announced size.
func TestUploadSizes(t *testing.T) {
	c := newTestCoordinator(t, nil)
	sized := func(offset, total int) option {
		return block(lifecycle.Block{Tag: "t", Offset: offset, More: true, Total: total})
	}
	expectResponse(t, "announced", c.send("push", "s", testBlock(0), sized(0, 128)), lifecycle.Continue, 64)
	expectResponse(t, "changed", c.send("push", "s", testBlock(1), sized(64, 256)), lifecycle.Conflict, 0)
	expectResponse(t, "announced size too large", c.send("push", "l", testBlock(0), sized(0, 1<<20)), lifecycle.TooLarge, 0)
	expectResponse(t, "block longer than announced", c.send("push", "m", testBlock(0), sized(0, 32)), lifecycle.TooLarge, 0)
	if len(c.executed) != 0 {
		t.Errorf("got %d executions, want none", len(c.executed))
	}
	c.advance(20_000)
	c.checkEmpty()
}

// Uploads whose devices send no further blocks must not keep the store full: they are dropped after UploadIdleTimeoutMs, or
// evicted earlier if another exchange needs the room. A write that may have been executed must not be evicted while its
// deduplication window lasts.
func TestAbandonedUploadsAreEvicted(t *testing.T) {
	const uploads = 5000
	c := newTestCoordinator(t, func(settings *exchange.Settings) { settings.MaxDevices = 20 })
	write := c.send("push", "write", "body")
	c.cancel(write)
	c.serve(c.executed[0], 0)
	rejected := 0
	for i := range uploads {
		device := func(request *lifecycle.Request) { request.Device.ID = fmt.Sprint("dev", i%8) }
		sent := c.send("push", fmt.Sprint("k", i), "12345678", blockAt(0), device)
		switch response := sent.response(t); response.Kind {
		case lifecycle.Rejected:
			rejected++
			if response.RetryAfterMs < 100 {
				t.Fatalf("got a retry delay of %v ms, want at least 100", response.RetryAfterMs)
			}
		case lifecycle.Continue:
		default:
			t.Fatalf("got response %+v, want Rejected or Continue", response)
		}
		c.advance(float64(i % 3))
		if stats := c.Stats(); stats.Exchanges > testMaxExchanges || len(c.contents) > testMaxExchanges ||
			len(c.transmissions) > testMaxExchanges {
			t.Fatalf("stats %+v, %d contents and %d transmissions exceed the limits", stats, len(c.contents), len(c.transmissions))
		}
		if i == 1000 { // about 1000 ms after the write, so within the deduplication window of testDedupWindowMs
			response := c.send("push", "write", "body", resent(1000)).response(t)
			if response.Kind != lifecycle.Served || !response.Cached {
				t.Fatalf("the write got %+v, want the cached response", response)
			}
		}
	}
	if rejected == 0 || rejected == uploads {
		t.Errorf("%d of %d uploads were rejected, want some but not all", rejected, uploads)
	}
}
