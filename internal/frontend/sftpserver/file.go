package sftpserver

import (
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"sync"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/sftpwire"
)

// maxFailedWrites bounds the number of failed writes that are recorded for each handle.
const maxFailedWrites = 64

// notRetransmitted is used in place of the age of a command that does not retransmit a WRITE of another handle.
const notRetransmitted = -1

// openFile is an open handle. Its methods may be called concurrently.
type openFile struct {
	handler  *handler
	path     string
	flags    uint32
	openedMs float64

	mu           sync.Mutex
	failedWrites map[int64]writeRecord // writes that failed and may have been executed, by offset
}

// newOpenFile returns a handle whose opening time is the current time.
func newOpenFile(h *handler, path string, flags uint32) *openFile {
	return &openFile{handler: h, path: path, flags: flags, openedMs: h.server.Clock.NowMs(), failedWrites: map[int64]writeRecord{}}
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
		err = io.EOF // if there is data, the library sends the data and drops the error
	}
	return n, err
}

// WriteAt implements io.WriterAt. Each WRITE is one request.
func (f *openFile) WriteAt(data []byte, offset int64) (int, error) {
	if f.flags&sftpwire.FlagWrite == 0 {
		return 0, errNotWritable
	}
	record, ageMs := f.identifyWrite(data, offset)
	command := &sftpwire.Command{Op: sftpwire.OpWrite, Offset: uint64(offset), Data: data, UploadKey: record.uploadKey}
	_, err := f.handler.execute(f.path, command, ageMs)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		delete(f.failedWrites, offset)
		return len(data), nil
	}
	if len(f.failedWrites) < maxFailedWrites {
		f.failedWrites[offset] = record
	}
	return 0, err
}

// Close implements io.Closer. The library also calls it for handles that are still open when their connection is lost; those are
// not recorded as closed.
func (f *openFile) Close() error {
	server := f.handler.server
	if server.RetentionMs > 0 && !f.handler.isDisconnected() {
		server.writes.fileClosed(f, server.Clock.NowMs())
	}
	return nil
}

// identifyWrite returns the record of a WRITE. If the WRITE is a retransmission, the record is that of the earlier WRITE; otherwise it
// is a new record with a new upload key.
// ageMs is the time since the earlier WRITE was first received if that was on another handle; otherwise it is notRetransmitted.
func (f *openFile) identifyWrite(data []byte, offset int64) (record writeRecord, ageMs float64) {
	server := f.handler.server
	record = writeRecord{offset: offset, digest: sha256.Sum256(data), size: len(data), firstReceivedMs: server.Clock.NowMs()}
	windowMs := clock.Ms(server.WriteClass.DedupWindow)
	f.mu.Lock()
	defer f.mu.Unlock()
	if failed, ok := f.failedWrites[offset]; ok && failed.equals(&record) && record.firstReceivedMs-failed.firstReceivedMs < windowMs {
		return failed, notRetransmitted // an exchange store, if there is one, recognizes the retransmission by its upload key
	}
	f.removeOverwritten(&record)
	ageMs = notRetransmitted
	if server.RetentionMs > 0 {
		if earlier, ok := server.writes.find(f, &record, windowMs+server.RetentionMs); ok {
			server.Metrics.Add(writesRejoined, 1)
			ageMs = record.firstReceivedMs - earlier.firstReceivedMs
			record = earlier
			slog.Info(logevent.SFTPWriteRejoined, logevent.Client, f.handler.clientHost, logevent.Path, f.path,
				logevent.Offset, offset, logevent.AgeMs, ageMs, logevent.UploadKey, record.uploadKey)
		}
	}
	if record.uploadKey == "" {
		record.uploadKey = newUploadKey()
	}
	if server.RetentionMs > 0 {
		server.writes.add(f, record)
	}
	return record, ageMs
}

// removeOverwritten removes the failed writes that a new write overwrites. If the client sends one of them again, it must be
// executed again. The caller holds f.mu.
func (f *openFile) removeOverwritten(record *writeRecord) {
	for offset, failed := range f.failedWrites {
		if failed.overlaps(record) {
			delete(f.failedWrites, offset)
		}
	}
}

// clientAndPath returns a key that identifies the client and the file.
func (f *openFile) clientAndPath() string { return f.handler.clientHost + " " + f.path }

// attachExchange makes the request of a WRITE part of an exchange, so that it shares one execution with its retransmissions.
func (h *handler) attachExchange(request *lifecycle.Request, command *sftpwire.Command, ageMs float64) {
	request.Device = &lifecycle.DeviceRequest{
		ID:         "file " + h.clientHost,
		Key:        "f" + command.UploadKey,
		AgeMs:      ageMs,
		HeadDigest: sha256.Sum256(fmt.Appendf(nil, "%d %s", command.Offset, command.Path)),
		Body:       command.Data,
		BodyDigest: sha256.Sum256(command.Data),
		BuildPayload: func(_ string, body []byte) any {
			payload := *command
			payload.Data = body
			return &payload
		},
	}
	request.IsRetry = ageMs >= 0
}
