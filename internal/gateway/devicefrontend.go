package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/dedup"
	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/frontend/coapserver"
	"gaugerelay/internal/frontend/httpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
)

// deviceFrontend serves devices on unreliable links over CoAP, HTTP or both, with one deduplicator for all their requests.
type deviceFrontend struct {
	noopComponent
	gateway    *Gateway
	options    *config.Devices
	coap       *coapserver.Server      // serves devices over CoAP; nil if disabled
	http       *httpserver.Handler     // handles requests of devices over HTTP; nil if disabled
	conns      *httpserver.ConnTracker // tracks the connections of http; nil if http is nil
	httpServer *http.Server            // serves http; nil until it is started
	listeners  []net.Listener
}

// newDeduplicator returns the deduplicator for requests of devices, and the name by which devices identify this gateway. The
// deduplicator's functions use g.loop, which is built after it.
func newDeduplicator(g *Gateway, options *config.Devices) (deduplicator *dedup.Coordinator, gatewayName string, err error) {
	// The name is the prefix of the ids by which servers identify executions of requests. It must therefore differ from the names
	// of other gateways, and from the names that this gateway had at earlier starts.
	name := g.uniqueName()
	gatewayName = strconv.FormatUint(xxhash.Sum64String(name), 16)
	deduplicator, err = dedup.New(dedup.Options{Settings: exchangeSettings(g.cfg, options), Classes: g.cfg.Settings.Classes,
		ExecutionIDPrefix: name, GatewayName: gatewayName, Metrics: g.Metrics, NowMs: g.Clock.NowMs, Memory: g.storeMemory,
		AfterFunc: func(ms float64, f func(nowMs float64)) (stop func()) { return g.loop.AfterFunc(ms, f) },
		Submit:    func(nowMs float64, request *lifecycle.Request) { g.loop.SubmitOnLoop(nowMs, request) }})
	return deduplicator, gatewayName, err
}

// storedBytesFraction is the memory that stored bodies and responses of devices may take, as a fraction of the memory for clients. It is
// added to that memory.
const storedBytesFraction = 0.25

// exchangeSettings returns the settings of the exchange store. It stores fewer bytes than the operator's file allows if the platform's
// memory limit requires that, but always enough for an exchange of the largest size.
func exchangeSettings(cfg *config.Config, options *config.Devices) exchange.Settings {
	settings := options.Exchanges
	if limit := clientMemoryLimit(cfg); limit > 0 {
		settings.MaxStoredBytes = max(2*settings.MaxBodyBytes, min(settings.MaxStoredBytes, int(storedBytesFraction*float64(limit))))
	}
	return settings
}

// clientMemoryWithStore returns the memory in bytes that data of clients and devices may take, including what is stored of devices'
// exchanges, or 0 for no limit. devices is nil if the gateway serves none.
func clientMemoryWithStore(cfg *config.Config, devices *config.Devices) int64 {
	limit := clientMemoryLimit(cfg)
	if limit > 0 && devices != nil {
		limit += int64(exchangeSettings(cfg, devices).MaxStoredBytes)
	}
	return limit
}

// newDeviceFrontend builds the servers that the options enable. It opens no listener.
func newDeviceFrontend(g *Gateway, options *config.Devices, gatewayName string) *deviceFrontend {
	f := &deviceFrontend{gateway: g, options: options}
	if options.CoAP != "" {
		link := options.Exchanges.Link
		f.coap = &coapserver.Server{Loop: g.loop, Upstream: g.upstream, Clock: g.Clock, Metrics: g.Metrics, Memory: g.clientMemory, Work: g.clientWork,
			Responses: g.responses, Settings: &g.cfg.Settings, Options: coapserver.Options{
				GatewayName:         gatewayName,
				MaxConns:            options.MaxConns,
				MaxPendingRequests:  options.MaxOpenRequests,
				MaxMessageSize:      options.MaxMessageBytes,
				FirstMessageTimeout: options.FirstMessageTimeout,
				KeepaliveTime:       options.IdleTimeout,
				MinIdleTimeout:      clock.Duration(link.MinIdleTimeoutMs),
				MaxIdleTimeout:      clock.Duration(link.MaxIdleTimeoutMs),
				HoldOff:             options.HoldOff,
			}}
		g.clientMemory.AddEvictor(f.coap)
	}
	if options.HTTP != "" {
		f.http = &httpserver.Handler{Loop: g.loop, Upstream: g.upstream, Clock: g.Clock, Metrics: g.Metrics,
			Responses: g.responses, Settings: &g.cfg.Settings, ServesDevices: true, GatewayName: gatewayName}
		f.conns = &httpserver.ConnTracker{SheddingThreshold: sheddingThreshold(options.MaxConns), Clock: g.Clock, Metrics: g.Metrics,
			Budget: g.clientMemory, Work: g.clientWork}
		g.clientMemory.AddEvictor(f.conns)
	}
	return f
}

// start opens the listeners and serves them. If it fails, it leaves no listener open.
func (f *deviceFrontend) start(context.Context) error {
	if f.coap != nil {
		if err := f.startCoAP(); err != nil {
			return err
		}
	}
	if f.http != nil {
		if err := f.startHTTP(); err != nil {
			f.close()
			return err
		}
	}
	return nil
}

// listen opens a listener, which closeListeners closes.
func (f *deviceFrontend) listen(addr string) (net.Listener, error) {
	listener, err := f.gateway.listen(addr)
	if err != nil {
		return nil, err
	}
	f.listeners = append(f.listeners, listener)
	return listener, nil
}

// startCoAP opens the CoAP listener and serves it.
func (f *deviceFrontend) startCoAP() error {
	listener, err := f.listen(f.options.CoAP)
	if err != nil {
		return err
	}
	f.gateway.serve("devices", func() error { return f.coap.Serve(listener) })
	f.gateway.logListening("devices by CoAP", listener.Addr().String())
	return nil
}

// startHTTP opens the HTTP listener and serves it.
func (f *deviceFrontend) startHTTP() error {
	listener, err := f.listen(f.options.HTTP)
	if err != nil {
		return err
	}
	firstMessageTimeout, longestDeadline := f.options.FirstMessageTimeout, f.gateway.longestDeadline
	f.httpServer = &http.Server{
		Handler:           f.http,
		ReadHeaderTimeout: firstMessageTimeout,
		// Reading the body may take as long as the longest deadline, and so may the response. ReadTimeout allows twice the time of
		// the body. WriteTimeout, which begins after the header, allows twice the time of both.
		ReadTimeout:    2*longestDeadline + firstMessageTimeout,
		WriteTimeout:   4*longestDeadline + firstMessageTimeout,
		IdleTimeout:    f.options.IdleTimeout,
		MaxHeaderBytes: httpserver.MaxHeaderBytes,
		ConnState:      f.conns.ConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return f.http.ConnContext(f.conns.ConnContext(ctx, conn), conn)
		},
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     logevent.HTTPServerLog(),
	}
	limited := f.conns.LimitListener(listener, f.options.MaxConns)
	f.gateway.serve("devices", func() error { return f.httpServer.Serve(limited) })
	f.gateway.logListening("devices by HTTP", listener.Addr().String())
	return nil
}

// beginShutdown sets the time by which requests that arrive from now on must have their responses.
func (f *deviceFrontend) beginShutdown(times shutdownTimes) {
	if f.coap != nil {
		f.coap.BeginShutdown(f.gateway.Clock.NowMs() + times.respondByMs)
	}
	if f.http != nil {
		f.http.BeginShutdown(f.gateway.Clock.NowMs() + times.respondByMs)
	}
}

// drain accepts new exchanges until all clients can have been notified of the shutdown. After that, until times.reuseUntilMs,
// devices that have lost their connection can still connect and fetch their responses.
func (f *deviceFrontend) drain(times shutdownTimes) {
	<-after(times.acceptUntilMs)
	f.gateway.loop.DrainDeduplicator()
	if f.coap != nil {
		f.coap.Drain()
	}
	<-after(times.reuseUntilMs - times.acceptUntilMs)
	f.closeListeners()
	remainingMs := times.exitByMs - times.reuseUntilMs
	var draining sync.WaitGroup
	if f.coap != nil {
		draining.Go(func() { runWithin(remainingMs, f.coap.Shutdown) })
	}
	if f.http != nil {
		f.http.DisableKeepAlives()
		draining.Go(func() {
			select {
			case <-f.conns.Drain():
			case <-after(remainingMs):
			}
		})
	}
	draining.Wait()
}

// closeListeners closes the listeners and leaves connections open.
func (f *deviceFrontend) closeListeners() {
	for _, listener := range f.listeners {
		listener.Close()
	}
}

// close closes the listeners and all connections, and ends the count of what is stored.
func (f *deviceFrontend) close() {
	f.closeListeners()
	f.gateway.storeMemory.Close()
	if f.coap != nil {
		f.coap.Close()
	}
	if f.httpServer != nil {
		f.httpServer.Close()
	}
}
