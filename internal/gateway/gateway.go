// Package gateway builds one gateway from its parts and gives them one life cycle: Start opens them, the frontends last;
// Shutdown drains them from the clients' side in; Close ends them at once.
//
// It owns the components that clients and other gateways reach, the event loop with the request state and the scheduler
// behind it, the client of the servers and the watch of the endpoint list. Which component is there follows from the
// configuration alone: what it does not name is never built. Start starts the goroutine of the event loop and one for each
// listener; the components start further ones. All of them end with Close.
package gateway

import (
	"context"
	"log/slog"
	"os"
	"strings"
	"sync"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/discovery"
	"gaugerelay/internal/eventloop"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/upstream/httpclient"
)

// Names of counters.
const (
	attemptsDeniedPrefix = "attempts_denied_" // the reason of the denial follows
	invalidKnownEntries  = "discovery_bad_entries"
	reloads              = "reloads"
	reloadsFailed        = "reloads_failed"
)

// maxFailures is how many failures of components Failed holds; further ones are dropped.
const maxFailures = 8

// Gateway is one gateway. Its methods are called from one goroutine, except UpdateEndpoints, which any may call.
type Gateway struct {
	Clock   clock.Clock
	Metrics *metrics.Registry

	cfg           *config.Config // replaced by Reload
	network       Network
	loop          *eventloop.Loop
	upstream      *httpclient.Client
	watcher       *discovery.Watcher
	pauseDetector *clock.PauseDetector
	components    []component // in the order of their start
	failures      chan error

	longestDeadline, shortestDeadline time.Duration // of the classes

	// ctx is done once Close is called. It is the context of the gateway's whole life and not of a call, so it is a field;
	// Start sets it.
	ctx    context.Context
	cancel func()
}

// Start starts the event loop and all components. It returns the first error of a component, for instance an address that
// cannot be listened on, after ending those that it has started.
func (g *Gateway) Start() error {
	g.ctx, g.cancel = context.WithCancel(context.Background())
	go g.loop.Run(g.ctx)
	g.watcher.NormalizeStartTimes(g.cfg.KnownEndpoints)
	g.loop.UpdateEndpoints(g.cfg.KnownEndpoints)
	if !g.cfg.Settings.PollEndpoints { // the scheduler opens a watch only where the list is polled
		g.watcher.KeepOpen(g.ctx)
	}
	g.Metrics.Add(invalidKnownEntries, int64(g.cfg.InvalidKnownEntries))
	for i, c := range g.components {
		if err := c.start(g.ctx); err != nil {
			for _, started := range g.components[:i] {
				started.close()
			}
			g.cancel()
			g.pauseDetector.Close()
			return err
		}
	}
	return nil
}

// Failed returns the channel of errors of components that have ended by themselves, which none should.
func (g *Gateway) Failed() <-chan error { return g.failures }

// UpdateEndpoints applies an update of the endpoint list from another source than discovery.
func (g *Gateway) UpdateEndpoints(update lifecycle.EndpointUpdate) { g.loop.UpdateEndpoints(update) }

// Shutdown drains the gateway and closes it. It returns within the time that the platform leaves a program after SIGTERM;
// by then every accepted request has its response.
func (g *Gateway) Shutdown() {
	slog.Info(logevent.ShutdownStarted, logevent.Name, g.cfg.Name)
	times := newShutdownTimes(clock.Ms(g.longestDeadline))
	for _, c := range g.components {
		c.beginShutdown(times)
	}
	g.loop.BeginShutdown(g.Clock.NowMs() + times.respondByMs)
	var draining sync.WaitGroup
	for _, c := range g.components {
		draining.Go(func() { c.drain(times) })
	}
	draining.Wait()
	g.Close()
}

// Close ends the gateway at once, without responses to open requests. Start must have been called and succeeded.
func (g *Gateway) Close() {
	for i := len(g.components) - 1; i >= 0; i-- {
		g.components[i].close()
	}
	g.cancel()
	g.upstream.Close()
	g.pauseDetector.Close()
}

// Reload reads the configuration again and applies what can change without a restart: discovery's address. An invalid
// configuration is logged and changes nothing, because a gateway that serves must not end over a bad file.
func (g *Gateway) Reload() {
	next, err := g.cfg.Reload(os.Getenv)
	if err == nil {
		_, err = scheduler.New(next.Settings, next.Seed) // a restart with these settings would fail as well
	}
	if err != nil {
		g.Metrics.Add(reloadsFailed, 1)
		slog.Error(logevent.ReloadFailed, logevent.Error, err)
		return
	}
	g.Metrics.Add(reloads, 1)
	if names := g.cfg.RestartRequired(next); len(names) > 0 {
		slog.Warn(logevent.ReloadRestartRequired, logevent.Changed, strings.Join(names, ", "))
	}
	slog.Info(logevent.ReloadDone, logevent.Discovery, next.Discovery)
	g.cfg = next
	g.watcher.SwitchAddress(g.ctx, next.Discovery)
}
