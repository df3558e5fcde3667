// Package httpcarrier carries attempts to storage nodes over HTTP and tells how each of them ended.
package httpclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

// Options are the limits of a Backend.
type Options struct {
	ConnectMs, ConnIdleMs float64
	MaxConns              int      // connections open at once, to all nodes
	ReportFields          []string // of X-Backend-Load, in order
	RestMs                float64  // how long a connection rests behind an answer before the next request goes out on it
	// Dial opens connections; nil: the machine's network.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Backend sends attempts by http.Transport.
type Backend struct {
	opt       Options
	clock     clock.Clock
	metrics   *metrics.Registry
	finish    func(lifecycle.Attempt, lifecycle.AttemptResult)
	probed    func(*lifecycle.Server, float64, scheduler.Status, []float64)
	transport *http.Transport
	conns     atomic.Int64
}

// Sink takes the ends of attempts and probes.
type Sink interface {
	Complete(lifecycle.Attempt, lifecycle.AttemptResult)
	ProbeEnded(*lifecycle.Server, float64, scheduler.Status, []float64)
}

// New returns a backend.
func New(opt Options, c clock.Clock, m *metrics.Registry, sink Sink) *Backend {
	b := &Backend{opt: opt, clock: c, metrics: m, finish: sink.Complete, probed: sink.ProbeEnded}
	b.transport = &http.Transport{
		DialContext:         b.dial,
		DisableCompression:  true, // the body must pass unchanged
		MaxIdleConnsPerHost: max(opt.MaxConns, 1),
		// Under the machine's own idle time: what is written to a connection it has closed ends as a reset.
		IdleConnTimeout:        clock.Duration(opt.ConnIdleMs * 0.6),
		MaxResponseHeaderBytes: 16 << 10,
	}
	return b
}

// Close closes the idle connections.
func (b *Backend) Close() { b.transport.CloseIdleConnections() }

func (b *Backend) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if b.conns.Add(1) > int64(b.opt.MaxConns) {
		b.conns.Add(-1)
		b.metrics.Add("connections_capped", 1)
		return nil, errors.New("no more connections allowed")
	}
	dial := b.opt.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: clock.Duration(b.opt.ConnectMs), KeepAlive: -1}).DialContext
	}
	c, err := dial(ctx, network, addr)
	if err != nil {
		b.conns.Add(-1)
		return nil, err
	}
	b.metrics.Add("connections_opened", 1)
	return &conn{Conn: c, back: b}, nil
}

// Start implements core.Carrier.
func (b *Backend) Start(a lifecycle.Attempt) func() {
	ctx, cancel := clock.WithDeadline(b.clock, a.DeadlineMs)
	go func() {
		defer cancel(nil) // the body of an answer has been read by then
		b.finish(a, b.attempt(ctx, a))
	}()
	return func() { cancel(context.Canceled) }
}

// attempt runs one attempt to its end.
func (b *Backend) attempt(ctx context.Context, a lifecycle.Attempt) lifecycle.AttemptResult {
	for {
		t := &try{Attempt: a, ctx: ctx, body: len(a.Request.Payload.(*httpmessage.Request).Body)}
		res := b.attemptOnce(ctx, a, t)
		// A kept connection that turns out to be stale is gone by that, and nothing went out on it: taking another
		// is no resend.
		if !t.stale.Load() || res.Status == scheduler.StatusOK || ctx.Err() != nil {
			return res
		}
		b.metrics.Add("connections_stale", 1)
	}
}

func (b *Backend) attemptOnce(ctx context.Context, a lifecycle.Attempt, t *try) lifecycle.AttemptResult {
	load := a.Request.Payload.(*httpmessage.Request)
	req := (&http.Request{
		Method: load.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: a.Server.Addr, Path: load.Path, RawPath: load.RawPath,
			RawQuery: load.RawQuery},
		Header: load.Header.Clone(), Host: "api.internal",
		// The transport resends by itself, on another connection, what has no body or can rewind it (GetBody) and
		// is a GET or carries an Idempotency-Key; that attempt would be unknown to the module. So even an empty
		// body is one, and cannot be rewound.
		Body: io.NopCloser(bytes.NewReader(load.Body)), ContentLength: int64(len(load.Body)),
	}).WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			t.conn = i.Conn.(*conn)
			t.conn.try.Store(t)
		},
	}))
	req.Header.Set("X-Time-Left-Ms", "?") // conn.Write puts it in
	resp, err := b.transport.RoundTrip(req)
	if err != nil {
		if t.unbegun() {
			t.stale.Store(true)
		}
		return lifecycle.AttemptResult{Status: b.ended(ctx, t)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, httpmessage.MaxBodyBytes+1))
	if err != nil {
		return lifecycle.AttemptResult{Status: b.ended(ctx, t)}
	}
	res := lifecycle.AttemptResult{}
	b.told(&res, resp.Header)
	switch {
	case len(body) > httpmessage.MaxBodyBytes:
		b.metrics.Add("node_answers_spoilt", 1)
		res.Status = scheduler.StatusError
	case resp.StatusCode == http.StatusOK:
		res.Status, res.Body = scheduler.StatusOK, body
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Unprocessed") == "1":
		res.Status = scheduler.StatusOverloaded
	default:
		res.Status = scheduler.StatusError
	}
	return res
}

// ended tells how an attempt without an answer ended.
func (b *Backend) ended(ctx context.Context, t *try) scheduler.Status {
	whole := t.whole.Load()
	switch cause := context.Cause(ctx); {
	case !whole && t.Request.Canceled(): // nothing that its node has to answer for
		return scheduler.StatusCanceled
	case !whole && t.denied.IsIndependentOfServer():
		return scheduler.StatusNotSent // it did not run, and that tells nothing of its node
	case !whole && (cause == nil || !errors.Is(cause, context.Canceled)):
		return scheduler.StatusConnectFailed
	case errors.Is(cause, context.DeadlineExceeded):
		return scheduler.StatusTimedOut
	case cause != nil:
		return scheduler.StatusCanceled
	case t.broke.Load():
		return scheduler.StatusConnectionReset
	}
	// The node answers, if badly, and its other connections are as good as before: it is not held back as one
	// that resets them.
	b.metrics.Add("node_answers_spoilt", 1)
	return scheduler.StatusError
}

// told takes in what an answer tells beside its body. What cannot be read is counted and left out.
func (b *Backend) told(res *lifecycle.AttemptResult, h http.Header) {
	number := func(name string) (float64, bool) {
		text := h.Get(name)
		if text == "" {
			return 0, false
		}
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || !(x >= 0 && x < 1e9) {
			b.metrics.Add("node_bad_headers", 1)
			return 0, false
		}
		return x, true
	}
	if use, ok := number("X-Volume-Use"); ok {
		res.VolumeUsage, res.HasVolumeUsage = use/100, true
	}
	res.ForeignUnits, _ = number("X-Served-Elsewhere")
	if text := h.Get("X-Backend-Load"); text != "" {
		res.LoadReport = b.report(text)
	}
}

func (b *Backend) report(text string) []float64 {
	v, err := fastjson.Parse(text)
	if err != nil || v.Type() != fastjson.TypeObject {
		b.metrics.Add("node_bad_headers", 1)
		return nil
	}
	out := make([]float64, len(b.opt.ReportFields))
	for i, f := range b.opt.ReportFields {
		// A field that is missing or no number tells nothing; read as 0 it would tell of an idle node.
		x, err := -1.0, error(nil)
		if at := v.Get(f); at != nil {
			x, err = at.Float64()
		}
		if err != nil || !(x >= 0 && x < 1e9) {
			b.metrics.Add("node_bad_headers", 1)
			return nil
		}
		out[i] = x
	}
	return out
}

// Probe asks a node for its load and tells the loop what it found.
func (b *Backend) Probe(n *lifecycle.Server) {
	path := "/health"
	if len(b.opt.ReportFields) > 0 {
		path = "/status/load"
	}
	go func() {
		start, status, report := b.clock.NowMs(), scheduler.StatusConnectFailed, []float64(nil)
		defer func() { b.probed(n, b.clock.NowMs()-start, status, report) }()
		if n.Closed() {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Addr+path, nil)
		if err != nil {
			return
		}
		resp, err := b.transport.RoundTrip(req)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(io.LimitReader(resp.Body, httpmessage.MaxBodyBytes))
		switch {
		case err != nil:
			status = scheduler.StatusConnectionReset
		case resp.StatusCode != http.StatusOK:
			status = scheduler.StatusError
		default:
			status = scheduler.StatusOK
			if len(b.opt.ReportFields) > 0 {
				report = b.report(string(body))
			}
		}
	}()
}
