package gateway

import (
	"context"
	"net"

	"gaugerelay/internal/config"
	"gaugerelay/internal/frontend/sftpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/upstream/sftpclient"
)

// handleMemoryFraction is the fraction of the memory for clients that open handles of file clients may take.
const handleMemoryFraction = 0.25

// sftpFrontend serves file commands. It has its own client for the servers.
type sftpFrontend struct {
	noopComponent
	gateway  *Gateway
	addr     string
	listener net.Listener
	server   *sftpserver.Server
	upstream *sftpclient.Client
}

// newSFTPFrontend builds the frontend. devices is nil if the gateway serves no devices and therefore has no exchange store.
func newSFTPFrontend(g *Gateway, options *config.SFTP, devices *config.Devices) *sftpFrontend {
	f := &sftpFrontend{gateway: g, addr: options.Listen}
	f.upstream = sftpclient.New(sftpclient.Options{ConnectTimeoutMs: g.cfg.ConnectTimeoutMs, ConnIdleTimeoutMs: g.cfg.IdleConnTimeoutMs,
		MaxSessions: maxSFTPSessions(g.cfg), Dial: g.network.Dial,
		Address: func(server *lifecycle.Server) (string, bool) { return options.BackendAddress(server.Name, server.Addr) }},
		g.Clock, g.Metrics, g.loop.Complete)
	f.server = &sftpserver.Server{Loop: g.loop, Upstream: f.upstream, Clock: g.Clock, Metrics: g.Metrics, Memory: g.clientMemory,
		Work: g.clientWork, Options: sftpserver.Options{
			MaxConns: options.MaxConns, UnitBytes: options.UnitBytes, ReadClass: options.ReadClass, WriteClass: options.WriteClass,
			Shards: g.cfg.Settings.Shards, MaxUnits: g.cfg.Settings.MaxUnits,
			MaxHandleBytes: int(handleMemoryFraction * float64(clientMemoryLimit(g.cfg)))}}
	g.clientMemory.AddEvictor(f.server)
	if devices != nil {
		f.server.RetentionMs = devices.Exchanges.RetentionMs
	}
	for _, root := range options.Roots {
		f.server.Roots = append(f.server.Roots, sftpserver.Root(root))
	}
	return f
}

// start opens the listener and serves it.
func (f *sftpFrontend) start(context.Context) error {
	listener, err := f.gateway.listen(f.addr)
	if err != nil {
		return err
	}
	f.listener = listener
	f.gateway.serve("file commands", func() error { return f.server.Serve(listener) })
	f.gateway.logListening("file commands", listener.Addr().String())
	return nil
}

// drain waits for open requests, but only for a bounded time, because a client may never read its response.
func (f *sftpFrontend) drain(times shutdownTimes) {
	<-after(times.acceptUntilMs)
	f.listener.Close()
	runWithin(times.exitByMs-times.acceptUntilMs, f.server.Shutdown)
}

// close closes the listener, all connections of clients, and idle connections to servers.
func (f *sftpFrontend) close() {
	f.listener.Close()
	f.server.Close()
	f.upstream.Close()
}
