package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"gaugerelay/internal/frontend/httpserver"
	"gaugerelay/internal/logevent"
)

// Timeouts of clients. Those of a request count from the connection's start, or from the first byte of a further request.
// A client that takes longer is not on a slow link but occupies a connection that another could use.
const (
	readHeaderTimeout = 2700 * time.Millisecond
	readTimeout       = 2700 * time.Millisecond // of the whole request
	writeGrace        = 2 * time.Second         // to read a response after the longest deadline
	idleConnTimeout   = 30 * time.Second
)

// pipelinedFraction is the fraction of the memory limit that pipelined requests may hold. It is small because open requests
// and their responses, of up to 64 KiB each on all connections, need most of the memory.
const pipelinedFraction = 1.0 / 16

// clientFrontend serves the platform's clients over HTTP.
type clientFrontend struct {
	noopComponent
	gateway  *Gateway
	listener net.Listener
	handler  *httpserver.Handler
	conns    *httpserver.ConnTracker
	server   *http.Server
	after    func(ms float64) <-chan time.Time // after, except in tests
}

// newClientFrontend builds the frontend without opening its listener.
func newClientFrontend(g *Gateway) *clientFrontend {
	conns := &httpserver.ConnTracker{MaxOpen: sheddingThreshold(maxClientConns(g.cfg)), Clock: g.Clock, Metrics: g.Metrics,
		MaxPipelinedBytes: int(g.cfg.MemoryMB * pipelinedFraction * (1 << 20))}
	handler := &httpserver.Handler{Loop: g.loop, Upstream: g.upstream, Clock: g.Clock, Metrics: g.Metrics,
		Settings: &g.cfg.Settings, Conns: conns, PauseDetector: g.pauseDetector}
	return &clientFrontend{gateway: g, conns: conns, handler: handler, after: after}
}

// start opens the listener and serves it.
func (f *clientFrontend) start(context.Context) error {
	g := f.gateway
	listener, err := g.listen(g.cfg.Listen)
	if err != nil {
		return err
	}
	f.listener = listener
	f.server = &http.Server{
		Handler:                      f.handler,
		ReadHeaderTimeout:            readHeaderTimeout,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 g.longestDeadline + writeGrace,
		IdleTimeout:                  idleConnTimeout,
		MaxHeaderBytes:               httpserver.MaxHeaderBytes,
		ConnState:                    f.conns.ConnState,
		ConnContext:                  f.conns.ConnContext,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     logevent.HTTPServerLog(),
	}
	limited := f.conns.LimitListener(listener, maxClientConns(g.cfg))
	g.serve("clients", func() error { return f.server.Serve(limited) })
	g.logListening("clients", listener.Addr().String())
	return nil
}

// beginShutdown makes requests that arrive from now on end in time.
func (f *clientFrontend) beginShutdown(times shutdownTimes) {
	f.handler.BeginShutdown(f.gateway.Clock.NowMs() + times.respondByMs)
}

// drain closes connections late: clients that are not notified of the shutdown go on using the connections that they have,
// and without those they would have no gateway until the next start.
func (f *clientFrontend) drain(times shutdownTimes) {
	<-f.after(times.acceptUntilMs)
	f.listener.Close()
	<-f.after(times.reuseUntilMs - times.acceptUntilMs)
	f.handler.DisableKeepAlives()
	select {
	case <-f.conns.Drain():
	case <-f.after(times.exitByMs - times.reuseUntilMs):
	}
}

// close closes the listener and all connections.
func (f *clientFrontend) close() {
	f.listener.Close() // the server may not have begun to serve it
	f.server.Close()
}
