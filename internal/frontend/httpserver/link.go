package httpserver

import (
	"io"
	"net/http"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
)

const (
	// slowestLinkBytesPerSecond is the rate of the slowest link that is of use.
	slowestLinkBytesPerSecond = 1024
	// minSampleMs is the shortest time over which a body's arrival measures the link. What arrives at once measures buffers.
	minSampleMs = 1
)

// timedReader measures how a body arrives. Times are in milliseconds.
type timedReader struct {
	reader io.Reader
	clock  clock.Clock

	startMs, lastMs float64 // of the first call of Read and of the last byte
	bytes           int
	maxGapMs        float64
	spanMs          float64 // from startMs to the last byte
}

// Read implements io.Reader.
func (t *timedReader) Read(p []byte) (int, error) {
	if t.startMs == 0 {
		t.startMs = t.clock.NowMs()
		t.lastMs = t.startMs
	}
	n, err := t.reader.Read(p)
	nowMs := t.clock.NowMs()
	if n > 0 {
		t.maxGapMs = max(t.maxGapMs, nowMs-t.lastMs)
		t.lastMs, t.bytes, t.spanMs = nowMs, t.bytes+n, nowMs-t.startMs
	}
	return n, err
}

// sample returns what the body's arrival says about the link. It is zero if that is nothing.
func (t *timedReader) sample() lifecycle.LinkSample {
	if t.spanMs < minSampleMs {
		return lifecycle.LinkSample{}
	}
	return lifecycle.LinkSample{Bytes: t.bytes, TransferMs: t.spanMs, MaxGapMs: t.maxGapMs}
}

// minTransferTime returns the time that a body takes on the slowest link that is of use.
func minTransferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / slowestLinkBytesPerSecond
}

// countingWriter counts the bytes of a response's body and keeps the last error.
type countingWriter struct {
	http.ResponseWriter
	bytes int
	err   error
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.bytes += n
	if err != nil {
		c.err = err
	}
	return n, err
}
