package discovery

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// compareGolden compares the text with the golden file of that name.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "golden", name+".txt"))
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs from its golden file\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

// quoteLines writes each line of wire bytes as one quoted string, its line end included.
func quoteLines(wire []byte) string {
	var out strings.Builder
	for _, line := range bytes.SplitAfter(wire, []byte("\n")) {
		if len(line) > 0 {
			fmt.Fprintf(&out, "%q\n", line)
		}
	}
	return out.String()
}

// readHead reads the bytes of a request without a body.
func readHead(c net.Conn) []byte {
	var head []byte
	one := make([]byte, 1)
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		if _, err := c.Read(one); err != nil {
			break
		}
		head = append(head, one[0])
	}
	return head
}

// The calls in a row: the first one, one behind a failure, one behind a list, one behind a change, one behind a
// change without a version.
func TestGoldenCalls(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	change := `"servers":[` + fmt.Sprintf(entry, "Ready") + `]}`
	responses := []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		head + `{"version":43,"full":true,` + change + "\n",
		head + `{"version":44,` + change + "\n",
		head + `{` + change + "\n",
		"",
	}
	for name, known := range map[string]uint64{"empty-start": 0, "known-start": 41} {
		t.Run(name, func(t *testing.T) {
			next := make(chan string, 1)
			requests := make(chan []byte, 1)
			addr := testbed.Serve(t, func(c net.Conn) {
				requests <- readHead(c)
				io.WriteString(c, <-next)
			})
			lists := make(chan lifecycle.EndpointUpdate, 16)
			w := New(addr, lifecycle.EndpointUpdate{Version: known}, clock.NewManual(1e12), metrics.New(), func(l lifecycle.EndpointUpdate) { lists <- l }, nil)
			var wire []byte
			for _, response := range responses {
				next <- response
				w.Open(t.Context())
				wire = append(wire, <-requests...)
				for l := range lists {
					if l.Kind == scheduler.WatchClosed || l.Kind == scheduler.WatchFailed {
						break
					}
				}
			}
			wire = bytes.ReplaceAll(wire, []byte(addr), []byte("ADDRESS"))
			compareGolden(t, "calls-"+name, quoteLines(wire))
		})
	}
}

// A watch at another address asks for the whole list.
func TestGoldenCallAfterMove(t *testing.T) {
	requests := make(chan []byte, 1)
	addr := testbed.Serve(t, func(c net.Conn) { requests <- readHead(c) })
	lists := make(chan lifecycle.EndpointUpdate, 16)
	w := New("127.0.0.1:1", lifecycle.EndpointUpdate{Version: 41}, clock.NewManual(1e12), metrics.New(), func(l lifecycle.EndpointUpdate) { lists <- l }, nil)
	w.SwitchAddress(context.Background(), addr)
	wire := bytes.ReplaceAll(<-requests, []byte(addr), []byte("ADDRESS"))
	<-lists
	compareGolden(t, "calls-after-move", quoteLines(wire))
}

// describeList writes a list as values, one entry a line.
func describeList(l lifecycle.EndpointUpdate, bad int) string {
	var out strings.Builder
	fmt.Fprintf(&out, "version %d, whole list %t, entries left out %d\n", l.Version, l.Kind == scheduler.Snapshot, bad)
	states := map[scheduler.ServerState]string{scheduler.Ready: "live", scheduler.Draining: "draining", scheduler.Removed: "gone"}
	for _, n := range l.Servers {
		fmt.Fprintf(&out, "name %q, address %q, zone %q, kind %q, shard %d, weight %v, started %v ms, state %s\n",
			n.Name, n.Addr, n.Zone, n.Kind, n.Shard, n.Weight, n.StartedMs, states[n.State])
	}
	return out.String()
}

func TestGoldenDecode(t *testing.T) {
	for name, text := range map[string]string{
		"full": `{"version":41,"full":true,"servers":[` + fmt.Sprintf(entry, "Ready") + `,
			{"id":"s-2","addr":"[::1]:80","zone":"b","kind":"m1","cell":0,"state":"Terminating","weight":0.25,"started_ms":1700000000123}]}`,
		"change": `{"version":42,"servers":[` + fmt.Sprintf(entry, "Gone") + `,{"id":"s-3","state":"Gone"}]}`,
		"states": `{"version":1,"servers":[` + fmt.Sprintf(entry, "Ready") + `,` + fmt.Sprintf(entry, "Terminating") + `,` +
			fmt.Sprintf(entry, "Gone") + `,` + fmt.Sprintf(entry, "Paused") + `]}`,
		"defaults":     `{"servers":[{"id":"s-4","addr":"h:1"}]}`,
		"unusable":     `{"version":5,"servers":[{"id":"x"},null,7,{"addr":"h:1"},{"id":"a","addr":"h:1","cell":-1},{"id":"a","addr":"h:1","started_ms":1e300}]}`,
		"empty":        `{"version":6,"full":true,"servers":[]}`,
		"other-fields": `{"version":7,"later":{"a":1},"servers":[{"id":"s-5","addr":"h:1","state":"Ready","later":[1]}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			l, bad := Decode(fastjson.MustParse(text))
			compareGolden(t, "decode-"+name, describeList(l, bad))
		})
	}
}
