// Package standin holds what the tests put in the place of storage nodes: a file server of SFTP packets over
// loopback, made from the public draft, and settings like the platform's.
package standin

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/pkg/sftp"

	policy "gaugerelay"

	"gaugerelay/internal/sftpbackend"
)

// Settings are like the platform's, for one gateway.
func Settings(shards int) policy.Settings {
	const ms = time.Millisecond
	return policy.Settings{Siblings: 1, Shards: shards, MeanUnits: 2, MostUnits: 6, FairWorth: 0.3, IdleWorth: 0.05,
		MaxAttempts: 3, MayDuplicate: true, MayCancel: true, MayProbe: true, MaxComeBack: 500 * ms, AnswerGrace: 8 * ms,
		DrainGrace: time.Second, StartCapacity: 0.28, RampTime: 15 * time.Second, FallMultiple: 2.5,
		FallWindow: 3 * time.Second, ColdBears: 51, Tick: 2 * ms, AskWithin: 10 * time.Second,
		Classes: []policy.Class{
			{Name: "pull", Aim: 300 * ms, Deadline: 1500 * ms, Worth: 2},
			{Name: "push", Aim: 400 * ms, Deadline: 3 * time.Second, Worth: 2, Write: true, Effect: policy.ByKey,
				Scope: policy.ScopeCell, DedupWindow: 3 * time.Second},
			{Name: "bulk-read", Aim: 1500 * ms, Deadline: 5 * time.Second, Worth: 1},
		},
		Plans: []policy.Plan{
			{Name: "basic", Rate: 4.1, Reserve: 2, Weight: 1, Pays: 0.96, Limit: 33, LimitCap: 53, LimitDebt: 6},
			{Name: "business", Rate: 8.2, Reserve: 8.2, Weight: 2, Pays: 0.9}}}
}

// Listen opens a loopback port that closes with the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Command is what a file server has been asked to do.
type Command struct {
	Op    string // open, read, write or stat
	Path  string
	Flags uint32 // of an open
	Key   string // upload key
	Bytes int
}

// FileServer keeps files in memory. It drops a WRITE whose upload key it has seen.
type FileServer struct {
	Addr string
	// Answer, if set, is asked before each command takes effect; its error is the answer.
	Answer func(Command) error
	// After, if set, is asked once it has taken effect.
	After func(Command) error

	mu    sync.Mutex
	files map[string][]byte
	keys  map[string]bool
	log   []Command
}

// NewFileServer starts a file server that ends with the test.
func NewFileServer(t testing.TB) *FileServer {
	t.Helper()
	ln := Listen(t)
	s := &FileServer{Addr: ln.Addr().String(), files: map[string][]byte{}, keys: map[string]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				sftp.NewRequestServer(c, sftp.Handlers{FileGet: s, FilePut: s, FileCmd: s, FileList: s},
					sftp.WithRSMaxTxPacket(sftpbackend.MaxData)).Serve()
			}()
		}
	}()
	return s
}

// Put sets a file.
func (s *FileServer) Put(path string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.files[path] = append([]byte(nil), data...)
}

// File reads a file.
func (s *FileServer) File(path string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]byte(nil), s.files[path]...)
}

// Log is all commands so far.
func (s *FileServer) Log() []Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Command(nil), s.log...)
}

// run logs a command and lets it take effect.
func (s *FileServer) run(c Command, effect func() error) error {
	s.mu.Lock()
	s.log = append(s.log, c)
	s.mu.Unlock()
	if s.Answer != nil {
		if err := s.Answer(c); err != nil {
			return err
		}
	}
	s.mu.Lock()
	err := effect()
	s.mu.Unlock()
	if err == nil && s.After != nil {
		err = s.After(c)
	}
	return err
}

type handle struct {
	s    *FileServer
	path string
	key  string
}

func (s *FileServer) open(r *sftp.Request) (*handle, error) {
	h := &handle{s: s, path: r.Filepath, key: uploadKey(r.Attrs)}
	err := s.run(Command{Op: "open", Path: h.path, Flags: r.Flags, Key: h.key}, func() error {
		_, there := s.files[h.path]
		if !there && r.Flags&sftpbackend.FlagCreat == 0 {
			return sftp.ErrSSHFxNoSuchFile
		}
		if !there || r.Flags&sftpbackend.FlagTrunc != 0 {
			s.files[h.path] = nil
		}
		return nil
	})
	return h, err
}

// uploadKey reads it from an OPEN whose attributes are extended ones alone.
func uploadKey(attrs []byte) string {
	next := func() (text string) {
		if len(attrs) >= 4 {
			if n := int(binary.BigEndian.Uint32(attrs)); n <= len(attrs)-4 {
				text, attrs = string(attrs[4:4+n]), attrs[4+n:]
			}
		}
		return text
	}
	if len(attrs) < 4 {
		return ""
	}
	count := binary.BigEndian.Uint32(attrs)
	for attrs = attrs[4:]; count > 0; count-- {
		if name, value := next(), next(); name == sftpbackend.UploadKey {
			return value
		}
	}
	return ""
}

func (h *handle) ReadAt(p []byte, off int64) (n int, err error) {
	err = h.s.run(Command{Op: "read", Path: h.path, Bytes: len(p)}, func() error {
		data := h.s.files[h.path]
		if off >= int64(len(data)) {
			return io.EOF
		}
		if n = copy(p, data[off:]); n < len(p) {
			return io.EOF
		}
		return nil
	})
	return n, err
}

func (h *handle) WriteAt(p []byte, off int64) (int, error) {
	err := h.s.run(Command{Op: "write", Path: h.path, Key: h.key, Bytes: len(p)}, func() error {
		if h.s.keys[h.key] {
			return nil
		}
		h.s.keys[h.key] = true
		data := h.s.files[h.path]
		if end := int(off) + len(p); end > len(data) {
			data = append(data, make([]byte, end-len(data))...)
		}
		copy(data[off:], p)
		h.s.files[h.path] = data
		return nil
	})
	return len(p), err
}

// Fileread implements sftp.FileReader.
func (s *FileServer) Fileread(r *sftp.Request) (io.ReaderAt, error) { return s.open(r) }

// Filewrite implements sftp.FileWriter.
func (s *FileServer) Filewrite(r *sftp.Request) (io.WriterAt, error) { return s.open(r) }

// OpenFile implements sftp.OpenFileWriter.
func (s *FileServer) OpenFile(r *sftp.Request) (sftp.WriterAtReaderAt, error) { return s.open(r) }

// Filecmd implements sftp.FileCmder.
func (s *FileServer) Filecmd(*sftp.Request) error { return sftp.ErrSSHFxOpUnsupported }

// Filelist implements sftp.FileLister for STAT.
func (s *FileServer) Filelist(r *sftp.Request) (sftp.ListerAt, error) {
	st := stat{name: r.Filepath}
	err := s.run(Command{Op: "stat", Path: r.Filepath}, func() error {
		data, there := s.files[r.Filepath]
		if !there {
			return sftp.ErrSSHFxNoSuchFile
		}
		st.size = int64(len(data))
		return nil
	})
	return st, err
}

type stat struct {
	name string
	size int64
}

func (s stat) ListAt(out []os.FileInfo, _ int64) (int, error) { out[0] = s; return 1, nil }
func (s stat) Name() string                                   { return s.name }
func (s stat) Size() int64                                    { return s.size }
func (s stat) Mode() os.FileMode                              { return 0o644 }
func (s stat) ModTime() time.Time                             { return time.Unix(1, 0) }
func (s stat) IsDir() bool                                    { return false }
func (s stat) Sys() any                                       { return nil }
