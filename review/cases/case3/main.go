// Case 3: an open watch of discovery falls silent, a storage node begins to drain, and discovery goes down for 8 s. What the watch
// misses counts as told 6 s after it fell silent, so nothing may be sent to the storage node later than the grace after that.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"review/standin"
)

// Times from when the watch was opened, but for those that are named as lengths. Discovery sends an empty line every 2 s.
const (
	silentAt  = 4600 * time.Millisecond
	drainAt   = 5500 * time.Millisecond
	downAt    = 6200 * time.Millisecond
	outage    = 8 * time.Second // length
	endAt     = 20 * time.Second
	toldAfter = 6 * time.Second       // length, from when the watch fell silent
	grace     = time.Second           // length, DrainGraceMs
	slack     = 50 * time.Millisecond // length, of every time limit on sockets
	nodes     = 2                     // the first of them drains
	pause     = 20 * time.Millisecond // between two requests of the client
)

func main() { standin.Run(run) }

func run(env *standin.Env) (int, error) {
	var startNanos atomic.Int64 // when the watch was opened
	sinceStart := func() time.Duration {
		if nanos := startNanos.Load(); nanos != 0 {
			return time.Since(time.Unix(0, nanos))
		}
		return 0
	}
	lateFrom := silentAt + toldAfter + grace + slack
	var late, after atomic.Int64
	list := standin.List{Version: 1, Full: true}
	for i := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		go func() {
			_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				at := sinceStart()
				if i == 0 && at >= drainAt { // a draining storage node turns away what is new
					after.Add(1)
					env.Logf("node 0: turned away %s", r.Header.Get("X-Correlation-Id"))
					if env.Trouble && at > lateFrom {
						late.Add(1)
						env.Logf("DRAIN: %s was sent %v after the drain counted as told", r.Header.Get("X-Correlation-Id"),
							(at - silentAt - toldAfter).Round(time.Millisecond))
					}
					w.Header().Set("X-Unprocessed", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				_, _ = io.WriteString(w, "data")
			}))
		}()
		list.Servers = append(list.Servers, standin.Server{ID: fmt.Sprintf("s-%08x", i+1), Addr: listener.Addr().String(),
			Zone: "salt-lake", Kind: "std-node", Cell: i, State: "Ready", Weight: 1})
	}
	isDown := func() bool { at := sinceStart(); return env.Trouble && at >= downAt && at < downAt+outage }
	discovery, err := standin.StartDiscovery(env, list, func() bool { return !isDown() })
	if err != nil {
		return 0, err
	}
	listen, err := standin.FreeAddr()
	if err != nil {
		return 0, err
	}
	gateway, err := env.StartGateway(standin.Config("n0", listen, discovery.Addr, list, standin.Settings(3, nodes)), nil)
	if err != nil {
		return 0, err
	}
	var start time.Time
	select {
	case start = <-discovery.Opened:
	case <-time.After(10 * time.Second):
		return 0, fmt.Errorf("the gateway opened no watch")
	}
	startNanos.Store(start.UnixNano())
	if env.Trouble {
		time.AfterFunc(time.Until(start.Add(silentAt)), discovery.Silence)
		time.AfterFunc(time.Until(start.Add(downAt)), discovery.EndWatches)
	}
	time.AfterFunc(time.Until(start.Add(drainAt)), func() { discovery.Change("s-00000001", "Terminating") })
	client, err := standin.Dial(gateway.Listen)
	if err != nil {
		return 0, err
	}
	defer client.Conn.Close()
	counts := map[int]int{}
	for n := 0; time.Since(start) < endAt; n++ {
		status, _, _, err := client.Do(&standin.Request{ID: fmt.Sprintf("c0-%06d", n), Class: "pull",
			Object: fmt.Sprintf("%016x", n), Shard: n % nodes, TimeLeftMs: 1500})
		if err != nil {
			return 0, err
		}
		counts[status]++
		time.Sleep(pause)
	}
	env.Sayf("answers by status %v, requests sent to the draining node %d, of them later than the grace after it counted as told %d",
		counts, after.Load(), late.Load())
	if counts[http.StatusOK] == 0 {
		return 0, fmt.Errorf("nothing was served")
	}
	if late.Load() > 0 {
		return standin.Broken, nil
	}
	return standin.Held, nil
}
