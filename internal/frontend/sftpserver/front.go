// Package sftpserver takes file commands (SFTP version 3 packets over plain TCP, without the cryptography) and
// hands each READ and WRITE to the core as a request of its own.
//
// The packets are handled by github.com/pkg/sftp's RequestServer. How answers map to status codes:
//
//	SSH_FX_OK, SSH_FX_EOF, SSH_FX_NO_SUCH_FILE,
//	SSH_FX_PERMISSION_DENIED, SSH_FX_OP_UNSUPPORTED  as the node answered
//	SSH_FX_NO_SUCH_FILE                              the path is under no root
//	SSH_FX_FAILURE "busy, ... retry after N ms"      refused: it has not taken effect
//	SSH_FX_FAILURE "failed ..."                      failed, or no answer in time: it may have taken effect
//	SSH_FX_BAD_MESSAGE                               malformed: over 64 KiB, a negative offset, a NUL in a path
//	SSH_FX_OP_UNSUPPORTED                            commands that are not served, and appending
package sftpserver

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/pkg/sftp"

	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/socketstate"
)

const (
	firstTime  = 2700 * time.Millisecond // for the first packet: who says nothing is no client
	idleTime   = 5 * time.Minute         // between packets
	packetTime = 10 * time.Second        // for the rest of a packet, and for a client to take an answer
	guardMs    = 25                      // after the module should have answered the front gives up by itself
	maxRepeats = 64                      // failed writes remembered for each handle
)

// Root is a part of the tree of paths and what it draws on.
type Root struct {
	Path, Plan string
	Volume     uint64
	Hosts      int // gateways that the volume's requests, of all fronts, come through
}

// Options set up a Front.
type Options struct {
	MaxConns   int
	UnitBytes  float64 // data of a command that counts one unit
	ReadClass  scheduler.Class
	WriteClass scheduler.Class
	Roots      []Root
	Shards     int
	MaxUnits   float64
	// RetentionMs is how long a WRITE of a connection that was lost is known behind its window: one that comes again over
	// a new connection joins the first, by the exchange ledger. 0: it does not, and there is no ledger.
	RetentionMs float64
}

// Loop is what the front asks of the loop.
type Loop interface {
	Submit(*lifecycle.Request) bool
	Cancel(*lifecycle.Request)
	ResponseWritten(*lifecycle.Request, lifecycle.LinkSample)
}

// Server serves file commands.
type Server struct {
	Options
	Loop     Loop
	Upstream lifecycle.Upstream
	Clock    clock.Clock
	Metrics  *metrics.Registry

	mu     sync.Mutex
	conns  map[*conn]bool
	ending bool
	wg     sync.WaitGroup
	sent   sent
}

// Serve takes connections until the listener closes.
func (f *Server) Serve(ln net.Listener) error {
	// Not netutil.LimitListener: behind it a connection's sending cannot be ended, nor its client's end be seen.
	room := make(chan struct{}, f.MaxConns)
	for {
		room <- struct{}{}
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		f.wg.Add(1)
		go func() {
			defer func() { <-room }()
			f.serve(c)
		}()
	}
}

// Shutdown closes idle connections, lets the others finish what they have taken, and waits for them. The
// listener must be closed before.
func (f *Server) Shutdown() {
	f.mu.Lock()
	f.ending = true
	for c := range f.conns {
		c.endReading()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// CloseAll closes all connections as they are, and waits for what serves them.
func (f *Server) CloseAll() {
	f.mu.Lock()
	f.ending = true
	for c := range f.conns {
		c.cut()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *Server) serve(nc net.Conn) {
	defer f.wg.Done()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newConn(nc, cancel)
	f.mu.Lock()
	if f.conns == nil {
		f.conns = map[*conn]bool{}
	}
	f.conns[c] = true
	if f.ending {
		c.endReading()
	}
	f.mu.Unlock()
	defer func() {
		gracefulclose.Close(nc) // more may have been sent than is answered
		f.mu.Lock()
		delete(f.conns, c)
		f.mu.Unlock()
	}()
	f.Metrics.Add("file_connections", 1)
	host, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	h := &handler{f, ctx, host, func() bool { return socketstate.PeerClosed(nc) }}
	err := sftp.NewRequestServer(c, sftp.Handlers{FileGet: h, FilePut: h, FileCmd: h, FileList: h},
		sftp.WithRSMaxTxPacket(sftpwire.MaxData)).Serve()
	c.drain() // the library's writer may still have answers in hand
	if cut, typ := c.in.cut(); cut {
		// Its end is this one: it was never whole, so it never became a request, and its client is gone.
		f.Metrics.Add("file_commands_cut_off", 1)
		slog.Info(logevent.SFTPClientError, logevent.Client, nc.RemoteAddr().String(), logevent.Reason, "cut off inside a packet", "type", typ)
	} else if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && // with handles left open
		!errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		slog.Info(logevent.SFTPClientError, logevent.Client, nc.RemoteAddr().String(), logevent.Error, err)
	}
}

// handler serves one connection.
type handler struct {
	*Server
	ctx  context.Context // ends when the client has gone
	host string          // the client, as far as it can be told
	away func() bool     // whether it has gone, though the end may wait behind commands that have not been read
}

// errNotServed is the answer to commands that the depot has no use for.
var errNotServed = fmt.Errorf("not served here: %w", sftp.ErrSSHFxOpUnsupported)

// Filecmd implements sftp.FileCmder.
func (h *handler) Filecmd(*sftp.Request) error { return errNotServed }

// Filelist implements sftp.FileLister.
func (h *handler) Filelist(r *sftp.Request) (sftp.ListerAt, error) {
	if r.Method != "Stat" {
		return nil, errNotServed
	}
	rep, err := h.do(r.Filepath, &sftpwire.Command{Op: sftpwire.OpStat}, -1)
	if err != nil {
		return nil, err
	}
	return stat{path.Base(r.Filepath), rep.Attrs}, nil
}

// Lstat implements sftp.LstatFileLister: there are no links.
func (h *handler) Lstat(r *sftp.Request) (sftp.ListerAt, error) {
	r.Method = "Stat"
	return h.Filelist(r)
}

// Fileread implements sftp.FileReader.
func (h *handler) Fileread(r *sftp.Request) (io.ReaderAt, error) { return h.open(r) }

// Filewrite implements sftp.FileWriter.
func (h *handler) Filewrite(r *sftp.Request) (io.WriterAt, error) { return h.open(r) }

// OpenFile implements sftp.OpenFileWriter.
func (h *handler) OpenFile(r *sftp.Request) (sftp.WriterAtReaderAt, error) { return h.open(r) }

// open opens a file at its node, so that a missing one is told now.
func (h *handler) open(r *sftp.Request) (*file, error) {
	if r.Pflags().Append { // a repeat would append twice, which no offset can prevent
		return nil, fmt.Errorf("appending: %w", sftp.ErrSSHFxOpUnsupported)
	}
	cmd := &sftpwire.Command{Op: sftpwire.OpOpen, Flags: r.Flags}
	if r.Flags&^sftpwire.FlagRead != 0 {
		cmd.UploadKey = newKey()
	}
	if _, err := h.do(r.Filepath, cmd, -1); err != nil {
		return nil, err
	}
	return &file{h: h, path: r.Filepath, flags: r.Flags, openedMs: h.Clock.NowMs(), last: map[int64]written{}}, nil
}

// do hands a command to the core and waits for its one answer. again is how long ago it was first sent by a connection
// that was lost; below zero: it was not.
func (h *handler) do(name string, cmd *sftpwire.Command, again float64) (*sftpwire.Reply, error) {
	req, err := h.request(name, cmd)
	if err != nil {
		h.Metrics.Add("file_commands_malformed", 1)
		return nil, err
	}
	if cmd.Op == sftpwire.OpWrite && h.RetentionMs > 0 {
		h.exchange(req, cmd, again)
	} else {
		req.ClientDisconnected = h.away
	}
	answers := make(chan lifecycle.Response, 1)
	req.Respond = func(a lifecycle.Response) { answers <- a }
	if !h.Loop.Submit(req) {
		h.Metrics.Add("requests_inbox_full", 1)
		return nil, busy(250)
	}
	late := make(chan struct{})
	defer h.Clock.AfterFunc(req.RemainingMs+guardMs, func() { close(late) })()
	select {
	case a := <-answers:
		if req.Device != nil && a.Kind == lifecycle.Served {
			h.Loop.ResponseWritten(req, lifecycle.LinkSample{}) // the library writes it next; if that fails it is kept
		}
		return result(a)
	case <-h.ctx.Done():
		h.Loop.Cancel(req)
		return nil, errMayHaveRun
	case <-late:
		select {
		case a := <-answers: // it came after all
			return result(a)
		default:
		}
		h.Metrics.Add("answers_by_guard", 1)
		h.Loop.Cancel(req)
		return nil, errMayHaveRun
	}
}

var errMayHaveRun = fmt.Errorf("failed, it may have taken effect: %w", sftp.ErrSSHFxFailure)

func busy(ms float64) error {
	return fmt.Errorf("busy, nothing was done, retry after %.0f ms: %w", max(1, ms), sftp.ErrSSHFxFailure)
}

// result turns the core's answer into the client's.
func result(a lifecycle.Response) (*sftpwire.Reply, error) {
	switch a.Kind {
	case lifecycle.Rejected:
		return nil, busy(a.RetryAfterMs)
	case lifecycle.Served:
	default:
		return nil, errMayHaveRun
	}
	rep := a.Result.(*sftpwire.Reply)
	codes := map[sftpwire.StatusCode]error{sftpwire.StatusOK: nil, sftpwire.StatusEOF: io.EOF,
		sftpwire.StatusNoSuchFile: sftp.ErrSSHFxNoSuchFile, sftpwire.StatusUnsupported: sftp.ErrSSHFxOpUnsupported,
		sftpwire.StatusPermissionDenied: sftp.ErrSSHFxPermissionDenied}
	err, known := codes[rep.Code]
	if !known {
		err = sftp.ErrSSHFxFailure
	}
	return rep, err
}

// request makes a core request of a command. READ, STAT and an OPEN for reading are of the reading class, the
// others of the writing one.
func (h *handler) request(name string, cmd *sftpwire.Command) (*lifecycle.Request, error) {
	name = path.Clean("/" + name) // the library cleans too; nothing climbs above the root
	root := h.root(name)
	switch {
	case strings.ContainsRune(name, 0) || len(name) > 4096:
		return nil, fmt.Errorf("path: %w", sftp.ErrSSHFxBadMessage)
	case root == nil:
		return nil, fmt.Errorf("under no root: %w", sftp.ErrSSHFxNoSuchFile)
	case len(cmd.Data) > sftpwire.MaxData || cmd.Offset > math.MaxInt64:
		return nil, fmt.Errorf("over 64 KiB, or a bad offset: %w", sftp.ErrSSHFxBadMessage)
	}
	cmd.Path = name
	class := &h.ReadClass
	if cmd.UploadKey != "" {
		class = &h.WriteClass
	}
	sum := fnv.New64a()
	io.WriteString(sum, name)
	key := sum.Sum64()
	units := math.Ceil(float64(len(cmd.Data)+int(cmd.Length)) / h.UnitBytes)
	return &lifecycle.Request{Class: class.Name, Plan: root.Plan, Volume: root.Volume, Key: key,
		RemainingMs: clock.Ms(class.Deadline), Units: min(max(1, units), max(1, h.MaxUnits)),
		Shard: int(key % uint64(max(1, h.Shards))), Gateways: root.Hosts, IsFirstAttempt: true, Upstream: h.Upstream, Payload: cmd}, nil
}

// root finds the longest root that holds a path.
func (h *handler) root(name string) (best *Root) {
	for i := range h.Roots {
		r := &h.Roots[i]
		if (r.Path == "/" || name == r.Path || strings.HasPrefix(name, r.Path+"/")) &&
			(best == nil || len(r.Path) > len(best.Path)) {
			best = r
		}
	}
	return best
}

// newKey makes an upload key.
func newKey() string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], rand.Uint64())
	binary.BigEndian.PutUint64(b[8:], rand.Uint64())
	return hex.EncodeToString(b[:])
}

// file is an open handle. Commands on it run side by side.
type file struct {
	h        *handler
	path     string
	flags    uint32
	openedMs float64
	mu       sync.Mutex
	last     map[int64]written // writes that failed and may have run, by offset
}

// ReadAt implements io.ReaderAt: one READ is one request.
func (f *file) ReadAt(p []byte, off int64) (int, error) {
	if f.flags&sftpwire.FlagRead == 0 {
		return 0, fmt.Errorf("not open for reading: %w", sftp.ErrSSHFxPermissionDenied)
	}
	rep, err := f.h.do(f.path, &sftpwire.Command{Op: sftpwire.OpRead, Offset: uint64(off), Length: uint32(len(p))}, -1)
	if err != nil {
		return 0, err
	}
	n := copy(p, rep.Data)
	if n < len(p) {
		err = io.EOF // the library answers a short one with the data alone
	}
	return n, err
}

// WriteAt implements io.WriterAt: one WRITE is one request.
func (f *file) WriteAt(p []byte, off int64) (int, error) {
	if f.flags&sftpwire.FlagWrite == 0 {
		return 0, fmt.Errorf("not open for writing: %w", sftp.ErrSSHFxPermissionDenied)
	}
	w, again := f.keyFor(p, off)
	_, err := f.h.do(f.path, &sftpwire.Command{Op: sftpwire.OpWrite, Offset: uint64(off), Data: p, UploadKey: w.key}, again)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		delete(f.last, off)
		return len(p), nil
	}
	if len(f.last) < maxRepeats {
		f.last[off] = w
	}
	return 0, err
}

// stat is the one entry that a STAT answers.
type stat struct {
	name string
	sftpwire.Attrs
}

func (s stat) ListAt(out []os.FileInfo, at int64) (int, error) {
	if at > 0 || len(out) == 0 {
		return 0, io.EOF
	}
	out[0] = s
	return 1, nil
}

func (s stat) Name() string       { return s.name }
func (s stat) Size() int64        { return int64(s.Attrs.Size) }
func (s stat) Mode() os.FileMode  { return os.FileMode(s.Attrs.Mode & 0o777) }
func (s stat) ModTime() time.Time { return time.Unix(int64(s.Mtime), 0) }
func (s stat) IsDir() bool        { return false }
func (s stat) Sys() any           { return nil }
