package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/frontend/accept"
	"gaugerelay/internal/logevent"
)

// component is a part of the gateway with the common life cycle.
type component interface {
	// start opens what clients can reach. An error ends the gateway. ctx is done when the gateway closes.
	start(ctx context.Context) error
	// ready is called once, on the event loop's goroutine, when requests can be served.
	ready()
	// beginShutdown is called for all components before the first drain. It does not block.
	beginShutdown(times shutdownTimes)
	// drain returns once every accepted request has its response, or when the time to exit has come. It is called for all
	// components at once, each in a goroutine of its own.
	drain(times shutdownTimes)
	// close releases everything at once. It is called after a successful start only.
	close()
}

// noopComponent implements component with methods that do nothing, to be embedded.
type noopComponent struct{}

func (noopComponent) start(context.Context) error { return nil }
func (noopComponent) ready()                      {}
func (noopComponent) beginShutdown(shutdownTimes) {}
func (noopComponent) drain(shutdownTimes)         {}
func (noopComponent) close()                      {}

// The frontends and the upstreams share the sockets that the process may have open.

// maxClientConns returns the limit of HTTP connections from the platform's clients.
func maxClientConns(cfg *config.Config) int { return max(1, cfg.MaxSockets*3/8) }

// maxUpstreamConns returns the limit of HTTP connections to servers.
func maxUpstreamConns(cfg *config.Config) int { return cfg.MaxSockets / 2 }

// maxSFTPSessions returns the limit of SFTP connections to servers.
func maxSFTPSessions(cfg *config.Config) int { return max(1, cfg.MaxSockets/16) }

// sheddingThreshold is the number of open connections above which idle ones are closed, so that a client with a request
// always finds a free one.
func sheddingThreshold(maxConns int) int { return max(1, maxConns*15/16) }

// listen opens an address for clients. The listener's Accept fails only once it is closed.
func (g *Gateway) listen(addr string) (net.Listener, error) {
	listener, err := g.network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return accept.Wrap(listener, g.Clock, g.Metrics, clock.Ms(g.shortestDeadline), g.pauseDetector.RecordStall), nil
}

// serve runs a server in a goroutine of its own, which ends when the server's listener is closed. Any other end is a
// failure of the gateway.
func (g *Gateway) serve(name string, run func() error) {
	go func() {
		err := run()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
			return
		}
		select {
		case g.failures <- fmt.Errorf("%s: %w", name, err):
		default:
		}
	}()
}

// logListening logs that an address is open, and whom it serves.
func (g *Gateway) logListening(purpose, addr string) {
	slog.Info(logevent.ListenerStarted, logevent.Name, g.cfg.Name, logevent.Purpose, purpose, logevent.Address, addr)
}

// after returns a channel that receives once ms milliseconds have passed.
func after(ms float64) <-chan time.Time { return time.After(clock.Duration(ms)) }

// runWithin calls f in a goroutine of its own and returns when f does, or after ms milliseconds.
func runWithin(ms float64, f func()) {
	done := make(chan struct{})
	go func() { f(); close(done) }()
	select {
	case <-done:
	case <-after(ms):
	}
}
