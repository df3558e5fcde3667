package discovery

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/endpoints"
	"gaugerelay/internal/incarnation"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

const (
	// connectTimeout bounds a connect by the default dial function.
	connectTimeout = 2 * time.Second

	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 16 << 10
)

// Names of counters.
const (
	counterWatchesFailed   = "discovery_watches_failed"
	counterEntries         = "discovery_entries"
	counterInvalidEntries  = "discovery_bad_entries"
	counterInvalidMessages = "discovery_bad_messages"
	counterStaleEntries    = "discovery_stale_entries"
	counterAttemptsDelayed = "attempts_delayed_by_endpoint_update"
)

// DialFunc connects to an address, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// watchMode says who opens the next watch when one has ended.
type watchMode uint8

const (
	// modeOnDemand leaves it to the scheduler, which calls Open.
	modeOnDemand watchMode = iota
	// modeContinuous makes the Watcher do so itself.
	modeContinuous
)

// String returns the name of the mode.
func (m watchMode) String() string {
	if m == modeContinuous {
		return "continuous"
	}
	return "on demand"
}

// watchState is the state of a Watcher.
type watchState uint8

const (
	// stateClosed means that no watch is open.
	stateClosed watchState = iota
	// stateOpen means that a watch is open or being opened.
	stateOpen
	// stateSwitching means that SwitchAddress ends the watch, if any, and is going to open the next one.
	stateSwitching
)

// String returns the name of the state.
func (s watchState) String() string {
	switch s {
	case stateOpen:
		return "open"
	case stateSwitching:
		return "switching"
	}
	return "closed"
}

// Watcher holds the watch of the endpoint list: at most one at a time. Create one with New. Its methods are safe for
// concurrent use, except where they say otherwise.
type Watcher struct {
	clock    clock.Clock
	metrics  *metrics.Registry
	notify   func(lifecycle.EndpointUpdate)
	client   *http.Client
	received receiveTracker

	mu           sync.Mutex
	addr         string
	version      uint64 // the last one received from addr; 0: none
	tracker      *endpoints.Tracker
	incarnations incarnation.Tracker
	mode         watchMode
	state        watchState
	cancel       context.CancelFunc // ends the latest watch; nil: there was none
	done         chan struct{}      // closed when the latest watch has ended and called notify for the last time
}

// Options are the settings and collaborators of a Watcher. All but Known and Dial are required.
type Options struct {
	// Addr is the host and port of the discovery service, or of this machine's agent.
	Addr string
	// Known is the list that was known before the start. The first watch resumes after its version. The zero value stands
	// for no known list.
	Known   lifecycle.EndpointUpdate
	Clock   clock.Clock
	Metrics *metrics.Registry
	// Notify is called for each update that applies, with Heartbeat for a heartbeat of a polled list, and when a polled
	// watch ends other than by SwitchAddress or its context: with WatchFailed if it never provided a list, with WatchIdle if
	// it responded and then sent nothing, with WatchClosed otherwise. When to open the next one is not decided here.
	//
	// It is called from the goroutine of the watch, one call at a time. It must not call SwitchAddress or
	// AwaitPendingUpdates.
	Notify func(lifecycle.EndpointUpdate)
	// Dial is used for connections. nil stands for a net.Dialer.
	Dial DialFunc
}

// New returns a Watcher without an open watch.
func New(options Options) *Watcher {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	w := &Watcher{
		clock:    options.Clock,
		metrics:  options.Metrics,
		notify:   options.Notify,
		received: receiveTracker{clock: options.Clock},
		addr:     options.Addr,
		version:  options.Known.Version,
		tracker:  endpoints.NewTracker(trackerUpdate(options.Known)),
	}
	w.client = &http.Client{
		CheckRedirect: refuseRedirect,
		Transport: &http.Transport{
			DisableCompression:     true,
			DisableKeepAlives:      true,
			DialContext:            w.received.trackDial(dial),
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
	}
	return w
}

// refuseRedirect makes a redirect a failed call: discovery is at the address of the settings and nowhere else.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// KeepOpen opens the watch and opens it again whenever it ends, also after SwitchAddress, until ctx is done. It returns at
// once. It is called at most once, before Open.
func (w *Watcher) KeepOpen(ctx context.Context) {
	w.mu.Lock()
	w.mode = modeContinuous
	w.mu.Unlock()
	w.Open(ctx)
}

// Open opens the watch, until ctx is done, unless one is open or being opened. It returns at once; the result is reported
// to the notify function.
func (w *Watcher) Open(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == stateClosed {
		w.startLocked(ctx)
	}
}

// SwitchAddress ends the open watch, if any, and opens one at another address. It does nothing if the address is the
// current one. It waits until the notify function was called for the last time for the old address, so nothing from there
// is delivered after the new list; it must therefore not be called from the notify function, nor by two goroutines at once.
// The new watch requests a snapshot, because versions of one address mean nothing at another.
func (w *Watcher) SwitchAddress(ctx context.Context, addr string) {
	w.mu.Lock()
	if w.addr == addr {
		w.mu.Unlock()
		return
	}
	w.state = stateSwitching
	done := w.done
	if done != nil {
		w.cancel()
	}
	w.mu.Unlock()
	if done != nil {
		<-done
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	w.version = 0
	w.tracker.Reset()
	w.startLocked(ctx)
}

// startLocked starts the goroutine of a watch. The caller holds mu.
func (w *Watcher) startLocked(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	w.state = stateOpen
	w.cancel = cancel
	w.done = done
	run := w.runOnce
	if w.mode == modeContinuous {
		run = w.runContinuously
	}
	go func() {
		defer close(done)
		defer cancel()
		run(ctx)
	}()
}

// runOnce runs one watch to its end and reports how it ended, unless it was ended on purpose.
func (w *Watcher) runOnce(ctx context.Context) {
	session := watchSession{mode: modeOnDemand, onMessage: func() {}}
	err := w.watch(ctx, &session)
	if w.setClosed(ctx) {
		return
	}
	w.metrics.Add(counterWatchesFailed, 1)
	w.logEnd(&session, err)
	w.notify(session.endUpdate(w.clock.NowMs(), err))
}

// setClosed records that the watch of ctx has ended, and reports whether that was on purpose. While the address is switched,
// the state stays as it is.
func (w *Watcher) setClosed(ctx context.Context) (canceled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == stateOpen {
		w.state = stateClosed
	}
	return ctx.Err() != nil
}
