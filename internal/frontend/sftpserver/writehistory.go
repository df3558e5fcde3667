package sftpserver

import (
	"container/list"
	"crypto/sha256"
	"sync"
)

// The protocol has no identifier for a WRITE, so a retransmission is recognized by its location, its data and the fate of the
// first transmission:
//
//   - A WRITE that failed and is sent again unchanged on the same handle is the same upload.
//   - So is a WRITE that the same client has sent on another handle, unless that handle was closed in order, which the client
//     does when it has all responses, before this one was opened.
//
// A WRITE whose range has been overwritten in between must be executed again: it gets a new upload key.

// maxRememberedWrites bounds the writes that a writeHistory holds, of all clients.
const maxRememberedWrites = 4096

// writeRecord describes a WRITE.
type writeRecord struct {
	offset      int64
	digest      [sha256.Size]byte // of the data
	size        int               // of the data, in bytes
	uploadKey   string
	firstSentMs float64 // when it was received for the first time
}

// equals reports whether both write the same data to the same range.
func (r *writeRecord) equals(other *writeRecord) bool {
	return r.offset == other.offset && r.size == other.size && r.digest == other.digest
}

// overlaps reports whether the ranges have a byte in common.
func (r *writeRecord) overlaps(other *writeRecord) bool {
	return r.offset < other.offset+int64(other.size) && other.offset < r.offset+int64(r.size)
}

// writeHistory holds the writes of recent handles. The connections of these may be lost, or seem to be open long after the
// client has given them up. The zero value is empty. Its methods may be called from any goroutine.
type writeHistory struct {
	mu         sync.Mutex
	order      list.List // of *historyEntry, the oldest first
	byLocation map[string][]*list.Element
}

// historyEntry is a WRITE that was received on a handle.
type historyEntry struct {
	writeRecord
	location string
	file     *openFile
	closedMs float64 // when the handle was closed in order, or 0
}

// mayRepeat reports whether a WRITE on the other handle can be a retransmission of the entry.
func (e *historyEntry) mayRepeat(file *openFile) bool {
	return e.file != file && (e.closedMs == 0 || file.openedMs <= e.closedMs)
}

// add adds a WRITE. The oldest one is removed if there are more than maxRememberedWrites.
func (h *writeHistory) add(file *openFile, record writeRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byLocation == nil {
		h.byLocation = map[string][]*list.Element{}
	}
	location := file.location()
	element := h.order.PushBack(&historyEntry{writeRecord: record, location: location, file: file})
	h.byLocation[location] = append(h.byLocation[location], element)
	if h.order.Len() > maxRememberedWrites {
		h.removeLocked(h.order.Front())
	}
}

// removeLocked removes a WRITE. The caller holds h.mu.
func (h *writeHistory) removeLocked(element *list.Element) {
	removed := h.order.Remove(element).(*historyEntry)
	remaining := h.byLocation[removed.location][:0]
	for _, other := range h.byLocation[removed.location] {
		if other != element {
			remaining = append(remaining, other)
		}
	}
	h.byLocation[removed.location] = remaining
	if len(remaining) == 0 {
		delete(h.byLocation, removed.location)
	}
}

// find returns the latest WRITE on another handle of which the record is a retransmission. It removes the writes that are
// maxAgeMs old or older, and those that the record overwrites.
func (h *writeHistory) find(file *openFile, record *writeRecord, maxAgeMs float64) (earlier writeRecord, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeExpiredLocked(record.firstSentMs, maxAgeMs)
	elements := append([]*list.Element(nil), h.byLocation[file.location()]...) // a copy: the loop removes elements
	for _, element := range elements {
		entry := element.Value.(*historyEntry)
		if entry.equals(record) && entry.mayRepeat(file) {
			earlier, ok = entry.writeRecord, true
		} else if entry.overlaps(record) {
			h.removeLocked(element)
		}
	}
	return earlier, ok
}

// removeExpiredLocked removes the writes that are maxAgeMs old or older. The caller holds h.mu.
func (h *writeHistory) removeExpiredLocked(nowMs, maxAgeMs float64) {
	for oldest := h.order.Front(); oldest != nil; oldest = h.order.Front() {
		if nowMs-oldest.Value.(*historyEntry).firstSentMs < maxAgeMs {
			return
		}
		h.removeLocked(oldest)
	}
}

// fileClosed records that a handle was closed in order, which means that its client has all responses. The same WRITE may
// still arrive over an older connection, on a handle that was opened before.
func (h *writeHistory) fileClosed(file *openFile, nowMs float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, element := range h.byLocation[file.location()] {
		if entry := element.Value.(*historyEntry); entry.file == file {
			entry.closedMs = nowMs
		}
	}
}
