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

// signalQueueSize is the number of signals that can be pending. Package signal drops further ones.
const signalQueueSize = 16

// gcPercent lets the heap grow to four times the live heap before a collection. The live heap is a few MB, and processor time is scarcer
// than memory. Near the memory limit the garbage collector runs more often.
const gcPercent = 300

// serveCommand runs the gateway.
type serveCommand struct {
	Edge     string     `type:"path" placeholder:"FILE" help:"The operator's file, which enables further frontends. Without it only HTTP clients are served."`
	LogLevel slog.Level `default:"info" placeholder:"LEVEL" help:"Lowest level to log: debug (each request and attempt), info, warn or error."`
}

// Run serves until SIGTERM or SIGINT. It returns an error if the gateway cannot start or one of its components fails.
func (c *serveCommand) Run() error {
	logevent.Setup(os.Stderr, c.LogLevel)
	// Signals are queued before the gateway starts: without a handler, SIGHUP would terminate the program.
	signals := make(chan os.Signal, signalQueueSize)
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

// newGateway builds the gateway from the configuration in the environment and the operator's file at edgePath. There is no
// operator's file if edgePath is "".
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
	systemClock, network, err := environment(cfg)
	if err != nil {
		return nil, err
	}
	return gateway.New(cfg, edge, systemClock, network)
}

// handleSignals handles signals until the gateway has shut down. If a component fails, it returns the component's error.
func handleSignals(g *gateway.Gateway, signals <-chan os.Signal) error {
	for {
		select {
		case err := <-g.Failures():
			return err
		case received := <-signals:
			switch received {
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

// setProcessLimits restricts the Go runtime to the processors and the memory that the platform allows.
func setProcessLimits(cfg *config.Config) {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Floor(cfg.Cores))))
	}
	if limit := gateway.RuntimeMemoryLimit(cfg); limit > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(limit)
	}
}
