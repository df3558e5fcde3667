package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/frontend/accept"
	"gaugerelay/internal/frontend/httpserver"
	"gaugerelay/internal/logevent"
)

// component is a part of the gateway that is started and shut down together with it.
type component interface {
	// start opens the component's sockets and starts its goroutines. If it fails, the gateway does not start. ctx is done
	// when the gateway closes.
	start(ctx context.Context) error
	// ready is called once, on the event loop's goroutine, when requests can be served.
	ready()
	// beginShutdown is called for all components before the first drain. It does not block.
	beginShutdown(times shutdownTimes)
	// drain returns once every accepted request has its response, or at the time at which the program has to exit. It is
	// called for all components at once, each in its own goroutine.
	drain(times shutdownTimes)
	// close releases all resources without waiting for open requests. It is called only after a successful start.
	close()
}

// noopComponent implements component with methods that do nothing. Components embed it.
type noopComponent struct{}

func (noopComponent) start(context.Context) error { return nil }
func (noopComponent) ready()                      {}
func (noopComponent) beginShutdown(shutdownTimes) {}
func (noopComponent) drain(shutdownTimes)         {}
func (noopComponent) close()                      {}

// The following limits divide the sockets that the process may have open between frontends and upstreams.

// maxClientConns returns the limit on HTTP connections from the platform's clients. Without requests, the connections take half of
// the memory for clients at most.
func maxClientConns(cfg *config.Config) int {
	conns := max(1, cfg.MaxSockets*3/8)
	if limit := clientMemoryLimit(cfg); limit > 0 {
		conns = min(conns, max(1, int(limit/2/httpserver.ConnBytes)))
	}
	return conns
}

// maxUpstreamConns returns the limit on HTTP connections to servers.
func maxUpstreamConns(cfg *config.Config) int { return cfg.MaxSockets / 2 }

// maxSFTPSessions returns the limit on SFTP connections to servers.
func maxSFTPSessions(cfg *config.Config) int { return max(1, cfg.MaxSockets/16) }

// clientCores returns the number of cores of which clients may take a part.
func clientCores(cfg *config.Config) float64 {
	if cfg.Cores > 0 {
		return cfg.Cores
	}
	return float64(runtime.GOMAXPROCS(0))
}

// sheddingThreshold returns the number of open connections above which an httpserver.ConnTracker closes new and idle ones. It is
// below maxConns, the limit on open connections, so that clients can connect while connections are being closed. It is at least 1.
func sheddingThreshold(maxConns int) int { return max(1, maxConns*15/16) }

// listen opens a listener for clients. The listener's Accept method fails only after the listener was closed.
func (g *Gateway) listen(addr string) (net.Listener, error) {
	listener, err := g.network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return accept.Wrap(listener, g.Clock, g.Metrics, clock.Ms(g.shortestDeadline), g.pauseDetector.RecordStall), nil
}

// serve runs a server in its own goroutine, which ends when the server's listener is closed. If the server
// ends for another reason, its error is reported as a failure of the gateway.
func (g *Gateway) serve(name string, run func() error) {
	go func() {
		err := run()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
			return
		}
		select {
		case g.failures <- fmt.Errorf("serving %s: %w", name, err):
		default:
		}
	}()
}

// logListening logs that a listener has been opened, and for whom.
func (g *Gateway) logListening(purpose, addr string) {
	slog.Info(logevent.ListenerStarted, logevent.Name, g.cfg.Name, logevent.Purpose, purpose, logevent.Address, addr)
}

// after returns a channel that receives the time after ms milliseconds.
func after(ms float64) <-chan time.Time { return time.After(clock.Duration(ms)) }

// runWithin calls f in its own goroutine and waits until f returns, for ms milliseconds at most.
func runWithin(ms float64, f func()) {
	done := make(chan struct{})
	go func() { f(); close(done) }()
	select {
	case <-done:
	case <-after(ms):
	}
}
