package discovery

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

// service is a discovery that tells the lines of its feed on each watch, and each watch's query and end.
func service(t *testing.T) (addr string, feed, asked, ended chan string) {
	feed, asked, ended = make(chan string), make(chan string, 4), make(chan string, 4)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		w.(http.Flusher).Flush()
		for {
			select {
			case line := <-feed:
				io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				ended <- "ended"
				return
			}
		}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), feed, asked, ended
}

// A watch that moves asks the new address for the whole list, gives up the old one, tells nothing of that one any
// more, and is no broken one: the module would else ask again and again for what it has.
func TestMove(t *testing.T) {
	oldAddr, oldFeed, oldAsked, oldEnded := service(t)
	newAddr, newFeed, newAsked, _ := service(t)
	told := make(chan lifecycle.EndpointUpdate, 10)
	m := metrics.New()
	w := New(oldAddr, lifecycle.EndpointUpdate{Version: 41}, clock.NewManual(1e12), m, func(l lifecycle.EndpointUpdate) { told <- l }, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.Open(ctx)
	if q := <-oldAsked; q != "watch=1&after=41" {
		t.Errorf("asked %q", q)
	}
	oldFeed <- `{"version":43,"servers":[]}`
	if l := <-told; l.Version != 43 {
		t.Errorf("%+v", l)
	}
	w.SwitchAddress(ctx, newAddr)
	<-oldEnded
	if q := <-newAsked; q != "watch=1&after=0" {
		t.Errorf("asked the new one %q", q)
	}
	w.Open(ctx)                   // one is open
	w.SwitchAddress(ctx, newAddr) // and there already
	newFeed <- `{"version":2,"full":true,"servers":[]}`
	if l := <-told; l.Version != 2 || l.Kind != scheduler.Snapshot {
		t.Errorf("%+v", l)
	}
	if len(told) != 0 || len(newAsked) != 0 || m.Get("watch_broken") != 0 {
		t.Errorf("%d more told, %d more asked, %d broken", len(told), len(newAsked), m.Get("watch_broken"))
	}
}

// Nothing from the old address may come behind the new list, even what was already being told.
func TestMoveWaitsForWhatIsBeingTold(t *testing.T) {
	oldAddr, oldFeed, _, _ := service(t)
	newAddr, newFeed, newAsked, _ := service(t)
	telling, release, told := make(chan bool), make(chan bool), make(chan uint64, 4)
	w := New(oldAddr, lifecycle.EndpointUpdate{}, clock.NewManual(1e12), metrics.New(), func(l lifecycle.EndpointUpdate) {
		if l.Version == 43 {
			telling <- true
			<-release
		}
		told <- l.Version
	}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.Open(ctx)
	oldFeed <- `{"version":43,"servers":[]}`
	<-telling
	moved := make(chan bool)
	go func() { w.SwitchAddress(ctx, newAddr); close(moved) }()
	if len(newAsked) != 0 {
		t.Error("the new watch began before the old one had told its last")
	}
	close(release)
	<-moved
	<-newAsked
	newFeed <- `{"version":2,"servers":[]}`
	if a, b := <-told, <-told; a != 43 || b != 2 {
		t.Errorf("told %d, then %d", a, b)
	}
}

// Where nothing was watched yet, or the watch has broken, a move is a start.
func TestMoveWithoutAWatch(t *testing.T) {
	addr, _, asked, _ := service(t)
	w := New("127.0.0.1:1", lifecycle.EndpointUpdate{Version: 5}, clock.NewManual(1e12), metrics.New(), func(lifecycle.EndpointUpdate) {}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.SwitchAddress(ctx, addr)
	if q := <-asked; q != "watch=1&after=0" {
		t.Errorf("asked %q", q)
	}
}
