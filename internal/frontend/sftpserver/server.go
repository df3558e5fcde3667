// Package sftpserver is the frontend for SFTP version 3 over plain TCP, without SSH. It submits each READ, WRITE, STAT and OPEN
// to the event loop as a separate request, and writes one response to each.
//
// A Server owns its connections. One goroutine serves each connection; it runs the RequestServer of github.com/pkg/sftp, which
// parses the packets and starts worker goroutines. Shutdown and Close wait for all of these goroutines. When a client
// disconnects, its requests are canceled. When the server shuts down, commands that were received completely are still answered.
//
// Responses are mapped to status codes as follows:
//
//	SSH_FX_OK, SSH_FX_EOF, SSH_FX_NO_SUCH_FILE,
//	SSH_FX_PERMISSION_DENIED, SSH_FX_OP_UNSUPPORTED  the status of the storage server
//	SSH_FX_NO_SUCH_FILE                              the path is not below any root
//	SSH_FX_FAILURE "busy, ... retry after N ms"      rejected: the command had no effect
//	SSH_FX_FAILURE "failed ..."                      failed, or no response in time: the command may have taken effect
//	SSH_FX_BAD_MESSAGE                               malformed: over 64 KiB, a negative offset, a path that is too long or has a NUL
//	SSH_FX_OP_UNSUPPORTED                            unsupported command, or an OPEN for appending
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
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/socketstate"
	"gaugerelay/internal/workbudget"
)

// Names of counters.
const (
	connectionsAccepted    = "file_connections"
	commandsTruncated      = "file_commands_truncated"
	commandsMalformed      = "file_commands_malformed"
	connectionsEvicted     = "file_connections_evicted"
	connectionsTooMuchWork = "file_connections_too_much_work"
	opensWithoutMemory     = "file_opens_without_memory"
	packetsWithoutMemory   = "file_packets_without_memory"
	writesRejoined         = "file_writes_rejoined"
	writesNotRejoined      = "file_writes_not_rejoined"
	writesRestored         = "file_writes_restored"
)

// Root assigns a directory and everything below it to a volume. The requests for its files count against that volume.
type Root struct {
	// Path is absolute and clean. If several roots contain a file, the one with the longest path applies.
	Path string
	// Plan is the name of a plan from the scheduler's settings.
	Plan   string
	Volume uint64
	// Gateways is the number of gateways that receive requests for the volume, over any protocol.
	Gateways int
}

// Options configure a Server.
type Options struct {
	// MaxConns bounds the number of connections that are served at once. Further clients wait to be accepted.
	MaxConns int
	// UnitBytes is the number of data bytes that count as one unit of a request's size.
	UnitBytes float64
	// ReadClass is the class of READ, STAT and OPEN for reading only. WriteClass is the class of the other commands.
	ReadClass, WriteClass scheduler.Class
	Roots                 []Root
	// Shards is the number of shards. Each file is assigned to a shard by a hash of its path.
	Shards int
	// MaxHandleBytes bounds the memory of the open handles of all connections, in bytes. 0 means that only Server.Memory bounds it.
	MaxHandleBytes int
	// MaxUnits bounds the size of a request, in units.
	MaxUnits float64
	// RetentionMs is how long after its deduplication window a WRITE can still be recognized as a retransmission when the
	// client has lost the connection and sends the WRITE again over a new one. The retransmission joins the exchange of the
	// first transmission. 0 means that there is no exchange store: such a WRITE is then treated as a new one.
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
	// Memory bounds the memory of commands together with that of other users. nil means that there is no bound.
	Memory *memorybudget.Budget
	// Work bounds the work of connections together with that of other frontends. nil means that there is no bound.
	Work *workbudget.Budget

	serving sync.WaitGroup // goroutines that run serveConn
	history fileHistory
	handles handleTable

	mu       sync.Mutex
	conns    map[*conn]bool
	draining bool
}

// retentionPeriods returns the times for which a WRITE can be recognized as a retransmission.
func (s *Server) retentionPeriods() retentionPeriods {
	windowMs := clock.Ms(s.WriteClass.DedupWindow)
	periods := retentionPeriods{sameHandleMs: windowMs}
	if s.RetentionMs > 0 {
		periods.otherHandleMs = windowMs + s.RetentionMs
	}
	return periods
}

// Serve accepts connections until the listener is closed, and returns the listener's error.
func (s *Server) Serve(listener net.Listener) error {
	// netutil.LimitListener is not suitable: it hides the methods of *net.TCPConn that are needed to close only the sending
	// side and to detect that the client has closed the connection.
	slots := make(chan struct{}, s.MaxConns)
	s.openAccounts()
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

// openAccounts opens the accounts of what is kept for all connections together, unless that has been done.
func (s *Server) openAccounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handles.memory == nil {
		s.handles.memory, s.history.memory = s.Memory.NewAccount(), s.Memory.NewAccount()
	}
}

// Shutdown closes idle connections, answers the commands that the other connections have received, and waits until all connections
// have ended. The caller must close the listener first.
func (s *Server) Shutdown() { s.endConns((*conn).stopReading) }

// Close closes all connections at once, even if received commands are unanswered, and waits for their goroutines. Connections that
// are accepted later are not read.
func (s *Server) Close() { s.endConns((*conn).abort) }

// endConns calls end for each connection and waits for their goroutines.
func (s *Server) endConns(end func(*conn)) {
	s.mu.Lock()
	s.draining = true
	for c := range s.conns {
		end(c)
	}
	s.mu.Unlock()
	s.serving.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handles.memory.Close()
	s.history.memory.Close()
}

// serveConn serves a connection until it ends.
func (s *Server) serveConn(accepted net.Conn) {
	defer s.serving.Done()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newConn(accepted, cancel)
	c.memory.account, c.memory.metrics, c.memory.ended = s.Memory.NewAccount(), s.Metrics, ctx.Done()
	c.memory.account.Force(connBytes)
	defer c.memory.account.Close()
	c.work = s.Work.Open(accepted.RemoteAddr())
	defer c.work.Close()
	s.register(c)
	defer s.closeAndUnregister(c)
	s.Metrics.Add(connectionsAccepted, 1)
	clientHost, _, _ := net.SplitHostPort(accepted.RemoteAddr().String()) // "" if the address has no port
	h := &handler{
		server:       s,
		account:      c.memory.account,
		clientHost:   clientHost,
		disconnected: ctx.Done(),
		peerClosed:   func() bool { return socketstate.PeerClosed(accepted) },
	}
	err := sftp.NewRequestServer(c, sftp.Handlers{FileGet: h, FilePut: h, FileCmd: h, FileList: h},
		sftp.WithRSMaxTxPacket(sftpwire.MaxData)).Serve()
	s.reportConnEnd(c, err)
}

// register adds a connection to s.conns, so that Shutdown and Close end it. If either has already been called, register stops
// reading from the connection.
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

// closeAndUnregister closes a connection gracefully. A plain close would reset the connection if the client has sent more than
// was read, and the client could lose its last response.
func (s *Server) closeAndUnregister(c *conn) {
	gracefulclose.Close(c.Conn)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// reportConnEnd counts and logs a connection that ended inside a packet, and logs one that ended with an unexpected error. err
// is the result of the library's Serve.
func (s *Server) reportConnEnd(c *conn, err error) {
	client := c.RemoteAddr().String()
	if truncated, packetType := c.received.truncated(); truncated {
		// The command was not submitted as a request, so no other counter includes it.
		s.Metrics.Add(commandsTruncated, 1)
		slog.Info(logevent.SFTPClientError, logevent.Client, client,
			logevent.Reason, "connection ended inside a packet", logevent.PacketType, packetType)
		return
	}
	if !isNormalEnd(err) {
		slog.Info(logevent.SFTPClientError, logevent.Client, client, logevent.Error, err)
	}
}

// isNormalEnd reports whether err shows that a connection was closed by its client or by the server's own shutdown.
func isNormalEnd(err error) bool {
	return errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) || // returned by the library if handles were still open
		errors.Is(err, net.ErrClosed) ||
		errors.Is(err, os.ErrDeadlineExceeded)
}
