package cluster

import (
	"net"
	"testing"
	"time"

	"gaugerelay/internal/testbed/loopback"
)

// proxiedLink is a sender and a receiver of datagrams with a proxy between them.
type proxiedLink struct {
	sender   net.Conn
	proxy    *datagramProxy
	receiver net.PacketConn
}

// newProxiedLink opens a link without faults that is closed at the end of the test.
func newProxiedLink(t *testing.T) proxiedLink {
	t.Helper()
	receiver, err := loopback.ListenPacket()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { receiver.Close() })
	proxy, err := newDatagramProxy(receiver.LocalAddr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.close)
	var dialer net.Dialer
	sender, err := dialer.DialContext(t.Context(), "udp", proxy.addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sender.Close() })
	return proxiedLink{sender: sender, proxy: proxy, receiver: receiver}
}

// receive returns the next datagram that arrives.
func (l proxiedLink) receive(t *testing.T) string {
	t.Helper()
	if err := l.receiver.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 100)
	n, _, err := l.receiver.ReadFrom(buffer)
	if err != nil {
		t.Fatal(err)
	}
	return string(buffer[:n])
}

// TestDatagramFaults checks that a link delivers as many copies of a datagram as its faults say, and changes a datagram if and
// only if bits are inverted. With a proxy that injects no faults, the scenarios would not test the gateways.
func TestDatagramFaults(t *testing.T) {
	link := newProxiedLink(t)
	for _, test := range []struct {
		name      string
		faults    DatagramFaults
		copies    int  // number of datagrams that the link must deliver
		unchanged bool // whether the delivered text must equal the sent one
	}{
		{"good link", DatagramFaults{}, 1, true},
		{"duplicated", DatagramFaults{DuplicateRate: 1}, 2, true},
		{"bit flipped", DatagramFaults{BitFlipRate: 1}, 1, false},
		{"delayed", DatagramFaults{DelayMs: 1, JitterMs: 1}, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			link.proxy.setFaults(test.faults)
			write(t, link.sender, "datagram")
			for range test.copies {
				if got := link.receive(t); (got == "datagram") != test.unchanged {
					t.Errorf("received %q for the sent text \"datagram\", want it changed if bits are inverted, and otherwise unchanged", got)
				}
			}
		})
	}
}

// TestLostDatagrams checks that datagrams lost to a fault are not delivered after the fault has ended.
func TestLostDatagrams(t *testing.T) {
	link := newProxiedLink(t)
	for i, faults := range []DatagramFaults{{Partitioned: true}, {LossRate: 1}} {
		link.proxy.setFaults(faults)
		write(t, link.sender, "lost")
		waitUntilImpaired(link.proxy, i+1)
	}
	link.proxy.setFaults(DatagramFaults{})
	write(t, link.sender, "again")
	if got := link.receive(t); got != "again" {
		t.Errorf("first datagram received after the faults have ended = %q, want \"again\", which was sent last", got)
	}
}

// waitUntilImpaired waits until the proxy has impaired at least count datagrams.
func waitUntilImpaired(p *datagramProxy, count int) {
	for impaired := 0; impaired < count; {
		p.mu.Lock()
		impaired = p.impaired
		p.mu.Unlock()
	}
}

// write writes a text to a connection and fails the test on an error.
func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}
