package httpserver

import (
	"container/list"

	"gaugerelay/internal/memorybudget"
)

// shedExcess sheds the new and idle connections that SheddingThreshold and the idle timeout do not allow. While draining, it sheds
// all connections that have no request. The caller holds t.mu.
func (t *ConnTracker) shedExcess() {
	if t.drained != nil {
		t.shedForDrain()
		return
	}
	nowMs := t.Clock.NowMs()
	if t.shedAboveThreshold(nowMs) {
		t.shedIdle(nowMs)
	}
}

// shedForDrain sheds all connections without a request, and closes t.drained if no connection is left. The caller holds t.mu.
func (t *ConnTracker) shedForDrain() {
	for _, conns := range []*list.List{&t.newConns, &t.idleConns} {
		for conns.Len() > 0 {
			t.shed(oldest(conns), closeShutdown)
		}
	}
	select {
	case <-t.drained:
	default:
		if t.open == 0 && t.closingConns.Len() == 0 {
			close(t.drained)
		}
	}
}

// shedAboveThreshold makes room until the number of open connections is no longer above SheddingThreshold. It sheds new connections that
// have sent nothing for firstByteTimeoutMs, then idle connections, and then rejects slow requests. It returns false, and sets a timer, if
// the number is still above SheddingThreshold. New clients then have to wait once the limit of the listener (LimitListener) is reached.
// The caller holds t.mu.
func (t *ConnTracker) shedAboveThreshold(nowMs float64) bool {
	for t.open > t.SheddingThreshold {
		if !t.shedOne(nowMs) {
			t.scheduleNextEnd(nowMs)
			return false
		}
	}
	return true
}

// scheduleNextEnd sets a timer for the time at which the next connection may be ended. The caller holds t.mu.
func (t *ConnTracker) scheduleNextEnd(nowMs float64) {
	if c := oldest(&t.newConns); c != nil {
		t.scheduleShedding(firstByteTimeoutMs - (nowMs - c.listedAtMs))
	}
	if c := oldest(&t.readingConns); c != nil {
		t.scheduleShedding(slowRequestMs - (nowMs - c.listedAtMs))
	}
	if c := oldest(&t.writingConns); c != nil {
		t.scheduleShedding(slowResponseMs - (nowMs - c.listedAtMs))
	}
}

// shedOne closes one connection or rejects one request to make room. It returns false if that is not possible now. The caller holds
// t.mu.
func (t *ConnTracker) shedOne(nowMs float64) bool {
	if c := oldest(&t.newConns); c != nil && nowMs-c.listedAtMs >= firstByteTimeoutMs {
		t.shed(c, closeSilentShed)
		return true
	}
	if c := oldest(&t.idleConns); c != nil {
		t.shed(c, closeIdleShed)
		return true
	}
	if c, _ := t.slowestReading(nowMs); c != nil {
		c.evict(closeSlowRequest)
		return true
	}
	if c := t.slowestWriting(nowMs); c != nil {
		c.abortWrite(closeUnreadResponse)
		return true
	}
	return false
}

// slowestWriting returns the connection whose response has been written for the longest time, at least slowResponseMs, or nil if there is
// none. The caller holds t.mu.
func (t *ConnTracker) slowestWriting(nowMs float64) *clientConn {
	if c := oldest(&t.writingConns); c != nil && nowMs-c.listedAtMs >= slowResponseMs {
		return c
	}
	return nil
}

// slowestReading returns the connection whose request has been read for at least slowRequestMs and makes the least progress, and its
// progress in bytes per millisecond, or nil if there is none. The caller holds t.mu.
func (t *ConnTracker) slowestReading(nowMs float64) (slowest *clientConn, bytesPerMs float64) {
	for element := t.readingConns.Front(); element != nil; element = element.Next() {
		c := element.Value.(*clientConn)
		ageMs := nowMs - c.listedAtMs
		if ageMs < slowRequestMs { // the following ones are younger
			break
		}
		if rate := float64(c.receivedBytes) / ageMs; slowest == nil || rate < bytesPerMs {
			slowest, bytesPerMs = c, rate
		}
	}
	return slowest, bytesPerMs
}

// Slowest implements memorybudget.Evictor. Clients that have been reading a response for slowResponseMs come first.
func (t *ConnTracker) Slowest() (memorybudget.Candidate, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	nowMs := t.Clock.NowMs()
	if c := t.slowestWriting(nowMs); c != nil {
		return memorybudget.Candidate{Account: c.account, End: c.abortForMemory}, true
	}
	c, rate := t.slowestReading(nowMs)
	if c == nil {
		return memorybudget.Candidate{}, false
	}
	return memorybudget.Candidate{Account: c.account, BytesPerMs: rate, End: c.evictForMemory}, true
}

// shedIdle sheds connections whose idle timeout has passed while the number of open connections is above half of
// SheddingThreshold, and sets a timer for the next idle timeout. The caller holds t.mu.
func (t *ConnTracker) shedIdle(nowMs float64) {
	for c := oldest(&t.idleConns); c != nil && t.open > t.SheddingThreshold/2; c = oldest(&t.idleConns) {
		if leftMs := idleTimeoutMs - (nowMs - c.listedAtMs); leftMs > 0 {
			t.scheduleShedding(leftMs)
			return
		}
		t.shed(c, closeIdleShed)
	}
}

// scheduleShedding sets a timer that sheds connections, unless one is set for an earlier time. The caller holds t.mu.
func (t *ConnTracker) scheduleShedding(afterMs float64) {
	atMs := t.Clock.NowMs() + afterMs
	if t.stopShedding != nil {
		if t.sheddingAtMs <= atMs {
			return
		}
		t.stopShedding()
	}
	t.sheddingAtMs, t.stopShedding = atMs, t.Clock.AfterFunc(afterMs, t.shedScheduled)
}

// shedScheduled sheds connections when the timer of scheduleShedding fires.
func (t *ConnTracker) shedScheduled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopShedding = nil
	t.shedExcess()
}

// shed closes the sending side of a connection that has no request, for the given reason. If a request waits on it unread, the
// connection stays open, since closing it would lose the request. The connection itself is closed when its client has closed its
// side, after gracefulclose.TimeoutMs, or when too many connections wait for their clients to close, whichever comes first. The
// caller holds t.mu.
func (t *ConnTracker) shed(c *clientConn, reason closeReason) {
	c.removeFromList()
	if !c.markShed() {
		c.addToList(&t.readingConns)
		c.receivedBytes = 0
		return
	}
	c.noteReason(reason)
	t.open--
	t.Metrics.Add(connectionsShed, 1)
	c.closeWrite()
}

// oldest returns the first connection of a list, or nil if the list is empty.
func oldest(conns *list.List) *clientConn {
	if conns.Len() == 0 {
		return nil
	}
	return conns.Front().Value.(*clientConn)
}
