package httpclient

import (
	"gaugerelay/internal/clock"
	"gaugerelay/internal/socketstate"
)

// startRequest records that bytes of a request are about to be written. It returns errConnStale if the connection can no longer
// carry the request: unread data has arrived, or the last response has not been seen to end. attempt is nil for a probe.
func (c *conn) startRequest(attempt *attemptState) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	begins := attempt == nil || !attempt.started
	if begins && c.response != nil { // the last response was not seen to end, so what comes next may belong to it
		c.client.metrics.Add(connectionsUnfinished, 1)
		c.unusable = true
	}
	// A server may respond before it has received the whole request. The rest may still be written, since that starts no new
	// request.
	continues := !begins && !attempt.requestWritten.Load()
	if begins || c.response == nil && !continues {
		if c.unusable || c.used && c.checkUnreadInput() {
			c.unusable = true
			if attempt != nil {
				attempt.connStale.Store(true)
			}
			return errConnStale
		}
		c.used, c.response = true, &responseFraming{}
	}
	if attempt != nil {
		attempt.started = true
	}
	return nil
}

// waitReuseDelay waits until a duplicate of the last response would have arrived. A server may send a duplicate some milliseconds
// after the response. If the duplicate arrived after the next request was written, it would be taken for the response to that
// request.
func (c *conn) waitReuseDelay() {
	c.mu.Lock()
	waitMs := 0.0
	if c.used && c.response == nil && !c.unusable {
		nowMs := c.client.clock.NowMs()
		waitMs = c.lastResponseMs + c.client.options.ReuseDelayMs*c.client.unsolicited.delayFactor(c.addr, nowMs) - nowMs
	}
	c.mu.Unlock()
	if waitMs > 0 {
		elapsed, _ := clock.After(c.client.clock, waitMs)
		<-elapsed
	}
}

// checkUnreadInput reports whether unread data has arrived, which it records, or the connection has ended.
func (c *conn) checkUnreadInput() bool {
	hasData, err := socketstate.HasUnreadData(c.Conn)
	if hasData {
		c.recordUnsolicited()
	}
	return hasData || err != nil
}

// recordUnsolicited counts data that no request awaited.
func (c *conn) recordUnsolicited() {
	c.client.metrics.Add(serverDataUnsolicited, 1)
	c.client.unsolicited.record(c.addr, c.client.clock.NowMs())
}

// rejectUnsolicited marks the connection as unusable if data has arrived that no request awaits. The caller holds c.mu.
func (c *conn) rejectUnsolicited() {
	if c.response == nil && !c.unusable {
		c.recordUnsolicited()
		c.unusable = true
	}
}
