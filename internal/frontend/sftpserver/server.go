// Package sftpserver is the frontend for SFTP version 3 over plain TCP, without SSH. It submits each READ, WRITE, STAT and OPEN
// to the event loop as a request of its own, and writes one response to each.
//
// A Server owns its connections: one goroutine serves each of them, and github.com/pkg/sftp's RequestServer, which parses the
// packets, starts its workers below that. Shutdown and Close wait for all of them. A client that disconnects cancels its
// requests; when the server shuts down, the commands that were received to their last byte are still answered.
//
// Responses are mapped to status codes as follows:
//
//	SSH_FX_OK, SSH_FX_EOF, SSH_FX_NO_SUCH_FILE,
//	SSH_FX_PERMISSION_DENIED, SSH_FX_OP_UNSUPPORTED  the status of the storage server
//	SSH_FX_NO_SUCH_FILE                              the path is below no root
//	SSH_FX_FAILURE "busy, ... retry after N ms"      rejected: it has not taken effect
//	SSH_FX_FAILURE "failed ..."                      failed, or no response in time: it may have taken effect
//	SSH_FX_BAD_MESSAGE                               malformed: over 64 KiB, a negative offset, a NUL in a path
//	SSH_FX_OP_UNSUPPORTED                            commands that are not supported, and appending
package sftpserver

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"

	"github.com/pkg/sftp"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend"
	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/socketstate"
)

// Names of counters.
const (
	connectionsAccepted = "file_connections"
	commandsTruncated   = "file_commands_truncated"
	commandsMalformed   = "file_commands_malformed"
	writesRejoined      = "file_writes_rejoined"
)

// Root maps a directory, with all that is below it, to the volume that its requests draw on.
type Root struct {
	// Path is absolute and clean. Of several roots that contain a file, the longest counts.
	Path string
	// Plan is the name of a plan from the scheduler's settings.
	Plan   string
	Volume uint64
	// Gateways is the number of gateways through which the volume's requests come, by any protocol.
	Gateways int
}

// Options configure a Server.
type Options struct {
	// MaxConns bounds the connections that are served at once. Further clients wait to be accepted.
	MaxConns int
	// UnitBytes is the amount of data that counts as one unit of a request's size.
	UnitBytes float64
	// ReadClass is the class of READ, STAT and of an OPEN that only reads; WriteClass is that of the other commands.
	ReadClass, WriteClass scheduler.Class
	Roots                 []Root
	// Shards is the number of shards that the files are distributed over, by path.
	Shards int
	// MaxUnits bounds the size of a request.
	MaxUnits float64
	// RetentionMs is how long, after its deduplication window, a WRITE of a lost connection is recognized when it is sent
	// again over a new connection. It then joins the exchange of the first one. 0 means that there is no exchange store and
	// that such a WRITE counts as new.
	RetentionMs float64
}

// Server serves SFTP connections. Its exported fields are set before the first call of Serve. Its methods may be called from
// any goroutine.
type Server struct {
	Options
	Loop     frontend.Loop
	Upstream lifecycle.Upstream
	Clock    clock.Clock
	Metrics  *metrics.Registry

	serving sync.WaitGroup // goroutines of connections
	writes  writeHistory

	mu       sync.Mutex
	conns    map[*conn]bool
	draining bool
}

// Serve accepts connections until the listener is closed, and returns the listener's error.
func (s *Server) Serve(listener net.Listener) error {
	// netutil.LimitListener does not fit: it hides the methods of *net.TCPConn that close the sending side alone and that
	// show whether the peer has closed its own.
	slots := make(chan struct{}, s.MaxConns)
	for {
		slots <- struct{}{}
		accepted, err := listener.Accept()
		if err != nil {
			return err
		}
		s.serving.Add(1)
		go func() {
			defer func() { <-slots }()
			s.serveConn(accepted)
		}()
	}
}

// Shutdown closes the idle connections, lets the others finish the commands that they have received, and waits for them. The
// listener must be closed before.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.draining = true
	for c := range s.conns {
		c.stopReading()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

// Close closes all connections at once, whatever they have received, and waits for their goroutines. A connection that is
// accepted later is not read.
func (s *Server) Close() {
	s.mu.Lock()
	s.draining = true
	for c := range s.conns {
		c.abort()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

// serveConn serves a connection to its end.
func (s *Server) serveConn(accepted net.Conn) {
	defer s.serving.Done()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newConn(accepted, cancel)
	s.register(c)
	defer s.closeAndUnregister(c)
	s.Metrics.Add(connectionsAccepted, 1)
	clientHost, _, _ := net.SplitHostPort(accepted.RemoteAddr().String()) // "" for a network without ports
	h := &handler{
		server:       s,
		clientHost:   clientHost,
		disconnected: ctx.Done(),
		peerClosed:   func() bool { return socketstate.PeerClosed(accepted) },
	}
	err := sftp.NewRequestServer(c, sftp.Handlers{FileGet: h, FilePut: h, FileCmd: h, FileList: h},
		sftp.WithRSMaxTxPacket(sftpwire.MaxData)).Serve()
	c.waitForResponses()
	s.reportEnd(c, err)
}

// register adds a connection to those that Shutdown and Close end.
func (s *Server) register(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*conn]bool{}
	}
	s.conns[c] = true
	if s.draining {
		c.stopReading()
	}
}

// closeAndUnregister closes a connection. The client may have sent more than was read: a plain close would reset the
// connection, and the client could lose its last response.
func (s *Server) closeAndUnregister(c *conn) {
	gracefulclose.Close(c.Conn)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// reportEnd logs the end of a connection unless it is an ordinary one. err is what the connection was served to.
func (s *Server) reportEnd(c *conn, err error) {
	client := c.RemoteAddr().String()
	if truncated, packetType := c.received.truncated(); truncated {
		// The command never became a request, so nothing else counts it.
		s.Metrics.Add(commandsTruncated, 1)
		slog.Info(logevent.SFTPClientError, logevent.Client, client, logevent.Reason, "cut off inside a packet", "type", packetType)
		return
	}
	if !isOrdinaryEnd(err) {
		slog.Info(logevent.SFTPClientError, logevent.Client, client, logevent.Error, err)
	}
}

// isOrdinaryEnd reports whether a connection was closed by its client or by the server's own shutdown.
func isOrdinaryEnd(err error) bool {
	return errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) || // the library's error if handles were open
		errors.Is(err, net.ErrClosed) ||
		errors.Is(err, os.ErrDeadlineExceeded)
}
