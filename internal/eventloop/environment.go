package eventloop

import (
	"log/slog"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
)

// environment is the lifecycle.Environment of a Loop. Its methods run on the loop's goroutine.
type environment struct{ loop *Loop }

// SetTimer implements lifecycle.Environment. A timer for a time in the past fires at once.
func (e environment) SetTimer(atMs float64) {
	e.loop.stopTimer()
	options := &e.loop.options
	e.loop.stopTimer = options.Clock.AfterFunc(atMs-options.Clock.NowMs(), func() {
		e.loop.post(func(float64) { e.loop.manager.TimerFired() })
	})
}

// WatchEndpoints implements lifecycle.Environment.
func (e environment) WatchEndpoints() { e.loop.options.WatchEndpoints() }

// ProbeServer implements lifecycle.Environment.
func (e environment) ProbeServer(server *lifecycle.Server) { e.loop.options.ProbeServer(server) }

// Log implements lifecycle.Environment.
func (e environment) Log(text string) { slog.Info(logevent.SchedulerMessage, logevent.Text, text) }

// Count implements lifecycle.Environment.
func (e environment) Count(name string) { e.loop.options.Metrics.Add(name, 1) }

// Trace implements lifecycle.Environment.
func (e environment) Trace(name string, fields ...any) { slog.Debug(name, fields...) }
