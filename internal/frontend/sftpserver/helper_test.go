package sftpserver_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"testing"

	"github.com/pkg/sftp"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/eventloop"
	"gaugerelay/internal/frontend/sftpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/fakefileserver"
	"gaugerelay/internal/upstream/sftpclient"
)

const startMs = 1.7e12

// Types of packets in SFTP version 3.
const (
	packetInit   = 1
	packetOpen   = 3
	packetClose  = 4
	packetRead   = 5
	packetWrite  = 6
	packetLstat  = 7
	packetRemove = 13
	packetStat   = 17
	packetStatus = 101
	packetHandle = 102
	packetData   = 103
	packetAttrs  = 105
)

// statPacket is a STAT with id 9 of the file /layers/a.
var statPacket = append([]byte{0, 0, 0, 18, packetStat, 0, 0, 0, 9, 0, 0, 0, 9}, "/layers/a"...)

// initPacket is an INIT of version 3.
var initPacket = []byte{0, 0, 0, 5, packetInit, 0, 0, 0, 3}

// startLoop starts an event loop with the settings. The loop runs until the test ends.
func startLoop(t *testing.T, settings scheduler.Settings, now clock.Clock, counters *metrics.Registry) *eventloop.Loop {
	t.Helper()
	sched, err := scheduler.New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := eventloop.New(eventloop.Options{Scheduler: sched, Clock: now, Metrics: counters})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go loop.Run(ctx)
	return loop
}

// serve serves connections until the test ends.
func serve(t *testing.T, server *sftpserver.Server, listener net.Listener) {
	t.Helper()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, net.ErrClosed) {
			t.Errorf("Serve: %v", err)
		}
	}()
}

// dial connects to the address. The connection is closed when the test ends.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// newClient returns an SFTP client of the library that uses the connection.
func newClient(t *testing.T, conn net.Conn) *sftp.Client {
	t.Helper()
	client, err := sftp.NewClientPipe(conn, conn)
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// mustWrite writes bytes to a connection.
func mustWrite(t *testing.T, conn net.Conn, data []byte) {
	t.Helper()
	if _, err := conn.Write(data); err != nil {
		t.Fatal(err)
	}
}

// testGateway is a gateway that serves SFTP and has one fake file server as its storage server.
type testGateway struct {
	t        *testing.T
	clock    *clock.Manual
	loop     *eventloop.Loop
	counters *metrics.Registry
	files    *fakefileserver.Server
	server   *sftpserver.Server
	listener net.Listener
}

func newTestGateway(t *testing.T) *testGateway {
	t.Helper()
	return newTestGatewayWithMemory(t, 0)
}

// newTestGatewayWithMemory returns a gateway whose connections may use the given number of bytes; 0 means no limit.
func newTestGatewayWithMemory(t *testing.T, limit int64) *testGateway {
	t.Helper()
	settings := testbed.Settings(1)
	g := &testGateway{t: t, clock: clock.NewManual(startMs), counters: metrics.New(), files: fakefileserver.New(t),
		listener: testbed.Listen(t)}
	g.loop = startLoop(t, settings, g.clock, g.counters)
	g.setServerState(scheduler.Ready)
	upstream := sftpclient.New(sftpclient.Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxSessions: 64,
		Address: func(*lifecycle.Server) (string, bool) { return g.files.Addr, true }}, g.clock, g.counters, g.loop.Complete)
	g.server = &sftpserver.Server{Loop: g.loop, Upstream: upstream, Clock: g.clock, Metrics: g.counters,
		Options: serverOptions(settings)}
	g.server.Memory = memorybudget.New(limit, g.counters)
	g.server.Memory.AddEvictor(g.server)
	serve(t, g.server, g.listener)
	return g
}

// serverOptions returns the options of a server with the root /layers.
func serverOptions(settings scheduler.Settings) sftpserver.Options {
	return sftpserver.Options{MaxConns: 32, UnitBytes: 1024, ReadClass: settings.Classes[0], WriteClass: settings.Classes[1],
		Shards: 1, MaxUnits: settings.MaxUnits,
		Roots: []sftpserver.Root{{Path: "/layers", Plan: "business", Volume: 7, Gateways: 1}}}
}

// setServerState applies an endpoint list with one server in the given state.
func (g *testGateway) setServerState(state scheduler.ServerState) {
	server := &lifecycle.Server{Name: "n0", Addr: "127.0.0.1:1", State: state}
	g.loop.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Snapshot, Servers: []*lifecycle.Server{server}})
	g.loop.Sync()
}

func (g *testGateway) dial() net.Conn {
	g.t.Helper()
	return dial(g.t, g.listener.Addr().String())
}

func (g *testGateway) dialRaw() rawConn { return rawConn{g.t, g.dial()} }

func (g *testGateway) client() *sftp.Client {
	g.t.Helper()
	return newClient(g.t, g.dial())
}

// waitUntil waits until a condition is true. It has no timeout of its own.
func (g *testGateway) waitUntil(condition func() bool) {
	for !condition() {
		g.loop.Sync()
	}
}

// waitCountedOnce waits until the counter with the given name is 1.
func (g *testGateway) waitCountedOnce(name string) {
	g.waitUntil(func() bool { return g.counters.Get(name) == 1 })
}

// advanceUntil advances the clock in small steps until done yields a value, and returns that value. It advances the clock only while
// requests are queued and no attempt is in flight.
func (g *testGateway) advanceUntil(done chan error) error {
	for {
		select {
		case err := <-done:
			return err
		default:
		}
		if queuedRequests(g.loop, g.counters) > 0 {
			g.clock.Advance(5)
		} else {
			runtime.Gosched() // lets other goroutines make progress
		}
	}
}

// blockCommand makes the file server block the first command with the given op until release is closed. reached is closed when
// that command has arrived.
func (g *testGateway) blockCommand(op fakefileserver.Op) (reached <-chan struct{}, release chan struct{}) {
	arrived, release := make(chan struct{}), make(chan struct{})
	g.files.BeforeEffect = func(command fakefileserver.Command) error {
		if command.Op == op {
			close(arrived)
			<-release
		}
		return nil
	}
	return arrived, release
}

// startShutdown closes the listener and starts to shut down the server. done is closed when the shutdown has finished.
func (g *testGateway) startShutdown() (done <-chan struct{}) {
	g.listener.Close()
	ended := make(chan struct{})
	go func() {
		g.server.Shutdown()
		close(ended)
	}()
	return ended
}

// queuedRequests returns the number of open requests, all of which wait in the scheduler's queue, or -1 while an attempt is in flight.
func queuedRequests(loop *eventloop.Loop, counters *metrics.Registry) int {
	loop.Sync()
	if counters.Get("attempts_started") != endedAttempts(counters) {
		return -1
	}
	return loop.OpenRequests()
}

// endedAttempts returns the number of attempts that have ended.
func endedAttempts(counters *metrics.Registry) (n int64) {
	for _, status := range []string{"ok", "error", "overloaded", "timed_out", "connect_failed", "connection_reset", "canceled", "not_sent"} {
		n += counters.Get("attempts_" + status)
	}
	return n
}

// statusOf returns the status code in an error that the library's client has returned, or StatusOK if the error has none.
func statusOf(err error) sftpwire.StatusCode {
	var status *sftp.StatusError
	switch {
	case errors.As(err, &status):
		return sftpwire.StatusCode(status.Code)
	case errors.Is(err, os.ErrNotExist):
		return sftpwire.StatusNoSuchFile
	case errors.Is(err, os.ErrPermission):
		return sftpwire.StatusPermissionDenied
	}
	return sftpwire.StatusOK
}

// errorOf returns the second result of a call with two results.
func errorOf[T any](_ T, err error) error { return err }

// rawConn is a client's connection for packets that the test builds itself.
type rawConn struct {
	t *testing.T
	net.Conn
}

func (c rawConn) send(packetType byte, body []byte) {
	c.t.Helper()
	packet := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
	mustWrite(c.t, c, append(append(packet, packetType), body...))
}

// receive receives a packet, which must have the given type and id, and returns the bytes after the id.
func (c rawConn) receive(packetType byte, id uint32) []byte {
	c.t.Helper()
	var header [9]byte // length, type, id
	if _, err := io.ReadFull(c, header[:]); err != nil || header[4] != packetType || binary.BigEndian.Uint32(header[5:]) != id {
		c.t.Fatalf("received header %x, error %v; want type %d, id %d", header, err, packetType, id)
	}
	body := make([]byte, binary.BigEndian.Uint32(header[:])-5)
	if _, err := io.ReadFull(c, body); err != nil {
		c.t.Fatal(err)
	}
	return body
}

// receiveStatus receives a STATUS, which must have the given id, and returns its code.
func (c rawConn) receiveStatus(id uint32) sftpwire.StatusCode {
	c.t.Helper()
	return sftpwire.StatusCode(binary.BigEndian.Uint32(c.receive(packetStatus, id)))
}

// appendString appends a string in the encoding of SFTP: its length, then its bytes.
func appendString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}
