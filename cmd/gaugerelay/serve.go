package main

import (
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"gaugerelay/internal/config"
	"gaugerelay/internal/gateway"
	"gaugerelay/internal/logevent"
)

// signalQueue is the number of signals that can be pending. Package signal drops what exceeds it.
const signalQueue = 16

const (
	// gcPercent lets the heap grow to four times its live part. The live part is a few MB, so this saves processor time, which
	// is scarcer than memory. Near the memory limit the collector runs more often.
	gcPercent = 300
	// heapFraction is the fraction of the platform's memory limit that the Go runtime may use.
	heapFraction = 0.75
)

// serveCommand runs the gateway.
type serveCommand struct {
	Edge     string     `type:"path" placeholder:"FILE" help:"The operator's file, which enables further frontends. Without it only HTTP clients are served."`
	LogLevel slog.Level `default:"info" placeholder:"LEVEL" help:"Lowest level that is logged: debug (each request and attempt), info, warn or error."`
}

// Run serves until SIGTERM or SIGINT. It returns an error if the gateway cannot start or a part of it fails.
func (c *serveCommand) Run() error {
	logevent.Setup(os.Stderr, c.LogLevel)
	// Signals are queued from the first moment on: unhandled, SIGHUP would end the program.
	signals := make(chan os.Signal, signalQueue)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	g, err := newGateway(c.Edge)
	if err != nil {
		return err
	}
	if err := g.Start(); err != nil {
		return err
	}
	return handleSignals(g, signals)
}

// newGateway builds the gateway that the environment and the operator's file describe; edgePath may be "".
func newGateway(edgePath string) (*gateway.Gateway, error) {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return nil, err
	}
	edge := &config.Edge{}
	if edgePath != "" {
		if edge, err = config.LoadEdge(edgePath, &cfg.Settings); err != nil {
			return nil, err
		}
	}
	setProcessLimits(cfg)
	system, network, err := environment(cfg)
	if err != nil {
		return nil, err
	}
	return gateway.New(cfg, edge, system, network)
}

// handleSignals returns once the gateway has shut down, or with the error of a part that has failed.
func handleSignals(g *gateway.Gateway, signals <-chan os.Signal) error {
	for {
		select {
		case err := <-g.Failed():
			return err
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				g.Metrics.WriteText(os.Stderr)
			case syscall.SIGHUP:
				g.Reload()
			default:
				g.Shutdown()
				g.Metrics.WriteText(os.Stderr)
				return nil
			}
		}
	}
}

// setProcessLimits keeps the Go runtime within the processors and the memory that the platform grants.
func setProcessLimits(cfg *config.Config) {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Floor(cfg.Cores))))
	}
	if cfg.MemoryMB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(cfg.MemoryMB * heapFraction * (1 << 20)))
	}
}
