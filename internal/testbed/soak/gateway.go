package soak

import (
	"context"
	"net"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/gateway"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed/testsettings"
)

// frontend identifies a listener of the gateway.
type frontend string

const (
	platformFrontend frontend = "platform" // HTTP listener for other clients than devices; devices use it only without Deduplication
	coapFrontend     frontend = "coap"     // CoAP listener for devices
	httpFrontend     frontend = "http"     // HTTP listener for devices
	sftpFrontend     frontend = "files"    // SFTP listener for file commands
)

// startGateway starts an incarnation of the gateway, with the same frontend addresses as the previous one.
func (r *run) startGateway() error {
	if err := r.reserveFrontendAddrs(); err != nil {
		return err
	}
	r.mu.Lock()
	known := r.endpointList()
	r.mu.Unlock()
	known.Kind = scheduler.CachedSnapshot
	cfg, edge := r.gatewayConfig(known)
	started, err := gateway.New(cfg, edge, clock.NewSystem(), gateway.Network{Listen: r.options.Network.Listen, Dial: r.upstreamDialer()})
	if err != nil {
		return err
	}
	if err := started.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gateway = started
	r.incarnation++
	r.startedAt = time.Now()
	return nil
}

// reserveFrontendAddrs chooses free addresses for the frontends that have none yet.
func (r *run) reserveFrontendAddrs() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range []frontend{platformFrontend, coapFrontend, httpFrontend, sftpFrontend} {
		if r.frontendAddrs[f] != "" {
			continue
		}
		listener, err := r.options.Network.Listen("127.0.0.1:0")
		if err != nil {
			return err
		}
		r.frontendAddrs[f] = listener.Addr().String()
		listener.Close()
	}
	return nil
}

// gatewayConfig returns the gateway's settings and the operator's file.
func (r *run) gatewayConfig(known lifecycle.EndpointUpdate) (*config.Config, *config.Edge) {
	settings := testsettings.Settings(shardCount)
	cfg := &config.Config{Name: "soak", Listen: r.frontendAddr(platformFrontend), Discovery: "127.0.0.1:1", MaxSockets: 4096,
		IdleConnTimeoutMs: 30_000, ConnectTimeoutMs: 1000, KnownEndpoints: known, Settings: settings, Seed: r.options.Seed}
	if r.options.Crowds {
		cfg.MemoryMB = crowdMemoryMB
	}
	edge := &config.Edge{SFTP: &config.SFTP{Listen: r.frontendAddr(sftpFrontend), MaxConns: 4 * (r.options.Devices + r.options.Uploaders), UnitBytes: 16 << 10,
		ReadClass: settings.Classes[0], WriteClass: classNamed(settings, writeClass),
		Roots:         []config.SFTPRoot{{Path: fileRoot, Plan: "business", Volume: 7, Gateways: 1}},
		LookupBackend: r.fileAddr}}
	if r.options.Deduplication {
		edge.Devices = r.deviceConfig()
	}
	return cfg, edge
}

// deviceConfig returns the operator's settings for the device frontends.
func (r *run) deviceConfig() *config.Devices {
	devices := r.options.Devices
	return &config.Devices{CoAP: r.frontendAddr(coapFrontend), HTTP: r.frontendAddr(httpFrontend), MaxConns: 4 * devices,
		MaxOpenRequests: 8, MaxMessageBytes: 33 << 10, FirstMessageTimeout: 10 * time.Second, IdleTimeout: time.Minute,
		HoldOff: time.Second,
		Exchanges: exchange.Settings{MaxExchanges: 100 * devices, MaxDevices: 2*devices + 8, MaxActivePerDevice: 16,
			MaxWaitingTransmissions: 4, MaxStoredBytes: 64 << 20, MaxBodyBytes: 64 << 10, MaxUploadBlocks: 1024, RetentionMs: 30_000,
			UploadIdleTimeoutMs: 20_000, MinExecutionMs: 20, MaxRetryAfterMs: 2000,
			Link: exchange.LinkSettings{MinIdleTimeoutMs: 2000, MaxIdleTimeoutMs: 8000, MinBlockSize: 64, MaxBlockSize: 8 << 10,
				MaxBlockTransferMs: 300}}}
}

// classNamed returns the class with the given name, or the zero value if there is none.
func classNamed(settings scheduler.Settings, name string) scheduler.Class {
	for _, c := range settings.Classes {
		if c.Name == name {
			return c
		}
	}
	return scheduler.Class{}
}

func (r *run) frontendAddr(f frontend) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.frontendAddrs[f]
}

// restartedSince reports whether the current incarnation of the gateway started after t.
func (r *run) restartedSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startedAt.After(t)
}

// addCounters adds the metrics of a gateway that has ended to the counters of the run.
func (r *run) addCounters(ended *gateway.Gateway) {
	for name, n := range ended.Metrics.Snapshot() {
		r.counters[name] += n
	}
}

// dialer returns the dial function of the network, or that of the system if the network has none.
func (r *run) dialer() func(ctx context.Context, network, addr string) (net.Conn, error) {
	if r.options.Network.Dial != nil {
		return r.options.Network.Dial
	}
	return (&net.Dialer{}).DialContext
}

// upstreamDialer returns the function with which the next incarnation of the gateway connects to servers. resetUpstreamConns closes
// these connections when the incarnation has ended.
func (r *run) upstreamDialer() func(ctx context.Context, network, addr string) (net.Conn, error) {
	dial := r.dialer()
	r.mu.Lock()
	endedBefore := r.endedIncarnations
	r.mu.Unlock()
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.endedIncarnations != endedBefore { // The incarnation ended during the dial.
			conn.Close()
			return nil, net.ErrClosed
		}
		r.upstreamConns = append(r.upstreamConns, conn)
		return conn, nil
	}
}

// resetUpstreamConns closes the upstream connections of an incarnation that has ended, as the end of its process would.
func (r *run) resetUpstreamConns() {
	r.mu.Lock()
	conns := r.upstreamConns
	r.upstreamConns = nil
	r.endedIncarnations++
	r.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}
