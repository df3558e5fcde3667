package sftpserver

import (
	"crypto/sha256"
	"fmt"
	"io"
	"sync"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/sftpwire"
)

// maxFailedWrites bounds the failed writes that are remembered for each handle.
const maxFailedWrites = 64

// notRetransmitted stands for the age of a command that is not a retransmission over another connection.
const notRetransmitted = -1

// openFile is an open handle. Its methods may be called from any goroutine, several at once.
type openFile struct {
	handler  *handler
	path     string
	flags    uint32
	openedMs float64

	mu     sync.Mutex
	failed map[int64]writeRecord // writes that failed and may have executed, by offset
}

// newOpenFile returns a handle that is opened now.
func newOpenFile(h *handler, path string, flags uint32) *openFile {
	return &openFile{handler: h, path: path, flags: flags, openedMs: h.server.Clock.NowMs(), failed: map[int64]writeRecord{}}
}

// ReadAt implements io.ReaderAt. Each READ is one request.
func (f *openFile) ReadAt(data []byte, offset int64) (int, error) {
	if f.flags&sftpwire.FlagRead == 0 {
		return 0, errNotReadable
	}
	command := &sftpwire.Command{Op: sftpwire.OpRead, Offset: uint64(offset), Length: uint32(len(data))}
	reply, err := f.handler.execute(f.path, command, notRetransmitted)
	if err != nil {
		return 0, err
	}
	n := copy(data, reply.Data)
	if n < len(data) {
		err = io.EOF // the library sends the data of a short read without the error
	}
	return n, err
}

// WriteAt implements io.WriterAt. Each WRITE is one request.
func (f *openFile) WriteAt(data []byte, offset int64) (int, error) {
	if f.flags&sftpwire.FlagWrite == 0 {
		return 0, errNotWritable
	}
	record, firstSentAgoMs := f.identifyWrite(data, offset)
	command := &sftpwire.Command{Op: sftpwire.OpWrite, Offset: uint64(offset), Data: data, UploadKey: record.uploadKey}
	_, err := f.handler.execute(f.path, command, firstSentAgoMs)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		delete(f.failed, offset)
		return len(data), nil
	}
	if len(f.failed) < maxFailedWrites {
		f.failed[offset] = record
	}
	return 0, err
}

// Close implements io.Closer. The library also calls it for the handles that are open when a connection is lost.
func (f *openFile) Close() error {
	server := f.handler.server
	if server.RetentionMs > 0 && !f.handler.isDisconnected() {
		server.writes.fileClosed(f, server.Clock.NowMs())
	}
	return nil
}

// identifyWrite returns the record of a WRITE, with the upload key of an earlier WRITE that it repeats or with a new one.
// firstSentAgoMs is the age of the earlier WRITE if that was sent on another handle, or notRetransmitted.
func (f *openFile) identifyWrite(data []byte, offset int64) (record writeRecord, firstSentAgoMs float64) {
	server := f.handler.server
	record = writeRecord{offset: offset, digest: sha256.Sum256(data), size: len(data), firstSentMs: server.Clock.NowMs()}
	windowMs := clock.Ms(server.WriteClass.DedupWindow)
	f.mu.Lock()
	defer f.mu.Unlock()
	if failed, ok := f.failed[offset]; ok && failed.equals(&record) && record.firstSentMs-failed.firstSentMs < windowMs {
		return failed, notRetransmitted // the exchange store, if there is one, recognizes the upload key
	}
	f.forgetOverwritten(&record)
	firstSentAgoMs = notRetransmitted
	if server.RetentionMs > 0 {
		if earlier, ok := server.writes.find(f, &record, windowMs+server.RetentionMs); ok {
			server.Metrics.Add(writesRejoined, 1)
			firstSentAgoMs = record.firstSentMs - earlier.firstSentMs
			record = earlier
		}
	}
	if record.uploadKey == "" {
		record.uploadKey = newUploadKey()
	}
	if server.RetentionMs > 0 {
		server.writes.add(f, record)
	}
	return record, firstSentAgoMs
}

// forgetOverwritten removes the failed writes that a new one overwrites: one of them that is sent again must be executed
// again. The caller holds f.mu.
func (f *openFile) forgetOverwritten(record *writeRecord) {
	for offset, failed := range f.failed {
		if failed.overlaps(record) {
			delete(f.failed, offset)
		}
	}
}

// location identifies the client and the file.
func (f *openFile) location() string { return f.handler.clientHost + " " + f.path }

// attachExchange makes the request of a WRITE part of an exchange, which all its retransmissions share.
func (h *handler) attachExchange(request *lifecycle.Request, command *sftpwire.Command, firstSentAgoMs float64) {
	request.Device = &lifecycle.DeviceRequest{
		ID:         "file " + h.clientHost,
		Key:        "f" + command.UploadKey,
		AgeMs:      firstSentAgoMs,
		HeadDigest: sha256.Sum256(fmt.Appendf(nil, "%d %s", command.Offset, command.Path)),
		Body:       command.Data,
		BodyDigest: sha256.Sum256(command.Data),
		BuildPayload: func(_ string, body []byte) any {
			payload := *command
			payload.Data = body
			return &payload
		},
	}
	request.IsRetry = firstSentAgoMs >= 0
}
