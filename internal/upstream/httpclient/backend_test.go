package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// sink collects the ends of attempts and probes.
type sink struct {
	ends   chan lifecycle.AttemptResult
	probes chan scheduler.Status
}

func (s *sink) Complete(_ lifecycle.Attempt, r lifecycle.AttemptResult) { s.ends <- r }
func (s *sink) ProbeEnded(_ *lifecycle.Server, _ float64, st scheduler.Status, _ []float64) {
	s.probes <- st
}

// stand is a storage node that does with each request what the next byte of its script says.
type stand struct {
	addr string
	acts chan byte
	seen atomic.Int32 // whole requests
}

// The acts of a stand-in node. What they amount to stands in outcomes.
const (
	serve = iota
	serveAndClose
	fail
	turnAway
	noProof
	breakOff
	garbage
	halfAnswer
	tooLarge
	badHeaders
	noise
	huge
	twoLengths
	longHead
	early
	secondCopy
	noiseBehind
	noLength
	noLengthReset
	acts
)

var outcomes = [acts]scheduler.Status{scheduler.StatusOK, scheduler.StatusOK, scheduler.StatusError, scheduler.StatusOverloaded, scheduler.StatusError, scheduler.StatusConnectionReset,
	scheduler.StatusError, scheduler.StatusConnectionReset, scheduler.StatusError, scheduler.StatusOK, scheduler.StatusError, scheduler.StatusError, scheduler.StatusError, scheduler.StatusError,
	scheduler.StatusOK, scheduler.StatusOK, scheduler.StatusOK, scheduler.StatusOK, scheduler.StatusConnectionReset}

func newStand(t testing.TB) *stand {
	s := &stand{acts: make(chan byte, 1)}
	s.addr = testbed.Serve(t, s.connection)
	return s
}

func (s *stand) connection(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.seen.Add(1)
		answer := func(status string, body string, headers ...string) {
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body),
				strings.Join(append(headers, ""), "\r\n"), body)
		}
		act := <-s.acts
		switch act {
		case serve:
			answer("200 OK", r.Method+r.RequestURI+string(body), "X-Volume-Use: 85", "X-Served-Elsewhere: 3", `X-Backend-Load: {"queue":7}`)
		case serveAndClose:
			answer("200 OK", r.Method+r.RequestURI+string(body), "Connection: close")
			return
		case fail:
			answer("500 Internal Server Error", "")
		case turnAway:
			answer("503 Service Unavailable", "", "X-Unprocessed: 1")
		case noProof:
			answer("503 Service Unavailable", "")
		case breakOff:
			return
		case noLength, noLengthReset: // the end of the connection is that of the answer, but a reset is none
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+r.Method+r.RequestURI+string(body))
			if act == noLengthReset {
				c.(*net.TCPConn).SetLinger(0)
			}
			return
		case garbage:
			io.WriteString(c, "what?\r\n\r\n")
			return
		case halfAnswer:
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			return
		case tooLarge:
			answer("200 OK", strings.Repeat("x", httpmessage.MaxBodyBytes+1))
		case noise: // this and the next ones leave the connection open
			io.WriteString(c, "\x00\x01\x02")
		case huge:
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxxxx")
		case twoLengths:
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx")
		case longHead:
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Pad: "+strings.Repeat("x", maxHead))
		case early:
			io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
			answer("200 OK", r.Method+r.RequestURI+string(body))
		case secondCopy, noiseBehind:
			text := r.Method + r.RequestURI + string(body)
			whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			if act == secondCopy {
				io.WriteString(c, whole+strings.Replace(whole, text, strings.Repeat("?", len(text)), 1))
			} else {
				io.WriteString(c, whole+"noise\r\n\r\n")
			}
		case badHeaders:
			answer("200 OK", r.Method+r.RequestURI+string(body), "X-Volume-Use: much", "X-Served-Elsewhere: -1", "X-Backend-Load: {")
		}
	}
}

func newBackend() (*Backend, *sink, *metrics.Registry, *clock.Manual) {
	s, m, now := &sink{make(chan lifecycle.AttemptResult, 1), make(chan scheduler.Status, 1)}, metrics.New(), clock.NewManual(1e12)
	return New(Options{ConnectMs: 5000, ConnIdleMs: 30000, MaxConns: 10, ReportFields: []string{"queue"}}, now, m, s), s, m, now
}

func request(put bool) *lifecycle.Request {
	l := &httpmessage.Request{Method: "GET", Path: "/pull/1", RawQuery: "a=%20b", Header: http.Header{"Idempotency-Key": {"k"}}}
	if put {
		l.Method, l.Body = "PUT", []byte("data")
	}
	return &lifecycle.Request{Payload: l}
}

// FuzzAttempts checks random acts of a node, and a model of what they amount to, on connections that are reused:
// each attempt is one request at the node, whatever http.Transport would like to resend, and ends as the
// protocol's table says.
func FuzzAttempts(f *testing.F) {
	f.Add([]byte{serve, serve, breakOff, serve, breakOff})
	f.Add([]byte{serve, 128 + breakOff, serve, 128 + serve, breakOff, garbage})
	f.Add([]byte{fail, turnAway, noProof, halfAnswer, tooLarge, serve, badHeaders, 128 + halfAnswer})
	f.Add([]byte{secondCopy, serve, 128 + secondCopy, noiseBehind, serve, 128 + noiseBehind, serve, early, serve})
	f.Add([]byte{noise, serve, huge, 128 + noise, twoLengths, longHead, 128 + serve, early, 128 + secondCopy, breakOff})
	f.Add([]byte{noLength, serve, noLengthReset, 128 + noLength, serve, 128 + noLengthReset, serve})
	f.Add([]byte{serveAndClose, serve, garbage, serve, 128 + garbage, 128 + turnAway, breakOff})
	f.Fuzz(func(t *testing.T, script []byte) {
		node := newStand(t)
		b, s, _, now := newBackend()
		defer b.Close()
		n := &lifecycle.Server{Addr: node.addr}
		for i, x := range script[:min(len(script), 12)] {
			act, put := int(x&127)%acts, x >= 128
			node.acts <- byte(act)
			b.Start(lifecycle.Attempt{Request: request(put), Server: n, DeadlineMs: now.NowMs() + 1000})
			res := <-s.ends
			if res.Status != outcomes[act] || int(node.seen.Load()) != i+1 {
				t.Fatalf("attempt %d, act %d: status %d, want %d; the node saw %d requests", i, act, res.Status,
					outcomes[act], node.seen.Load())
			}
			if want := map[bool]string{false: "GET/pull/1?a=%20b", true: "PUT/pull/1?a=%20bdata"}[put]; res.Status == scheduler.StatusOK && string(res.Body.([]byte)) != want {
				t.Fatalf("body %q, want %q", res.Body, want)
			}
			if act == serve && (res.VolumeUsage != 0.85 || !res.HasVolumeUsage || res.ForeignUnits != 3 || res.LoadReport[0] != 7) {
				t.Fatalf("told %+v", res)
			}
			if act == badHeaders && (res.HasVolumeUsage || res.ForeignUnits != 0 || res.LoadReport != nil) {
				t.Fatalf("told %+v by headers that cannot be read", res)
			}
		}
	})
}

func TestNeverRanWithoutAConnection(t *testing.T) {
	b, s, _, now := newBackend()
	ln := testbed.Listen(t)
	ln.Close()
	b.Start(lifecycle.Attempt{Request: request(true), Server: &lifecycle.Server{Addr: ln.Addr().String()}, DeadlineMs: now.NowMs() + 1000})
	if res := <-s.ends; res.Status != scheduler.StatusConnectFailed {
		t.Errorf("status %d", res.Status)
	}
}

// FuzzAnswer: however an answer is cut into pieces, its end is found at the same byte, and what comes behind the
// end is never taken for it.
func FuzzAnswer(f *testing.F) {
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n\r\n", byte(5))
	f.Add("HTTP/1.1 503 no\r\ncontent-length:0\r\n\r\n", byte(1))
	f.Add("HTTP/1.1 200 OK\n\nrest", byte(2))
	f.Add("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", byte(3))
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", byte(9))
	f.Fuzz(func(t *testing.T, text string, piece byte) {
		total := func(size int) (n int, whole bool, err error) {
			a := &answer{}
			for p := []byte(text); len(p) > 0 && !whole && err == nil; {
				k := min(size, len(p))
				var took int
				took, whole, err = a.feed(p[:k])
				n += took
				p = p[k:]
			}
			return n, whole, err
		}
		n, whole, err := total(max(1, len(text)))
		n2, whole2, err2 := total(int(piece) + 1)
		if whole != whole2 || (err == nil) != (err2 == nil) || err == nil && n != n2 {
			t.Errorf("%d %v %v in one piece, %d %v %v in pieces of %d", n, whole, err, n2, whole2, err2, int(piece)+1)
		}
	})
}

// Surplus that comes late, when http.Transport has given the connection back, is seen before the next request
// goes out; the request takes another connection, within the same attempt.
func TestLateSurplus(t *testing.T) {
	var conns atomic.Int32
	late := make(chan bool)
	addr := testbed.Serve(t, func(c net.Conn) {
		first := conns.Add(1) == 1
		in := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nits")
			if first {
				<-late
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
				late <- true
			}
		}
	})
	b, s, m, now := newBackend()
	defer b.Close()
	a := lifecycle.Attempt{Request: request(false), Server: &lifecycle.Server{Addr: addr}, DeadlineMs: now.NowMs() + 1000}
	for i := range 2 {
		b.Start(a)
		if res := <-s.ends; res.Status != scheduler.StatusOK || string(res.Body.([]byte)) != "its" {
			t.Errorf("attempt %d: %+v", i, res)
		}
		if i == 0 {
			late <- true
			<-late // written: it is in this machine's buffers, read or not
		}
	}
	if conns.Load() != 2 || m.Get("node_surplus")+m.Get("connections_stale") == 0 {
		t.Errorf("%d connections, %d surplus", conns.Load(), m.Get("node_surplus"))
	}
}

// armed is a clock that tells of timers shorter than an attempt's.
type armed struct {
	*clock.Manual
	timer chan bool
}

func (a armed) AfterFunc(ms float64, f func()) func() {
	stop := a.Manual.AfterFunc(ms, f)
	if ms < 100 {
		a.timer <- true
	}
	return stop
}

// A second answer that comes when the next attempt has got the connection already, and would be on it, is not taken for
// that one's: the connection rests first.
func TestSecondAnswerBehindTheNextAttempt(t *testing.T) {
	var conns atomic.Int32
	second := make(chan bool, 1) // the next attempt has come, or it rests
	written := make(chan bool, 1)
	addr := testbed.Serve(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if conns.Add(1) > 1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nits")
			io.Copy(io.Discard, in)
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
		peeked := make(chan bool)
		go func() {
			defer close(peeked)
			if _, err := in.Peek(1); err == nil {
				second <- true
			}
		}()
		<-second
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
		written <- true
		<-peeked
	})
	b, s, _, now := newBackend()
	b.clock, b.opt.RestMs = armed{now, second}, 5
	defer b.Close()
	a := lifecycle.Attempt{Request: request(false), Server: &lifecycle.Server{Addr: addr}, DeadlineMs: now.NowMs() + 1000}
	b.Start(a)
	if res := <-s.ends; res.Status != scheduler.StatusOK || string(res.Body.([]byte)) != "old" {
		t.Fatalf("the first attempt: %+v", res)
	}
	b.Start(a)
	<-written
	now.Advance(5)
	if res := <-s.ends; res.Status != scheduler.StatusOK || string(res.Body.([]byte)) != "its" {
		t.Errorf("the second attempt: %s", res.Body)
	}
}

// Behind a long request that is answered before it is whole nothing more goes out on its connection: a second answer, to
// all of it, would be taken for the next one's.
func TestAnswerBeforeTheRequestIsWhole(t *testing.T) {
	came := make(chan string, 1)
	addr := testbed.Serve(t, func(nc net.Conn) {
		in := bufio.NewReader(nc)
		http.ReadRequest(in)
		io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nfull")
		b, _ := io.ReadAll(in)
		came <- string(b)
	})
	b, _, _, _ := newBackend()
	nc, err := b.dial(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c := nc.(*conn)
	begin := func(body int) *try {
		y := &try{Attempt: lifecycle.Attempt{Request: request(true), Server: &lifecycle.Server{}, DeadlineMs: 1e14}, ctx: t.Context(), body: body, conn: c}
		c.try.Store(y)
		return y
	}
	head := "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n"
	first := begin(8)
	io.WriteString(c, head+"half")
	if _, err := io.ReadFull(c, make([]byte, 77)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "rest"); err != nil || !first.whole.Load() {
		t.Errorf("the rest of a request that has been answered: %v", err)
	}
	second := begin(8)
	if _, err := io.WriteString(c, head); err == nil || !second.stale.Load() {
		t.Errorf("the next request: %v", err)
	}
	c.Close()
	if got := <-came; got != "halfrest" {
		t.Errorf("the node got %q", got)
	}
}

// An answer that has begun and does not end fails the attempt long before the client's time is up.
func TestAnswerThatNeverEnds(t *testing.T) {
	for name, begin := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX-A: b\r\n", "body": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"no length": "HTTP/1.1 200 OK\r\n\r\nabc",
	} {
		addr := testbed.Serve(t, func(c net.Conn) {
			http.ReadRequest(bufio.NewReader(c))
			io.WriteString(c, begin)
			c.Read(make([]byte, 1)) // until the gateway closes
		})
		b, s, m, now := newBackend()
		b.Start(lifecycle.Attempt{Request: request(true), Server: &lifecycle.Server{Addr: addr}, DeadlineMs: now.NowMs() + 1e9})
		var res lifecycle.AttemptResult
		for done := false; !done; {
			select {
			case res = <-s.ends:
				done = true
			default:
				now.Advance(1)
				runtime.Gosched()
			}
		}
		if res.Status != scheduler.StatusError || m.Get("node_answers_spoilt") != 1 {
			t.Errorf("%s: status %d, %d spoilt", name, res.Status, m.Get("node_answers_spoilt"))
		}
	}
}

// A report that lacks a field or holds no number there is no report: read as 0 it would tell of an idle node.
func TestReport(t *testing.T) {
	b, _, m, _ := newBackend()
	for text, want := range map[string]bool{`{"queue":7}`: true, `{"queue":0,"more":"x"}`: true, `{}`: false,
		`{"queue":"7"}`: false, `{"queue":null}`: false, `{"queue":-1}`: false, `{"queue":1e99}`: false, `[7]`: false, `x`: false} {
		if got := b.report(text); (got != nil) != want {
			t.Errorf("%s: %v", text, got)
		}
	}
	if m.Get("node_bad_headers") != 7 {
		t.Errorf("%d counted", m.Get("node_bad_headers"))
	}
}

// What the node has read in part has not run: the connection breaks before the request's last byte is written.
func TestBrokenBeforeTheLastByte(t *testing.T) {
	addr := testbed.Serve(t, func(c net.Conn) { c.Read(make([]byte, 10)) })
	b, s, _, now := newBackend()
	r := request(true)
	r.Payload.(*httpmessage.Request).Body = bytes.Repeat([]byte("x"), 32<<20) // more than the sockets take in
	b.Start(lifecycle.Attempt{Request: r, Server: &lifecycle.Server{Addr: addr}, DeadlineMs: now.NowMs() + 1000})
	if res := <-s.ends; res.Status != scheduler.StatusConnectFailed {
		t.Errorf("status %d", res.Status)
	}
}

// What has become of an attempt while it waited for its connection counts when that comes up, whether or not the module
// gives it up: for a client that has left nothing is written, and the node has not to answer for it; nor when it is given
// up in the very moment; nor when nodes may have forgotten what it repeats.
func TestNothingIsWrittenTooLate(t *testing.T) {
	var away atomic.Bool
	for name, c := range map[string]struct {
		up   func(r *lifecycle.Request, giveUp func(), now *clock.Manual)
		want scheduler.Status
	}{
		"left":               {func(r *lifecycle.Request, _ func(), _ *clock.Manual) { r.Cancel() }, scheduler.StatusCanceled},
		"left and given up":  {func(r *lifecycle.Request, giveUp func(), _ *clock.Manual) { r.Cancel(); giveUp() }, scheduler.StatusCanceled},
		"given up by itself": {func(_ *lifecycle.Request, giveUp func(), _ *clock.Manual) { giveUp() }, scheduler.StatusCanceled},
		"away, unseen":       {func(r *lifecycle.Request, _ func(), _ *clock.Manual) { away.Store(true) }, scheduler.StatusCanceled},
		"a window closed":    {func(_ *lifecycle.Request, _ func(), now *clock.Manual) { now.Advance(500) }, scheduler.StatusConnectFailed},
	} {
		for range 20 {
			read := make(chan string, 1)
			addr := testbed.Serve(t, func(c net.Conn) {
				b := make([]byte, 1) // it ends the attempt with its first byte
				n, _ := c.Read(b)
				read <- string(b[:n])
			})
			b, s, _, now := newBackend()
			cancel := make(chan func(), 1)
			away.Store(false)
			a := lifecycle.Attempt{Request: request(true), Server: &lifecycle.Server{Addr: addr}, DeadlineMs: 1e12 + 1000, StartDeadlineMs: 1e12 + 500}
			a.Request.ClientDisconnected = away.Load
			b.opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				nc, err := (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, addr)
				c.up(a.Request, <-cancel, now)
				return nc, err
			}
			cancel <- b.Start(a)
			if r := <-s.ends; r.Status != c.want {
				t.Errorf("%s: ended as %v", name, r.Status)
			}
			for len(read) == 0 { // it may not have got to the connections kept yet
				b.Close()
			}
			if got := <-read; got != "" {
				t.Fatalf("%s: %d bytes were written", name, len(got))
			}
		}
	}
}

// A node told as draining while an attempt waited for its connection gets none of it.
func TestDrainWhileConnecting(t *testing.T) {
	node := newStand(t)
	b, s, _, now := newBackend()
	c := lifecycle.New(lifecycle.Options{})
	n := &lifecycle.Server{Name: "a", Addr: node.addr}
	c.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Snapshot, Servers: []*lifecycle.Server{n}})
	c.UpdateEndpoints(lifecycle.EndpointUpdate{Kind: scheduler.Snapshot}) // the module sent just before
	b.Start(lifecycle.Attempt{Request: request(false), Server: n, DeadlineMs: now.NowMs() + 1000})
	if res := <-s.ends; res.Status != scheduler.StatusConnectFailed || node.seen.Load() != 0 {
		t.Errorf("status %d, the node saw %d", res.Status, node.seen.Load())
	}
}

func TestTimeoutCancelAndCap(t *testing.T) {
	node := newStand(t)
	b, s, m, now := newBackend()
	a := lifecycle.Attempt{Request: request(true), Server: &lifecycle.Server{Addr: node.addr}, DeadlineMs: now.NowMs() + 1000}
	seen := func(n int32) { // the node holds the request, since no act has been given
		for node.seen.Load() < n {
			runtime.Gosched()
		}
	}
	b.Start(a)
	seen(1)
	now.Advance(1001)
	if res := <-s.ends; res.Status != scheduler.StatusTimedOut {
		t.Errorf("timed out: status %d", res.Status)
	}
	a.DeadlineMs = now.NowMs() + 1000
	cancel := b.Start(a)
	seen(2)
	cancel()
	if res := <-s.ends; res.Status != scheduler.StatusCanceled {
		t.Errorf("cancelled: status %d", res.Status)
	}
	b.opt.MaxConns = 0
	b.Start(a)
	if res := <-s.ends; res.Status != scheduler.StatusConnectFailed || m.Get("connections_capped") != 1 {
		t.Errorf("over the cap: status %d, %d capped", res.Status, m.Get("connections_capped"))
	}
}

func TestProbe(t *testing.T) {
	node := newStand(t)
	b, s, _, _ := newBackend()
	for _, c := range []struct {
		act  byte
		want scheduler.Status
	}{{serve, scheduler.StatusOK}, {turnAway, scheduler.StatusError}, {halfAnswer, scheduler.StatusConnectionReset}} {
		node.acts <- c.act
		if b.Probe(&lifecycle.Server{Addr: node.addr}); <-s.probes != c.want {
			t.Errorf("act %d: not %d", c.act, c.want)
		}
	}
}
