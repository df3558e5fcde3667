package sftpserver_test

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/sftp"

	"gaugerelay/internal/sftpwire"
)

// openHandles opens a file as often as given, without closing it, and returns the handles and the number of refused OPENs.
func openHandles(t *testing.T, client *sftp.Client, path string, count int) (handles []*sftp.File, refused int) {
	t.Helper()
	for range count {
		file, err := client.Open(path)
		switch {
		case err == nil:
			handles = append(handles, file)
		case strings.Contains(err.Error(), "busy, nothing was done"):
			refused++
		default:
			t.Fatal(err)
		}
	}
	return handles, refused
}

// Guards against handles of clients that take more memory than there is: they belonged to no account. Handles of one file share its path,
// and a client beside them is still served.
func TestHandlesStayWithinMemory(t *testing.T) {
	const limit, connections, handlesEach = 2 << 20, 4, 500
	g := newTestGatewayWithMemory(t, limit)
	g.server.MaxHandleBytes = limit / 2
	longName := "/layers/" + strings.Repeat("p", 3800)
	g.files.Put(longName, make([]byte, 1000))
	open, refused := 0, 0
	var first []*sftp.File
	for range connections {
		handles, refusedHere := openHandles(t, g.client(), longName, handlesEach)
		open, refused = open+len(handles), refused+refusedHere
		if first == nil {
			first = handles
		}
	}
	// Half of the limit has room for 1,020 handles of 1 KiB and one path; with a path each it would have room for some 220.
	if open < 1000 || refused == 0 {
		t.Errorf("%d handles are open and %d were refused, want over 700 open and some refused", open, refused)
	}
	if used := g.server.Memory.Used(); used > limit {
		t.Errorf("%d bytes are in use, want at most %d", used, limit)
	}
	other, err := first[0].Stat()
	if err != nil || other.Size() != 1000 {
		t.Errorf("a command on a handle got %v and error %v", other, err)
	}
	for _, handle := range first[1:] {
		if err := handle.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if handles, refused := openHandles(t, g.client(), longName, 100); refused > 0 || len(handles) != 100 {
		t.Errorf("%d of 100 OPENs were refused after others had been closed, want 0", refused)
	}
	if data, err := io.ReadAll(first[0]); err != nil || len(data) != 1000 {
		t.Errorf("read %d bytes and error %v, want 1000", len(data), err)
	}
	g.server.Close()
	if used := g.server.Memory.Used(); used != 0 {
		t.Errorf("%d bytes are in use after the connections have ended, want 0", used)
	}
}

// readPacket returns a READ of 32 KiB at the start of a file.
func readPacket(id uint32, handle string) []byte {
	body := binary.BigEndian.AppendUint32(nil, id)
	body = appendString(body, handle)
	body = binary.BigEndian.AppendUint64(body, 0)
	body = binary.BigEndian.AppendUint32(body, 32<<10)
	packet := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
	return append(append(packet, packetRead), body...)
}

// Guards against a client whose link stalls for longer than a packet waits for memory, and which is disconnected for that, and against
// other clients that are not served meanwhile.
func TestStalledReaderIsServedWhenItReadsOn(t *testing.T) {
	const limit, reads = 512 << 10, 250
	g := newTestGatewayWithMemory(t, limit)
	g.files.Put("/layers/a", make([]byte, 32<<10))
	stalled := g.dialRaw()
	if err := stalled.Conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	mustWrite(t, stalled, initPacket)
	var length [4]byte
	if _, err := io.ReadFull(stalled, length[:]); err != nil {
		t.Fatal(err)
	}
	if _, err := io.CopyN(io.Discard, stalled, int64(binary.BigEndian.Uint32(length[:]))); err != nil {
		t.Fatal(err)
	}
	open := appendString(binary.BigEndian.AppendUint32(nil, 1), "/layers/a")
	stalled.send(packetOpen, binary.BigEndian.AppendUint64(open, sftpwire.FlagRead<<32)) // and no attributes
	handle := string(stalled.receive(packetHandle, 1)[4:])
	go func() {
		for id := range uint32(reads) {
			if _, err := stalled.Write(readPacket(id, handle)); err != nil {
				return
			}
		}
	}()
	client := g.client()
	for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
		file, err := client.Open("/layers/a")
		if err != nil {
			t.Fatal(err)
		}
		if data, err := io.ReadAll(file); err != nil || len(data) != 32<<10 {
			t.Fatalf("a client beside the stalled one read %d bytes and error %v", len(data), err)
		}
		if err := file.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if used := g.server.Memory.Used(); used > limit {
		t.Errorf("%d bytes are in use, want at most %d", used, limit)
	}
	for id := range uint32(reads) {
		if data := stalled.receive(packetData, id); len(data) != 4+32<<10 {
			t.Fatalf("READ %d got %d bytes", id, len(data))
		}
	}
}
