package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/testbed"
)

// unreadConn leaves what comes in the system while the test has the lock.
type unreadConn struct {
	*net.TCPConn
	lock *sync.RWMutex
}

func (c unreadConn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Read(func(fd uintptr) bool { // until something is there
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
	if err != nil {
		return 0, err
	}
	c.lock.RLock()
	defer c.lock.RUnlock()
	return c.TCPConn.Read(p)
}

// News that wait unread in the watch's socket, as after a stop of the whole process, count before the first byte of what
// was decided without them: a node that drains by them gets nothing.
func TestUnreadNewsComeBeforeTheFirstByte(t *testing.T) {
	asked := make(chan bool, 4)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked <- true
		io.WriteString(w, "x")
	}))
	defer node.Close()
	entry := func(version int, state string) string {
		return fmt.Sprintf(`{"version":%d,"servers":[{"id":"a","addr":"%s","cell":0,"state":"%s"}]}`+"\n", version, node.Listener.Addr(), state)
	}
	drain, drained := make(chan bool), make(chan bool, 64) // of watches that are opened anew, too
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, entry(2, "Ready"))
		w.(http.Flusher).Flush()
		<-drain
		io.WriteString(w, entry(3, "Terminating"))
		w.(http.Flusher).Flush()
		drained <- true
		<-drain
	}))
	defer list.Close()
	defer close(drain)

	var lock sync.RWMutex
	now := clock.NewManual(1e12)
	opened, attempts := make(chan bool), 0
	ln := testbed.Listen(t)
	cfg := &config.Config{Name: "gw", Listen: "x", Discovery: list.Listener.Addr().String(), MaxSockets: 64, ConnectTimeoutMs: 5000,
		IdleConnTimeoutMs: 30_000, Settings: testbed.Settings(1)}
	cfg.Settings.PollEndpoints = false
	cfg.KnownEndpoints = lifecycle.EndpointUpdate{Kind: scheduler.CachedSnapshot}
	g, err := New(cfg, &config.Edge{}, now, Network{Listen: func(string) (net.Listener, error) { return ln, nil },
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			if addr == cfg.Discovery {
				return unreadConn{c.(*net.TCPConn), &lock}, nil
			}
			if attempts++; attempts == 1 {
				<-opened // the connection is a little late, and the drain comes meanwhile
			}
			return c, nil
		}})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	defer g.Kill()
	for !g.loop.Ready() {
		g.loop.Sync()
	}
	answer := make(chan int, 1)
	go func() {
		req, _ := http.NewRequest("GET", "http://"+ln.Addr().String()+"/pull/00000000000000aa", nil)
		for k, v := range map[string]string{"X-Correlation-Id": "1", "X-Service-Class": "pull", "X-Plan": "business",
			"X-Time-Left-Ms": "1500", "X-IO": "volume=1,units=1,shard=0,hosts=1"} {
			req.Header.Set(k, v)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answer <- 0
			return
		}
		resp.Body.Close()
		answer <- resp.StatusCode
	}()
	for g.Metrics.Get("attempts_started") == 0 {
		g.loop.Sync()
	}
	lock.Lock()
	drain <- true
	<-drained
	opened <- true
	for g.Metrics.Get("attempts_held_for_news") == 0 && len(asked) == 0 && len(answer) == 0 {
		g.loop.Sync() // without a wait nothing is held, and the node is asked
	}
	lock.Unlock()
	for g.Metrics.Get("attempts_connect_failed") == 0 && len(asked) == 0 {
		g.loop.Sync()
	}
	for len(answer) == 0 {
		now.Advance(5)
		g.loop.Sync()
	}
	if code := <-answer; code == http.StatusOK || len(asked) != 0 {
		t.Errorf("answered %d, the node was asked %d times", code, len(asked))
	}
}
