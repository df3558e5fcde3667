package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"gaugerelay/internal/bgp"
	"gaugerelay/internal/config"
	"gaugerelay/internal/frontend/httpserver"
	"gaugerelay/internal/frontend/sftpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/upstream/sftpclient"
)

// A client has these times. The first two count from its connecting, or from the first byte of a further request;
// one that takes longer is not on a poor link but holds a connection that another could use.
const (
	headTime    = 2700 * time.Millisecond // for its head
	requestTime = 2700 * time.Millisecond // for all of its request
	answerTime  = 2 * time.Second         // to take an answer
	idleTime    = 30 * time.Second        // between requests
)

// aheadPart of the memory may hold what clients have sent ahead: small beside the requests and answers that are open, of up
// to 64 KiB each, on all connections.
const aheadPart = 1.0 / 16

// platform is the front that the platform's clients use.
type platform struct {
	base
	g     *Gateway
	ln    net.Listener
	front *httpserver.Handler
	conns *httpserver.ConnTracker
	serve *http.Server
}

func newPlatform(g *Gateway) *platform {
	clients := max(1, g.cfg.MaxSockets*3/8)
	conns := &httpserver.ConnTracker{MaxOpen: max(1, clients*15/16), Clock: g.Clock, Metrics: g.Metrics,
		MaxPipelinedBytes: int(g.cfg.MemoryMB * aheadPart * (1 << 20))}
	return &platform{g: g, conns: conns, front: &httpserver.Handler{Loop: g.loop, Upstream: g.back, Clock: g.Clock,
		Metrics: g.Metrics, Settings: &g.cfg.Settings, Conns: conns, HoldUps: g.holdUps}}
}

func (p *platform) start(context.Context) (err error) {
	if p.ln, err = p.g.listen(p.g.cfg.Listen); err != nil {
		return err
	}
	p.serve = &http.Server{Handler: p.front, ReadHeaderTimeout: headTime, ReadTimeout: requestTime,
		WriteTimeout: p.g.longest + answerTime, IdleTimeout: idleTime, MaxHeaderBytes: 16 << 10, ConnState: p.conns.ConnState,
		ConnContext: p.conns.ConnContext, DisableGeneralOptionsHandler: true, ErrorLog: logevent.HTTPServerLog()}
	ln := p.conns.LimitListener(p.ln, max(1, p.g.cfg.MaxSockets*3/8))
	p.g.serve("clients", func() error { return p.serve.Serve(ln) })
	p.g.listening("clients", p.ln.Addr().String())
	return nil
}

func (p *platform) stopping(t stopTimes) { p.front.Drain(p.g.Clock.NowMs() + t.answer) }

func (p *platform) drain(t stopTimes) { drain(p.ln, p.front, p.conns, t, wait) }

func (p *platform) end() {
	p.ln.Close() // the server may not have got to it yet
	p.serve.Close()
}

// drain ends an HTTP front inside the time that the platform gives. A client that is told nothing goes on using
// the connections it has; closed too soon, they would leave it without a gateway until the next start.
func drain(ln net.Listener, front *httpserver.Handler, conns *httpserver.ConnTracker, t stopTimes, after func(ms float64) <-chan time.Time) {
	<-after(t.accept)
	ln.Close()
	<-after(t.close - t.accept)
	front.DisableKeepAlives()
	select {
	case <-conns.Drain():
	case <-after(t.leave - t.close):
	}
}

// files is the front for file commands, with its carrier.
type files struct {
	base
	g     *Gateway
	opt   *config.SFTP
	ln    net.Listener
	front *sftpserver.Server
	back  *sftpclient.Client
}

func newFiles(g *Gateway, f *config.SFTP, d *config.Devices) *files {
	p := &files{g: g, opt: f}
	p.back = sftpclient.New(sftpclient.Options{ConnectTimeoutMs: g.cfg.ConnectTimeoutMs, ConnIdleTimeoutMs: g.cfg.IdleConnTimeoutMs,
		MaxSessions: max(1, g.cfg.MaxSockets/16), Dial: g.net.Dial,
		Address: func(n *lifecycle.Server) (string, bool) { return f.BackendAddress(n.Name, n.Addr) }}, g.Clock, g.Metrics, g.loop.Complete)
	p.front = &sftpserver.Server{Loop: g.loop, Upstream: p.back, Clock: g.Clock, Metrics: g.Metrics, Options: sftpserver.Options{
		MaxConns: f.MaxConns, UnitBytes: f.UnitBytes, ReadClass: f.ReadClass, WriteClass: f.WriteClass,
		Shards: g.cfg.Settings.Shards, MaxUnits: g.cfg.Settings.MaxUnits}}
	if d != nil {
		p.front.RetentionMs = d.Exchanges.RetentionMs
	}
	for _, r := range f.Roots {
		p.front.Roots = append(p.front.Roots, sftpserver.Root(r))
	}
	return p
}

func (p *files) start(context.Context) (err error) {
	if p.ln, err = p.g.listen(p.opt.Listen); err != nil {
		return err
	}
	p.g.serve("file commands", func() error { return p.front.Serve(p.ln) })
	p.g.listening("file commands", p.ln.Addr().String())
	return nil
}

// drain waits no longer than there is time: a client may leave its answer unread.
func (p *files) drain(t stopTimes) {
	<-wait(t.accept)
	p.ln.Close()
	within(t.leave-t.accept, p.front.Shutdown)
}

func (p *files) end() {
	p.ln.Close()
	p.front.CloseAll()
	p.back.Close()
}

// announcer speaks BGP.
type announcer struct {
	base
	speaker *bgp.Speaker
	cease   func()
}

func newAnnouncer(g *Gateway, o *bgp.Options) *announcer {
	return &announcer{speaker: bgp.New(*o, g.Clock, g.Metrics)}
}

func (a *announcer) start(ctx context.Context) error {
	ctx, a.cease = context.WithCancel(ctx)
	go a.speaker.Run(ctx)
	return nil
}

func (a *announcer) ready()             { a.speaker.SetReady(true) }
func (a *announcer) stopping(stopTimes) { a.speaker.SetReady(false) }

func (a *announcer) end() {
	a.cease()
	a.speaker.Wait()
}
