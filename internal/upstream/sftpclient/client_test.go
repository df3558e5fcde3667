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

// newTestClient returns a client that reaches every server at address, and a channel with the results of its attempts.
func newTestClient(c clock.Clock, address string, maxSessions int) (*Client, <-chan lifecycle.AttemptResult) {
	results := make(chan lifecycle.AttemptResult, 2)
	client := New(Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxSessions: maxSessions,
		Address: func(*lifecycle.Server) (string, bool) { return address, true }}, c, metrics.New(),
		func(_ lifecycle.Attempt, result lifecycle.AttemptResult) { results <- result })
	return client, results
}

// writePacket sends a packet from a fake server.
func writePacket(t *testing.T, conn net.Conn, p packet) {
	t.Helper()
	if _, err := conn.Write(p.finish()); err != nil {
		t.Errorf("fake server could not write a packet: %v", err)
	}
}

// expectPacket reads a packet on a fake server, checks its type and returns its body.
func expectPacket(t *testing.T, conn net.Conn, packetType byte) []byte {
	t.Helper()
	got, body, err := readPacket(conn)
	if err != nil || got != packetType {
		t.Errorf("fake server got a packet of type %d, want type %d; error: %v", got, packetType, err)
	}
	return body
}

// TestSessionsExpireAndAreLimited checks that an idle session is not used again after ConnIdleTimeoutMs *
// upstream.IdleTimeoutFraction, which is 18 s here, and that an attempt that would need a session above MaxSessions is
// not executed.
func TestSessionsExpireAndAreLimited(t *testing.T) {
	server, now := newScriptedServer(t), clock.NewManual(startMs)
	client, results := newTestClient(now, server.address, 1)
	defer client.Close()
	attempt := lifecycle.Attempt{
		Request:    &lifecycle.Request{Payload: &sftpwire.Command{Op: sftpwire.OpRead, Path: "/a", Length: 4}},
		Server:     &lifecycle.Server{},
		DeadlineMs: deadlineMs,
	}
	waitForIdleSession := func() *session {
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
		t.Fatalf("first attempt: got status %d, want StatusOK", result.Status)
	}
	first := waitForIdleSession()
	now.Advance(18001)
	server.script <- respondOK
	client.Start(attempt) // its READ gets no response until the script is extended below
	for len(server.script) > 0 {
		runtime.Gosched()
	}
	client.Start(attempt)
	if result := <-results; result.Status != scheduler.StatusOverloaded {
		t.Errorf("attempt above the session limit: got status %d, want StatusOverloaded", result.Status)
	}
	server.script <- respondOK
	if result := <-results; result.Status != scheduler.StatusOK || waitForIdleSession() == first {
		t.Errorf("second attempt: got status %d, want StatusOK; expired session was reused: %v, want false", result.Status,
			waitForIdleSession() == first)
	}
}

// TestIncompleteWriteHasNotExecuted checks that a WRITE is reported exactly once, as not executed, if the server disconnects
// before it has received the whole packet.
func TestIncompleteWriteHasNotExecuted(t *testing.T) {
	address := testbed.Serve(t, func(conn net.Conn) {
		expectPacket(t, conn, typeInit)
		writePacket(t, conn, newPacket(typeVersion, protocolVersion))
		body := expectPacket(t, conn, typeOpen)
		writePacket(t, conn, newPacket(typeHandle, binary.BigEndian.Uint32(body)).string("h"))
		if _, err := conn.Read(make([]byte, 10)); err != nil {
			t.Errorf("fake server could not read the start of the WRITE: %v", err)
		}
	})
	client, results := newTestClient(clock.NewManual(startMs), address, 1)
	command := &sftpwire.Command{Op: sftpwire.OpWrite, Path: "/a", UploadKey: "k",
		Data: make([]byte, 32<<20)} // more than the socket buffers hold
	client.Start(lifecycle.Attempt{Request: &lifecycle.Request{Payload: command}, Server: &lifecycle.Server{},
		DeadlineMs: deadlineMs})
	if result := <-results; result.Status != scheduler.StatusOverloaded {
		t.Errorf("got status %d, want StatusOverloaded", result.Status)
	}
	for open := true; open; { // waits until the attempt's goroutine has discarded the session; it reports no result after that
		client.sessions.mu.Lock()
		open = client.sessions.openSessions > 0
		client.sessions.mu.Unlock()
	}
	if len(results) != 0 {
		t.Error("the attempt was reported twice, want once")
	}
}

// TestAuthorizationIsCheckedAfterConnecting checks, for every command, that nothing is sent if the client disconnects or the
// start deadline passes while the session is being opened.
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
					expectPacket(t, conn, typeInit)
					c.whileConnecting(&canceled, &expired)
					writePacket(t, conn, newPacket(typeVersion, protocolVersion))
					n, _ := conn.Read(make([]byte, 1)) // returns 0 bytes when the client closes the connection
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
					t.Errorf("got status %v, want %v", result.Status, c.want)
				}
				client.Close()
				if n := <-received; n != 0 {
					t.Error("the server received a packet, want none")
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
				expectPacket(t, conn, typeInit)
				writePacket(t, conn, newPacket(typeVersion, protocolVersion))
				body := expectPacket(t, conn, typeOpen)
				expired.Store(true)
				writePacket(t, conn, newPacket(typeHandle, binary.BigEndian.Uint32(body)).string("h"))
				n, _ := conn.Read(make([]byte, 1)) // returns 0 bytes when the client closes the connection
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
				t.Errorf("got status %v, want StatusOverloaded", result.Status)
			}
			if n := <-received; n != 0 {
				t.Error("the server received a packet after the OPEN, want none")
			}
		})
	}
}

// TestUnrequestedDataIsMalformed checks that the attempt fails, without a body, if the server returns data to a WRITE or more
// data than a READ requested.
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
				t.Errorf("got status %v, want StatusError; got body %v, want nil", result.Status, result.Body)
			}
		})
	}
}

// expiringClock is a manual clock whose time is startDeadlineMs as soon as the field expired is set.
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
