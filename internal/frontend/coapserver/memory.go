package coapserver

import (
	"errors"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/memorybudget"
)

const (
	// connBytes is the memory of a connection without an incomplete frame and without bodies: buffers, stacks and queued messages.
	connBytes = 12 << 10
	// slowFrameTime is how long a frame may take to arrive before the connection may be closed because memory is short.
	slowFrameTime = 250 * time.Millisecond
	// memoryWait is how long a message waits for memory, and memoryPoll the time between two attempts.
	memoryWait = 2500 * time.Millisecond
	memoryPoll = 10 * time.Millisecond
)

var errNoMemory = errors.New("no memory for the message, connect again later")

// Slowest implements memorybudget.Evictor: of the connections with an incomplete frame, it returns the one that makes the least progress.
func (s *Server) Slowest() (slowest memorybudget.Candidate, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		rate, isSlow := c.frameRate(now)
		if isSlow && (!ok || rate < slowest.BytesPerMs) {
			slowest, ok = memorybudget.Candidate{Account: c.account, BytesPerMs: rate, End: c.evict}, true
		}
	}
	return slowest, ok
}

// frameRate returns the rate at which an incomplete frame arrives, in bytes per millisecond. isSlow is false if there is none, or if it
// has been arriving for less than slowFrameTime.
func (c *conn) frameRate(now time.Time) (rate float64, isSlow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.incompleteSince)
	if c.closed || c.incompleteBytes == 0 || age < slowFrameTime {
		return 0, false
	}
	return float64(c.incompleteBytes) / clock.Ms(age), true
}

// recordIncomplete records the bytes of an incomplete frame that are buffered, 0 if there is none, and since when it arrives.
func (c *conn) recordIncomplete(bytes int, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incompleteBytes, c.incompleteSince = bytes, since
}

// evict closes the connection because memory is short.
func (c *conn) evict() (evicted bool) {
	c.server.Metrics.Add(connectionsEvicted, 1)
	go c.closeNow() // in a goroutine, since closing may block
	return true
}

// reserve reserves memory, or waits for it, so that the device is slowed down. It returns false if there is none in time or the connection
// is closed meanwhile.
func (c *conn) reserve(bytes int) bool {
	for waitUntil := time.Now().Add(memoryWait); !c.account.ReserveBulk(bytes); {
		select {
		case <-c.ctx.Done():
			return false
		case <-time.After(memoryPoll):
		}
		if time.Now().After(waitUntil) {
			return false
		}
	}
	return true
}

// setBuffer replaces the buffer by one of the given size, if there is memory for it.
func (c *conn) setBuffer(size int) error {
	if !c.reserve(size - len(c.buf)) {
		c.server.Metrics.Add(connectionsWithoutMemory, 1)
		return errNoMemory
	}
	c.account.Release(len(c.buf) - size)
	buf := make([]byte, size)
	copy(buf, c.buf[:c.buffered])
	c.buf = buf
	return nil
}
