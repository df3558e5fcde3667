package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"gaugerelay/internal/frontend/httpserver"
	"gaugerelay/internal/logevent"
)

// Timeouts of client connections. readHeaderTimeout and readTimeout begin when the connection is opened, or with the first byte
// of a further request. A client that exceeds one of these two is not merely on a slow link. Its connection is closed to make
// room for one of another client, because the number of connections is limited (see maxClientConns).
const (
	readHeaderTimeout = 2700 * time.Millisecond
	readTimeout       = 2700 * time.Millisecond // time for reading a whole request
	writeGrace        = 2 * time.Second         // time for the client to read a response that is written at the longest deadline
	idleConnTimeout   = 30 * time.Second
)

// pipelinedMemoryFraction is the fraction of the memory limit that pipelined bytes may take. It is small because open requests
// and their responses, which take up to 64 KiB each on every connection, need most of the memory.
const pipelinedMemoryFraction = 1.0 / 16

// clientFrontend serves the platform's clients over HTTP.
type clientFrontend struct {
	noopComponent
	gateway  *Gateway
	listener net.Listener
	handler  *httpserver.Handler
	conns    *httpserver.ConnTracker
	server   *http.Server
	after    func(ms float64) <-chan time.Time // returns a channel that receives the time after ms milliseconds; replaced in tests
}

// newClientFrontend builds the frontend. It opens no listener.
func newClientFrontend(g *Gateway) *clientFrontend {
	conns := &httpserver.ConnTracker{SheddingThreshold: sheddingThreshold(maxClientConns(g.cfg)), Clock: g.Clock, Budget: g.clientMemory,
		Work:          g.clientWork,
		PauseDetector: g.pauseDetector,
		Metrics:       g.Metrics, MaxPipelinedBytes: int(g.cfg.MemoryMB * pipelinedMemoryFraction * (1 << 20))}
	handler := &httpserver.Handler{Loop: g.loop, Upstream: g.upstream, Clock: g.Clock, Metrics: g.Metrics,
		Settings: &g.cfg.Settings, Conns: conns, PauseDetector: g.pauseDetector}
	g.clientMemory.AddEvictor(conns)
	g.Metrics.AddGauge(gaugeOpenNow, func() int64 {
		open, _ := conns.Count()
		return int64(open)
	})
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

// beginShutdown sets the time by which requests that arrive from now on must have their responses.
func (f *clientFrontend) beginShutdown(times shutdownTimes) {
	f.handler.BeginShutdown(f.gateway.Clock.NowMs() + times.respondByMs)
}

// drain closes connections as late as possible. A client that has not been notified of the shutdown keeps its connections to
// this gateway. Once these are closed, the client cannot open another one, because the listener is closed.
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
	f.listener.Close() // f.server.Close closes the listener only if f.server has begun to serve it
	f.server.Close()
}
