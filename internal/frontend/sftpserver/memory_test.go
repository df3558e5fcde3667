package sftpserver_test

import (
	"io"
	"runtime"
	"testing"
)

// writeHeader is the header of a WRITE packet of 60 KiB.
var writeHeader = []byte{0, 0, 0xf0, 0, packetWrite}

// Guards against file clients that announce large packets and stop: memory must bound them, the slowest must make room for others, and the
// memory of commands must be released with their responses.
func TestIncompletePacketsMakeRoom(t *testing.T) {
	const limit = 512 << 10
	g := newTestGatewayWithMemory(t, limit)
	budget := g.server.Memory
	g.files.Put("/layers/a", make([]byte, 1000))
	for range 10 { // together they announce 600 KiB
		conn := dial(t, g.listener.Addr().String())
		mustWrite(t, conn, initPacket)
		if _, err := io.ReadFull(conn, make([]byte, 9)); err != nil {
			break // evicted already
		}
		mustWrite(t, conn, writeHeader)
	}
	client := newClient(t, dial(t, g.listener.Addr().String()))
	file, err := client.Open("/layers/a")
	if err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(file); err != nil || len(data) != 1000 {
		t.Errorf("a client beside them read %d bytes and %v, want 1000", len(data), err)
	}
	if used := budget.Used(); used > limit {
		t.Errorf("%d bytes are in use, want at most %d", used, limit)
	}
	if evicted := g.counters.Get("file_connections_evicted"); evicted == 0 {
		t.Error("no connection with an incomplete packet was closed")
	}
	g.server.Close()
	for budget.Used() > 0 {
		runtime.Gosched()
	}
}
