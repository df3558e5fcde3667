package cluster

import (
	"net"
	"testing"
	"time"

	"gaugerelay/internal/testbed/loopback"
)

func TestDatagramFaults(t *testing.T) {
	receiver, err := loopback.ListenPacket()
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	p, err := newDatagramProxy(receiver.LocalAddr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	var dialer net.Dialer
	sender, err := dialer.DialContext(t.Context(), "udp", p.addr())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	buffer := make([]byte, 100)
	for _, test := range []struct {
		name      string
		faults    DatagramFaults
		copies    int
		unchanged bool
	}{
		{"good link", DatagramFaults{}, 1, true},
		{"duplicated", DatagramFaults{DuplicateRate: 1}, 2, true},
		{"bit flipped", DatagramFaults{BitFlipRate: 1}, 1, false},
		{"delayed", DatagramFaults{DelayMs: 1, JitterMs: 1}, 1, true},
	} {
		p.setFaults(test.faults)
		write(t, sender, "datagram")
		for range test.copies {
			if err := receiver.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			n, _, err := receiver.ReadFrom(buffer)
			if err != nil || (string(buffer[:n]) == "datagram") != test.unchanged {
				t.Errorf("%s: received %q, %v", test.name, buffer[:n], err)
			}
		}
	}
	for _, faults := range []DatagramFaults{{Partitioned: true}, {LossRate: 1}} {
		p.setFaults(faults)
		write(t, sender, "lost")
		waitUntilImpaired(p, 3)
		p.mu.Lock()
		p.impaired = 2
		p.mu.Unlock()
	}
	p.setFaults(DatagramFaults{})
	write(t, sender, "again")
	if n, _, err := receiver.ReadFrom(buffer); err != nil || string(buffer[:n]) != "again" {
		t.Errorf("after the faults: received %q, %v", buffer[:n], err)
	}
}

// waitUntilImpaired waits until the proxy has read and impaired a number of datagrams.
func waitUntilImpaired(p *datagramProxy, count int) {
	for impaired := 0; impaired < count; {
		p.mu.Lock()
		impaired = p.impaired
		p.mu.Unlock()
	}
}

// write writes a text to a connection that works.
func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}
