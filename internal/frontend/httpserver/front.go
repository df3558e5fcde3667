// Package httpfront takes clients' requests over HTTP and writes their answers. It holds no decisions.
package httpserver

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend/requestparse"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/shutdown"
	"gaugerelay/internal/socketstate"
)

const (
	// marginMs is kept back from the client's time: it counts from the client's sending, and the answer has to
	// get there.
	marginMs = 10
	// guardMs after the module should have answered the front gives up by itself, inside the rules' 50 ms.
	guardMs = 25
	// comingMs after the gateway was told to stop, at the least, new connections keep coming, by the platform's word.
	comingMs = 200
)

// Loop is what the front asks of the loop.
type Loop interface {
	Submit(*lifecycle.Request) bool
	Cancel(*lifecycle.Request)
	ResponseWritten(*lifecycle.Request, lifecycle.LinkSample)
	Ready() bool
}

// Handler is an http.Handler.
type Handler struct {
	Loop     Loop
	Upstream lifecycle.Upstream
	Clock    clock.Clock
	Metrics  *metrics.Registry
	Settings *scheduler.Settings
	// ServesDevices makes it the front for devices on poor links: requests are copies of exchanges, told by X-Device-Id.
	ServesDevices bool
	// FleetStatus answers what this gateway knows of its fleet; nil: it is in none.
	FleetStatus http.HandlerFunc
	GatewayID   string // told to devices: another at each start
	// Conns makes the front keep clients' connections free while stopping, once no new ones are to be expected.
	Conns *ConnTracker
	// HoldUps tells since when what is read now may have waited for this process. nil: it never does.
	HoldUps *clock.PauseDetector

	paceMu  sync.Mutex
	pace    shutdown.AdmissionPacer
	keepMs  atomic.Uint64 // bits of the float64: from when on connections are kept free; 0: not yet
	endMs   atomic.Uint64 // bits of the float64: while stopping, when the last answer must be out; 0 before
	closing atomic.Bool
}

// Drain makes the front tell that it is not ready and answer all that it takes from now on before endMs.
func (f *Handler) Drain(endMs float64) {
	f.keepMs.Store(math.Float64bits(f.Clock.NowMs() + comingMs))
	f.endMs.Store(math.Float64bits(endMs))
}

// yields tells whether a request that has come is to be refused for its connection's sake.
func (f *Handler) yields(nowMs, endMs float64) bool {
	if f.Conns == nil {
		return false
	}
	f.paceMu.Lock()
	defer f.paceMu.Unlock()
	f.pace.RecordArrival(nowMs)
	if endMs == 0 || nowMs < math.Float64frombits(f.keepMs.Load()) {
		return false
	}
	open, busy := f.Conns.Count()
	return f.pace.ShouldReject(nowMs, open, busy, endMs-nowMs)
}

// answered tells how long a request took that was not refused for its connection's sake.
func (f *Handler) answered(cameMs float64) {
	if f.Conns != nil {
		f.paceMu.Lock()
		defer f.paceMu.Unlock()
		now := f.Clock.NowMs()
		f.pace.RecordCompletion(now, now-cameMs)
	}
}

// DisableKeepAlives makes each answer from now on the last of its connection.
func (f *Handler) DisableKeepAlives() { f.closing.Store(true) }

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.HoldUps.EarliestArrival(f.Clock.NowMs())
	if k := clientOf(r.Context()); k != nil && k.wasShed() {
		panic(http.ErrAbortHandler) // its client has been told that it was not taken
	}
	if k := clientOf(r.Context()); k != nil {
		defer k.owe(func() bool { return r.Context().Err() == nil && !socketstate.PeerClosed(k.Conn) })()
	}
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	endMs := math.Float64frombits(f.endMs.Load())
	switch r.URL.Path {
	case "/ready":
		if endMs != 0 || !f.Loop.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
		return
	case "/fleet":
		if f.FleetStatus != nil {
			f.FleetStatus(w, r)
			return
		}
	case "/metrics":
		if !f.ServesDevices { // they are the operators'
			f.Metrics.WriteText(w)
			return
		}
	}
	if f.ServesDevices {
		w.Header().Set("X-Gateway", f.GatewayID)
		defer func() { f.after(r.Context()).Store(math.Float64bits(f.Clock.NowMs())) }()
	}
	req, code, err := f.parse(r)
	if err != nil {
		f.Metrics.Add("requests_malformed", 1)
		w.Header().Set("Connection", "close") // where its body ends, or what follows it, is anyone's guess
		http.Error(w, err.Error(), code)
		return
	}
	// The server's time to read the request ends here. It would also end the watch on the client's leaving, and
	// with it the request, under one that only waits for its answer.
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	answers := make(chan lifecycle.Response, 1) // one answer fits, so the loop never waits
	req.Respond = func(a lifecycle.Response) { answers <- a }
	req.ClientDelayMs = f.Clock.NowMs() - arrived
	req.RemainingMs -= req.ClientDelayMs
	if !f.ServesDevices { // what a device's link takes the desk knows
		req.RemainingMs -= marginMs
	}
	if k := clientOf(r.Context()); k != nil && !f.ServesDevices { // what devices ask for goes on without them
		if req.ClientDisconnected = func() bool { return socketstate.PeerClosed(k.Conn) }; req.ClientDisconnected() {
			f.Metrics.Add("requests_abandoned", 1) // it waited for longer, unread, than its client did
			panic(http.ErrAbortHandler)
		}
	}
	if endMs != 0 { // the program ends then, and what it leaves open is lost
		req.RemainingMs = min(req.RemainingMs, endMs-f.Clock.NowMs())
	}
	if f.yields(arrived, endMs) {
		f.Metrics.Add("requests_yielded", 1)
		f.refuse(w, min(250, clock.Ms(f.Settings.MaxRetryAfter)))
		return
	}
	defer f.answered(arrived)
	if !f.Loop.Submit(req) {
		f.Metrics.Add("requests_inbox_full", 1)
		if req.Device != nil && req.IsRetry && r.Method != http.MethodGet { // an earlier copy may have run
			http.Error(w, "failed", http.StatusBadGateway)
			return
		}
		// Nothing of it has run, so a refusal is true to any class.
		f.refuse(w, min(250, clock.Ms(f.Settings.MaxRetryAfter)))
		return
	}
	late := make(chan struct{})
	// What took all its time to get here is answered at once, and the guard must not race that.
	stop := f.Clock.AfterFunc(max(0, req.RemainingMs)+guardMs, func() { close(late) })
	defer stop()
	select {
	case a := <-answers:
		f.answer(w, r, req, a)
	case <-r.Context().Done():
		f.Loop.Cancel(req)
		panic(http.ErrAbortHandler) // returning would write an empty 200, which no node has made
	case <-late:
		select {
		case a := <-answers: // it came after all
			f.answer(w, r, req, a)
			return
		default:
		}
		// The loop is held up. What it did is not known here, so this may only be a failure.
		f.Metrics.Add("answers_by_guard", 1)
		f.Loop.Cancel(req)
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	}
}

func (f *Handler) answer(w http.ResponseWriter, r *http.Request, req *lifecycle.Request, a lifecycle.Response) {
	if f.closing.Load() { // it may have begun while the request was out: what is told to end crosses no request
		w.Header().Set("Connection", "close")
	}
	switch a.Kind {
	case lifecycle.Served:
		if f.ServesDevices {
			f.serveDevice(w, r, req, a)
			return
		}
		body := a.Result.([]byte)
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	case lifecycle.Rejected:
		f.refuse(w, a.RetryAfterMs)
	case lifecycle.DuplicateID:
		w.Header().Set("Connection", "close")
		http.Error(w, "a request with this X-Correlation-Id is open", http.StatusConflict)
	case lifecycle.Conflict:
		http.Error(w, "another content than that of the exchange it names; nothing of it was done", http.StatusConflict)
	case lifecycle.Superseded:
		panic(http.ErrAbortHandler) // its device waits on newer connections
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

func (f *Handler) refuse(w http.ResponseWriter, comeBackMs float64) {
	if comeBackMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(comeBackMs/1000, 'f', 3, 64))
	}
	http.Error(w, "busy", http.StatusServiceUnavailable)
}

// parse reads a client's request; what is malformed never reaches the module.
func (f *Handler) parse(r *http.Request) (*lifecycle.Request, int, error) {
	bad := func(format string, args ...any) (*lifecycle.Request, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	// net/http drops a Content-Length that comes beside a Transfer-Encoding, as RFC 9112 lets it, so the two
	// together cannot be told here from the latter alone. What another reader takes for the body may hide a
	// request that this one would serve, so a length is required.
	if len(r.TransferEncoding) > 0 || r.ContentLength < 0 {
		return nil, http.StatusLengthRequired, errors.New("a Content-Length is required, and no Transfer-Encoding")
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPut {
		return nil, http.StatusMethodNotAllowed, errors.New("GET or PUT")
	}
	passed := url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	if r.RequestURI != passed.RequestURI() || strings.Contains(r.URL.Path, "//") {
		return bad("a target that could not be passed on unchanged")
	}
	for _, name := range [...]string{"X-Correlation-Id", "X-Service-Class", "X-Plan", "X-Time-Left-Ms", "X-IO",
		"X-Repeat", "Idempotency-Key", "Content-Type"} {
		if len(r.Header[textproto.CanonicalMIMEHeaderKey(name)]) > 1 {
			return bad("%s is there more than once", name) // the node might heed another than we
		}
	}
	left, err := strconv.ParseUint(r.Header.Get("X-Time-Left-Ms"), 10, 31)
	if err != nil {
		return bad("X-Time-Left-Ms is not a whole number")
	}
	fields := requestparse.Fields{Method: r.Method, Path: r.URL.Path, Class: r.Header.Get("X-Service-Class"),
		Plan: r.Header.Get("X-Plan"), IO: r.Header.Get("X-IO"), CorrelationID: r.Header.Get("X-Correlation-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"), RemainingMs: left, IsRetry: r.Header.Get("X-Repeat") == "1"}
	if !requestparse.IsIdentifier(fields.CorrelationID) {
		return bad("X-Correlation-Id is missing, too long or not plain text")
	}
	req, class, err := requestparse.Parse(f.Settings, fields)
	if err != nil {
		return bad("%w", err)
	}
	if r.Method == http.MethodGet && r.ContentLength > 0 {
		return bad("a read has no body")
	}
	if r.ContentLength > httpmessage.MaxBodyBytes { // none of it is read
		return nil, http.StatusRequestEntityTooLarge, errors.New("the body is over 64 KiB")
	}
	reader := &timed{r: r.Body, clock: f.Clock}
	body, err := io.ReadAll(http.MaxBytesReader(nil, io.NopCloser(reader), httpmessage.MaxBodyBytes))
	if err != nil {
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			return nil, http.StatusRequestEntityTooLarge, errors.New("the body is over 64 KiB")
		}
		return bad("the body is not whole")
	}
	header := http.Header{"X-Correlation-Id": {fields.CorrelationID}}
	if fields.IdempotencyKey != "" {
		header.Set("Idempotency-Key", fields.IdempotencyKey)
	}
	if ct := r.Header.Get("Content-Type"); ct != "" {
		header.Set("Content-Type", ct)
	}
	load := &httpmessage.Request{Method: r.Method, Path: r.URL.Path, RawPath: r.URL.RawPath,
		RawQuery: r.URL.RawQuery, Header: header, Body: body}
	req.Upstream, req.Payload = f.Upstream, load
	if f.ServesDevices {
		if err := f.device(req, class, fields, r, load, reader.measured()); err != nil {
			return bad("%w", err)
		}
	}
	return req, 0, nil
}
