package gateway

import (
	"context"

	"gaugerelay/internal/bgp"
)

// announcer announces the service's addresses by BGP while the gateway is ready, until its shutdown begins.
type announcer struct {
	noopComponent
	speaker *bgp.Speaker
	cancel  func()
}

func newAnnouncer(g *Gateway, options *bgp.Options) *announcer {
	return &announcer{speaker: bgp.New(*options, g.Clock, g.Metrics)}
}

func (a *announcer) start(ctx context.Context) error {
	ctx, a.cancel = context.WithCancel(ctx)
	go a.speaker.Run(ctx)
	return nil
}

func (a *announcer) ready()                      { a.speaker.SetReady(true) }
func (a *announcer) beginShutdown(shutdownTimes) { a.speaker.SetReady(false) }

func (a *announcer) close() {
	a.cancel()
	a.speaker.Wait()
}
