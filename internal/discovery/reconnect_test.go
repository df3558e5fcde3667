package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/memnet"
)

// fakeAgent is a fake of this machine's discovery agent. It sends the lines of feed on the open watch.
type fakeAgent struct {
	server *http.Server
	feed   chan string

	mu        sync.Mutex
	requests  []string  // for each request, its version and the milliseconds since startedAt
	startedAt time.Time // time of the latest call of expectRequests; before the first call, the start of the agent
}

// newFakeAgent starts a fake agent at an address of a network.
func newFakeAgent(t *testing.T, network *memnet.Net, addr string) *fakeAgent {
	t.Helper()
	listener, err := network.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeAgent{feed: make(chan string), startedAt: time.Now()}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	testbed.ServeHTTP(t, a.server, listener)
	return a
}

// serve handles one watch.
func (a *fakeAgent) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	sinceStart := time.Since(a.startedAt).Milliseconds()
	a.requests = append(a.requests, fmt.Sprintf("%s at %d", r.URL.Query().Get("after"), sinceStart))
	a.mu.Unlock()
	w.(http.Flusher).Flush()
	for {
		select {
		case line := <-a.feed:
			sendLine(w, line)
		case <-r.Context().Done():
			return
		}
	}
}

// send sends a line on the open watch and waits until all goroutines of the test are blocked again.
func (a *fakeAgent) send(line string) {
	a.feed <- line
	synctest.Wait()
}

// expectRequests checks the requests since its previous call, or since the agent was started.
func (a *fakeAgent) expectRequests(t *testing.T, want ...string) {
	t.Helper()
	synctest.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Equal(a.requests, want) {
		t.Errorf("requests %q, want %q", a.requests, want)
	}
	a.requests, a.startedAt = nil, time.Now()
}

// updateRecorder records updates as text: version, number of servers, and whether the update is a snapshot. It is safe for
// concurrent use.
type updateRecorder struct {
	mu      sync.Mutex
	updates []string
}

// record records an update. It is used as the notify function of a Watcher.
func (r *updateRecorder) record(update lifecycle.EndpointUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updates = append(r.updates,
		fmt.Sprintf("%d: %d, snapshot %v", update.Version, len(update.Servers), update.Kind == scheduler.Snapshot))
}

// expect checks all updates that have been recorded.
func (r *updateRecorder) expect(t *testing.T, want ...string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(r.updates, want) {
		t.Errorf("updates %q, want %q", r.updates, want)
	}
}

// idleTime is a duration just longer than the idle timeout.
const idleTime = idleTimeoutMs*time.Millisecond + 1

// TestKeepOpen checks that the watch of this machine's agent is reopened without a call by the scheduler: before the agent is
// running, and after the agent ends a watch, is idle, sends invalid data, restarts with an older list or gets another address.
// None of these is reported as a failed watch.
func TestKeepOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := &memnet.Net{}
		counters := metrics.New()
		var recorder updateRecorder
		cached := lifecycle.EndpointUpdate{Version: 41, Kind: scheduler.CachedSnapshot,
			Servers: []*lifecycle.Server{{Name: "s-1"}, {Name: "s-2"}}}
		watcher := New(Options{
			Addr: "127.0.0.1:1", CachedEndpoints: cached, Clock: clock.NewSystem(), Metrics: counters, Dial: network.Dial,
			Notify: func(update lifecycle.EndpointUpdate) {
				if update.Kind == scheduler.WatchFailed {
					t.Error("WatchFailed is reported for a continuous watch")
				}
				recorder.record(update)
			},
		})
		watcher.KeepOpen(ctx)
		time.Sleep(80 * time.Millisecond)
		agent := newFakeAgent(t, network, "127.0.0.1:1")
		time.Sleep(idleTimeoutMs * time.Millisecond / 2)
		// Calls failed 0, 10, 30 and 70 ms after KeepOpen. The agent started after 80 ms. The next call came after 150 ms,
		// which is 70 ms after the start of the agent.
		agent.expectRequests(t, "41 at 70")
		agent.send(`{"version":43,"servers":[` + entry("Terminating") + `]}`)
		agent.send(`{"servers":[` + entry("Terminating") + `]}`)
		agent.expectRequests(t)
		// Invalid data ends the watch. The watch lasted longer than maxReconnectDelayMs, so it is reopened at once.
		agent.send(`nonsense`)
		agent.expectRequests(t, "43 at 0")
		time.Sleep(idleTime)
		agent.expectRequests(t, "43 at 3000")
		// Older lists do not replace the list until they have been sent for endpoints.RegressionTimeoutMs. Then the watcher
		// requests a snapshot.
		agent.send(`{"version":0,"full":true,"servers":[]}`)
		agent.send(`{"version":40,"full":true,"servers":[` + entry("Ready") + `]}`)
		for range 3 {
			time.Sleep(heartbeatIntervalMs * time.Millisecond)
			agent.send("")
		}
		agent.expectRequests(t)
		agent.send(`{"version":40,"servers":[]}`)
		agent.expectRequests(t, "0 at 0")
		agent.send(`{"version":40,"full":true,"servers":[` + entry("Ready") + `]}`)
		agent.server.Close()
		time.Sleep(time.Second)
		next := newFakeAgent(t, network, "127.0.0.1:2")
		watcher.SwitchAddress(ctx, "127.0.0.1:2")
		next.expectRequests(t, "0 at 0")
		next.send(`{"version":2,"full":true,"servers":[]}`)
		time.Sleep(idleTime)
		next.expectRequests(t, "2 at 3000")
		synctest.Wait()
		recorder.expect(t, "43: 1, snapshot false", "43: 1, snapshot false", "0: 0, snapshot false", "40: 0, snapshot false",
			"40: 1, snapshot true", "2: 0, snapshot true")
		if stale, invalid := counters.Get("discovery_stale_entries"), counters.Get("discovery_bad_messages"); stale != 1 || invalid != 1 {
			t.Errorf("%d stale entries, %d invalid messages, want 1 and 1", stale, invalid)
		}
		cancel()
		next.server.Close()
		synctest.Wait()
	})
}

// TestReconnectBacksOff checks that calls to an unavailable agent are 10, 20, 40, 80 and then 160 ms apart, whether it refuses
// connections or accepts and closes them.
func TestReconnectBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var intervalsMs []int64
		lastDial := time.Now()
		dial := func(context.Context, string, string) (net.Conn, error) {
			intervalsMs = append(intervalsMs, time.Since(lastDial).Milliseconds())
			lastDial = time.Now()
			if len(intervalsMs)%2 == 0 {
				client, server := net.Pipe()
				server.Close()
				return client, nil
			}
			return nil, errors.New("refused")
		}
		watcher := New(Options{
			Addr:    "127.0.0.1:1",
			Clock:   clock.NewSystem(),
			Metrics: metrics.New(),
			Notify:  func(lifecycle.EndpointUpdate) { t.Error("an update is reported, want none") },
			Dial:    dial,
		})
		watcher.KeepOpen(ctx)
		time.Sleep(700 * time.Millisecond)
		cancel()
		synctest.Wait()
		if want := []int64{0, 10, 20, 40, 80, 160, 160, 160}; !slices.Equal(intervalsMs, want) {
			t.Errorf("intervals between calls are %v ms, want %v", intervalsMs, want)
		}
	})
}
