// Package gateway builds one gateway from its components and manages their life cycle. Start opens them: first the component that
// exchanges state with other gateways, then the frontends. Shutdown lets them complete the open requests and then closes them.
// Close ends them at once.
//
// A Gateway owns the components that clients and other gateways connect to, the event loop with the request state and the
// scheduler, the client of the servers, and the watch of the endpoint list. The configuration alone determines which
// components are built. Start starts the goroutine of the event loop and one for each listener; the components start further
// ones. All of them end with Close.
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
	"gaugerelay/internal/frontend/responsebuffer"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/upstream/httpclient"
	"gaugerelay/internal/workbudget"
)

// Names of counters.
const (
	counterAttemptsDeniedPrefix = "attempts_denied_" // followed by the reason of the denial
	counterInvalidEntries       = "discovery_bad_entries"
	counterReloads              = "reloads"
	counterReloadsFailed        = "reloads_failed"
)

// maxPendingFailures is the capacity of the channel that Failures returns. While it is full, further failures are dropped.
const maxPendingFailures = 8

// Gateway is one gateway. Its methods must be called from one goroutine, except UpdateEndpoints, which is safe for concurrent
// use.
type Gateway struct {
	Clock   clock.Clock
	Metrics *metrics.Registry

	startedMs     float64        // time of Clock at which the gateway was built
	cfg           *config.Config // replaced by Reload
	network       Network
	loop          *eventloop.Loop
	upstream      *httpclient.Client
	watcher       *discovery.Watcher
	pauseDetector *clock.PauseDetector
	memory        *memoryMonitor    // nil until Start
	processor     *processorMonitor // nil until Start
	clientMemory  *memorybudget.Budget
	storeMemory   *memorybudget.Account // part of clientMemory that the store of devices' exchanges takes
	responses     *responsebuffer.Set   // bodies of responses that devices have not read
	clientWork    *workbudget.Budget
	components    []component // in start order
	failures      chan error  // errors of components that have ended unexpectedly

	longestDeadline, shortestDeadline time.Duration // longest and shortest deadline of all classes

	// ctx is set by Start and done once Close is called. It is a field because it belongs to the whole life of the gateway, not to
	// one call.
	ctx    context.Context
	cancel func()
}

// Start starts the event loop and all components. If a component cannot start, for example because its address is in use,
// Start ends those that it has started and returns the error.
func (g *Gateway) Start() error {
	g.ctx, g.cancel = context.WithCancel(context.Background())
	go g.loop.Run(g.ctx)
	g.watcher.NormalizeStartTimes(g.cfg.KnownEndpoints)
	g.loop.UpdateEndpoints(g.cfg.KnownEndpoints)
	g.Metrics.Add(counterInvalidEntries, int64(g.cfg.InvalidKnownEntries))
	g.memory = startMemoryMonitor(g, g.cfg)
	g.processor = startProcessorMonitor(g)
	for i, c := range g.components {
		if err := c.start(g.ctx); err != nil {
			for _, started := range g.components[:i] {
				started.close()
			}
			g.cancel()
			g.memory.close()
			g.processor.close()
			g.pauseDetector.Close()
			return err
		}
	}
	// Discovery is called only now, so that a gateway that cannot start prints its error and nothing else. If the list is polled, the
	// scheduler opens the watch.
	if !g.cfg.Settings.PollEndpoints {
		g.watcher.KeepOpen(g.ctx)
	}
	return nil
}

// Failures returns a channel that receives the errors of components that have ended unexpectedly.
func (g *Gateway) Failures() <-chan error { return g.failures }

// UpdateEndpoints applies an update of the endpoint list that does not come from discovery.
func (g *Gateway) UpdateEndpoints(update lifecycle.EndpointUpdate) { g.loop.UpdateEndpoints(update) }

// Shutdown drains the gateway and closes it. It must be called as soon as the program gets SIGTERM. When it returns, every
// accepted request has its response. It returns before the platform kills the program (see shutdownTimes).
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

// Close ends the gateway at once, without responses to open requests. It must be called only after a successful Start.
func (g *Gateway) Close() {
	for i := len(g.components) - 1; i >= 0; i-- {
		g.components[i].close()
	}
	g.cancel()
	g.upstream.Close()
	g.memory.close()
	g.processor.close()
	g.pauseDetector.Close()
}

// Reload reads the configuration again and applies the part that can change without a restart: the address of discovery. An
// invalid configuration is logged and changes nothing, because a serving gateway must not end because of an invalid file.
func (g *Gateway) Reload() {
	next, err := g.cfg.Reload(os.Getenv)
	if err == nil {
		_, err = scheduler.New(next.Settings, next.Seed) // rejects settings with which a restart would fail
	}
	if err != nil {
		g.Metrics.Add(counterReloadsFailed, 1)
		slog.Error(logevent.ReloadFailed, logevent.Error, err)
		return
	}
	g.Metrics.Add(counterReloads, 1)
	if names := g.cfg.RestartRequired(next); len(names) > 0 {
		slog.Warn(logevent.ReloadRestartRequired, logevent.Changed, strings.Join(names, ", "))
	}
	slog.Info(logevent.ReloadDone, logevent.Discovery, next.Discovery)
	g.cfg = next
	g.watcher.SwitchAddress(g.ctx, next.Discovery)
}
