package sftpserver

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"

	"github.com/pkg/sftp"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/sftpwire"
)

// notRetransmitted is used in place of the age of a command that does not retransmit a WRITE of another handle.
const notRetransmitted = -1

// openFile is an open handle. Its methods may be called concurrently.
type openFile struct {
	handler  *handler
	path     string
	flags    uint32
	openedMs float64
	// isCounted says that the handle is in Server.handles, until closed is set.
	isCounted bool
	closed    atomic.Bool
}

// newOpenFile returns a handle whose opening time is the current time.
func newOpenFile(h *handler, path string, flags uint32) *openFile {
	return &openFile{handler: h, path: path, flags: flags, openedMs: h.server.Clock.NowMs()}
}

// ReadAt implements io.ReaderAt. Each READ is one request.
func (f *openFile) ReadAt(data []byte, offset int64) (int, error) {
	if f.flags&sftpwire.FlagRead == 0 {
		return 0, errNotReadable
	}
	command := &sftpwire.Command{Op: sftpwire.OpRead, Offset: uint64(offset), Length: uint32(len(data))}
	reply, err := f.handler.execute(f.path, command)
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
	server := f.handler.server
	nowMs := server.Clock.NowMs()
	write := newWrite(f, data, offset, nowMs, nowMs+clock.Ms(server.WriteClass.Deadline))
	earlier, kind := server.history.beginWrite(write, server.retentionPeriods(), nowMs)
	f.reportRetransmission(offset, earlier, kind, nowMs)
	ageMs := float64(notRetransmitted) // of a retry on the same handle too: an exchange store recognizes it by its upload key
	if kind == resentOnNewHandle {
		ageMs = nowMs - earlier.firstReceivedMs
	}
	err := f.executeWrite(write, data, ageMs)
	if err == nil && (kind == resentOnNewHandle || kind == retriedOnHandle) {
		err = f.confirmRetransmission(write, data)
	}
	if err != nil {
		return 0, err
	}
	return len(data), nil
}

// executeWrite executes a WRITE and records its outcome.
func (f *openFile) executeWrite(write *change, data []byte, ageMs float64) error {
	command := &sftpwire.Command{Op: sftpwire.OpWrite, Offset: uint64(write.offset), Data: data, UploadKey: write.uploadKey}
	_, err := f.handler.executeUntil(write.deadlineMs, f.path, command, ageMs)
	f.handler.recordOutcome(write, err)
	return err
}

// confirmRetransmission checks that a file has the data of a retransmission that was answered, if other gateways may have changed the
// file since the first transmission. If it has not, the WRITE is executed as a new one. All of it has to end by the deadline of the
// retransmission.
func (f *openFile) confirmRetransmission(write *change, data []byte) error {
	server := f.handler.server
	if root := server.findRoot(f.path); root == nil || root.Gateways <= 1 {
		return nil
	}
	unchanged, err := f.holds(data, write.offset, write.deadlineMs)
	if err != nil || unchanged {
		return err
	}
	server.Metrics.Add(writesRestored, 1)
	nowMs := server.Clock.NowMs()
	again := newWrite(f, data, write.offset, nowMs, write.deadlineMs)
	server.history.beginNew(again, server.retentionPeriods(), nowMs)
	return f.executeWrite(again, data, notRetransmitted)
}

// holds reports whether the file has the data at the offset. It returns errMayHaveExecuted if that cannot be found out by deadlineMs.
func (f *openFile) holds(data []byte, offset int64, deadlineMs float64) (bool, error) {
	for len(data) > 0 {
		command := &sftpwire.Command{Op: sftpwire.OpRead, Offset: uint64(offset), Length: uint32(len(data))}
		reply, err := f.handler.executeUntil(deadlineMs, f.path, command, notRetransmitted)
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, sftp.ErrSSHFxNoSuchFile):
			return false, nil
		case err != nil:
			return false, errMayHaveExecuted
		case len(reply.Data) == 0 || !bytes.HasPrefix(data, reply.Data):
			return false, nil
		}
		data = data[len(reply.Data):] // a server may return less than it was asked for
		offset += int64(len(reply.Data))
	}
	return true, nil
}

// reportRetransmission counts and logs a WRITE that retransmits one of another handle, or does not because the range may have changed
// since that one.
func (f *openFile) reportRetransmission(offset int64, earlier writeIdentity, kind retransmission, nowMs float64) {
	event := ""
	switch kind {
	case resentOnNewHandle:
		event = logevent.SFTPWriteRejoined
		f.handler.server.Metrics.Add(writesRejoined, 1)
	case changedSinceEarlier:
		event = logevent.SFTPWriteNotRejoined
		f.handler.server.Metrics.Add(writesNotRejoined, 1)
	default:
		return
	}
	slog.Info(event, logevent.Client, f.handler.clientHost, logevent.Path, f.path, logevent.Offset, offset,
		logevent.AgeMs, nowMs-earlier.firstReceivedMs, logevent.UploadKey, earlier.uploadKey)
}

// Close implements io.Closer. The library also calls it for handles that are still open when their connection is lost; those are
// not recorded as closed.
func (f *openFile) Close() error {
	server := f.handler.server
	if f.isCounted && !f.closed.Swap(true) {
		server.handles.close(f.handler.account, f.path)
	}
	if server.RetentionMs > 0 && !f.handler.isDisconnected() {
		server.history.fileClosed(f, server.Clock.NowMs())
	}
	return nil
}

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
