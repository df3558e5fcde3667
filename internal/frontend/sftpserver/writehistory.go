package sftpserver

import (
	"container/list"
	"crypto/sha256"
	"sync"
)

// SFTP has no identifier for a WRITE. A WRITE is recognized as a retransmission if an earlier WRITE has the same client, path,
// offset and data, and one of these conditions holds:
//
//   - The earlier WRITE was sent on the same handle and failed.
//   - The earlier WRITE was sent on another handle, and the client did not close that handle before it opened the handle of the
//     later WRITE. (A client closes a handle only after it has received all responses, and does not retransmit a WRITE after that.)
//
// A retransmission has the upload key of the earlier WRITE. A WRITE whose range has been overwritten in between must be executed
// again, so it gets a new upload key.

// maxRecordedWrites bounds the number of writes that a writeHistory holds for all clients together.
const maxRecordedWrites = 4096

// writeRecord describes a WRITE.
type writeRecord struct {
	offset          int64
	digest          [sha256.Size]byte // SHA-256 of the data
	size            int               // length of the data in bytes
	uploadKey       string
	firstReceivedMs float64 // time at which the first transmission was received
}

// equals reports whether both records write the same data to the same range.
func (r *writeRecord) equals(other *writeRecord) bool {
	return r.offset == other.offset && r.size == other.size && r.digest == other.digest
}

// overlaps reports whether the ranges of both records have a byte in common.
func (r *writeRecord) overlaps(other *writeRecord) bool {
	return r.offset < other.offset+int64(other.size) && other.offset < r.offset+int64(r.size)
}

// writeHistory holds the recent writes of all handles, whether or not the connection of a handle is still open: a connection may
// appear to be open long after the client has abandoned it. The zero value is an empty history. The methods may be called from any
// goroutine.
type writeHistory struct {
	mu              sync.Mutex
	order           list.List // the *historyEntry of all recorded writes, oldest first
	byClientAndPath map[string][]*list.Element
}

// historyEntry is a WRITE that was received on a handle.
type historyEntry struct {
	writeRecord
	clientAndPath string
	file          *openFile
	closedMs      float64 // time at which the client closed the handle; 0: not closed by the client
}

// mayBeRetransmittedOn reports whether a WRITE on the given handle can be a retransmission of the entry.
func (e *historyEntry) mayBeRetransmittedOn(file *openFile) bool {
	return e.file != file && (e.closedMs == 0 || file.openedMs <= e.closedMs)
}

// add adds a WRITE. It removes the oldest one if there are then more than maxRecordedWrites.
func (h *writeHistory) add(file *openFile, record writeRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byClientAndPath == nil {
		h.byClientAndPath = map[string][]*list.Element{}
	}
	clientAndPath := file.clientAndPath()
	element := h.order.PushBack(&historyEntry{writeRecord: record, clientAndPath: clientAndPath, file: file})
	h.byClientAndPath[clientAndPath] = append(h.byClientAndPath[clientAndPath], element)
	if h.order.Len() > maxRecordedWrites {
		h.removeLocked(h.order.Front())
	}
}

// removeLocked removes a WRITE. The caller holds h.mu.
func (h *writeHistory) removeLocked(element *list.Element) {
	removed := h.order.Remove(element).(*historyEntry)
	remaining := h.byClientAndPath[removed.clientAndPath][:0]
	for _, other := range h.byClientAndPath[removed.clientAndPath] {
		if other != element {
			remaining = append(remaining, other)
		}
	}
	h.byClientAndPath[removed.clientAndPath] = remaining
	if len(remaining) == 0 {
		delete(h.byClientAndPath, removed.clientAndPath)
	}
}

// find returns the latest WRITE on another handle that the record retransmits. It also removes the writes that are at least
// maxAgeMs old, and the writes of the same client and path that the record overwrites and does not retransmit.
func (h *writeHistory) find(file *openFile, record *writeRecord, maxAgeMs float64) (earlier writeRecord, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeExpiredLocked(record.firstReceivedMs, maxAgeMs)
	elements := append([]*list.Element(nil), h.byClientAndPath[file.clientAndPath()]...) // a copy: the loop removes elements
	for _, element := range elements {
		entry := element.Value.(*historyEntry)
		if entry.equals(record) && entry.mayBeRetransmittedOn(file) {
			earlier, ok = entry.writeRecord, true
		} else if entry.overlaps(record) {
			h.removeLocked(element)
		}
	}
	return earlier, ok
}

// removeExpiredLocked removes the writes that are at least maxAgeMs old. The caller holds h.mu.
func (h *writeHistory) removeExpiredLocked(nowMs, maxAgeMs float64) {
	for oldest := h.order.Front(); oldest != nil; oldest = h.order.Front() {
		if nowMs-oldest.Value.(*historyEntry).firstReceivedMs < maxAgeMs {
			return
		}
		h.removeLocked(oldest)
	}
}

// fileClosed records that the client closed a handle, which means that it has received all responses. The writes are kept, since
// another transmission may still arrive over an older connection, on a handle that was opened before this one was closed.
func (h *writeHistory) fileClosed(file *openFile, nowMs float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, element := range h.byClientAndPath[file.clientAndPath()] {
		if entry := element.Value.(*historyEntry); entry.file == file {
			entry.closedMs = nowMs
		}
	}
}
