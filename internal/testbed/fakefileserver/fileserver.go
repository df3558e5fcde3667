// Package fileserver is a stand-in for the file port of a storage node: SFTP packets over loopback.
package fakefileserver

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/pkg/sftp"

	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/testbed"
)

// Op is the kind of a command.
type Op string

// The commands that the server executes.
const (
	OpOpen  Op = "open"
	OpRead  Op = "read"
	OpWrite Op = "write"
	OpStat  Op = "stat"
)

// Command is a command that the server has received.
type Command struct {
	Op           Op
	Path         string
	Flags        uint32 // of an open
	UploadKey    string // of an open or a write; empty if the client gave none
	Bytes        int    // of a read or a write
	Data         []byte // of a write
	Deduplicated bool   // of a write: it was dropped because its upload key had been seen
}

// Server keeps files in memory. It drops a WRITE whose upload key it has seen.
type Server struct {
	Addr string
	// BeforeEffect, if set, is asked before each command takes effect; its error is the answer.
	BeforeEffect func(Command) error
	// AfterEffect, if set, is asked once it has taken effect.
	AfterEffect func(Command) error

	mu    sync.Mutex
	files map[string][]byte
	keys  map[string]bool
	log   []Command
}

// New starts a file server that ends with the test.
func New(t testing.TB) *Server {
	t.Helper()
	s := NewUnstarted()
	s.Addr = testbed.Serve(t, s.handle)
	return s
}

// NewUnstarted is a file server that serves what Serve is given: several ports may share its files, as the nodes of one
// cell do.
func NewUnstarted() *Server { return &Server{files: map[string][]byte{}, keys: map[string]bool{}} }

func (s *Server) handle(c net.Conn) {
	sftp.NewRequestServer(c, sftp.Handlers{FileGet: s, FilePut: s, FileCmd: s, FileList: s},
		sftp.WithRSMaxTxPacket(sftpwire.MaxData)).Serve()
}

// Serve serves a port until its listener closes, and then resets its connections.
func (s *Server) Serve(ln net.Listener) {
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		open = append(open, c)
		go s.handle(c)
	}
}

// Put sets a file.
func (s *Server) Put(path string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.files[path] = append([]byte(nil), data...)
}

// File reads a file.
func (s *Server) File(path string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]byte(nil), s.files[path]...)
}

// Commands is all commands so far.
func (s *Server) Commands() []Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Command(nil), s.log...)
}

// run logs a command and lets it take effect.
func (s *Server) run(c *Command, effect func() error) error {
	s.mu.Lock()
	s.log = append(s.log, *c)
	s.mu.Unlock()
	if s.BeforeEffect != nil {
		if err := s.BeforeEffect(*c); err != nil {
			return err
		}
	}
	s.mu.Lock()
	err := effect()
	s.mu.Unlock()
	if err == nil && s.AfterEffect != nil {
		err = s.AfterEffect(*c)
	}
	return err
}

type handle struct {
	s    *Server
	path string
	key  string
}

func (s *Server) open(r *sftp.Request) (*handle, error) {
	h := &handle{s: s, path: r.Filepath, key: uploadKey(r.Attrs)}
	err := s.run(&Command{Op: OpOpen, Path: h.path, Flags: r.Flags, UploadKey: h.key}, func() error {
		_, there := s.files[h.path]
		if !there && r.Flags&sftpwire.FlagCreate == 0 {
			return sftp.ErrSSHFxNoSuchFile
		}
		if !there || r.Flags&sftpwire.FlagTruncate != 0 {
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
		if name, value := next(), next(); name == sftpwire.AttrUploadKey {
			return value
		}
	}
	return ""
}

func (h *handle) ReadAt(p []byte, off int64) (n int, err error) {
	err = h.s.run(&Command{Op: OpRead, Path: h.path, Bytes: len(p)}, func() error {
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
	c := Command{Op: OpWrite, Path: h.path, UploadKey: h.key, Bytes: len(p), Data: append([]byte(nil), p...)}
	err := h.s.run(&c, func() error {
		if h.s.keys[h.key] {
			c.Deduplicated = true
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
func (s *Server) Fileread(r *sftp.Request) (io.ReaderAt, error) { return s.open(r) }

// Filewrite implements sftp.FileWriter.
func (s *Server) Filewrite(r *sftp.Request) (io.WriterAt, error) { return s.open(r) }

// OpenFile implements sftp.OpenFileWriter.
func (s *Server) OpenFile(r *sftp.Request) (sftp.WriterAtReaderAt, error) { return s.open(r) }

// Filecmd implements sftp.FileCmder.
func (s *Server) Filecmd(*sftp.Request) error { return sftp.ErrSSHFxOpUnsupported }

// Filelist implements sftp.FileLister for STAT.
func (s *Server) Filelist(r *sftp.Request) (sftp.ListerAt, error) {
	st := stat{name: r.Filepath}
	err := s.run(&Command{Op: OpStat, Path: r.Filepath}, func() error {
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
