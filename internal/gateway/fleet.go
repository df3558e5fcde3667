package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"

	"gaugerelay/internal/config"
	"gaugerelay/internal/peer"
)

// peers is what this gateway shares with the others of its fleet.
type peers struct {
	base
	g      *Gateway
	listen string
	fleet  *peer.Service
}

func newPeers(g *Gateway, f *config.Fleet) (*peers, error) {
	p := &peers{g: g}
	listen, o, err := f.Resolve(g.cfg)
	if err != nil {
		return nil, err
	}
	p.listen = listen
	// Another at each start, also where the seed is the same: what an earlier life has been told or lent is its own.
	o.Incarnation, o.Seed = uint32(g.cfg.Seed)^uint32(int64(g.Clock.NowMs()))^uint32(os.Getpid())<<16, g.cfg.Seed
	if p.fleet, err = peer.New(o, g.Metrics, slog.Default()); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *peers) start(context.Context) error {
	conn, err := net.ListenPacket("udp", p.listen)
	if err != nil {
		return err
	}
	p.fleet.Start(conn, p.g.loop)
	p.g.listening("fleet", p.listen)
	return nil
}

func (p *peers) stopping(stopTimes) { p.g.loop.Post(p.fleet.Leave) }
func (p *peers) end()               { p.fleet.Close() }

// show answers with what this gateway knows of its fleet.
func (p *peers) show(w http.ResponseWriter, _ *http.Request) {
	text := make(chan string, 1)
	p.g.loop.Post(func(nowMs float64) {
		var b strings.Builder
		p.fleet.WriteStatus(&b, nowMs)
		text <- b.String()
	})
	select {
	case t := <-text:
		w.Write([]byte(t))
	case <-p.g.ctx.Done():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	}
}
