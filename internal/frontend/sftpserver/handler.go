package sftpserver

import (
	"io"
	"math"
	"os"
	"path"
	"time"

	"github.com/pkg/sftp"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/sftpwire"
)

// methodStat is the library's method name for a STAT.
const methodStat = "Stat"

// handler handles the commands of one connection. The library calls it concurrently from several goroutines.
type handler struct {
	server *Server
	// account is that of the connection.
	account *memorybudget.Account
	// clientHost is the host of the client's address. It identifies the client across its connections.
	clientHost string
	// disconnected is closed when the client has disconnected.
	disconnected <-chan struct{}
	// peerClosed reports whether the client has closed the connection. It also detects a close that has not been read yet
	// because unread commands precede it.
	peerClosed func() bool
}

// isDisconnected reports whether the client has disconnected.
func (h *handler) isDisconnected() bool {
	select {
	case <-h.disconnected:
		return true
	default:
		return false
	}
}

// Filecmd implements sftp.FileCmder.
func (h *handler) Filecmd(*sftp.Request) error { return errNotSupported }

// Filelist implements sftp.FileLister.
func (h *handler) Filelist(r *sftp.Request) (sftp.ListerAt, error) {
	if r.Method != methodStat {
		return nil, errNotSupported
	}
	reply, err := h.execute(r.Filepath, &sftpwire.Command{Op: sftpwire.OpStat})
	if err != nil {
		return nil, err
	}
	return fileInfo{name: path.Base(r.Filepath), attrs: reply.Attrs}, nil
}

// Lstat implements sftp.LstatFileLister. It is the same as a STAT, since symbolic links are not supported.
func (h *handler) Lstat(r *sftp.Request) (sftp.ListerAt, error) {
	r.Method = methodStat
	return h.Filelist(r)
}

// Fileread implements sftp.FileReader.
func (h *handler) Fileread(r *sftp.Request) (io.ReaderAt, error) { return h.open(r) }

// Filewrite implements sftp.FileWriter.
func (h *handler) Filewrite(r *sftp.Request) (io.WriterAt, error) { return h.open(r) }

// OpenFile implements sftp.OpenFileWriter.
func (h *handler) OpenFile(r *sftp.Request) (sftp.WriterAtReaderAt, error) { return h.open(r) }

// open sends the OPEN to the storage server, so that opening a missing file fails.
func (h *handler) open(r *sftp.Request) (*openFile, error) {
	if r.Pflags().Append { // a retry could append the data twice, since an append has no offset
		return nil, errAppending
	}
	sharedPath, ok := h.server.handles.open(h.account, r.Filepath, h.server.MaxHandleBytes)
	if !ok {
		h.server.Metrics.Add(opensWithoutMemory, 1)
		return nil, rejectedError{noHandleRetryAfterMs}
	}
	r.Filepath = sharedPath // the library holds the request as long as the handle
	command := &sftpwire.Command{Op: sftpwire.OpOpen, Flags: r.Flags}
	if r.Flags&^sftpwire.FlagRead != 0 {
		command.UploadKey = newUploadKey()
	}
	if err := h.executeOpen(sharedPath, command); err != nil {
		h.server.handles.close(h.account, sharedPath)
		return nil, err
	}
	file := newOpenFile(h, sharedPath, r.Flags)
	file.isCounted = true
	return file, nil
}

// executeOpen executes an OPEN. It records one that empties the file, since a WRITE like one from before it is not a retransmission.
func (h *handler) executeOpen(filePath string, command *sftpwire.Command) error {
	if !emptiesFile(command.Flags) {
		_, err := h.execute(filePath, command)
		return err
	}
	nowMs := h.server.Clock.NowMs()
	opening := newEmptying(filePath, nowMs, nowMs+clock.Ms(h.server.WriteClass.Deadline))
	h.server.history.beginNew(opening, h.server.retentionPeriods(), nowMs)
	_, err := h.execute(filePath, command)
	h.recordOutcome(opening, err)
	return err
}

// recordOutcome records the outcome of a change from the result of its command.
func (h *handler) recordOutcome(c *change, err error) {
	nowMs := h.server.Clock.NowMs()
	switch {
	case err == nil:
		h.server.history.end(c, changeSucceeded, nowMs)
	case hadNoEffect(err):
		h.server.history.cancel(c)
	default:
		h.server.history.end(c, changeUncertain, nowMs)
	}
}

// execute submits a command on the file at filePath and waits for its response, for as long as its class allows.
func (h *handler) execute(filePath string, command *sftpwire.Command) (*sftpwire.Reply, error) {
	return h.executeUntil(math.Inf(1), filePath, command, notRetransmitted)
}

// executeUntil is execute with an earlier deadline. If the command retransmits a WRITE of another handle, ageMs is the time since that
// WRITE was first received; otherwise it is notRetransmitted.
func (h *handler) executeUntil(deadlineMs float64, filePath string, command *sftpwire.Command, ageMs float64) (*sftpwire.Reply, error) {
	server := h.server
	request, err := server.newRequest(filePath, command)
	if err != nil {
		server.Metrics.Add(commandsMalformed, 1)
		return nil, err
	}
	request.RemainingMs = min(request.RemainingMs, deadlineMs-server.Clock.NowMs())
	if command.Op == sftpwire.OpWrite && server.RetentionMs > 0 {
		h.attachExchange(request, command, ageMs)
	} else {
		request.ClientDisconnected = h.peerClosed
	}
	responses := make(chan lifecycle.Response, 1)
	request.Respond = func(response lifecycle.Response) { responses <- response }
	if !server.Loop.Submit(request) {
		server.Metrics.Add(frontend.RequestsInboxFull, 1)
		return nil, rejectedError{frontend.InboxFullRetryAfterMs}
	}
	return h.waitForResponse(request, responses)
}

// waitForResponse waits for the response to a request. It returns errMayHaveExecuted if the client disconnects or the response is
// overdue.
func (h *handler) waitForResponse(request *lifecycle.Request, responses <-chan lifecycle.Response) (*sftpwire.Reply, error) {
	server := h.server
	overdue, stopTimer := clock.After(server.Clock, request.RemainingMs+frontend.ResponseGraceMs)
	defer stopTimer()
	select {
	case response := <-responses:
		if request.Device != nil && response.Kind == lifecycle.Served {
			// The response is reported as written before the library writes it. That is safe, because the exchange store still
			// has the response if the write fails.
			server.Loop.ResponseWritten(request, lifecycle.LinkSample{})
		}
		return replyFromResponse(response)
	case <-h.disconnected:
		server.Loop.Cancel(request)
		return nil, errMayHaveExecuted
	case <-overdue:
	}
	select {
	case response := <-responses: // the response arrived at the same time as the timeout
		return replyFromResponse(response)
	default:
	}
	server.Metrics.Add(frontend.ResponsesByGuard, 1)
	server.Loop.Cancel(request)
	return nil, errMayHaveExecuted
}

// fileInfo is the result of a STAT, in the form of a directory list with one entry.
type fileInfo struct {
	name  string
	attrs sftpwire.Attrs
}

// ListAt implements sftp.ListerAt.
func (i fileInfo) ListAt(out []os.FileInfo, offset int64) (int, error) {
	if offset > 0 || len(out) == 0 {
		return 0, io.EOF
	}
	out[0] = i
	return 1, nil
}

// Name implements os.FileInfo.
func (i fileInfo) Name() string { return i.name }

// Size implements os.FileInfo.
func (i fileInfo) Size() int64 { return int64(i.attrs.Size) }

// Mode implements os.FileInfo. It returns only the permission bits.
func (i fileInfo) Mode() os.FileMode { return os.FileMode(i.attrs.Mode & 0o777) }

// ModTime implements os.FileInfo.
func (i fileInfo) ModTime() time.Time { return time.Unix(int64(i.attrs.Mtime), 0) }

// IsDir implements os.FileInfo.
func (i fileInfo) IsDir() bool { return false }

// Sys implements os.FileInfo.
func (i fileInfo) Sys() any { return nil }
