package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed/memnet"
)

// agent is this machine's agent: it tells the lines that the test gives it on the watch that is open.
type agent struct {
	srv   *http.Server
	feed  chan string
	mu    sync.Mutex
	asked []string // what was asked for, and when
	began time.Time
}

func newAgent(t *testing.T, n *memnet.Net, addr string) *agent {
	ln, err := n.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	a := &agent{feed: make(chan string), began: time.Now()}
	a.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.asked = append(a.asked, fmt.Sprintf("%s at %d", r.URL.Query().Get("after"), time.Since(a.began).Milliseconds()))
		a.mu.Unlock()
		w.(http.Flusher).Flush()
		for {
			select {
			case line := <-a.feed:
				io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	})}
	go a.srv.Serve(ln)
	return a
}

// says tells a line and waits until all has come of it that comes at once.
func (a *agent) says(line string) {
	a.feed <- line
	synctest.Wait()
}

func (a *agent) wasAsked(t *testing.T, want ...string) {
	t.Helper()
	synctest.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Equal(a.asked, want) {
		t.Errorf("asked for %q, want %q", a.asked, want)
	}
	a.asked, a.began = nil, time.Now()
}

// The machine's own agent is followed from the start on, without anybody asking for it: when it is not there yet, when
// it ends a watch, says nothing or makes no sense, when it has died and comes back with less than it had told, and
// behind a move. None of that is a broken list for the module.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n := &memnet.Net{}
		var mu sync.Mutex
		var told []string
		m := metrics.New()
		w := New("127.0.0.1:1", lifecycle.EndpointUpdate{Version: 41, Kind: scheduler.CachedSnapshot, Servers: []*lifecycle.Server{{Name: "s-1"}, {Name: "s-2"}}},
			clock.NewSystem(), m, func(l lifecycle.EndpointUpdate) {
				if l.Kind == scheduler.WatchFailed {
					t.Error("a broken list")
				}
				mu.Lock()
				defer mu.Unlock()
				told = append(told, fmt.Sprintf("%d: %d, whole %v", l.Version, len(l.Servers), l.Kind == scheduler.Snapshot))
			}, n.Dial)
		w.KeepOpen(ctx)
		time.Sleep(80 * time.Millisecond)
		a := newAgent(t, n, "127.0.0.1:1")
		time.Sleep(silentMs * time.Millisecond / 2)
		a.wasAsked(t, "41 at 70")
		a.says(`{"version":43,"servers":[` + fmt.Sprintf(entry, "Terminating") + `]}`)
		a.says(`{"servers":[` + fmt.Sprintf(entry, "Terminating") + `]}`)
		a.wasAsked(t)
		a.says(`nonsense`)
		a.wasAsked(t, "43 at 0")
		time.Sleep(silentMs*time.Millisecond + 1)
		a.wasAsked(t, "43 at 3000")
		a.says(`{"version":0,"full":true,"servers":[]}`)
		a.says(`{"version":40,"full":true,"servers":[` + fmt.Sprintf(entry, "Ready") + `]}`)
		for range 3 {
			time.Sleep(lineMs * time.Millisecond)
			a.says("") // it is there, and has nothing to say
		}
		a.wasAsked(t)
		a.says(`{"version":40,"servers":[]}`)
		a.wasAsked(t, "0 at 0")
		a.says(`{"version":40,"full":true,"servers":[` + fmt.Sprintf(entry, "Ready") + `]}`)
		a.srv.Close()
		time.Sleep(time.Second)
		b := newAgent(t, n, "127.0.0.1:2")
		w.SwitchAddress(ctx, "127.0.0.1:2")
		b.wasAsked(t, "0 at 0")
		b.says(`{"version":2,"full":true,"servers":[]}`)
		time.Sleep(silentMs*time.Millisecond + 1)
		b.wasAsked(t, "2 at 3000")
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		if want := []string{"43: 1, whole false", "43: 1, whole false", "0: 0, whole false", "40: 0, whole false",
			"40: 1, whole true", "2: 0, whole true"}; !slices.Equal(told, want) {
			t.Errorf("told %q, want %q", told, want)
		}
		if m.Get("discovery_outdated") != 1 || m.Get("discovery_bad_lines") != 1 {
			t.Errorf("%d entries outdated, %d bad lines", m.Get("discovery_outdated"), m.Get("discovery_bad_lines"))
		}
		cancel()
		b.srv.Close()
		synctest.Wait()
	})
}

// Calls of an agent that is away stay bounded: 10, 20, 40, 80, then 160 ms apart; also where it takes each connection
// and ends it.
func TestFollowBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var apart []int64
		last := time.Now()
		w := New("127.0.0.1:1", lifecycle.EndpointUpdate{}, clock.NewSystem(), metrics.New(), func(lifecycle.EndpointUpdate) { t.Error("told") },
			func(context.Context, string, string) (net.Conn, error) {
				apart = append(apart, time.Since(last).Milliseconds())
				last = time.Now()
				if len(apart)%2 == 0 {
					a, b := net.Pipe()
					b.Close()
					return a, nil
				}
				return nil, errors.New("refused")
			})
		w.KeepOpen(ctx)
		time.Sleep(700 * time.Millisecond)
		cancel()
		synctest.Wait()
		if want := []int64{0, 10, 20, 40, 80, 160, 160, 160}; !slices.Equal(apart, want) {
			t.Errorf("calls %v ms apart, want %v", apart, want)
		}
	})
}
