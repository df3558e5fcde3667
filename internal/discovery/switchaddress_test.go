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

// watchServer is a discovery service that responds at once and sends the lines of its feed on each watch.
type watchServer struct {
	addr    string
	feed    chan string
	queries chan string   // of the requests
	ended   chan struct{} // one value for each watch that was ended
}

// newWatchServer starts a service that ends with the test.
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

// TestSwitchAddress checks that the new address is asked for a snapshot, that the old watch is ended and reports nothing
// more, and that its end is not reported as a failure: the scheduler would open another watch.
func TestSwitchAddress(t *testing.T) {
	previous, next := newWatchServer(t), newWatchServer(t)
	updates := make(chan lifecycle.EndpointUpdate, 10)
	counters := metrics.New()
	watcher := New(Options{
		Addr:    previous.addr,
		Known:   lifecycle.EndpointUpdate{Version: 41},
		Clock:   clock.NewManual(1e12),
		Metrics: counters,
		Notify:  func(update lifecycle.EndpointUpdate) { updates <- update },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher.Open(ctx)
	if query := <-previous.queries; query != "watch=1&after=41" {
		t.Errorf("requested %q", query)
	}
	previous.feed <- `{"version":43,"servers":[]}`
	if update := <-updates; update.Version != 43 {
		t.Errorf("%+v", update)
	}
	watcher.SwitchAddress(ctx, next.addr)
	<-previous.ended
	if query := <-next.queries; query != "watch=1&after=0" {
		t.Errorf("requested %q at the new address", query)
	}
	watcher.Open(ctx)                     // a watch is open
	watcher.SwitchAddress(ctx, next.addr) // the address is the current one
	next.feed <- `{"version":2,"full":true,"servers":[]}`
	if update := <-updates; update.Version != 2 || update.Kind != scheduler.Snapshot {
		t.Errorf("%+v", update)
	}
	if failed := counters.Get("discovery_watches_failed"); len(updates) != 0 || len(next.queries) != 0 || failed != 0 {
		t.Errorf("%d more updates, %d more requests, %d watches failed", len(updates), len(next.queries), failed)
	}
}

// TestSwitchAddressWaitsForNotify checks that no update of the old address is delivered after the new list, even one whose
// delivery has already begun.
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
		t.Error("the new watch began before the old one had ended")
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
		Addr:    "127.0.0.1:1",
		Known:   lifecycle.EndpointUpdate{Version: 5},
		Clock:   clock.NewManual(1e12),
		Metrics: metrics.New(),
		Notify:  func(lifecycle.EndpointUpdate) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher.SwitchAddress(ctx, server.addr)
	if query := <-server.queries; query != "watch=1&after=0" {
		t.Errorf("requested %q", query)
	}
}
