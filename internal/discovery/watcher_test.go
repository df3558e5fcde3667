package discovery

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed"
)

// endResponse is a line of a feed. It makes the service of newLineServer end its response.
const endResponse = "end"

// newLineServer starts a discovery service that puts the query of each request into queries and responds with the lines of
// feed. The service sends nothing of a response, not even its header, before the first line.
func newLineServer(t *testing.T) (addr string, feed, queries chan string) {
	t.Helper()
	feed, queries = make(chan string), make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		for line := range feed {
			if line == endResponse {
				return
			}
			sendLine(w, line)
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(feed) })
	return strings.TrimPrefix(server.URL, "http://"), feed, queries
}

// sendLine sends a line on a watch without buffering.
func sendLine(w http.ResponseWriter, line string) {
	testbed.TryWrite(w, line+"\n")
	w.(http.Flusher).Flush()
}

// TestWatch checks that a watch reports each update, resumes after the last received version, reports its end, and is not
// opened twice.
func TestWatch(t *testing.T) {
	addr, feed, queries := newLineServer(t)
	updates := make(chan lifecycle.EndpointUpdate, 10)
	counters, manualClock := metrics.New(), clock.NewManual(1e12)
	watcher := New(Options{
		Addr:            addr,
		CachedEndpoints: lifecycle.EndpointUpdate{Version: 41},
		Clock:           manualClock,
		Metrics:         counters,
		Notify:          func(update lifecycle.EndpointUpdate) { updates <- update },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	expectUpdate := func(event string, kind scheduler.UpdateKind, version uint64) {
		t.Helper()
		if update := <-updates; update.Kind != kind || update.Version != version {
			t.Errorf("%s: the update %+v has an unexpected kind or version", event, update)
		}
	}
	expectRequest := func(want string) {
		t.Helper()
		watcher.Open(ctx)
		watcher.Open(ctx) // has no effect, because a watch is open or being opened
		if query := <-queries; query != want {
			t.Errorf("requested %q, want %q", query, want)
		}
	}
	expectRequest("watch=1&after=41")
	feed <- "" // a heartbeat, which is not reported before the watch is confirmed
	feed <- `{"version":43,"servers":[` + entry("Gone") + `]}`
	expectUpdate("delta", scheduler.Delta, 43)
	feed <- `{"version":44,"full":true,"servers":[]}`
	expectUpdate("snapshot", scheduler.Snapshot, 44)
	feed <- endResponse
	expectUpdate("end", scheduler.WatchClosed, 0)
	expectRequest("watch=1&after=44")
	feed <- `[1,2]`
	expectUpdate("invalid message", scheduler.WatchFailed, 0)
	feed <- endResponse
	expectRequest("watch=1&after=44")
	manualClock.Advance(responseTimeoutMs + 1)
	expectUpdate("no response in time", scheduler.WatchFailed, 0)
	feed <- endResponse
	expectRequest("watch=1&after=44")
	feed <- `{"version":45,"servers":[]}`
	expectUpdate("delta", scheduler.Delta, 45)
	manualClock.Advance(idleTimeoutMs + 1)
	expectUpdate("idle", scheduler.WatchIdle, 0)
	feed <- endResponse
	if len(queries) != 0 {
		t.Errorf("%d more requests, want none", len(queries))
	}
	if failed, invalid := counters.Get("discovery_watches_failed"), counters.Get("discovery_bad_messages"); failed != 4 || invalid != 1 {
		t.Errorf("%d watches failed, %d invalid messages, want 4 and 1", failed, invalid)
	}
}

// TestSilentWatch checks that a watch which ends while a heartbeat is overdue is reported as silent. It guards against a gateway that
// misses a change on a silent watch and goes on using its list because discovery then refuses its calls.
func TestSilentWatch(t *testing.T) {
	for name, c := range map[string]struct {
		sinceMessageMs float64 // time from the latest message to the end of the watch
		want           bool
	}{
		"ends after an update":               {0, false},
		"ends before the heartbeat is due":   {heartbeatIntervalMs, false},
		"ends when the heartbeat is overdue": {heartbeatIntervalMs + 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			addr, feed, queries := newLineServer(t)
			updates := make(chan lifecycle.EndpointUpdate, 10)
			manualClock := clock.NewManual(1e12)
			watcher := New(Options{Addr: addr, Clock: manualClock, Metrics: metrics.New(),
				Notify: func(update lifecycle.EndpointUpdate) { updates <- update }})
			watcher.Open(t.Context())
			<-queries
			feed <- `{"version":1,"full":true,"servers":[]}`
			<-updates
			manualClock.Advance(c.sinceMessageMs)
			feed <- endResponse
			if update := <-updates; update.Kind != scheduler.WatchClosed || (update.Failure == lifecycle.WatchSilent) != c.want {
				t.Errorf("update %+v, want kind WatchClosed, silent: %v", update, c.want)
			}
		})
	}
}

// TestFailedCalls checks that a response with an error status and a refused connection are reported.
func TestFailedCalls(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	updates := make(chan lifecycle.EndpointUpdate, 1)
	watcher := New(Options{
		Addr:    strings.TrimPrefix(server.URL, "http://"),
		Clock:   clock.NewManual(0),
		Metrics: metrics.New(),
		Notify:  func(update lifecycle.EndpointUpdate) { updates <- update },
	})
	for _, call := range []string{"error status", "connection refused"} {
		watcher.Open(context.Background())
		if update := <-updates; update.Kind != scheduler.WatchFailed {
			t.Errorf("%s: update %+v, want kind WatchFailed", call, update)
		}
		server.Close()
	}
}
