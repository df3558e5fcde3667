package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/testbed/memnet"
	"gaugerelay/internal/testbed/testsettings"
)

// What was taken before SIGTERM and has longer than the platform leaves the program is answered before its end: a
// read is refused, and a write that may have run is failed.
func TestWhatIsOutIsAnsweredBeforeTheEnd(t *testing.T) {
	for _, deadline := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second, 5 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) { answeredBeforeTheEnd(t, deadline) })
	}
}

func answeredBeforeTheEnd(t *testing.T, deadline time.Duration) {
	kill := min(deadline, 3*time.Second) + 700*time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		n := &memnet.Net{}
		node, err := n.Listen("127.0.0.2:1")
		if err != nil {
			t.Fatal(err)
		}
		defer node.Close()
		go func() { // it takes all and answers nothing
			for {
				c, err := node.Accept()
				if err != nil {
					return
				}
				go io.Copy(io.Discard, c)
			}
		}()
		cfg := &config.Config{Name: "gw", Listen: "127.0.0.1:1", Discovery: "127.0.0.1:9", MaxSockets: 64, ConnectTimeoutMs: 250,
			IdleConnTimeoutMs: 30_000, Settings: testsettings.Settings(1)}
		for i := range cfg.Settings.Classes {
			c := &cfg.Settings.Classes[i]
			c.Deadline, c.LatencyObjective = deadline, min(c.LatencyObjective, deadline/2)
		}
		cfg.KnownEndpoints = lifecycle.EndpointUpdate{Kind: scheduler.CachedSnapshot, Servers: []*lifecycle.Server{{Name: "a", Addr: "127.0.0.2:1"}}}
		g, err := New(cfg, &config.Edge{}, clock.NewSystem(), Network{Dial: n.Dial, Listen: n.Listen})
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
		client := &http.Client{Transport: &http.Transport{DialContext: n.Dial}}
		type end struct {
			what string
			at   time.Time
		}
		ends := make(chan end, 2)
		for class, method := range map[string]string{"bulk-read": "GET", "push": "PUT"} {
			go func() {
				req, _ := http.NewRequest(method, "http://127.0.0.1:1/"+class+"/00000000000000aa", nil)
				for k, v := range map[string]string{"X-Correlation-Id": class, "X-Service-Class": class, "X-Plan": "business",
					"X-Time-Left-Ms": strconv.FormatInt(deadline.Milliseconds(), 10), "Idempotency-Key": "k", "X-IO": "volume=1,units=1,shard=0,hosts=1"} {
					req.Header.Set(k, v)
				}
				resp, err := client.Do(req)
				what := fmt.Sprint(class, " ", err)
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					what = fmt.Sprint(class, " ", resp.StatusCode)
				}
				ends <- end{what, time.Now()}
			}()
		}
		half, err := n.Dial(t.Context(), "tcp", "127.0.0.1:1") // a client that never sends the rest
		if err != nil {
			t.Fatal(err)
		}
		defer half.Close()
		go io.WriteString(half, "GET /bulk")
		time.Sleep(deadline / 25)
		if g.Metrics.Get("attempts_started") != 2 {
			t.Fatalf("%d attempts are out, want 2", g.Metrics.Get("attempts_started"))
		}
		stopped := time.Now()
		g.Stop()
		ended := time.Now()
		if took := ended.Sub(stopped); took >= kill {
			t.Errorf("ended after %v, killed after %v", took, kill)
		}
		for range 2 {
			e := <-ends
			if e.what != "bulk-read 503" && e.what != "push 502" {
				t.Errorf("an answer of %q", e.what)
			}
			if took := e.at.Sub(stopped); took >= kill || e.at.After(ended) {
				t.Errorf("%q came after %v, the program ended after %v", e.what, took, ended.Sub(stopped))
			}
		}
		time.Sleep(time.Minute)
	})
}
