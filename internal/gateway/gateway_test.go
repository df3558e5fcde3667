package gateway

import (
	"net"
	"regexp"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/testbed/memnet"
	"gaugerelay/internal/testbed/testsettings"
)

// testConfig returns the configuration of a gateway that listens on 127.0.0.1:1.
func testConfig() *config.Config {
	return &config.Config{Name: "gw", Listen: "127.0.0.1:1", Discovery: "127.0.0.1:9", MaxSockets: 64,
		Settings: testsettings.Settings(2), KnownEndpoints: lifecycle.EndpointUpdate{}}
}

// bubbleGoroutines returns the number of goroutines in the synctest bubble of the test. It does not count other goroutines of
// the process, such as those of earlier bubbles that are still ending.
func bubbleGoroutines(t *testing.T) (count int) {
	t.Helper()
	stacks := make([]byte, 1<<20)
	size := runtime.Stack(stacks, true)
	if size == len(stacks) {
		t.Fatal("the stack traces of all goroutines do not fit into the buffer")
	}
	bubble := bubbleHeader.FindSubmatch(stacks[:size]) // the first trace is that of the calling goroutine
	if bubble == nil {
		t.Fatal("the calling goroutine is not in a synctest bubble")
	}
	for _, other := range bubbleHeader.FindAllSubmatch(stacks[:size], -1) {
		if string(other[1]) == string(bubble[1]) {
			count++
		}
	}
	return count
}

// bubbleHeader matches the first line of the stack trace of a goroutine in a bubble, and captures the number of the bubble.
var bubbleHeader = regexp.MustCompile(`(?m)^goroutine \d+ \[[^\]]*synctest bubble (\d+)[^\]]*\]:`)

// With an empty config.Edge, which a gateway without an operator's file has, a gateway opens a single listener and has no
// deduplicator. Otherwise it has exactly the frontends that the config.Edge specifies.
func TestOnlyConfiguredComponentsAreBuilt(t *testing.T) {
	exchanges := exchange.Settings{MaxExchanges: 16, MaxDevices: 8, MaxActivePerDevice: 4, MaxWaitingTransmissions: 2,
		MaxStoredBytes: 1 << 20, MaxBodyBytes: 64 << 10, MaxUploadBlocks: 64, RetentionMs: 1000, UploadIdleTimeoutMs: 2000,
		MinExecutionMs: 20, MaxRetryAfterMs: 2000,
		Link: exchange.LinkSettings{MinIdleTimeoutMs: 500, MaxIdleTimeoutMs: 5000, MinBlockSize: 64, MaxBlockSize: 4096, MaxBlockTransferMs: 300}}
	goroutines := map[string]int{}
	for name, test := range map[string]struct {
		edge *config.Edge
		want []string
	}{
		"clients": {&config.Edge{}, []string{"127.0.0.1:1"}},
		"CoAP":    {&config.Edge{Devices: &config.Devices{CoAP: "127.0.0.1:2", MaxConns: 8, Exchanges: exchanges}}, []string{"127.0.0.1:1", "127.0.0.1:2"}},
		"CoAP and HTTP": {&config.Edge{Devices: &config.Devices{CoAP: "127.0.0.1:2", HTTP: "127.0.0.1:3", MaxConns: 8, Exchanges: exchanges}},
			[]string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			memory := &memnet.Net{}
			var opened []string
			network := Network{Dial: memory.Dial, Listen: func(addr string) (net.Listener, error) {
				opened = append(opened, addr)
				return memory.Listen(addr)
			}}
			before := bubbleGoroutines(t)
			g, err := New(testConfig(), test.edge, clock.NewSystem(), network)
			if err != nil {
				t.Fatal(err)
			}
			if err := g.Start(); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			goroutines[name] = bubbleGoroutines(t) - before
			if !slices.Equal(opened, test.want) {
				t.Errorf("%s: opened %v, want %v", name, opened, test.want)
			}
			if got := g.loop.Deduplicator() != nil; got != (test.edge.Devices != nil) {
				t.Errorf("%s: gateway has a deduplicator: %v, want the opposite", name, got)
			}
			g.Shutdown()
			time.Sleep(time.Minute)
		})
	}
	if goroutines["clients"] >= goroutines["CoAP"] {
		t.Errorf("goroutines by test case %v, want fewer for clients than for CoAP", goroutines)
	}
}

// If a component cannot listen, Start fails and closes the listeners that it has opened before.
func TestFailedStartClosesListeners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &memnet.Net{}
		inUse, err := network.Listen("127.0.0.1:2")
		if err != nil {
			t.Fatal(err)
		}
		defer inUse.Close()
		exchanges := exchange.Settings{MaxExchanges: 1, MaxDevices: 1, MaxActivePerDevice: 1, MaxWaitingTransmissions: 1,
			MaxStoredBytes: 1 << 20, MaxBodyBytes: 1 << 10, MaxUploadBlocks: 1, RetentionMs: 1, UploadIdleTimeoutMs: 1,
			MinExecutionMs: 1, MaxRetryAfterMs: 100,
			Link: exchange.LinkSettings{MinIdleTimeoutMs: 1, MaxIdleTimeoutMs: 1, MinBlockSize: 16, MaxBlockSize: 16, MaxBlockTransferMs: 1}}
		edge := &config.Edge{Devices: &config.Devices{CoAP: "127.0.0.1:2", MaxConns: 8, Exchanges: exchanges}}
		g, err := New(testConfig(), edge, clock.NewSystem(), Network{Listen: network.Listen, Dial: network.Dial})
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Start(); err == nil {
			t.Error("Start succeeded with an address that is in use")
		}
		reopened, err := network.Listen("127.0.0.1:1")
		if err != nil {
			t.Errorf("listener of the clients was left open: %v", err)
		} else {
			reopened.Close()
		}
		synctest.Wait()
	})
}
