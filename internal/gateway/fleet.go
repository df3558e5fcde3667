package gateway

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"

	"gaugerelay/internal/config"
	"gaugerelay/internal/peer"
)

// fleetMember is the component that exchanges state with the other gateways of the fleet.
type fleetMember struct {
	noopComponent
	gateway    *Gateway
	listenAddr string
	service    *peer.Service
}

// newFleetMember builds the peer service from the options of the operator and of the platform. It opens no socket.
func newFleetMember(g *Gateway, fleet *config.Fleet) (*fleetMember, error) {
	listenAddr, options, err := fleet.Resolve(g.cfg)
	if err != nil {
		return nil, err
	}
	options.Incarnation, options.Seed = newIncarnation(g), g.cfg.Seed
	service, err := peer.New(options, g.Metrics, slog.Default())
	if err != nil {
		return nil, err
	}
	return &fleetMember{gateway: g, listenAddr: listenAddr, service: service}, nil
}

// newIncarnation returns a number that differs at each start, even with the same seed, so that reports and grants of an earlier
// incarnation of this gateway are not taken for those of the present one.
func newIncarnation(g *Gateway) uint32 {
	return uint32(g.cfg.Seed) ^ uint32(int64(g.Clock.NowMs())) ^ uint32(os.Getpid())<<16
}

// start opens the socket for the other gateways and starts the peer service.
func (f *fleetMember) start(ctx context.Context) error {
	var listenConfig net.ListenConfig
	conn, err := listenConfig.ListenPacket(ctx, "udp", f.listenAddr)
	if err != nil {
		return err
	}
	f.service.Start(conn, f.gateway.loop)
	f.gateway.logListening("fleet", f.listenAddr)
	return nil
}

// beginShutdown makes the peer service announce to the other gateways that this one leaves the fleet.
func (f *fleetMember) beginShutdown(shutdownTimes) { f.gateway.loop.Post(f.service.Leave) }

// close stops the peer service and closes its socket.
func (f *fleetMember) close() { f.service.Close() }

// serveStatus responds with the fleet's status. It reads the status on the event loop's goroutine, the only one that may do so.
func (f *fleetMember) serveStatus(w http.ResponseWriter, _ *http.Request) {
	status := make(chan string, 1)
	f.gateway.loop.Post(func(nowMs float64) {
		var text strings.Builder
		f.service.WriteStatus(&text, nowMs)
		status <- text.String()
	})
	select {
	case text := <-status:
		_, _ = io.WriteString(w, text) // an error means that the client has disconnected
	case <-f.gateway.ctx.Done():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	}
}
