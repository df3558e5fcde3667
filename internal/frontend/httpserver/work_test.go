package httpserver

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/testbed"
	"gaugerelay/internal/workbudget"
)

const readyRequest = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"

// startBusyServer starts a server whose clients may take a part of the given number of cores.
func startBusyServer(t *testing.T, cores float64) *testServer {
	t.Helper()
	return startServer(t, func(s *testServer, ln net.Listener) net.Listener {
		s.tracker.Work = workbudget.New(cores, clock.NewSystem(), s.tracker.Metrics)
		return ln
	})
}

// Guards against a connection that keeps the gateway busy with requests that it answers itself: one at a time, each must be answered, and
// no more of them than the connection's share allows.
func TestRequestsAtFullSpeedArePaced(t *testing.T) {
	const cores, duration = 0.2, 500 * time.Millisecond
	s := startBusyServer(t, cores)
	conn := s.dial(t)
	reader := bufio.NewReader(conn)
	startedAt, answers := time.Now(), 0
	for ; time.Since(startedAt) < duration; answers++ {
		testbed.Write(t, conn, readyRequest)
		if body := readResponse(t, "to GET /ready", reader); body != "ready\n" {
			t.Fatalf("the response has the body %q", body)
		}
	}
	// The work of a request is at least workbudget.Request. 2,000 microseconds of work may be done at once, and a twentieth of the cores after
	// that.
	elapsedMicros := float64(time.Since(startedAt).Microseconds())
	if limit := (2000 + elapsedMicros*cores/20) / float64(workbudget.Request); float64(answers) > limit+1 {
		t.Errorf("%d requests were answered, want at most %.0f", answers, limit)
	}
}

// Guards against floods that go on: a client that sends further requests without waiting for responses must be disconnected within the time
// that bad clients are given, with a counted reason.
func TestPipelinedFloodIsDisconnected(t *testing.T) {
	s := startBusyServer(t, 0.2)
	conn := s.dial(t)
	closed := make(chan bool)
	var responses atomic.Int64
	go func() {
		reader := bufio.NewReader(conn)
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				close(closed)
				return
			}
			if strings.HasPrefix(line, "HTTP/1.1 ") {
				responses.Add(1)
			}
		}
	}()
	startedAt := time.Now()
	go func() {
		for {
			if _, err := io.WriteString(conn, strings.Repeat(readyRequest, 50)); err != nil {
				return
			}
		}
	}()
	receive(t, "the end of the connection", closed)
	if took := time.Since(startedAt); took > 3*time.Second {
		t.Errorf("the connection was open for %v, want at most 3 s", took)
	}
	_ = conn.Close() // the gateway has closed its side
	if responses.Load() == 0 {
		t.Error("no request was answered")
	}
	counted := func() int64 {
		return s.tracker.Metrics.Get(connectionsClosedPrefix+closeTooMuchPipelined.String()) +
			s.tracker.Metrics.Get(connectionsClosedPrefix+closeTooMuchWork.String())
	}
	for waited := 0; counted() == 0; waited++ {
		if time.Sleep(time.Millisecond); waited > 5000 {
			t.Fatal("the reason of the close was not counted")
		}
	}
}

// Guards against requests that are told too much time: one whose reading was delayed may have arrived at any time during the delay.
func TestDelayOfReadingCountsAgainstTheRequest(t *testing.T) {
	conn := &clientConn{connectedAtMs: 100, answeredFirst: true}
	if earliestMs := conn.earliestArrival(500); earliestMs != 500 {
		t.Errorf("without a delay the request arrived at %v, want 500", earliestMs)
	}
	conn.delayedSinceMs = 420
	if earliestMs := conn.earliestArrival(500); earliestMs != 420 {
		t.Errorf("with a delay since 420 the request arrived at %v", earliestMs)
	}
	conn.endRequest()
	if earliestMs := conn.earliestArrival(600); earliestMs != 600 {
		t.Errorf("the next request arrived at %v, want 600", earliestMs)
	}
}

// Guards against clients that make net/http itself answer at full speed, with heads that no handler sees.
func TestInvalidHeadsArePaced(t *testing.T) {
	const cores, duration = 0.2, 500 * time.Millisecond
	s := startBusyServer(t, cores)
	startedAt, connections := time.Now(), 0
	for ; time.Since(startedAt) < duration; connections++ {
		conn := s.dial(t)
		testbed.Write(t, conn, "noise\r\n\r\n")
		if response, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(response), "HTTP/1.1 400") {
			t.Fatalf("the response is %q, error %v", response, err)
		}
		_ = conn.Close() // the gateway has closed its side
	}
	// All connections come from one host, which may do 4,000 microseconds of work at once and then take half of the cores.
	elapsedMicros := float64(time.Since(startedAt).Microseconds())
	limit := (4000 + elapsedMicros*cores/2) / float64(workbudget.Connection+workbudget.Request)
	if float64(connections) > limit+1 {
		t.Errorf("%d connections were answered, want at most %.0f", connections, limit)
	}
}
