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
	// connectTimeout is the timeout of a connect by the default dial function.
	connectTimeout = 2 * time.Second

	// maxResponseHeaderBytes bounds the size of the header of a response.
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

// watchMode determines who opens the next watch after one has ended.
type watchMode uint8

const (
	// modeOnDemand means that the scheduler opens the next watch, by a call of Open.
	modeOnDemand watchMode = iota
	// modeContinuous means that the Watcher opens the next watch by itself.
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
	// stateSwitching means that SwitchAddress is ending the open watch, if any, and will then open the next one.
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

// Watcher maintains the watch of the endpoint list. It has at most one watch open at a time. Create a Watcher with New. Its
// methods are safe for concurrent use unless their comments say otherwise.
type Watcher struct {
	clock    clock.Clock
	metrics  *metrics.Registry
	notify   func(lifecycle.EndpointUpdate)
	client   *http.Client
	received receiveTracker

	mu           sync.Mutex
	addr         string
	version      uint64 // latest version received from addr; 0 if there is none
	tracker      *endpoints.Tracker
	incarnations incarnation.Tracker
	mode         watchMode
	state        watchState
	cancel       context.CancelFunc // ends the latest watch; nil if there has been none
	done         chan struct{}      // closed after the last notify call of the latest watch; nil if there has been none
}

// Options are the settings and dependencies of a Watcher. All fields but CachedEndpoints and Dial are required.
type Options struct {
	// Addr is the host and port of the discovery service, or of this machine's agent.
	Addr string
	// CachedEndpoints is the endpoint list that was known before the gateway started. The first watch resumes after its
	// version. The zero value means that no list was known.
	CachedEndpoints lifecycle.EndpointUpdate
	Clock           clock.Clock
	Metrics         *metrics.Registry
	// Notify is called for each update, with the part of the update that is to be applied. If the list is polled, it is also called
	// with scheduler.Heartbeat for a heartbeat of a confirmed watch, and with one of these kinds when a watch ends, unless
	// SwitchAddress or the end of its context ended the watch:
	//
	//   - scheduler.WatchIdle if discovery responded and then stopped sending,
	//   - scheduler.WatchClosed if the watch ended in another way, after an update was applied or confirmationDelayMs passed,
	//   - scheduler.WatchFailed otherwise.
	//
	// The callee decides when to open the next watch. Notify is called from the goroutine of the watch, one call at a time.
	// It must not call SwitchAddress or AwaitPendingUpdates.
	Notify func(lifecycle.EndpointUpdate)
	// Dial opens connections. If it is nil, a net.Dialer is used.
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
		version:  options.CachedEndpoints.Version,
		tracker:  endpoints.NewTracker(trackerUpdate(options.CachedEndpoints)),
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

// refuseRedirect keeps the client from following a redirect. The call then fails, because the status of the response is not 200.
// Redirects are not followed because only the configuration sets the address of discovery.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// KeepOpen opens the watch and reopens it whenever it ends, including after SwitchAddress, until ctx is done. It returns at
// once. It must be called at most once, and before Open.
func (w *Watcher) KeepOpen(ctx context.Context) {
	w.mu.Lock()
	w.mode = modeContinuous
	w.mu.Unlock()
	w.Open(ctx)
}

// Open opens a watch that lasts until ctx is done, unless one is open or being opened. It returns at once; the result is
// reported to the notify function.
func (w *Watcher) Open(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == stateClosed {
		w.startLocked(ctx)
	}
}

// SwitchAddress ends the open watch, if any, and opens one at another address. It does nothing if the address is the
// current one. It waits until the last call of the notify function for the old address has returned, so that no update of
// that address is delivered after the new list. It must therefore not be called from the notify function, nor by two
// goroutines at once. The new watch requests a snapshot, because version numbers of one address are meaningless at another.
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

// runOnce runs one watch until it ends, and reports how it ended unless it was canceled.
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

// setClosed records that the watch of ctx has ended, and reports whether it was canceled. While SwitchAddress is running, the
// state remains stateSwitching.
func (w *Watcher) setClosed(ctx context.Context) (canceled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == stateOpen {
		w.state = stateClosed
	}
	return ctx.Err() != nil
}
