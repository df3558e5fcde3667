package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed/memnet"
	"gaugerelay/internal/testbed/testsettings"
)

// Requests that were accepted before the shutdown, and have more time than the platform leaves the program, get their
// response before it exits: a read is rejected, and a write that may have been executed fails.
func TestShutdownRespondsToOpenRequests(t *testing.T) {
	for _, deadline := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second, 5 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { shutDownWithOpenRequests(t, deadline) })
		})
	}
}

// completion is how and when a request ended.
type completion struct {
	what string // class and status, or class and error
	at   time.Time
}

func shutDownWithOpenRequests(t *testing.T, deadline time.Duration) {
	killedAfter := min(deadline, 3*time.Second) + 700*time.Millisecond
	network := &memnet.Net{}
	listenWithoutResponding(t, network, "127.0.0.2:1")
	g := startWithDeadline(t, network, deadline)
	client := &http.Client{Transport: &http.Transport{DialContext: network.Dial}}
	completions := make(chan completion, 2)
	for class, method := range map[string]string{"bulk-read": "GET", "push": "PUT"} {
		request := newRequest(t, method, "127.0.0.1:1", class, deadline)
		request.Header.Set("Idempotency-Key", "k")
		go func() {
			status, err := send(client, request)
			what := fmt.Sprint(class, " ", status)
			if err != nil {
				what = fmt.Sprint(class, " ", err)
			}
			completions <- completion{what, time.Now()}
		}()
	}
	incomplete, err := network.Dial(t.Context(), "tcp", "127.0.0.1:1") // a client that never sends the rest of its request
	if err != nil {
		t.Fatal(err)
	}
	defer incomplete.Close()
	go func() { _, _ = io.WriteString(incomplete, "GET /bulk") }()
	time.Sleep(deadline / 25)
	if started := g.Metrics.Get("attempts_started"); started != 2 {
		t.Fatalf("%d attempts are open, want 2", started)
	}
	begun := time.Now()
	g.Shutdown()
	ended := time.Now()
	if took := ended.Sub(begun); took >= killedAfter {
		t.Errorf("ended after %v, killed after %v", took, killedAfter)
	}
	for range 2 {
		c := <-completions
		if c.what != "bulk-read 503" && c.what != "push 502" {
			t.Errorf("a response of %q", c.what)
		}
		if took := c.at.Sub(begun); took >= killedAfter || c.at.After(ended) {
			t.Errorf("%q ended after %v, the gateway ended after %v", c.what, took, ended.Sub(begun))
		}
	}
	time.Sleep(time.Minute)
}

// listenWithoutResponding opens a server that reads everything and sends nothing.
func listenWithoutResponding(t *testing.T, network *memnet.Net, addr string) {
	t.Helper()
	listener, err := network.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
}

// startWithDeadline starts a gateway on 127.0.0.1:1 with one server, 127.0.0.2:1, whose classes have a deadline.
func startWithDeadline(t *testing.T, network *memnet.Net, deadline time.Duration) *Gateway {
	t.Helper()
	cfg := &config.Config{Name: "gw", Listen: "127.0.0.1:1", Discovery: "127.0.0.1:9", MaxSockets: 64, ConnectTimeoutMs: 250,
		IdleConnTimeoutMs: 30_000, Settings: testsettings.Settings(1)}
	for i := range cfg.Settings.Classes {
		class := &cfg.Settings.Classes[i]
		class.Deadline, class.LatencyObjective = deadline, min(class.LatencyObjective, deadline/2)
	}
	cfg.KnownEndpoints = lifecycle.EndpointUpdate{Kind: scheduler.CachedSnapshot,
		Servers: []*lifecycle.Server{{Name: "a", Addr: "127.0.0.2:1"}}}
	g, err := New(cfg, &config.Edge{}, clock.NewSystem(), Network{Dial: network.Dial, Listen: network.Listen})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	return g
}
