package discovery

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed"
)

// readHeader reads a request without a body and returns its bytes.
func readHeader(conn net.Conn) []byte {
	var header []byte
	next := make([]byte, 1)
	for !bytes.HasSuffix(header, []byte("\r\n\r\n")) {
		if _, err := conn.Read(next); err != nil {
			break
		}
		header = append(header, next[0])
	}
	return header
}

// TestGoldenRequests compares the requests of consecutive watches with golden files: the first request, and those that follow
// a failed call, a snapshot, a delta, and a delta without a version.
func TestGoldenRequests(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	delta := `"servers":[` + entry("Ready") + `]}`
	responses := []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		header + `{"version":43,"full":true,` + delta + "\n",
		header + `{"version":44,` + delta + "\n",
		header + `{` + delta + "\n",
		"",
	}
	for name, cachedVersion := range map[string]uint64{"empty-start": 0, "known-start": 41} {
		t.Run(name, func(t *testing.T) {
			next := make(chan string, 1)
			requests := make(chan []byte, 1)
			addr := testbed.Serve(t, func(conn net.Conn) {
				requests <- readHeader(conn)
				testbed.TryWrite(conn, <-next)
			})
			updates := make(chan lifecycle.EndpointUpdate, 16)
			watcher := New(Options{
				Addr:            addr,
				CachedEndpoints: lifecycle.EndpointUpdate{Version: cachedVersion},
				Clock:           clock.NewManual(1e12),
				Metrics:         metrics.New(),
				Notify:          func(update lifecycle.EndpointUpdate) { updates <- update },
			})
			var wire []byte
			for _, response := range responses {
				next <- response
				watcher.Open(t.Context())
				wire = append(wire, <-requests...)
				for update := range updates {
					if update.Kind == scheduler.WatchClosed || update.Kind == scheduler.WatchFailed {
						break
					}
				}
			}
			wire = bytes.ReplaceAll(wire, []byte(addr), []byte("ADDRESS"))
			testbed.CompareGolden(t, "calls-"+name, testbed.QuoteLines(wire))
		})
	}
}

// TestGoldenRequestAfterSwitch compares the first request after SwitchAddress, which is for a snapshot, with a golden file.
func TestGoldenRequestAfterSwitch(t *testing.T) {
	requests := make(chan []byte, 1)
	addr := testbed.Serve(t, func(conn net.Conn) { requests <- readHeader(conn) })
	updates := make(chan lifecycle.EndpointUpdate, 16)
	watcher := New(Options{
		Addr:            "127.0.0.1:1",
		CachedEndpoints: lifecycle.EndpointUpdate{Version: 41},
		Clock:           clock.NewManual(1e12),
		Metrics:         metrics.New(),
		Notify:          func(update lifecycle.EndpointUpdate) { updates <- update },
	})
	watcher.SwitchAddress(context.Background(), addr)
	wire := bytes.ReplaceAll(<-requests, []byte(addr), []byte("ADDRESS"))
	<-updates
	testbed.CompareGolden(t, "calls-after-move", testbed.QuoteLines(wire))
}

// describeUpdate formats an update as text, with one line for each server.
func describeUpdate(update lifecycle.EndpointUpdate, invalidEntries int) string {
	var out strings.Builder
	fmt.Fprintf(&out, "version %d, whole list %t, entries left out %d\n",
		update.Version, update.Kind == scheduler.Snapshot, invalidEntries)
	states := map[scheduler.ServerState]string{scheduler.Ready: "live", scheduler.Draining: "draining", scheduler.Removed: "gone"}
	for _, server := range update.Servers {
		fmt.Fprintf(&out, "name %q, address %q, zone %q, kind %q, shard %d, weight %v, started %v ms, state %s\n",
			server.Name, server.Addr, server.Zone, server.Kind, server.Shard, server.Size, server.StartedMs, states[server.State])
	}
	return out.String()
}

// TestGoldenDecode compares decoded messages with golden files.
func TestGoldenDecode(t *testing.T) {
	for name, text := range map[string]string{
		"full": `{"version":41,"full":true,"servers":[` + entry("Ready") + `,
			{"id":"s-2","addr":"[::1]:80","zone":"b","kind":"m1","cell":0,"state":"Terminating","weight":0.25,"started_ms":1700000000123}]}`,
		"change": `{"version":42,"servers":[` + entry("Gone") + `,{"id":"s-3","state":"Gone"}]}`,
		"states": `{"version":1,"servers":[` + entry("Ready") + `,` + entry("Terminating") + `,` +
			entry("Gone") + `,` + entry("Paused") + `]}`,
		"defaults":     `{"servers":[{"id":"s-4","addr":"h:1"}]}`,
		"unusable":     `{"version":5,"servers":[{"id":"x"},null,7,{"addr":"h:1"},{"id":"a","addr":"h:1","cell":-1},{"id":"a","addr":"h:1","started_ms":1e300}]}`,
		"empty":        `{"version":6,"full":true,"servers":[]}`,
		"other-fields": `{"version":7,"later":{"a":1},"servers":[{"id":"s-5","addr":"h:1","state":"Ready","later":[1]}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			update, invalidEntries := Decode(fastjson.MustParse(text))
			testbed.CompareGolden(t, "decode-"+name, describeUpdate(update, invalidEntries))
		})
	}
}
