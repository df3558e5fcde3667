package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

const entry = `{"id":"s-1","addr":"127.0.0.1:7070","zone":"a","kind":"m2","cell":3,"state":"%s","weight":1.5,"started_ms":12}`

// FuzzDecode: whatever discovery says, what is let through can be used.
func FuzzDecode(f *testing.F) {
	f.Add(`{"version":41,"full":true,"servers":[` + fmt.Sprintf(entry, "Ready") + `,{"id":"x"}]}`)
	f.Add(`{"version":-1,"full":3,"servers":{"id":"x"}}`)
	f.Add(`{"servers":[[],null,3,{"id":"a","addr":"b","cell":-1},{"id":"a","addr":"h:1","started_ms":1e300}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		v, err := fastjson.Parse(text)
		if err != nil {
			return
		}
		l, bad := Decode(v)
		if len(l.Servers)+bad != len(v.GetArray("servers")) {
			t.Errorf("%d nodes and %d bad of %d", len(l.Servers), bad, len(v.GetArray("servers")))
		}
		for _, n := range l.Servers {
			if n.Name == "" || n.Shard < 0 || n.Addr == "" && n.State != scheduler.Removed {
				t.Errorf("let through %q %q %d", n.Name, n.Addr, n.Shard)
			}
		}
	})
}

func TestDecode(t *testing.T) {
	for state, want := range map[string]scheduler.ServerState{"Ready": scheduler.Ready, "Terminating": scheduler.Draining,
		"Gone": scheduler.Removed, "Paused": scheduler.Draining} {
		l, bad := Decode(fastjson.MustParse(`{"version":7,"servers":[` + fmt.Sprintf(entry, state) + `]}`))
		if n := l.Servers[0]; bad != 0 || l.Version != 7 || l.Kind != scheduler.Delta || n.State != want || n.Shard != 3 ||
			n.Addr != "127.0.0.1:7070" || n.Weight != 1.5 || n.StartedMs != 12 || n.Kind != "m2" || n.Zone != "a" {
			t.Errorf("%s: %+v, %+v", state, l, n)
		}
	}
}

// A watch tells each change, resumes after the last version that it told, and its end is a Broken list; while it
// is open it is not opened again.
func TestWatch(t *testing.T) {
	calls := make(chan string, 10)
	feed := make(chan string) // the answer begins with the first line of it
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		for line := range feed {
			if line == "end" {
				return
			}
			io.WriteString(w, line+"\n")
			w.(http.Flusher).Flush()
		}
	}))
	defer srv.Close()
	defer close(feed)
	told := make(chan lifecycle.EndpointUpdate, 10)
	m, now := metrics.New(), clock.NewManual(1e12)
	w := New(strings.TrimPrefix(srv.URL, "http://"), lifecycle.EndpointUpdate{Version: 41}, now, m, func(l lifecycle.EndpointUpdate) { told <- l }, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	want := func(what string, scope scheduler.UpdateKind, version uint64) {
		t.Helper()
		if l := <-told; l.Kind != scope || l.Version != version {
			t.Errorf("%s: %+v", what, l)
		}
	}
	call := func(want string) {
		t.Helper()
		w.Open(ctx)
		w.Open(ctx)
		if q := <-calls; q != want {
			t.Errorf("asked %q, want %q", q, want)
		}
	}
	call("watch=1&after=41")
	feed <- ""
	feed <- `{"version":43,"servers":[` + fmt.Sprintf(entry, "Gone") + `]}`
	want("a change", scheduler.Delta, 43)
	feed <- `{"version":44,"full":true,"servers":[]}`
	want("the whole list", scheduler.Snapshot, 44)
	feed <- "end"
	want("its end", scheduler.WatchClosed, 0)
	call("watch=1&after=44")
	feed <- `[1,2]`
	want("a bad line", scheduler.WatchFailed, 0)
	feed <- "end"
	call("watch=1&after=44")
	now.Advance(answerMs + 1)
	want("no answer in time", scheduler.WatchFailed, 0)
	feed <- "end"
	call("watch=1&after=44")
	feed <- `{"version":45,"servers":[]}`
	want("a change", scheduler.Delta, 45)
	now.Advance(silentMs + 1)
	want("silence", scheduler.WatchIdle, 0)
	feed <- "end"
	if len(calls) != 0 || m.Get("watch_broken") != 4 || m.Get("discovery_bad_lines") != 1 {
		t.Errorf("%d calls more, %d broken, %d bad lines", len(calls), m.Get("watch_broken"), m.Get("discovery_bad_lines"))
	}
}

func TestRefusedWatch(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	told := make(chan lifecycle.EndpointUpdate, 1)
	w := New(strings.TrimPrefix(srv.URL, "http://"), lifecycle.EndpointUpdate{}, clock.NewManual(0), metrics.New(), func(l lifecycle.EndpointUpdate) { told <- l }, nil)
	for range 2 { // an error, then nobody there
		w.Open(context.Background())
		if l := <-told; l.Kind != scheduler.WatchFailed {
			t.Errorf("%+v", l)
		}
		srv.Close()
	}
}
