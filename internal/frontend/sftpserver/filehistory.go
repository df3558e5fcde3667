package sftpserver

import (
	"container/list"
	"sync"

	"gaugerelay/internal/memorybudget"
)

// SFTP has no identifier for a WRITE. A WRITE is a retransmission of an earlier WRITE if that has the same client, path, offset and
// data, nothing has changed the range in between, and one of these conditions holds:
//
//   - The earlier WRITE was sent on the same handle and failed.
//   - The earlier WRITE was sent on another handle, and the client did not close that handle before it opened the handle of the
//     later WRITE. (A client closes a handle only after it has received all responses, and does not retransmit a WRITE after that.)
//
// A retransmission has the upload key of the earlier WRITE, so that it gets the response to that WRITE, or is executed once with it.
// A WRITE whose range may have been changed in between must be executed again, so it gets a new upload key. It does not matter who
// changed the range: the same client or another one, by a WRITE of other data or by an OPEN that empties the file.
//
// Changes through another gateway are not recorded here. Where several gateways serve a file, a retransmission is only answered if the
// file has its data; see openFile.confirmRetransmission.

// maxRecordedChanges bounds the number of changes that a fileHistory holds for all files together, apart from those that may still
// take effect.
const maxRecordedChanges = 4096

const (
	// maxRecordedBytes bounds the memory of these changes.
	maxRecordedBytes = 4 << 20
	// changeBytes is the memory of a change without its path.
	changeBytes = 512
)

// fileHistory holds the recent changes of all files, whether or not the connection of a handle is still open: a connection may
// appear to be open long after the client has abandoned it. The zero value is an empty history. The methods may be called from any
// goroutine.
type fileHistory struct {
	mu      sync.Mutex
	memory  *memorybudget.Account // account of the changes; nil: they are not counted
	bytes   int                   // bytes of all recorded changes
	order   list.List             // the *change of all recorded changes, in the order of their arrival
	byPath  map[string][]*list.Element
	events  uint64 // number of events so far: arrivals of changes and of their responses
	evicted uint64 // latest event at which a change had ended that was removed because the history was full
}

// retransmission is how a WRITE relates to earlier ones.
type retransmission uint8

const (
	notRetransmission   retransmission = iota // no earlier WRITE is the same
	retriedOnHandle                           // the WRITE repeats a failed one of its handle
	resentOnNewHandle                         // the WRITE repeats one of another handle
	changedSinceEarlier                       // the WRITE is like an earlier one, but its range may have changed in between
)

// retentionPeriods are the times for which a WRITE can be recognized as a retransmission, counted from its first transmission.
type retentionPeriods struct {
	sameHandleMs  float64
	otherHandleMs float64 // 0: a WRITE of another handle is never a retransmission
}

// longestMs returns the time for which changes are held.
func (p retentionPeriods) longestMs() float64 { return max(p.sameHandleMs, p.otherHandleMs) }

// beginWrite adds a WRITE that was received at nowMs. If it is a retransmission, beginWrite gives it the identity of the earlier one.
// earlier is the identity of the WRITE that it retransmits or is like, and unset if there is none.
func (h *fileHistory) beginWrite(write *change, periods retentionPeriods, nowMs float64) (earlier writeIdentity, kind retransmission) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeExpiredLocked(nowMs, periods.longestMs())
	h.events++
	write.firstEvent = h.events
	found, kind := h.findEarlierLocked(write, periods, nowMs)
	switch {
	case found == nil:
	case h.mayHaveChangedSinceLocked(found):
		earlier, kind = found.writeIdentity, changedSinceEarlier
	default:
		earlier = found.writeIdentity
		write.writeIdentity = earlier
	}
	h.addLocked(write, nowMs)
	return earlier, kind
}

// beginNew adds a change that begins at nowMs and is no retransmission: an OPEN, or a WRITE that is executed in any case.
func (h *fileHistory) beginNew(c *change, periods retentionPeriods, nowMs float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeExpiredLocked(nowMs, periods.longestMs())
	h.events++
	c.firstEvent = h.events
	h.addLocked(c, nowMs)
}

// end records the outcome of a change whose response arrived at nowMs.
func (h *fileHistory) end(c *change, outcome changeOutcome, nowMs float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events++
	c.outcome, c.endedEvent, c.endedMs = outcome, h.events, nowMs
	if outcome == changeUncertain {
		c.endedMs = max(nowMs, c.deadlineMs)
	}
}

// cancel removes a change that was rejected, so that it had no effect.
func (h *fileHistory) cancel(c *change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, element := range h.byPath[c.path] {
		if element.Value == c {
			h.removeLocked(element)
			return
		}
	}
}

// fileClosed records that the client closed a handle, which means that it has received all responses. The writes are kept, since
// another transmission may still arrive over an older connection, on a handle that was opened before this one was closed.
func (h *fileHistory) fileClosed(file *openFile, nowMs float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, element := range h.byPath[file.path] {
		if c := element.Value.(*change); c.file == file {
			c.closedMs = nowMs
		}
	}
}

// findEarlierLocked returns the latest WRITE that the given one may retransmit, regardless of changes in between, or nil. The caller
// holds h.mu.
func (h *fileHistory) findEarlierLocked(write *change, periods retentionPeriods, nowMs float64) (*change, retransmission) {
	elements := h.byPath[write.path]
	respondedOnHandle := false // whether a later WRITE of the same handle and data has succeeded
	for i := len(elements) - 1; i >= 0; i-- {
		c := elements[i].Value.(*change)
		if !c.equals(write) || c.clientHost != write.clientHost {
			continue
		}
		ageMs := nowMs - c.firstReceivedMs
		if c.file == write.file {
			respondedOnHandle = respondedOnHandle || c.outcome == changeSucceeded
			if c.outcome == changeUncertain && !respondedOnHandle && ageMs < periods.sameHandleMs {
				return c, retriedOnHandle
			}
			continue
		}
		if (c.closedMs == 0 || write.file.openedMs <= c.closedMs) && ageMs < periods.otherHandleMs {
			return c, resentOnNewHandle
		}
	}
	return nil, notRetransmission
}

// mayHaveChangedSinceLocked reports whether the range of a WRITE may have got other content after the WRITE took effect. Equal WRITEs
// do not count, since they leave the same content. The caller holds h.mu.
func (h *fileHistory) mayHaveChangedSinceLocked(write *change) bool {
	if write.firstEvent <= h.evicted {
		return true // a change that was removed early may have been one of this range
	}
	for _, element := range h.byPath[write.path] {
		c := element.Value.(*change)
		if c.overlaps(write) && !c.equals(write) && c.mayFollow(&write.writeIdentity) {
			return true
		}
	}
	return false
}

// addLocked adds a change that was received at nowMs. It evicts earlier ones if there are then more than maxRecordedChanges, or they take
// more than maxRecordedBytes. The caller holds h.mu.
func (h *fileHistory) addLocked(c *change, nowMs float64) {
	if h.byPath == nil {
		h.byPath = map[string][]*list.Element{}
	}
	h.byPath[c.path] = append(h.byPath[c.path], h.order.PushBack(c))
	h.bytes += c.memoryBytes()
	h.memory.Force(c.memoryBytes())
	for (h.order.Len() > maxRecordedChanges || h.bytes > maxRecordedBytes) && h.evictLocked(nowMs) {
		continue
	}
}

// evictLocked removes the oldest change that can no longer take effect. It returns false if there is none. The caller holds h.mu.
func (h *fileHistory) evictLocked(nowMs float64) bool {
	for element := h.order.Front(); element != nil; element = element.Next() {
		if c := element.Value.(*change); c.endedMs <= nowMs {
			h.evicted = max(h.evicted, c.endedEvent)
			h.removeLocked(element)
			return true
		}
	}
	return false
}

// removeExpiredLocked removes the changes that can no longer take effect, and have not been able to for maxAgeMs. The caller holds
// h.mu.
func (h *fileHistory) removeExpiredLocked(nowMs, maxAgeMs float64) {
	for oldest := h.order.Front(); oldest != nil; oldest = h.order.Front() {
		if nowMs-oldest.Value.(*change).endedMs < maxAgeMs {
			return
		}
		h.removeLocked(oldest)
	}
}

// removeLocked removes a change. The caller holds h.mu.
func (h *fileHistory) removeLocked(element *list.Element) {
	removed := h.order.Remove(element).(*change)
	h.bytes -= removed.memoryBytes()
	h.memory.Release(removed.memoryBytes())
	remaining := h.byPath[removed.path][:0]
	for _, other := range h.byPath[removed.path] {
		if other != element {
			remaining = append(remaining, other)
		}
	}
	h.byPath[removed.path] = remaining
	if len(remaining) == 0 {
		delete(h.byPath, removed.path)
	}
}
