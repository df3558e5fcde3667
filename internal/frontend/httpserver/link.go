package httpserver

import (
	"errors"
	"io"
	"net/http"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
)

const (
	// slowestLinkBytesPerSecond is the rate of the slowest link that is supported.
	slowestLinkBytesPerSecond = 1024
	// minSampleMs is the shortest transfer time of a body, in milliseconds, that yields a sample. A body that arrives at once
	// was buffered, so its transfer time does not describe the link.
	minSampleMs = 1
)

// timedReader measures the transfer time and the gaps of a body while the body is read. Times are in milliseconds.
type timedReader struct {
	reader io.Reader
	clock  clock.Clock

	startMs, lastMs float64 // times of the first call of Read and of the last read that returned bytes
	bytes           int
	maxGapMs        float64 // longest time in which no byte of the body arrived
	spanMs          float64 // time from startMs to lastMs
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

// sample returns the measurement of the link. It is zero if the body arrived in less than minSampleMs.
func (t *timedReader) sample() lifecycle.LinkSample {
	if t.spanMs < minSampleMs {
		return lifecycle.LinkSample{}
	}
	return lifecycle.LinkSample{Bytes: t.bytes, TransferMs: t.spanMs, MaxGapMs: t.maxGapMs}
}

// minTransferTime returns the time that a body of the given size takes on the slowest supported link.
func minTransferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / slowestLinkBytesPerSecond
}

// countingWriter counts the bytes of a response's body and records the last write error.
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

// copyBufferBytes is the size of the buffer through which a response is written, so that the rest of its body can be dropped while memory
// is short.
const copyBufferBytes = 4 << 10

// ReadFrom implements io.ReaderFrom, which io.Copy uses.
func (c *countingWriter) ReadFrom(source io.Reader) (total int64, err error) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := source.Read(buffer)
		if n > 0 {
			written, writeErr := c.Write(buffer[:n])
			total += int64(written)
			if writeErr != nil {
				return total, writeErr
			}
		}
		if errors.Is(readErr, io.EOF) {
			return total, nil
		}
		if readErr != nil {
			return total, readErr
		}
	}
}
