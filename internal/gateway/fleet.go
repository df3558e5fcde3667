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

// fleetMember is this gateway's side of the exchange with the other gateways.
type fleetMember struct {
	noopComponent
	gateway *Gateway
	listen  string
	service *peer.Service
}

// newFleetMember builds the exchange service from the options of the operator and the platform, without opening its socket.
func newFleetMember(g *Gateway, fleet *config.Fleet) (*fleetMember, error) {
	listen, options, err := fleet.Resolve(g.cfg)
	if err != nil {
		return nil, err
	}
	options.Incarnation, options.Seed = newIncarnation(g), g.cfg.Seed
	service, err := peer.New(options, g.Metrics, slog.Default())
	if err != nil {
		return nil, err
	}
	return &fleetMember{gateway: g, listen: listen, service: service}, nil
}

// newIncarnation returns a number that differs from start to start, also with the same seed: reports and grants of an
// earlier incarnation are not this one's.
func newIncarnation(g *Gateway) uint32 {
	return uint32(g.cfg.Seed) ^ uint32(int64(g.Clock.NowMs())) ^ uint32(os.Getpid())<<16
}

// start opens the socket for the other gateways and starts the exchange.
func (f *fleetMember) start(ctx context.Context) error {
	var listenConfig net.ListenConfig
	conn, err := listenConfig.ListenPacket(ctx, "udp", f.listen)
	if err != nil {
		return err
	}
	f.service.Start(conn, f.gateway.loop)
	f.gateway.logListening("fleet", f.listen)
	return nil
}

// beginShutdown announces to the other gateways that this one leaves.
func (f *fleetMember) beginShutdown(shutdownTimes) { f.gateway.loop.Post(f.service.Leave) }

// close ends the exchange and closes the socket.
func (f *fleetMember) close() { f.service.Close() }

// serveStatus responds with the fleet's status, which only the event loop's goroutine may read.
func (f *fleetMember) serveStatus(w http.ResponseWriter, _ *http.Request) {
	status := make(chan string, 1)
	f.gateway.loop.Post(func(nowMs float64) {
		var text strings.Builder
		f.service.WriteStatus(&text, nowMs)
		status <- text.String()
	})
	select {
	case text := <-status:
		_, _ = io.WriteString(w, text) // a client that has disconnected needs no response
	case <-f.gateway.ctx.Done():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	}
}
