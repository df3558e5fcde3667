package cluster

import (
	"io"
	"net"
	"testing"
	"time"

	"gaugerelay/internal/testbed"
)

func TestStreamFaults(t *testing.T) {
	ln := testbed.Listen(t)
	p, err := newStreamProxy(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	client, server := connectThrough(t, p, ln)
	p.setFaults(StreamFaults{ChunkSize: 3, DelayMs: 1}, StreamFaults{Stalled: true})
	write(t, client, "a request")
	write(t, server, "an answer")
	if got := read(server, 9); got != "a request" {
		t.Errorf("server received %q in chunks, want the whole request", got)
	}
	p.heal()
	if got := read(client, 9); got != "an answer" {
		t.Errorf("client received %q after a stall, want the whole response", got)
	}
	p.setFaults(StreamFaults{}, StreamFaults{ResetAfterBytes: 4})
	write(t, server, "another answer")
	if got := read(client, 14); len(got) > 4 {
		t.Errorf("client received %q of a response that is reset after 4 bytes, want at most 4 bytes", got)
	}
	p.heal()
	client, server = connectThrough(t, p, ln)
	write(t, client, "x")
	read(server, 1)
	p.resetConns()
	if got := read(client, 1); got != "" {
		t.Errorf("client received %q after a reset, want nothing", got)
	}
}

// connectThrough opens a connection through a proxy and returns its two ends.
func connectThrough(t *testing.T, p *streamProxy, ln net.Listener) (client, server net.Conn) {
	t.Helper()
	var dialer net.Dialer
	client, err := dialer.DialContext(t.Context(), "tcp", p.addr())
	if err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	for _, conn := range []net.Conn{client, server} {
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		t.Cleanup(func() { conn.Close() })
	}
	return client, server
}

// read reads size bytes, or fewer if the connection ends or times out.
func read(conn net.Conn, size int) string {
	buffer := make([]byte, size)
	n, _ := io.ReadFull(conn, buffer) // the caller checks what has arrived
	return string(buffer[:n])
}
