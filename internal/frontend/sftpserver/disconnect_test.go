package sftpserver_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"testing"

	"gaugerelay/internal/frontend/sftpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/sftpwire"
)

// TestOversizedPacketEndsConnection checks that a packet over the size limit ends its own connection and no other one.
func TestOversizedPacketEndsConnection(t *testing.T) {
	g := newTestGateway(t)
	conn := g.dial()
	mustWrite(t, conn, append(binary.BigEndian.AppendUint32(nil, sftpwire.MaxPacket+1), packetWrite))
	if n, err := conn.Read(make([]byte, 1)); err == nil {
		t.Errorf("received %d bytes on the connection with an oversized packet, want an error", n)
	}
	if _, err := g.client().Stat("/layers/none"); statusOf(err) != sftpwire.StatusNoSuchFile {
		t.Errorf("STAT of a missing file over another connection: got error %v, want NO_SUCH_FILE", err)
	}
}

// TestTruncatedWriteIsNotSubmitted checks that a WRITE that arrives only in part is not submitted, and is counted once
// as a truncated command.
func TestTruncatedWriteIsNotSubmitted(t *testing.T) {
	g := newTestGateway(t)
	g.files.Put("/layers/a", []byte("old"))
	conn := g.dial()
	mustWrite(t, conn, append(binary.BigEndian.AppendUint32(nil, 5000), packetWrite, 0, 0, 0, 9, 0, 0, 0, 1, '1'))
	conn.Close()
	g.waitUntil(func() bool { return g.counters.Get("file_commands_truncated") > 0 })
	if n := g.counters.Get("file_commands_truncated"); n != 1 {
		t.Errorf("truncated command was counted %d times, want once", n)
	}
	if n := g.counters.Get("requests_accepted"); n != 0 || len(g.files.Commands()) != 0 || string(g.files.File("/layers/a")) != "old" {
		t.Errorf("%d requests submitted, the file server received %v; want none, and the file unchanged", n, g.files.Commands())
	}
}

// TestDisconnectCancelsRequest checks that a READ whose client disconnects is canceled exactly once and gets no response.
func TestDisconnectCancelsRequest(t *testing.T) {
	g := newTestGateway(t)
	g.files.Put("/layers/a", []byte("data"))
	reached, release := g.blockCommand("read")
	conn := g.dial()
	file, err := newClient(t, conn).Open("/layers/a")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = file.ReadAt(make([]byte, 4), 0) }() // fails when the connection is closed
	<-reached
	conn.Close()
	g.waitCountedOnce("requests_canceled")
	g.waitCountedOnce("attempts_canceled")
	close(release)
	if served := g.counters.Get("answers_served"); served != 1 || g.loop.OpenRequests() != 0 {
		t.Errorf("%d requests served, want only the OPEN; %d requests open, want 0", served, g.loop.OpenRequests())
	}
}

// TestDisconnectBehindManyCommands checks that Request.Canceled detects a disconnect even if unread commands precede it. The library
// stops reading while many commands are waiting, so no read reports the disconnect. If Request.Canceled did not detect it either, an
// attempt that still waits for a connection to its server would start.
func TestDisconnectBehindManyCommands(t *testing.T) {
	g := newTestGateway(t)
	requests := make(chan *lifecycle.Request, 64)
	g.server.Loop = discardingLoop{requests}
	conn := g.dial()
	mustWrite(t, conn, initPacket)
	for range 200 {
		mustWrite(t, conn, statPacket)
	}
	request := <-requests
	if request.Canceled() {
		t.Fatal("request was canceled while the client was connected")
	}
	conn.Close()
	for !request.Canceled() { // ends soon, since the system reports the close at once on loopback
		runtime.Gosched()
	}
	g.server.Close()
}

// discardingLoop accepts requests and never responds.
type discardingLoop struct{ requests chan<- *lifecycle.Request }

func (l discardingLoop) Submit(r *lifecycle.Request) bool                       { l.requests <- r; return true }
func (discardingLoop) Cancel(*lifecycle.Request)                                {}
func (discardingLoop) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}

// TestShutdownFinishesReceivedCommands checks that a READ that was received before a shutdown is still answered.
func TestShutdownFinishesReceivedCommands(t *testing.T) {
	g := newTestGateway(t)
	g.files.Put("/layers/a", []byte("data"))
	file, err := g.client().Open("/layers/a")
	if err != nil {
		t.Fatal(err)
	}
	reached, release := g.blockCommand("read")
	read := make(chan error, 1)
	go func() { read <- errorOf(file.ReadAt(make([]byte, 4), 0)) }()
	<-reached
	ended := g.startShutdown()
	close(release)
	if err := <-read; err != nil {
		t.Errorf("READ that was in flight at the shutdown failed: %v", err)
	}
	<-ended
}

// TestLastResponseSurvivesUnreadBytes checks that commands that arrive during a shutdown get no response, and that they do not
// cause a reset of the connection before the client has received the last response.
func TestLastResponseSurvivesUnreadBytes(t *testing.T) {
	g := newTestGateway(t)
	g.files.Put("/layers/a", []byte("data"))
	reached, release := g.blockCommand("stat")
	conn := g.dial()
	mustWrite(t, conn, append(bytes.Clone(initPacket), statPacket...))
	<-reached
	ended := g.startShutdown()
	for !sftpserver.Draining(g.server) { // commands that arrive once the server is draining are not read
		runtime.Gosched()
	}
	mustWrite(t, conn, statPacket)
	close(release)
	received, err := io.ReadAll(conn)
	if n := bytes.Count(received, []byte{packetAttrs, 0, 0, 0, 9}); n != 1 || err != nil {
		t.Errorf("received %d responses to STAT, then error %v; want 1 response, then no error", n, err)
	}
	conn.Close()
	<-ended
}
