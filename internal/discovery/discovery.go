// Package discovery keeps one watch on the node list open and decodes what it tells.
//
// Where the list is asked for, discovery is one service for all gateways: the decision module decides when a watch is
// opened (Start), since calls that fail together and come again together would fail again. Where it is pushed, an
// agent on this machine holds it and answers at no cost, and all that it has counts as told to this gateway: there is
// nothing to decide, and the watch is kept open from the start to the end (Follow).
package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/endpoints"
	"gaugerelay/internal/incarnation"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/metrics"
)

const (
	maxValue = 1 << 20 // bytes of one object of the watch; the largest fleet's whole list takes some ten KiB
	answerMs = 3000    // a call that has not been answered by then has failed
	// A watch sends an empty line every lineMs at the least. One that is late by half of that is missing, and the watch
	// is dead. What it misses counts as told 6 s after it fell silent, by when another has to be open and to have told:
	// the 3 s left are for calls that are spread (at most 2 s) and for their answers.
	lineMs   = 2000
	silentMs = 1.5 * lineMs

	// The watch on this machine's agent is opened again at once, then after a pause that doubles in these bounds
	// until the agent says something. The longest is small beside the time that a gateway has to stop sending to a
	// node that drains, which counts from when the agent is told.
	againMs     = 10
	againMostMs = 160
)

var states = map[string]scheduler.ServerState{
	"Ready": scheduler.Ready, "Terminating": scheduler.Draining, "Gone": scheduler.Removed,
}

var errSilent = errors.New("silent")

var errAnew = errors.New("its versions have begun anew")

// Decode reads a list or a change. Bad entries are left out and counted. A state of a later protocol is read
// as draining: known, but not to be sent to.
func Decode(v *fastjson.Value) (l lifecycle.EndpointUpdate, bad int) {
	l.Version, l.Kind = v.GetUint64("version"), scheduler.Delta
	if v.GetBool("full") {
		l.Kind = scheduler.Snapshot
	}
	for _, e := range v.GetArray("servers") {
		n := &lifecycle.Server{Name: string(e.GetStringBytes("id")), Addr: string(e.GetStringBytes("addr")),
			Zone: string(e.GetStringBytes("zone")), Kind: string(e.GetStringBytes("kind")),
			Shard: e.GetInt("cell"), Weight: e.GetFloat64("weight"), StartedMs: e.GetFloat64("started_ms")}
		state, ok := states[string(e.GetStringBytes("state"))]
		if !ok {
			state = scheduler.Draining
		}
		n.State = state
		_, _, err := net.SplitHostPort(n.Addr)
		if n.Name == "" || n.Shard < 0 || math.Abs(n.StartedMs) > 1e15 || err != nil && state != scheduler.Removed {
			bad++
			continue
		}
		l.Servers = append(l.Servers, n)
	}
	return l, bad
}

// Watcher holds the watch: one at most, at one address.
type Watcher struct {
	Clock   clock.Clock
	Metrics *metrics.Set
	// Tell takes each change. A Broken list tells that a watch that was started has failed, an Ended one that it has ended
	// after it had told of nodes, a Silent one that it was answered and then said nothing any more; when to ask again is
	// not decided here.
	Tell func(lifecycle.EndpointUpdate)

	client *http.Client
	heard  heard

	mu      sync.Mutex
	addr    string
	version uint64             // told last from addr
	list    *endpoints.Tracker // what of the news counts
	runs    incarnation.Tracker
	follow  bool          // watches are taken up again when they end
	open    bool          // a watch is open or on its way
	moving  bool          // Move starts the next watch
	end     func()        // gives up the latest watch
	ended   chan struct{} // closed once that has told its last
}

// New returns a watcher that resumes after the list known. dial is the machine's if nil.
func New(addr string, known lifecycle.EndpointUpdate, c clock.Clock, m *metrics.Set, tell func(lifecycle.EndpointUpdate),
	dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Watcher {
	if dial == nil {
		dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	w := &Watcher{addr: addr, Clock: c, Metrics: m, Tell: tell, version: known.Version, list: endpoints.NewTracker(news(known))}
	w.heard.clock = c
	w.client = &http.Client{CheckRedirect: stay, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true,
		DialContext: w.heard.listen(dial), MaxResponseHeaderBytes: 16 << 10}}
	return w
}

// isArray guards against a whole list without its entries: taken for one, it would empty the one held.
func isArray(v *fastjson.Value) bool { return v != nil && v.Type() == fastjson.TypeArray }

// stay makes an answer that points elsewhere a failed call: discovery is where the settings say.
func stay(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// news is a list as nodelist judges it.
func news(l lifecycle.EndpointUpdate) endpoints.Update {
	n := endpoints.Update{Version: l.Version, Snapshot: l.Kind != scheduler.Delta, Endpoints: make([]endpoints.Endpoint, len(l.Servers))}
	for i, e := range l.Servers {
		n.Endpoints[i] = endpoints.Endpoint{Name: e.Name, Ready: e.State == scheduler.Ready, Removed: e.State == scheduler.Removed, StartedMs: e.StartedMs}
	}
	return n
}

// KeepOpen opens the watch and takes it up again whenever it ends, until ctx does; also behind a Move.
func (w *Watcher) KeepOpen(ctx context.Context) {
	w.mu.Lock()
	w.follow = true
	w.mu.Unlock()
	w.Open(ctx)
}

// Open opens the watch unless one is open or on its way: asking twice would only load discovery.
func (w *Watcher) Open(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.open && !w.moving {
		w.start(ctx)
	}
}

// SwitchAddress gives up the open watch, if any, and opens one at another address. It waits until the old one has told
// its last, so nothing from there comes behind the new list; hence it must not be called by whoever takes what
// is told. The whole list is asked for: versions at one address need mean nothing at another.
func (w *Watcher) SwitchAddress(ctx context.Context, addr string) {
	w.mu.Lock()
	if w.addr == addr {
		w.mu.Unlock()
		return
	}
	w.moving = true
	ended := w.ended
	if ended != nil {
		w.end()
	}
	w.mu.Unlock()
	if ended != nil {
		<-ended
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr, w.version, w.moving = addr, 0, false
	w.list.Reset()
	w.start(ctx)
}

// start opens a watch. w.mu is held.
func (w *Watcher) start(ctx context.Context) {
	watching, end := context.WithCancel(ctx)
	ended := make(chan struct{})
	w.open, w.end, w.ended = true, end, ended
	go func() {
		defer close(ended)
		defer end()
		if w.follow {
			w.followed(watching)
			return
		}
		var seen progress
		err := w.watch(watching, &seen)
		w.mu.Lock()
		w.open = false
		known := w.moving || ctx.Err() != nil
		w.mu.Unlock()
		if !known {
			w.Metrics.Add("watch_broken", 1)
			w.logEnd(&seen, err)
			w.Tell(seen.ended(w.Clock.NowMs(), err))
		}
	}()
}

// followed keeps a watch open until ctx ends. One that held is taken up again at once; an agent that is not there, or
// ends each watch as soon as it is open, costs no more than a call in againMostMs, and a line in the log at its going
// and one at its return.
func (w *Watcher) followed(ctx context.Context) {
	pause, away := 0.0, false
	for ctx.Err() == nil {
		began := w.Clock.NowMs()
		err := w.watch(ctx, &progress{held: func() {
			if away {
				away = false
				slog.Info(logevent.AgentBack)
			}
		}})
		if ctx.Err() != nil {
			break
		}
		w.Metrics.Add("watch_broken", 1)
		if !away {
			away = true
			slog.Warn(logevent.AgentAway, logevent.Error, err)
		}
		if w.Clock.NowMs()-began >= againMostMs {
			pause = 0
			continue
		}
		pause = min(max(2*pause, againMs), againMostMs)
		again := make(chan struct{})
		stop := w.Clock.AfterFunc(pause, func() { close(again) })
		select {
		case <-again:
		case <-ctx.Done():
		}
		stop()
	}
	w.mu.Lock()
	w.open = false
	w.mu.Unlock()
}

// logEnd logs why a call brought no watch, or why the watch has ended.
func (w *Watcher) logEnd(seen *progress, err error) {
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	slog.Warn(logevent.DiscoveryCallFailed, logevent.Error, err, logevent.TookMs, w.Clock.NowMs()-seen.beganMs, "answered", seen.answered, logevent.Version, version)
}

// progress is how far a watch has come.
type progress struct {
	beganMs  float64
	answered bool   // its answer has begun
	told     bool   // it has told of nodes, or that there are none
	held     func() // called at each object and line
}

// provenMs after its call began a watch that is open counts as one that discovery knows of, though it has told of
// nothing. Before that it may be ended yet, since too many call.
const provenMs = 1.25 * lineMs

// proven tells whether what comes on the watch at a time shows that nothing is missing.
func (p *progress) proven(nowMs float64) bool { return p.told || nowMs-p.beganMs >= provenMs }

// ended is what the end of a watch tells.
func (p *progress) ended(nowMs float64, err error) lifecycle.EndpointUpdate {
	switch {
	case p.answered && errors.Is(err, errSilent):
		return lifecycle.EndpointUpdate{Kind: scheduler.WatchIdle} // the call had not failed
	case p.answered && p.proven(nowMs):
		return lifecycle.EndpointUpdate{Kind: scheduler.WatchClosed}
	}
	return lifecycle.EndpointUpdate{Kind: scheduler.WatchFailed, CompleteAsOfMs: p.beganMs, Failure: failure(err)}
}

// failure tells what a call that has failed by an error proves.
func failure(err error) lifecycle.CallFailure {
	if errors.Is(err, errSilent) || errors.Is(err, errAnew) {
		return lifecycle.CallInconclusive
	}
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		return lifecycle.CallRejected
	}
	for _, own := range ownErrors {
		if errors.Is(err, own) {
			return lifecycle.CallInconclusive
		}
	}
	return lifecycle.CallUnreachable
}

// ownErrors are those of a connect that fails for want of something on this machine. They tell nothing of discovery.
var ownErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.EINTR, syscall.EACCES, syscall.EPERM}

// watch reads one watch to its end.
func (w *Watcher) watch(ctx context.Context, seen *progress) error {
	w.mu.Lock()
	addr, after := w.addr, w.version
	w.mu.Unlock()
	seen.beganMs = w.Clock.NowMs()
	slog.Debug(logevent.DiscoveryCall, logevent.Address, addr, logevent.Version, after)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := func() {}
	defer func() { stop() }()
	arm := func(ms float64) {
		stop()
		stop = w.Clock.AfterFunc(ms, func() { cancel(errSilent) })
	}
	arm(answerMs)
	url := fmt.Sprintf("http://%s/v1/endpoints?watch=1&after=%d", addr, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	seen.answered = true
	slog.Info(logevent.DiscoveryAnswered, logevent.Address, addr, logevent.TookMs, w.Clock.NowMs()-seen.beganMs)
	arm(silentMs)
	values := newValues(resp.Body)
	var parser fastjson.Parser
	for {
		text, err := values.next()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cause
			}
			if errors.Is(err, errNoObject) {
				w.Metrics.Add("discovery_bad_lines", 1)
			}
			return fmt.Errorf("ended: %w", err)
		}
		arm(silentMs)
		if seen.held != nil {
			seen.held()
		}
		at := w.heard.since()
		if text == nil {
			if seen.proven(at) {
				w.complete(at)
			}
			if seen.held == nil && seen.proven(at) { // where it is pushed, nobody has to know
				w.Tell(lifecycle.EndpointUpdate{Kind: scheduler.Heartbeat, CompleteAsOfMs: at})
			}
			continue
		}
		v, err := parser.ParseBytes(text)
		if err != nil || v.Type() != fastjson.TypeObject || v.GetBool("full") && !isArray(v.Get("servers")) {
			// What it said is unknown: only a fresh answer can tell what was missed.
			w.Metrics.Add("discovery_bad_lines", 1)
			return errors.New("an object that cannot be read")
		}
		l, bad := Decode(v)
		unnumbered := !v.Exists("version") // on one watch news come in order all the same
		w.Metrics.Add("discovery_bad_entries", int64(bad))
		w.Metrics.Add("discovery_lines", int64(len(l.Servers)))
		w.mu.Lock()
		stale := w.moving
		var d endpoints.Decision
		if !stale {
			if unnumbered {
				l.Version = w.version
			}
			w.version = l.Version
			if d = w.list.Apply(w.Clock.NowMs(), news(l)); d.Resync {
				w.version = 0
			}
		}
		w.mu.Unlock()
		if stale {
			return errors.New("moved")
		}
		if d.Resync {
			return errAnew
		}
		if len(d.Accepted) < len(l.Servers) {
			w.Metrics.Add("discovery_outdated", int64(len(l.Servers)-len(d.Accepted)))
		}
		took := 0.0
		if first := !seen.told && (d.Snapshot || len(d.Accepted) > 0); first {
			seen.told = true
			took = w.Clock.NowMs() - seen.beganMs
		}
		slog.Debug(logevent.DiscoveryUpdate, logevent.Version, l.Version, "entries", len(d.Accepted), "whole", d.Snapshot)
		news := counts(l, d)
		news.CallDurationMs = took
		w.date(news.Servers)
		if seen.proven(at) {
			news.CompleteAsOfMs = at
			w.complete(at)
		}
		w.Tell(news)
	}
}

// complete notes that the list that has been told is complete as of a time.
func (w *Watcher) complete(atMs float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs.MarkComplete(atMs)
}

// date puts the starts of nodes on this gateway's clock.
func (w *Watcher) date(nodes []*lifecycle.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.NowMs()
	for _, n := range nodes {
		n.StartedMs = w.runs.StartedAtMs(n.Name, n.StartedMs, now)
	}
}

// NormalizeStartTimes puts the starts of nodes that were known before the start on this gateway's clock.
func (w *Watcher) NormalizeStartTimes(known lifecycle.EndpointUpdate) { w.date(known.Servers) }

// counts is what of a list counts.
func counts(l lifecycle.EndpointUpdate, d endpoints.Decision) lifecycle.EndpointUpdate {
	nodes := make([]*lifecycle.Server, len(d.Accepted))
	for i, at := range d.Accepted {
		nodes[i] = l.Servers[at]
	}
	scope := scheduler.Delta
	if d.Snapshot {
		scope = scheduler.Snapshot
	}
	return lifecycle.EndpointUpdate{Version: l.Version, Kind: scope, Servers: nodes}
}
