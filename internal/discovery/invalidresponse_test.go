package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
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

const (
	responseHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	snapshotLine   = `{"version":43,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:7070","cell":3,"state":"Ready"}]}` + "\n"
)

// responseTest is a response of discovery and the expected result of its watch.
type responseTest struct {
	response        string
	staysOpen       bool                 // whether the connection stays open, without another byte, after the response
	updates         int                  // number of reported updates, without heartbeats and the update that reports the end
	invalidMessages int64                // number of messages that are counted as invalid
	endsAfterMs     float64              // time from the start of the watch to its end
	end             scheduler.UpdateKind // kind of update that reports the end (see Options.Notify); 0 stands for WatchFailed
}

// TestInvalidResponses checks that an invalid or missing response ends the call within a bounded time, is counted, and does
// not damage the list: updates before the fault are reported, and no part of the invalid data is
// reported.
func TestInvalidResponses(t *testing.T) {
	tests := map[string]responseTest{
		"error status":   {response: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
		"redirect":       {response: "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.9:1/v1/endpoints\r\nContent-Length: 0\r\n\r\n"},
		"not HTTP":       {response: "nonsense\r\n\r\n"},
		"closed at once": {},
		"no response":    {staysOpen: true, endsAfterMs: responseTimeoutMs},
		"partial header": {response: responseHeader + "X-", staysOpen: true, endsAfterMs: responseTimeoutMs},
		"large header":   {response: responseHeader + strings.Repeat("X-A: "+strings.Repeat("a", 4000)+"\r\n", 8)},
		"header only": {response: responseHeader + "\r\n", staysOpen: true, endsAfterMs: idleTimeoutMs,
			end: scheduler.WatchIdle},
		"truncated line": {response: responseHeader + "\r\n" + snapshotLine + snapshotLine[:40], updates: 1,
			invalidMessages: 1, end: scheduler.WatchClosed},
		"shorter than its length": {response: responseHeader + "Content-Length: 4000\r\n\r\n" + snapshotLine, updates: 1,
			end: scheduler.WatchClosed},
		"indented": {response: responseHeader + "\r\n\n" + indent(t, snapshotLine) + " \r\n" + indent(t, snapshotLine),
			updates: 2, end: scheduler.WatchClosed},
		"two objects in a line": {response: responseHeader + "\r\n" + strings.TrimSpace(snapshotLine) + snapshotLine,
			updates: 2, end: scheduler.WatchClosed},
		"garbage after an object": {response: responseHeader + "\r\n" + strings.TrimSpace(snapshotLine) + "]\n" + snapshotLine,
			updates: 1, invalidMessages: 1, end: scheduler.WatchClosed},
		"mismatched braces":      {response: responseHeader + "\r\n" + `{"servers":[}]` + "\n", invalidMessages: 1},
		"endless object":         {response: responseHeader + "\r\n{" + strings.Repeat(`"a":[`, maxObjectBytes/4)},
		"longer than its length": {response: responseHeader + "Content-Length: 40\r\n\r\n" + snapshotLine, invalidMessages: 1},
		"two lengths":            {response: responseHeader + "Content-Length: 4\r\nContent-Length: 9\r\n\r\n" + snapshotLine},
		"invalid chunk size":     {response: responseHeader + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + snapshotLine},
		"endless blanks":         {response: responseHeader + "\r\n" + strings.Repeat(" ", maxObjectBytes+2)},
		"idle after a snapshot": {response: responseHeader + "\r\n" + snapshotLine, staysOpen: true, updates: 1,
			endsAfterMs: idleTimeoutMs, end: scheduler.WatchIdle},
		"servers of another type": {invalidMessages: 1,
			response: responseHeader + "\r\n" + `{"version":44,"full":true,"servers":{"id":"s-1"}}` + "\n"},
		"snapshot without servers": {response: responseHeader + "\r\n" + `{"version":44,"full":true}` + "\n", invalidMessages: 1},
		"invalid entries": {updates: 1,
			response: responseHeader + "\r\n" + `{"version":44,"servers":[{"id":"x"},null,7]}` + "\n"},
		"not JSON": {response: responseHeader + "\r\n<html>\n", invalidMessages: 1},
	}
	for name, test := range tests {
		if test.end == 0 {
			test.end = scheduler.WatchFailed
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkResponse(t, test) })
		})
	}
}

// checkResponse runs one watch of a service that sends the response of a test, and checks the result.
func checkResponse(t *testing.T, test responseTest) {
	t.Helper()
	network := &memnet.Net{}
	listener := listen(t, network)
	go serveOnce(listener, func(conn net.Conn) {
		testbed.TryWrite(conn, test.response)
		if test.staysOpen {
			_, _ = io.Copy(io.Discard, conn) // returns when the watch ends
		}
	})
	counters, startedAt := metrics.New(), time.Now()
	updates, ended := 0, make(chan float64, 2)
	watcher := New(Options{
		Addr:            "127.0.0.1:1",
		CachedEndpoints: lifecycle.EndpointUpdate{Version: 41},
		Clock:           clock.NewSystem(),
		Metrics:         counters,
		Notify: func(update lifecycle.EndpointUpdate) {
			switch {
			case update.Kind == scheduler.Heartbeat:
				if updates == 0 || update.CompleteAsOfMs == 0 {
					t.Errorf("heartbeat %+v is reported before any update, or without CompleteAsOfMs", update)
				}
			case update.Kind >= scheduler.WatchFailed: // one of the kinds that report the end of a watch
				if update.Kind != test.end {
					t.Errorf("end of the watch is reported as %v, want %v", update.Kind, test.end)
				}
				ended <- clock.Ms(time.Since(startedAt))
			default:
				updates++
				if update.Kind == scheduler.Snapshot && len(update.Servers) == 0 {
					t.Error("an empty snapshot is reported, which removes all servers")
				}
			}
		},
		Dial: network.Dial,
	})
	watcher.Open(context.Background())
	if afterMs := <-ended; afterMs != test.endsAfterMs {
		t.Errorf("watch ended after %v ms, want %v ms", afterMs, test.endsAfterMs)
	}
	if updates != test.updates {
		t.Errorf("%d updates reported, want %d", updates, test.updates)
	}
	if got := counters.Get("discovery_bad_messages"); got != test.invalidMessages {
		t.Errorf("%d invalid messages counted, want %d", got, test.invalidMessages)
	}
	if got := counters.Get("discovery_watches_failed"); got != 1 {
		t.Errorf("%d failed watches counted, want 1", got)
	}
	listener.Close()
	synctest.Wait()
}

// listen listens on the address of the discovery service.
func listen(t *testing.T, network *memnet.Net) net.Listener {
	t.Helper()
	listener, err := network.Listen("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// serveOnce accepts one connection, reads the header of its request, calls respond and then closes the connection. It must read
// the request first, because a client closes a connection on which a response arrives before it has sent a request.
func serveOnce(listener net.Listener, respond func(net.Conn)) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for line := ""; line != "\r\n" && err == nil; {
		line, err = reader.ReadString('\n')
	}
	respond(conn)
}

// indent formats a JSON text over several lines.
func indent(t *testing.T, text string) string {
	t.Helper()
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(text), "", "  "); err != nil {
		t.Fatal(err)
	}
	return indented.String()
}

// TestEndlessObjectIsIdle checks that heartbeats keep a watch open, and that an object that arrives byte by byte and never
// ends does not.
func TestEndlessObjectIsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &memnet.Net{}
		listener := listen(t, network)
		defer listener.Close()
		served := make(chan struct{})
		go func() {
			defer close(served)
			serveOnce(listener, sendEndlessObject)
		}()
		ended, heartbeats := make(chan scheduler.UpdateKind, 1), 0
		watcher := New(Options{
			Addr:            "127.0.0.1:1",
			CachedEndpoints: lifecycle.EndpointUpdate{Version: 41},
			Clock:           clock.NewSystem(),
			Metrics:         metrics.New(),
			Notify: func(update lifecycle.EndpointUpdate) {
				if update.Kind == scheduler.Heartbeat {
					heartbeats++
					return
				}
				ended <- update.Kind
			},
			Dial: network.Dial,
		})
		startedAt := time.Now()
		watcher.Open(context.Background())
		kind, afterMs := <-ended, clock.Ms(time.Since(startedAt))
		if kind != scheduler.WatchIdle || afterMs != 5*heartbeatIntervalMs+idleTimeoutMs {
			t.Errorf("watch ended as %v after %v ms, want WatchIdle one idle timeout after the last of five heartbeats", kind, afterMs)
		}
		if heartbeats != 4 { // the first of the five is not reported, because it arrives before the watch is confirmed
			t.Errorf("%d heartbeats reported, want 4", heartbeats)
		}
		<-served
	})
}

// sendEndlessObject sends five heartbeats, then the start of an object and whitespace until the connection is closed.
func sendEndlessObject(conn net.Conn) {
	testbed.TryWrite(conn, "HTTP/1.1 200 OK\r\n\r\n")
	for range 5 {
		time.Sleep(heartbeatIntervalMs * time.Millisecond)
		testbed.TryWrite(conn, "\n")
	}
	_, err := io.WriteString(conn, "{")
	for err == nil {
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(conn, " \n")
	}
}
