package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/sftp"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/gateway"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed/fakefileserver"
	"gaugerelay/internal/testbed/invariants"
	"gaugerelay/internal/testbed/memnet"
)

// startFileGateway starts a gateway that shares the file root with another one, and returns its address for file commands.
func startFileGateway(t *testing.T, r *run) string {
	t.Helper()
	r.frontendAddrs = map[frontend]string{} // each gateway listens on its own addresses
	if err := r.reserveFrontendAddrs(); err != nil {
		t.Fatal(err)
	}
	r.mu.Lock()
	known := r.endpointList()
	r.mu.Unlock()
	known.Kind = scheduler.CachedSnapshot
	cfg, edge := r.gatewayConfig(known)
	edge.SFTP.Roots[0].Gateways = 2
	started, err := gateway.New(cfg, edge, clock.NewSystem(), gateway.Network{Listen: r.options.Network.Listen, Dial: r.upstreamDialer()})
	if err != nil {
		t.Fatal(err)
	}
	if err := started.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return r.frontendAddr(sftpFrontend)
}

// writeOverNewConn opens a file over a new connection without truncation, writes it, and breaks the connection without closing the
// handle.
func writeOverNewConn(t *testing.T, r *run, gatewayAddr, path, content string) {
	t.Helper()
	conn, err := r.dialer()(context.Background(), "tcp", gatewayAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	client, err := sftp.NewClientPipe(conn, conn)
	if err != nil {
		t.Fatal(err)
	}
	file, err := client.OpenFile(path, os.O_WRONLY|os.O_CREATE)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.WriteAt([]byte(content), 0); err != nil {
		t.Fatal(err)
	}
}

// TestWriteAfterChangeThroughOtherGateway guards against a WRITE that a gateway answers with the response to an earlier one and does
// not execute, although the client has overwritten its range through another gateway in between. A WRITE that is sent again, and whose
// data the file still has, must not be executed again.
func TestWriteAfterChangeThroughOtherGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &memnet.Net{}
		r := &run{options: Options{Devices: 4, Deduplication: true, Network: gateway.Network{Listen: network.Listen, Dial: network.Dial}},
			checker: invariants.New(), random: rand.New(rand.NewPCG(1, 1)), fileAddrs: map[string]string{}, counters: map[string]int64{},
			writeIncarnations: map[string]int{}}
		for i := range r.shards {
			r.shards[i] = r.newShard(i)
			if err := r.startServer(i, 0); err != nil {
				t.Fatal(err)
			}
		}
		first, second := startFileGateway(t, r), startFileGateway(t, r)
		const path = uploadRoot + "/shared"
		for i, step := range []struct {
			gatewayAddr, content string
			wantExecuted         int // WRITEs that the servers have executed up to then
		}{
			{first, "version 1", 1}, {second, "version 2", 2}, {first, "version 1", 3}, {first, "version 1", 3}, {second, "version 2", 4},
		} {
			writeOverNewConn(t, r, step.gatewayAddr, path, step.content)
			stored, executed := "", 0
			for _, s := range r.shards {
				stored += string(s.files.File(path))
				for _, command := range s.files.Commands() {
					if command.Op == fakefileserver.OpWrite {
						executed++
					}
				}
			}
			if stored != step.content || executed != step.wantExecuted {
				t.Errorf("after WRITE %d the file is %q and %d WRITEs were executed, want %q and %d", i+1, stored, executed, step.content,
					step.wantExecuted)
			}
		}
		for _, s := range r.servers {
			s.stop()
		}
		t.Cleanup(func() { time.Sleep(time.Minute) }) // runs before the gateways are closed; see runInBubble
	})
}
