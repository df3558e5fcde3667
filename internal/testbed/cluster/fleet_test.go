package cluster

import (
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// binary builds the real program.
func binary(t *testing.T) string {
	t.Helper()
	at := filepath.Join(t.TempDir(), "gaugerelay")
	if out, err := exec.Command("go", "build", "-o", at, "gaugerelay/cmd/gaugerelay").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return at
}

// Processes of the real program, with faults between them and into them: what must never be is counted at nodes and
// clients. All scenarios are played, in a fifth of their time; `make fleet-soak` plays them in full.
func TestFleetKeepsItsRules(t *testing.T) {
	if testing.Short() {
		t.Skip("several processes")
	}
	var out strings.Builder
	res, err := Run(Options{Binary: binary(t), Gateways: 3, HostsPerVolume: 3, Volumes: 2, Shards: 4, Seed: 1, Gossip: true, LeaseMs: 300, TimeScale: 0.2},
		0, "", &out)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s%+v", out.String(), res)
	for _, b := range res.Violations {
		t.Error(b)
	}
	if res.Served < 50 || res.Rejected == 0 || res.Kills < 3 || res.Pauses < 2 || res.Datagrams < 50 {
		t.Error("too little happened to show anything")
	}
}

// What the rig counts as broken is seen: a program that ends by itself, and units over a limit.
func TestRigSeesWhatIsBroken(t *testing.T) {
	at := filepath.Join(t.TempDir(), "ends")
	if err := os.WriteFile(at, []byte("#!/bin/sh\nexit 3\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	if _, err := StartCluster(Options{Binary: at, Gateways: 1, HostsPerVolume: 1, Shards: 1, Seed: 1}); err == nil || !strings.Contains(err.Error(), "ended by itself") {
		t.Errorf("a program that ends: %v", err)
	}
	p, err := newPlatform(1, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	r := &Cluster{platform: p, opt: Options{HostsPerVolume: 1}}
	for range int(limitStore(1))/6 + 4 {
		p.take(7, 6)
	}
	if res := r.Result(); res.OverLimit != 1 || res.MaxOverLimit < 10 || len(res.Violations) == 0 {
		t.Errorf("units over a limit: %+v", res)
	}
}

// A link does what it is told to, each way on its own.
func TestLinks(t *testing.T) {
	to, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	p, err := newProxy(to.LocalAddr(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.conn.Close()
	from, err := net.Dial("udp", p.conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	buf := make([]byte, 100)
	for _, c := range []struct {
		name  string
		link  DatagramFaults
		times int
		same  bool
	}{{"well", DatagramFaults{}, 1, true}, {"twice", DatagramFaults{DuplicateRate: 1}, 2, true}, {"flipped", DatagramFaults{BitFlipRate: 1}, 1, false}, {"late", DatagramFaults{DelayMs: 1, JitterMs: 1}, 1, true}} {
		p.set(c.link)
		from.Write([]byte("datagram"))
		for range c.times {
			to.SetReadDeadline(time.Now().Add(10 * time.Second))
			n, _, err := to.ReadFrom(buf)
			if err != nil || (string(buf[:n]) == "datagram") != c.same {
				t.Errorf("%s: %q, %v", c.name, buf[:n], err)
			}
		}
	}
	for _, l := range []DatagramFaults{{Cut: true}, {LossRate: 1}} {
		p.set(l)
		from.Write([]byte("lost"))
		for passed := false; !passed; { // it has been read, and dropped
			p.mu.Lock()
			passed = p.link.troubled >= 3
			p.mu.Unlock()
		}
		p.mu.Lock()
		p.link.troubled = 2
		p.mu.Unlock()
	}
	p.set(DatagramFaults{})
	from.Write([]byte("again"))
	if n, _, err := to.ReadFrom(buf); err != nil || string(buf[:n]) != "again" {
		t.Errorf("behind a cut: %q, %v", buf[:n], err)
	}
}

// A connection's ways do what they are told, each on its own.
func TestWays(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p, err := newTCPProxy(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	dial := func() (client, server net.Conn) {
		client, err := net.Dial("tcp", p.ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if server, err = ln.Accept(); err != nil {
			t.Fatal(err)
		}
		for _, c := range []net.Conn{client, server} {
			c.SetDeadline(time.Now().Add(20 * time.Second))
			t.Cleanup(func() { c.Close() })
		}
		return client, server
	}
	read := func(c net.Conn, n int) string {
		b := make([]byte, n)
		n, _ = io.ReadFull(c, b)
		return string(b[:n])
	}
	client, server := dial()
	p.set(StreamFaults{ChunkSize: 3, DelayMs: 1}, StreamFaults{Stalled: true})
	client.Write([]byte("a request"))
	server.Write([]byte("an answer"))
	if got := read(server, 9); got != "a request" {
		t.Errorf("%q has come", got)
	}
	p.set(StreamFaults{}, StreamFaults{})
	if got := read(client, 9); got != "an answer" {
		t.Errorf("%q has come behind a silence", got)
	}
	p.set(StreamFaults{}, StreamFaults{ResetAfterBytes: 4})
	server.Write([]byte("another answer"))
	if got := read(client, 14); len(got) > 4 {
		t.Errorf("%q has come of an answer that breaks off", got)
	}
	p.set(StreamFaults{}, StreamFaults{})
	client, server = dial()
	client.Write([]byte("x"))
	read(server, 1)
	p.reset()
	if got := read(client, 1); got != "" {
		t.Errorf("%q behind a reset", got)
	}
}
