package sftpclient

import (
	"encoding/binary"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/testbed"
)

// Times on the clock of the tests, in milliseconds.
const (
	startMs         = 1e12
	startDeadlineMs = 1.5e12
	deadlineMs      = 2e12
)

// newTestClient returns a client whose servers all have the address, and the results of its attempts.
func newTestClient(c clock.Clock, address string, maxSessions int) (*Client, <-chan lifecycle.AttemptResult) {
	results := make(chan lifecycle.AttemptResult, 2)
	client := New(Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxSessions: maxSessions,
		Address: func(*lifecycle.Server) (string, bool) { return address, true }}, c, metrics.New(),
		func(_ lifecycle.Attempt, result lifecycle.AttemptResult) { results <- result })
	return client, results
}

// writePacket writes a packet of a fake server.
func writePacket(t *testing.T, conn net.Conn, p packet) {
	t.Helper()
	if _, err := conn.Write(p.finish()); err != nil {
		t.Errorf("fake server: %v", err)
	}
}

// readPacketOf reads a packet that a fake server expects, and returns its body.
func readPacketOf(t *testing.T, conn net.Conn, packetType byte) []byte {
	t.Helper()
	got, body, err := readPacket(conn)
	if err != nil || got != packetType {
		t.Errorf("fake server: packet of type %d, want %d: %v", got, packetType, err)
	}
	return body
}

func TestSessionsExpireAndAreLimited(t *testing.T) {
	server, now := newScriptedServer(t), clock.NewManual(startMs)
	client, results := newTestClient(now, server.address, 1)
	defer client.Close()
	attempt := lifecycle.Attempt{
		Request:    &lifecycle.Request{Payload: &sftpwire.Command{Op: sftpwire.OpRead, Path: "/a", Length: 4}},
		Server:     &lifecycle.Server{},
		DeadlineMs: deadlineMs,
	}
	waitIdle := func() *session {
		for {
			client.sessions.mu.Lock()
			idle := client.sessions.idle[server.address]
			client.sessions.mu.Unlock()
			if len(idle) > 0 {
				return idle[0]
			}
			runtime.Gosched()
		}
	}
	server.script <- respondOK
	server.script <- respondOK
	client.Start(attempt)
	if result := <-results; result.Status != scheduler.StatusOK {
		t.Fatalf("status %d", result.Status)
	}
	first := waitIdle()
	now.Advance(18001)
	server.script <- respondOK
	client.Start(attempt) // its READ waits for a response: the script has none yet
	for len(server.script) > 0 {
		runtime.Gosched()
	}
	client.Start(attempt)
	if result := <-results; result.Status != scheduler.StatusOverloaded {
		t.Errorf("over the limit: status %d", result.Status)
	}
	server.script <- respondOK
	if result := <-results; result.Status != scheduler.StatusOK || waitIdle() == first {
		t.Errorf("status %d, the expired session was used: %v", result.Status, waitIdle() == first)
	}
}

// TestIncompleteWriteHasNotExecuted checks that a WRITE during which the server disconnects is reported as not executed,
// and once.
func TestIncompleteWriteHasNotExecuted(t *testing.T) {
	address := testbed.Serve(t, func(conn net.Conn) {
		readPacketOf(t, conn, typeInit)
		writePacket(t, conn, newPacket(typeVersion, protocolVersion))
		body := readPacketOf(t, conn, typeOpen)
		writePacket(t, conn, newPacket(typeHandle, binary.BigEndian.Uint32(body)).string("h"))
		if _, err := conn.Read(make([]byte, 10)); err != nil {
			t.Errorf("fake server: %v", err)
		}
	})
	client, results := newTestClient(clock.NewManual(startMs), address, 1)
	command := &sftpwire.Command{Op: sftpwire.OpWrite, Path: "/a", UploadKey: "k",
		Data: make([]byte, 32<<20)} // more than the sockets buffer
	client.Start(lifecycle.Attempt{Request: &lifecycle.Request{Payload: command}, Server: &lifecycle.Server{},
		DeadlineMs: deadlineMs})
	if result := <-results; result.Status != scheduler.StatusOverloaded {
		t.Errorf("status %d", result.Status)
	}
	for open := true; open; { // the attempt has ended when its session is discarded
		client.sessions.mu.Lock()
		open = client.sessions.count > 0
		client.sessions.mu.Unlock()
	}
	if len(results) != 0 {
		t.Error("a second result")
	}
}

// TestAuthorizationIsCheckedAfterConnecting checks that nothing is sent if the client disconnects or the start deadline
// passes while the session is opened, whatever the command.
func TestAuthorizationIsCheckedAfterConnecting(t *testing.T) {
	for name, c := range map[string]struct {
		whileConnecting func(canceled, expired *atomic.Bool)
		want            scheduler.Status
	}{
		"client disconnected": {func(canceled, _ *atomic.Bool) { canceled.Store(true) }, scheduler.StatusCanceled},
		"start deadline":      {func(_, expired *atomic.Bool) { expired.Store(true) }, scheduler.StatusOverloaded},
	} {
		for _, op := range []sftpwire.Op{sftpwire.OpOpen, sftpwire.OpRead, sftpwire.OpWrite, sftpwire.OpStat} {
			t.Run(fmt.Sprint(name, " ", op), func(t *testing.T) {
				var canceled, expired atomic.Bool
				received := make(chan int, 1)
				address := testbed.Serve(t, func(conn net.Conn) {
					readPacketOf(t, conn, typeInit)
					c.whileConnecting(&canceled, &expired)
					writePacket(t, conn, newPacket(typeVersion, protocolVersion))
					n, _ := conn.Read(make([]byte, 1)) // the connection ends without a byte
					received <- n
				})
				client, results := newTestClient(expiringClock{clock.NewManual(startMs), &expired}, address, 1)
				client.Start(lifecycle.Attempt{
					Request: &lifecycle.Request{Payload: &sftpwire.Command{Op: op, Path: "/a", UploadKey: "k"},
						ClientDisconnected: canceled.Load},
					Server:          &lifecycle.Server{},
					DeadlineMs:      deadlineMs,
					StartDeadlineMs: startDeadlineMs,
				})
				if result := <-results; result.Status != c.want {
					t.Errorf("status %v, want %v", result.Status, c.want)
				}
				client.Close()
				if n := <-received; n != 0 {
					t.Error("the server received a packet")
				}
			})
		}
	}
}

// TestAuthorizationIsCheckedAfterOpen checks that no READ or WRITE is sent if the start deadline passes during the OPEN.
func TestAuthorizationIsCheckedAfterOpen(t *testing.T) {
	for _, op := range []sftpwire.Op{sftpwire.OpRead, sftpwire.OpWrite} {
		t.Run(op.String(), func(t *testing.T) {
			var expired atomic.Bool
			received := make(chan int, 1)
			address := testbed.Serve(t, func(conn net.Conn) {
				readPacketOf(t, conn, typeInit)
				writePacket(t, conn, newPacket(typeVersion, protocolVersion))
				body := readPacketOf(t, conn, typeOpen)
				expired.Store(true)
				writePacket(t, conn, newPacket(typeHandle, binary.BigEndian.Uint32(body)).string("h"))
				n, _ := conn.Read(make([]byte, 1)) // the connection ends without a byte
				received <- n
			})
			client, results := newTestClient(expiringClock{clock.NewManual(startMs), &expired}, address, 1)
			defer client.Close()
			client.Start(lifecycle.Attempt{
				Request:         &lifecycle.Request{Payload: &sftpwire.Command{Op: op, Path: "/a", UploadKey: "k"}},
				Server:          &lifecycle.Server{},
				DeadlineMs:      deadlineMs,
				StartDeadlineMs: startDeadlineMs,
			})
			if result := <-results; result.Status != scheduler.StatusOverloaded {
				t.Errorf("status %v", result.Status)
			}
			if n := <-received; n != 0 {
				t.Error("the server received a packet after the OPEN")
			}
		})
	}
}

// TestUnrequestedDataIsMalformed checks that data which a command did not request is not passed on.
func TestUnrequestedDataIsMalformed(t *testing.T) {
	for name, command := range map[string]*sftpwire.Command{
		"read of fewer bytes": {Op: sftpwire.OpRead, Path: "/a", Length: 3},
		"write":               {Op: sftpwire.OpWrite, Path: "/a", Data: []byte("data")},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := recordPackets(t, [][]byte{hexBytes(t, "66 00000002 6831"), hexBytes(t, "67 00000004 64617461")})
			client, results := newTestClient(clock.NewManual(startMs), address, 1)
			defer client.Close()
			client.Start(lifecycle.Attempt{Request: &lifecycle.Request{Payload: command}, Server: &lifecycle.Server{},
				DeadlineMs: deadlineMs})
			if result := <-results; result.Status != scheduler.StatusError || result.Body != nil {
				t.Errorf("status %v, body %v", result.Status, result.Body)
			}
		})
	}
}

// expiringClock is a clock that jumps to the start deadline once expired is set.
type expiringClock struct {
	*clock.Manual
	expired *atomic.Bool
}

func (c expiringClock) NowMs() float64 {
	if c.expired.Load() {
		return startDeadlineMs
	}
	return c.Manual.NowMs()
}
