package sftpserver

import (
	"crypto/sha256"
	"math"

	"gaugerelay/internal/sftpwire"
)

// writeIdentity is what a WRITE and its retransmissions have in common.
type writeIdentity struct {
	uploadKey string
	// firstReceivedMs is the time at which the first transmission was received, and firstEvent its place in the order of events.
	firstReceivedMs float64
	firstEvent      uint64
}

// changeOutcome is what is known about the effect of a change.
type changeOutcome uint8

const (
	changePending   changeOutcome = iota // there is no response yet
	changeSucceeded                      // the change has taken effect
	changeUncertain                      // the change failed; it may have taken effect, or may still do so until its deadline
)

// change is a command that changes the content of a file: a WRITE, or an OPEN that empties the file. The fileHistory that holds a
// change guards its fields.
type change struct {
	writeIdentity
	path       string
	clientHost string
	file       *openFile // handle of a WRITE; nil for an OPEN
	deadlineMs float64   // time from which the change cannot begin to take effect

	emptiesFile bool              // whether the change is an OPEN that empties the file; the range and data are then unset
	offset      int64             // start of the range
	size        int               // length of the data in bytes
	digest      [sha256.Size]byte // SHA-256 of the data

	outcome changeOutcome
	// endedEvent is the place of the response in the order of events, and endedMs the time from which the change can no longer take
	// effect: infinity while there is no response, and the deadline or later for an uncertain change.
	endedEvent uint64
	endedMs    float64
	closedMs   float64 // time at which the client closed the handle; 0: not closed by the client
}

// newWrite returns the change of a WRITE.
func newWrite(file *openFile, data []byte, offset int64, nowMs, deadlineMs float64) *change {
	return &change{path: file.path, clientHost: file.handler.clientHost, file: file, deadlineMs: deadlineMs, endedMs: math.Inf(1),
		writeIdentity: writeIdentity{uploadKey: newUploadKey(), firstReceivedMs: nowMs},
		offset:        offset, size: len(data), digest: sha256.Sum256(data)}
}

// newEmptying returns the change of an OPEN that empties its file.
func newEmptying(path string, nowMs, deadlineMs float64) *change {
	return &change{path: path, deadlineMs: deadlineMs, endedMs: math.Inf(1),
		writeIdentity: writeIdentity{firstReceivedMs: nowMs}, emptiesFile: true}
}

// memoryBytes returns the memory that the change takes while it is recorded.
func (c *change) memoryBytes() int { return changeBytes + len(c.path) }

// emptiesFile reports whether an OPEN with the flags leaves an empty file: it truncates the file, or succeeds only if there was none.
func emptiesFile(flags uint32) bool {
	return flags&(sftpwire.FlagTruncate|sftpwire.FlagExclusive) != 0
}

// equals reports whether both changes write the same data to the same range.
func (c *change) equals(other *change) bool {
	return !c.emptiesFile && !other.emptiesFile &&
		c.offset == other.offset && c.size == other.size && c.digest == other.digest
}

// overlaps reports whether both changes affect a byte of the file in common.
func (c *change) overlaps(other *change) bool {
	if c.emptiesFile || other.emptiesFile {
		return true
	}
	return c.offset < other.offset+int64(other.size) && other.offset < c.offset+int64(c.size)
}

// mayFollow reports whether c may have taken effect after a WRITE whose first transmission was received earlier.
func (c *change) mayFollow(write *writeIdentity) bool {
	switch c.outcome {
	case changePending:
		return true
	case changeUncertain:
		return c.endedEvent > write.firstEvent || c.endedMs > write.firstReceivedMs
	default:
		return c.endedEvent > write.firstEvent
	}
}
