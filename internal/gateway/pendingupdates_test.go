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
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed"
)

// gatedConn is a connection whose Read waits while the test holds the field lock for writing. Arriving bytes then stay unread in
// the socket.
type gatedConn struct {
	*net.TCPConn
	lock *sync.RWMutex
}

func (c gatedConn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Read(func(fd uintptr) bool { // returns once a byte has arrived
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

// drainingDiscovery is a discovery service whose list contains one server. When it gets a value from drain, it reports the
// server as draining.
type drainingDiscovery struct {
	addr    string
	drain   chan bool
	drained chan bool // receives a value for each watch on which the report has been written
}

// startDrainingDiscovery starts the service for a server at an address.
func startDrainingDiscovery(t *testing.T, serverAddr net.Addr) *drainingDiscovery {
	t.Helper()
	d := &drainingDiscovery{drain: make(chan bool), drained: make(chan bool, 64)}
	writeEntry := func(w http.ResponseWriter, version int, state string) {
		_, _ = fmt.Fprintf(w, `{"version":%d,"servers":[{"id":"a","addr":"%s","cell":0,"state":"%s"}]}`+"\n", version, serverAddr, state)
		w.(http.Flusher).Flush()
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeEntry(w, 2, "Ready")
		<-d.drain
		writeEntry(w, 3, "Terminating")
		d.drained <- true
		<-d.drain
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(d.drain) })
	d.addr = server.Listener.Addr().String()
	return d
}

// An update may have arrived but still be unread in the socket of the watch, for example after a pause of the whole process. It
// must be applied before the first byte is sent of an attempt that the scheduler started without knowing the update. If the
// update reports the server as draining, the server must get no request.
func TestPendingEndpointUpdateAppliesBeforeFirstByte(t *testing.T) {
	serverRequests := make(chan bool, 4)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		serverRequests <- true
		_, _ = io.WriteString(w, "x")
	}))
	defer server.Close()
	discovery := startDrainingDiscovery(t, server.Listener.Addr())

	var watchGate sync.RWMutex
	connected, attempts := make(chan bool), 0
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if addr == discovery.addr {
			return gatedConn{conn.(*net.TCPConn), &watchGate}, nil
		}
		if attempts++; attempts == 1 {
			<-connected // the server is reported as draining while the connection is being established
		}
		return conn, nil
	}
	manualClock := clock.NewManual(1e12)
	g, addr := startWatching(t, discovery.addr, manualClock, dial)

	request := newRequest(t, "GET", addr, "pull", 1500*time.Millisecond)
	response := make(chan int, 1)
	go func() {
		status, _ := send(http.DefaultClient, request) // the status is 0 after an error
		response <- status
	}()
	for g.Metrics.Get("attempts_started") == 0 {
		g.loop.Sync()
	}
	watchGate.Lock()
	discovery.drain <- true
	<-discovery.drained
	connected <- true
	for g.Metrics.Get("attempts_delayed_by_endpoint_update") == 0 && len(serverRequests) == 0 && len(response) == 0 {
		g.loop.Sync() // if the attempt did not wait for the update, it would reach the server, which also ends this loop
	}
	watchGate.Unlock()
	for g.Metrics.Get("attempts_connect_failed") == 0 && len(serverRequests) == 0 {
		g.loop.Sync() // an attempt that is denied because its server is draining ends with the status connect_failed
	}
	for len(response) == 0 {
		manualClock.Advance(5)
		g.loop.Sync()
	}
	if status := <-response; status == http.StatusOK || len(serverRequests) != 0 {
		t.Errorf("status %d and %d requests to the server, want an error and no request", status, len(serverRequests))
	}
}

// startWatching starts a gateway that watches a pushed endpoint list. It waits until the gateway is ready, and returns the
// gateway and its address.
func startWatching(t *testing.T, discovery string, gatewayClock clock.Clock,
	dial func(ctx context.Context, network, addr string) (net.Conn, error)) (g *Gateway, addr string) {
	t.Helper()
	listener := testbed.Listen(t)
	cfg := &config.Config{Name: "gw", Listen: "x", Discovery: discovery, MaxSockets: 64, ConnectTimeoutMs: 5000,
		IdleConnTimeoutMs: 30_000, Settings: testbed.Settings(1)}
	cfg.Settings.PollEndpoints = false
	cfg.KnownEndpoints = lifecycle.EndpointUpdate{Kind: scheduler.CachedSnapshot}
	listen := func(string) (net.Listener, error) { return listener, nil }
	g, err := New(cfg, &config.Edge{}, gatewayClock, Network{Listen: listen, Dial: dial})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	for !g.loop.Ready() {
		g.loop.Sync()
	}
	return g, listener.Addr().String()
}
