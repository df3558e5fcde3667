// Package fakefileserver is a fake of the file port of storage servers. It serves SFTP on any listener.
//
// The package owns the files, which are kept in memory, and a log of all commands. A [Server] handles each connection in a
// separate goroutine, which ends with the connection.
package fakefileserver

import (
	"net"
	"sync"
	"testing"

	"github.com/pkg/sftp"

	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/testbed"
)

// Op is the operation of a command.
type Op string

// The operations that the server supports.
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
	Flags        uint32 // flags of an OPEN
	UploadKey    string // upload key of an open or a write; empty if the client sent none
	Bytes        int    // number of bytes of a read or a write
	Data         []byte // data of a write
	Deduplicated bool   // whether a write was dropped because of an earlier write with its upload key; set only for AfterEffect
}

// Server keeps files in memory. It drops a WRITE whose upload key it has received before. A missing key counts as a key too: of all
// WRITEs without one, only the first is executed. The methods of Server are safe for concurrent use. The exported fields must not
// change while the server has connections.
type Server struct {
	// Addr is the address of a server that New has started; otherwise it is empty.
	Addr string
	// BeforeEffect, if set, is called before each command takes effect. If it returns an error, the server sends that error as the
	// response, and the command has no effect.
	BeforeEffect func(Command) error
	// AfterEffect, if set, is called after each command that did not fail, including a dropped WRITE. If it returns an error, the
	// server sends that error as the response.
	AfterEffect func(Command) error

	mu         sync.Mutex        // guards the fields below
	files      map[string][]byte // content of the files, by path
	uploadKeys map[string]bool   // upload keys of the writes executed so far
	commands   []Command
}

// New starts a file server on a loopback port. Its listener is closed at the end of the test.
func New(t testing.TB) *Server {
	t.Helper()
	s := NewUnstarted()
	s.Addr = testbed.Serve(t, s.handle)
	return s
}

// NewUnstarted returns a file server without a listener. Serve can be called for several listeners, which then share the files
// like the servers of one shard.
func NewUnstarted() *Server {
	return &Server{files: map[string][]byte{}, uploadKeys: map[string]bool{}}
}

// handle serves a connection until it ends.
func (s *Server) handle(conn net.Conn) {
	server := sftp.NewRequestServer(conn, sftp.Handlers{FileGet: s, FilePut: s, FileCmd: s, FileList: s},
		sftp.WithRSMaxTxPacket(sftpwire.MaxData))
	_ = server.Serve() // Serve returns an error when a test breaks the connection.
}

// Serve serves a listener until the listener is closed, and then closes the connections accepted from it.
func (s *Server) Serve(listener net.Listener) {
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		conns = append(conns, conn)
		go s.handle(conn)
	}
}

// Put sets the content of a file.
func (s *Server) Put(path string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.files[path] = append([]byte(nil), data...)
}

// File returns the content of a file, or nil if it does not exist.
func (s *Server) File(path string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]byte(nil), s.files[path]...)
}

// Commands returns all commands received so far.
func (s *Server) Commands() []Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Command(nil), s.commands...)
}

// execute logs a command and applies its effect, with the calls of BeforeEffect and AfterEffect around it. effect is called with
// s.mu held and may change the command.
func (s *Server) execute(c *Command, effect func() error) error {
	s.mu.Lock()
	s.commands = append(s.commands, *c)
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
