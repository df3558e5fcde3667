package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/dedup"
	"gaugerelay/internal/frontend/coapserver"
	"gaugerelay/internal/frontend/httpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
)

// devices are the fronts for devices on poor links, with the desk that they share.
type devices struct {
	base
	g     *Gateway
	opt   *config.Devices
	coap  *coapserver.Server
	http  *httpserver.Handler
	conns *httpserver.ConnTracker
	lns   []net.Listener
	serve *http.Server
}

// newDeduplicator returns the deduplicator of the requests of devices, and how this gateway names itself to devices. Its
// functions use g.loop, which is built after it.
func newDeduplicator(g *Gateway, o *config.Devices) (deduplicator *dedup.Coordinator, gateway string, err error) {
	// Nodes know runs by this, and devices the gateway: no other and no earlier start may have the same.
	name := fmt.Sprintf("%s-%x-%x", g.cfg.Name, g.cfg.Seed, int64(g.Clock.NowMs()))
	gateway = strconv.FormatUint(xxhash.Sum64String(name), 16)
	deduplicator, err = dedup.New(dedup.Options{Settings: o.Exchanges, Classes: g.cfg.Settings.Classes,
		RunIDPrefix: name, GatewayName: gateway, Metrics: g.Metrics, NowMs: g.Clock.NowMs,
		AfterFunc: func(ms float64, f func(nowMs float64)) (stop func()) { return g.loop.AfterFunc(ms, f) },
		Submit:    func(nowMs float64, r *lifecycle.Request) { g.loop.SubmitOnLoop(nowMs, r) }})
	return deduplicator, gateway, err
}

func newDevices(g *Gateway, o *config.Devices, gateway string) *devices {
	p := &devices{g: g, opt: o}
	if o.CoAP != "" {
		p.coap = &coapserver.Server{Loop: g.loop, Upstream: g.back, Clock: g.Clock, Metrics: g.Metrics,
			Settings: &g.cfg.Settings, Options: coapserver.Options{GatewayName: gateway, MaxConns: o.MaxConns, MaxPendingRequests: o.MaxOpenRequests,
				MaxMessageSize: o.MaxMessageBytes, FirstMessageTimeout: o.FirstMessageTimeout, KeepaliveTime: o.IdleTimeout,
				MinIdleTimeout: clock.Duration(o.Exchanges.Link.MinIdleTimeoutMs), MaxIdleTimeout: clock.Duration(o.Exchanges.Link.MaxIdleTimeoutMs),
				HoldOff: o.HoldOff, ResponseGrace: 25 * time.Millisecond}}
	}
	if o.HTTP != "" {
		p.http = &httpserver.Handler{Loop: g.loop, Upstream: g.back, Clock: g.Clock, Metrics: g.Metrics,
			Settings: &g.cfg.Settings, ServesDevices: true, GatewayID: gateway}
		p.conns = &httpserver.ConnTracker{MaxOpen: max(1, o.MaxConns*15/16), Clock: g.Clock, Metrics: g.Metrics}
	}
	return p
}

func (p *devices) start(context.Context) error {
	if p.coap != nil {
		ln, err := p.g.listen(p.opt.CoAP)
		if err != nil {
			return err
		}
		p.lns = append(p.lns, ln)
		p.g.serve("devices", func() error { return p.coap.Serve(ln) })
		p.g.listening("devices by CoAP", ln.Addr().String())
	}
	if p.http != nil {
		ln, err := p.g.listen(p.opt.HTTP)
		if err != nil {
			p.end()
			return err
		}
		p.lns = append(p.lns, ln)
		// A body may take as long as the longest time that a request may name; so may its answer.
		p.serve = &http.Server{Handler: p.http, ReadHeaderTimeout: p.opt.FirstMessageTimeout, ReadTimeout: 2*p.g.longest + p.opt.FirstMessageTimeout,
			WriteTimeout: 4*p.g.longest + p.opt.FirstMessageTimeout, IdleTimeout: p.opt.IdleTimeout, MaxHeaderBytes: 16 << 10,
			ConnState: p.conns.ConnState, ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
				return p.http.ConnContext(p.conns.ConnContext(ctx, nc), nc)
			}, DisableGeneralOptionsHandler: true, ErrorLog: logevent.HTTPServerLog()}
		clients := p.conns.LimitListener(ln, p.opt.MaxConns)
		p.g.serve("devices", func() error { return p.serve.Serve(clients) })
		p.g.listening("devices by HTTP", ln.Addr().String())
	}
	return nil
}

func (p *devices) stopping(t stopTimes) {
	if p.coap != nil {
		p.coap.SetResponseDeadline(p.g.Clock.NowMs() + t.answer)
	}
	if p.http != nil {
		p.http.Drain(p.g.Clock.NowMs() + t.answer)
	}
}

// drain takes new exchanges for as long as clients may not know of the stop. Then devices that are between
// connections may still come for their answers, as long as the platform leaves time.
func (p *devices) drain(t stopTimes) {
	<-wait(t.accept)
	p.g.loop.DrainDeduplicator()
	if p.coap != nil {
		p.coap.Drain()
	}
	<-wait(t.close - t.accept)
	p.close()
	var all sync.WaitGroup
	if p.coap != nil {
		all.Go(func() { within(t.leave-t.close, p.coap.Shutdown) })
	}
	if p.http != nil {
		p.http.DisableKeepAlives()
		all.Go(func() {
			select {
			case <-p.conns.Drain():
			case <-wait(t.leave - t.close):
			}
		})
	}
	all.Wait()
}

func (p *devices) close() {
	for _, ln := range p.lns {
		ln.Close()
	}
}

func (p *devices) end() {
	p.close()
	if p.coap != nil {
		p.coap.Close()
	}
	if p.serve != nil {
		p.serve.Close()
	}
}
