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

// Requests that are open when the shutdown begins get their response before the program exits, even if their deadline is later:
// a read is rejected, and a write that may have been executed fails.
func TestShutdownRespondsToOpenRequests(t *testing.T) {
	for _, deadline := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second, 5 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { shutDownWithOpenRequests(t, deadline) })
		})
	}
}

// completion is how and when a request ended.
type completion struct {
	outcome string    // class and status, or class and error
	at      time.Time // when the client got the response or the error
}

// shutDownWithOpenRequests checks the shutdown of a gateway whose classes all have the given deadline. The requests are open
// when the shutdown begins, because the only server never responds.
func shutDownWithOpenRequests(t *testing.T, deadline time.Duration) {
	killedAfter := min(deadline, 3*time.Second) + 700*time.Millisecond // time of the kill (see killGraceMs)
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
			outcome := fmt.Sprint(class, " ", status)
			if err != nil {
				outcome = fmt.Sprint(class, " ", err)
			}
			completions <- completion{outcome, time.Now()}
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
		t.Fatalf("%d attempts started, want 2", started)
	}
	startedAt := time.Now()
	g.Shutdown()
	endedAt := time.Now()
	if took := endedAt.Sub(startedAt); took >= killedAfter {
		t.Errorf("shutdown took %v, want less than %v, when the platform kills the program", took, killedAfter)
	}
	for range 2 {
		c := <-completions
		if c.outcome != "bulk-read 503" && c.outcome != "push 502" {
			t.Errorf("outcome of a request is %q, want status 503 of bulk-read or 502 of push", c.outcome)
		}
		if took := c.at.Sub(startedAt); took >= killedAfter || c.at.After(endedAt) {
			t.Errorf("response %q came after %v, want it before the gateway ended after %v", c.outcome, took, endedAt.Sub(startedAt))
		}
	}
	time.Sleep(time.Minute)
}

// listenWithoutResponding starts a server that reads everything and never responds.
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

// startWithDeadline starts a gateway on 127.0.0.1:1 with one server, 127.0.0.2:1. All classes of the gateway have the given
// deadline.
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
