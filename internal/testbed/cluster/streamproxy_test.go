package cluster

import (
	"io"
	"net"
	"testing"
	"time"

	"gaugerelay/internal/testbed"
)

// TestStreamFaults checks each fault of a streamProxy in turn: chunks and delays lose no bytes, a stall ends when the proxy is
// healed, and resets end connections. With a proxy that injects no faults, the scenarios would not test the gateways.
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
		t.Errorf("server received %q in chunks of 3 bytes, want the whole request \"a request\"", got)
	}
	p.heal()
	if got := read(client, 9); got != "an answer" {
		t.Errorf("client received %q after the stall has ended, want the whole response \"an answer\"", got)
	}
	p.setFaults(StreamFaults{}, StreamFaults{ResetAfterBytes: 4})
	write(t, server, "another answer")
	if got := read(client, 14); len(got) > 4 {
		t.Errorf("client received %q over a connection that is reset after 4 bytes, want at most 4 bytes", got)
	}
	p.heal()
	client, server = connectThrough(t, p, ln)
	write(t, client, "x")
	read(server, 1)
	p.resetConns()
	if got := read(client, 1); got != "" {
		t.Errorf("client received %q after resetConns, want nothing", got)
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
	n, _ := io.ReadFull(conn, buffer) // the error is ignored, because the caller checks what has arrived
	return string(buffer[:n])
}
