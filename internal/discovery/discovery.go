// Package discovery keeps one watch on the node list open and decodes what it tells.
package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	policy "gaugerelay"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/core"
	"gaugerelay/internal/metrics"
)

const (
	maxLine  = 1 << 20 // bytes of one object of the watch; the largest fleet's whole list takes a few KiB
	answerMs = 3000    // a call that has brought no first object by then has failed
	silentMs = 7000    // a watch sends at least an empty line every 2 s: without one for so long it is dead
)

var states = map[string]policy.NodeState{
	"Ready": policy.Live, "Terminating": policy.Draining, "Gone": policy.Gone,
}

// Decode reads a list or a change. Bad entries are left out and counted. A state of a later protocol is read
// as draining: known, but not to be sent to.
func Decode(v *fastjson.Value) (l core.List, bad int) {
	l.Version, l.Scope = v.GetUint64("version"), policy.Patch
	if v.GetBool("full") {
		l.Scope = policy.Whole
	}
	for _, e := range v.GetArray("servers") {
		n := &core.Node{Name: string(e.GetStringBytes("id")), Addr: string(e.GetStringBytes("addr")),
			Zone: string(e.GetStringBytes("zone")), Kind: string(e.GetStringBytes("kind")),
			Shard: e.GetInt("cell"), Weight: e.GetFloat64("weight"), StartedMs: e.GetFloat64("started_ms")}
		state, ok := states[string(e.GetStringBytes("state"))]
		if !ok {
			state = policy.Draining
		}
		n.State = state
		_, _, err := net.SplitHostPort(n.Addr)
		if n.Name == "" || n.Shard < 0 || math.Abs(n.StartedMs) > 1e15 || err != nil && state != policy.Gone {
			bad++
			continue
		}
		l.Nodes = append(l.Nodes, n)
	}
	return l, bad
}

// Watcher holds the watch: one at most, at one address.
type Watcher struct {
	Clock   clock.Clock
	Metrics *metrics.Set
	// Tell takes each change; a Broken list tells that a watch failed or ended. When to ask again is not
	// decided here: the module backs off with jitter.
	Tell func(core.List)

	client *http.Client

	mu      sync.Mutex
	addr    string
	version uint64        // told last from addr
	open    bool          // a watch is open or on its way
	moving  bool          // Move starts the next watch
	end     func()        // gives up the latest watch
	ended   chan struct{} // closed once that has told its last
}

// New returns a watcher that resumes after a version.
func New(addr string, version uint64, c clock.Clock, m *metrics.Set, tell func(core.List)) *Watcher {
	return &Watcher{addr: addr, Clock: c, Metrics: m, Tell: tell, version: version,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true,
			DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}}
}

// Start opens the watch unless one is open or on its way: asking twice would only load discovery.
func (w *Watcher) Start(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.open && !w.moving {
		w.start(ctx)
	}
}

// Move gives up the open watch, if any, and opens one at another address. It waits until the old one has told
// its last, so nothing from there comes behind the new list; hence it must not be called by whoever takes what
// is told. The whole list is asked for: versions at one address need mean nothing at another.
func (w *Watcher) Move(ctx context.Context, addr string) {
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
	w.start(ctx)
}

// start opens a watch. w.mu is held.
func (w *Watcher) start(ctx context.Context) {
	watching, end := context.WithCancel(ctx)
	ended := make(chan struct{})
	w.open, w.end, w.ended = true, end, ended
	go func(addr string, after uint64) {
		defer close(ended)
		defer end()
		err := w.watch(watching, addr, after)
		w.mu.Lock()
		w.open = false
		known := w.moving || ctx.Err() != nil
		w.mu.Unlock()
		if !known {
			w.Metrics.Add("watch_broken", 1)
			log.Printf("discovery: watch ended: %v", err)
			w.Tell(core.List{Scope: policy.Broken})
		}
	}(w.addr, w.version)
}

// watch reads one watch to its end.
func (w *Watcher) watch(ctx context.Context, addr string, after uint64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := func() {}
	defer func() { stop() }()
	arm := func(ms float64) {
		stop()
		stop = w.Clock.AfterFunc(ms, func() { cancel(errors.New("silent")) })
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
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 16<<10), maxLine)
	var parser fastjson.Parser
	for lines.Scan() {
		arm(silentMs)
		if len(lines.Bytes()) == 0 {
			continue
		}
		v, err := parser.ParseBytes(lines.Bytes())
		if err != nil || v.Type() != fastjson.TypeObject {
			// What it said is unknown: only a fresh answer can tell what was missed.
			w.Metrics.Add("discovery_bad_lines", 1)
			return errors.New("a line that is no JSON object")
		}
		l, bad := Decode(v)
		w.Metrics.Add("discovery_bad_entries", int64(bad))
		w.Metrics.Add("discovery_lines", int64(len(l.Nodes)))
		w.mu.Lock()
		w.version = l.Version
		stale := w.moving
		w.mu.Unlock()
		if stale {
			return errors.New("moved")
		}
		w.Tell(l)
	}
	if err := context.Cause(ctx); err != nil {
		return err
	}
	return errors.Join(errors.New("closed"), lines.Err())
}
