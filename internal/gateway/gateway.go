// Package gateway puts the parts of one gateway together and gives them one life cycle: started inward out, drained
// from the clients' side in.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/dedup"
	"gaugerelay/internal/discovery"
	"gaugerelay/internal/endpointlease"
	"gaugerelay/internal/eventloop"
	"gaugerelay/internal/frontend/accept"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/permission"
	"gaugerelay/internal/upstream/httpclient"
)

// The platform's own times, in milliseconds.
const (
	comeMs     = 400  // new connections come so long after SIGTERM: clients learn of the stop with a delay
	killMs     = 3000 // the platform kills the program no sooner than the longest deadline, at most this,
	killMoreMs = 700  // and this after SIGTERM
)

// restMs is how long a connection to a node rests behind an answer: second answers come some milliseconds late, by the
// platform's word. It is a request's wait in the worst case, beside aims of a hundred milliseconds and more.
const restMs = 5

// The platform's own times of the node list, in milliseconds.
const (
	notifyWithinMs = 6000 // a change counts as told so long after discovery had it and could be reached, at the latest
	heldUpMs       = 150  // a gateway may be held up so long between reading its clock and writing
)

// stopTimes are the times of a stop, in milliseconds from SIGTERM, in this order. They follow from the longest deadline
// alone: fixed ones would add up to more than there is where all deadlines are short.
type stopTimes struct {
	accept float64 // until then new connections are accepted
	close  float64 // from then on each answer is the last of its connection; until then clients use those they have
	answer float64 // by then all is answered
	leave  float64 // by then the program has ended
}

func stopTimesFor(longestMs float64) stopTimes {
	const (
		acceptMs = 1.5 * comeMs
		leaveMs  = 75 // before it may be killed, and as long again for the last answers to be taken
		lastMs   = 350
	)
	kill := min(longestMs, killMs) + killMoreMs
	t := stopTimes{leave: kill - leaveMs, answer: kill - 2*leaveMs}
	// What is out then has its whole time left if that is short, and nearly always enough if it is long.
	t.close = t.answer - min(longestMs, lastMs)
	t.accept = min(acceptMs, t.close)
	return t
}

// Network opens what the parts listen on and connect to.
type Network struct {
	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error) // nil: the machine's
}

// SystemNetwork is the machine's own network.
func SystemNetwork() Network {
	return Network{Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }}
}

// part is a piece of the gateway with the common life cycle. Off means that it is not there at all.
type part interface {
	// start opens what clients can reach, and begins. What fails ends the program.
	start(ctx context.Context) error
	// ready is told once, when requests can be served.
	ready()
	// stopping is told to all parts at once when the program is to end; it does not wait.
	stopping(t stopTimes)
	// drain returns once all that clients asked for is answered, at the latest when the program has to leave.
	drain(t stopTimes)
	// end lets go of the rest.
	end()
}

// base does nothing at any of these.
type base struct{}

func (base) start(context.Context) error { return nil }
func (base) ready()                      {}
func (base) stopping(stopTimes)          {}
func (base) drain(stopTimes)             {}
func (base) end()                        {}

// Gateway is one gateway.
type Gateway struct {
	Clock   clock.Clock
	Metrics *metrics.Registry

	cfg     *config.Config
	net     Network
	loop    *eventloop.Loop
	back    *httpclient.Client
	watcher *discovery.Watcher
	holdUps *clock.PauseDetector
	parts   []part // in the order of their start
	ended   chan error
	ctx     context.Context
	cancel  func()
	longest time.Duration // the longest deadline of a class
	// shortest is the shortest of them.
	shortest time.Duration
}

// New makes a gateway of its settings; nothing of it runs yet.
func New(cfg *config.Config, edge *config.Edge, c clock.Clock, network Network) (*Gateway, error) {
	g := &Gateway{Clock: c, Metrics: metrics.New(), cfg: cfg, net: network, ended: make(chan error, 8), holdUps: clock.StartPauseDetector(c)}
	var others *peers
	settings := cfg.Settings
	if edge.Fleet != nil {
		var err error
		if others, err = newPeers(g, edge.Fleet); err != nil {
			return nil, err
		}
		settings.QuotaLeases, settings.InitialQuotaShare = true, others.fleet.InitialQuotaShare()
	}
	scheduler, err := scheduler.New(settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	g.shortest = cfg.Settings.Classes[0].Deadline
	for _, class := range cfg.Settings.Classes {
		g.longest, g.shortest = max(g.longest, class.Deadline), min(g.shortest, class.Deadline)
	}
	loop := eventloop.Options{Scheduler: scheduler, Clock: c, Metrics: g.Metrics,
		Authorizer:     lifecycle.NewAuthorizer(lifecycle.AuthorizerOptions{WaitForUpdates: g.catchUp, OnDenied: g.denied}),
		WatchEndpoints: func() { g.watcher.Open(g.ctx) },
		ProbeServer:    func(server *lifecycle.Server) { g.back.Probe(server) },
		OnReady:        g.notifyReady}
	if cfg.Settings.PollEndpoints { // where it is pushed, what this machine's agent has counts, and it can always be asked
		loop.EndpointLease = endpointlease.New(endpointlease.Settings{MaxNotificationDelayMs: notifyWithinMs,
			DrainGraceMs: clock.Ms(cfg.Settings.DrainGrace), SendDelayMarginMs: heldUpMs}, c.NowMs())
	}
	if others != nil {
		loop.Peers = others.fleet
	}
	var deviceGateway string
	if edge.Devices != nil {
		var deduplicator *dedup.Coordinator
		if deduplicator, deviceGateway, err = newDeduplicator(g, edge.Devices); err != nil {
			return nil, err
		}
		loop.Deduplicator = deduplicator
	}
	g.loop = eventloop.New(loop)
	g.back = httpclient.New(httpclient.Options{ConnectTimeoutMs: cfg.ConnectTimeoutMs, ConnIdleTimeoutMs: cfg.IdleConnTimeoutMs,
		ReuseDelayMs: restMs, MaxConns: cfg.MaxSockets / 2, LoadReportFields: cfg.Settings.LoadReportFields, Dial: network.Dial},
		c, g.Metrics, g.loop)
	g.watcher = discovery.New(cfg.Discovery, cfg.KnownEndpoints, c, g.Metrics, g.loop.UpdateEndpoints, network.Dial)
	front := newPlatform(g)
	if others != nil { // before the fronts: parts are known sooner, and are given back later
		g.parts = append(g.parts, others)
		front.front.FleetStatus = others.show
	}
	g.parts = append(g.parts, front)
	if edge.SFTP != nil {
		g.parts = append(g.parts, newFiles(g, edge.SFTP, edge.Devices))
	}
	if edge.Devices != nil {
		g.parts = append(g.parts, newDevices(g, edge.Devices, deviceGateway))
	}
	if edge.BGP != nil {
		g.parts = append(g.parts, newAnnouncer(g, edge.BGP))
	}
	return g, nil
}

// Start opens all that clients can reach.
func (g *Gateway) Start() error {
	g.ctx, g.cancel = context.WithCancel(context.Background())
	go g.loop.Run(g.ctx)
	g.watcher.NormalizeStartTimes(g.cfg.KnownEndpoints)
	g.loop.UpdateEndpoints(g.cfg.KnownEndpoints)
	if !g.cfg.Settings.PollEndpoints { // the module asks for nothing then, and what the agent has counts as told
		g.watcher.KeepOpen(g.ctx)
	}
	g.Metrics.Add("discovery_bad_entries", int64(g.cfg.InvalidKnownEntries))
	for i, p := range g.parts {
		if err := p.start(g.ctx); err != nil {
			for _, p := range g.parts[:i] {
				p.end()
			}
			g.cancel()
			g.holdUps.Close()
			return err
		}
	}
	return nil
}

// notifyReady tells all parts that requests can be served.
func (g *Gateway) notifyReady() {
	for _, p := range g.parts {
		p.ready()
	}
}

// denied counts an attempt that was not allowed to begin.
func (g *Gateway) denied(_ *lifecycle.Attempt, why permission.Denial) {
	g.Metrics.Add("attempts_denied_"+why.String(), 1)
}

// catchUp returns once what has come on the watch counts at the nodes' entries, and tells whether it does.
func (g *Gateway) catchUp() bool {
	behind, caught := g.watcher.AwaitPendingUpdates()
	if behind && caught {
		g.loop.Sync()
	}
	return caught
}

// Failed tells of a part that has ended by itself, which none should.
func (g *Gateway) Failed() <-chan error { return g.ended }

// UpdateEndpoints brings news of the node list from another source than discovery.
func (g *Gateway) UpdateEndpoints(l lifecycle.EndpointUpdate) { g.loop.UpdateEndpoints(l) }

// Shutdown drains the gateway and ends it.
func (g *Gateway) Shutdown() {
	slog.Info(logevent.ShutdownStarted, "name", g.cfg.Name)
	t := stopTimesFor(clock.Ms(g.longest))
	for _, p := range g.parts {
		p.stopping(t)
	}
	g.loop.BeginShutdown(g.Clock.NowMs() + t.answer)
	var all sync.WaitGroup
	for _, p := range g.parts {
		all.Go(func() { p.drain(t) })
	}
	all.Wait()
	g.Close()
}

// Close ends the gateway as it is.
func (g *Gateway) Close() {
	for i := len(g.parts) - 1; i >= 0; i-- {
		g.parts[i].end()
	}
	g.cancel()
	g.back.Close()
	g.holdUps.Close()
}

// Reload reads the configuration anew. All stays as it was where that cannot be used: a gateway that serves must
// not end or stop following its nodes over a bad file.
func (g *Gateway) Reload() {
	next, err := g.cfg.Reload(os.Getenv)
	if err == nil {
		_, err = scheduler.New(next.Settings, next.Seed) // also what a later start would refuse
	}
	if err != nil {
		g.Metrics.Add("reloads_failed", 1)
		slog.Error(logevent.ReloadFailed, logevent.Error, err)
		return
	}
	g.Metrics.Add("reloads", 1)
	if names := g.cfg.RestartRequired(next); len(names) > 0 {
		slog.Warn(logevent.ReloadRestartRequired, "changed", strings.Join(names, ", "))
	}
	slog.Info(logevent.ReloadDone, "discovery", next.Discovery)
	g.cfg = next
	g.watcher.SwitchAddress(g.ctx, next.Discovery)
}

// serve runs a listener's server; its end is told unless the listener was closed for it.
func (g *Gateway) serve(what string, f func() error) {
	go func() {
		if err := f(); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			select {
			case g.ended <- fmt.Errorf("%s: %w", what, err):
			default:
			}
		}
	}()
}

// listen opens an address that clients connect to. What its listener's Accept returns is a connection, until it is closed.
func (g *Gateway) listen(addr string) (net.Listener, error) {
	ln, err := g.net.Listen(addr)
	if err != nil {
		return nil, err
	}
	return accept.Wrap(ln, g.Clock, g.Metrics, clock.Ms(g.shortest), g.holdUps.RecordStall), nil
}

// listening logs that clients or peers can reach an address.
func (g *Gateway) listening(what, addr string) {
	slog.Info(logevent.ListenerStarted, "name", g.cfg.Name, "for", what, logevent.Address, addr)
}

func wait(ms float64) <-chan time.Time { return time.After(clock.Duration(ms)) }

// within waits for f to return, but no longer than ms.
func within(ms float64, f func()) {
	over := make(chan struct{})
	go func() { f(); close(over) }()
	select {
	case <-over:
	case <-wait(ms):
	}
}
