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
)

// watchServer is a discovery service that responds to each watch at once and then sends the lines of its feed on it.
type watchServer struct {
	addr    string
	feed    chan string
	queries chan string   // receives the query of each request
	ended   chan struct{} // receives a value for each watch that the client has ended
}

// newWatchServer starts a service that is closed at the end of the test.
func newWatchServer(t *testing.T) *watchServer {
	t.Helper()
	s := &watchServer{feed: make(chan string), queries: make(chan string, 4), ended: make(chan struct{}, 4)}
	server := httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(server.Close)
	s.addr = strings.TrimPrefix(server.URL, "http://")
	return s
}

// serve handles one watch.
func (s *watchServer) serve(w http.ResponseWriter, r *http.Request) {
	s.queries <- r.URL.RawQuery
	w.(http.Flusher).Flush()
	for {
		select {
		case line := <-s.feed:
			sendLine(w, line)
		case <-r.Context().Done():
			s.ended <- struct{}{}
			return
		}
	}
}

// TestSwitchAddress checks that SwitchAddress ends the old watch, requests a snapshot from the new address, and delivers
// nothing more from the old one. The end of the old watch must not be reported as a failure, because the scheduler would open
// another watch.
func TestSwitchAddress(t *testing.T) {
	previous, next := newWatchServer(t), newWatchServer(t)
	updates := make(chan lifecycle.EndpointUpdate, 10)
	counters := metrics.New()
	watcher := New(Options{
		Addr:            previous.addr,
		CachedEndpoints: lifecycle.EndpointUpdate{Version: 41},
		Clock:           clock.NewManual(1e12),
		Metrics:         counters,
		Notify:          func(update lifecycle.EndpointUpdate) { updates <- update },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher.Open(ctx)
	if query := <-previous.queries; query != "watch=1&after=41" {
		t.Errorf("query of the first request is %q, want all changes after version 41", query)
	}
	previous.feed <- `{"version":43,"servers":[]}`
	if update := <-updates; update.Version != 43 {
		t.Errorf("%+v", update)
	}
	watcher.SwitchAddress(ctx, next.addr)
	<-previous.ended
	if query := <-next.queries; query != "watch=1&after=0" {
		t.Errorf("query at the new address is %q, want a snapshot, after=0", query)
	}
	watcher.Open(ctx)                     // has no effect, because a watch is open
	watcher.SwitchAddress(ctx, next.addr) // has no effect, because the address is the current one
	next.feed <- `{"version":2,"full":true,"servers":[]}`
	if update := <-updates; update.Version != 2 || update.Kind != scheduler.Snapshot {
		t.Errorf("%+v", update)
	}
	if failed := counters.Get("discovery_watches_failed"); len(updates) != 0 || len(next.queries) != 0 || failed != 0 {
		t.Errorf("%d more updates, %d more requests, %d failed watches, want none of them", len(updates), len(next.queries), failed)
	}
}

// TestSwitchAddressWaitsForNotify checks that SwitchAddress waits for a call of the notify function that began before
// SwitchAddress was called. Otherwise an update of the old address could be delivered after the list of the new one.
func TestSwitchAddressWaitsForNotify(t *testing.T) {
	previous, next := newWatchServer(t), newWatchServer(t)
	notifying, release, versions := make(chan bool), make(chan bool), make(chan uint64, 4)
	watcher := New(Options{
		Addr:    previous.addr,
		Clock:   clock.NewManual(1e12),
		Metrics: metrics.New(),
		Notify: func(update lifecycle.EndpointUpdate) {
			if update.Version == 43 {
				notifying <- true
				<-release
			}
			versions <- update.Version
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher.Open(ctx)
	previous.feed <- `{"version":43,"servers":[]}`
	<-notifying
	switched := make(chan bool)
	go func() {
		defer close(switched)
		watcher.SwitchAddress(ctx, next.addr)
	}()
	if len(next.queries) != 0 {
		t.Error("request sent to the new address before the notify function returned for the old one")
	}
	close(release)
	<-switched
	<-next.queries
	next.feed <- `{"version":2,"servers":[]}`
	if first, second := <-versions, <-versions; first != 43 || second != 2 {
		t.Errorf("delivered versions %d and %d, want 43 and 2", first, second)
	}
}

// TestSwitchAddressWithoutWatch checks that SwitchAddress opens a watch where none was open.
func TestSwitchAddressWithoutWatch(t *testing.T) {
	server := newWatchServer(t)
	watcher := New(Options{
		Addr:            "127.0.0.1:1",
		CachedEndpoints: lifecycle.EndpointUpdate{Version: 5},
		Clock:           clock.NewManual(1e12),
		Metrics:         metrics.New(),
		Notify:          func(lifecycle.EndpointUpdate) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher.SwitchAddress(ctx, server.addr)
	if query := <-server.queries; query != "watch=1&after=0" {
		t.Errorf("query is %q, want a snapshot, after=0", query)
	}
}
