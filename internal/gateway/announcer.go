package gateway

import (
	"context"

	"gaugerelay/internal/bgp"
)

// announcer announces the service's addresses by BGP from when the gateway is ready until its shutdown begins.
type announcer struct {
	noopComponent
	speaker *bgp.Speaker
	cancel  func()
}

// newAnnouncer builds the BGP speaker. It opens no connection.
func newAnnouncer(g *Gateway, options *bgp.Options) *announcer {
	return &announcer{speaker: bgp.New(*options, g.Clock, g.Metrics)}
}

// start runs the speaker.
func (a *announcer) start(ctx context.Context) error {
	ctx, a.cancel = context.WithCancel(ctx)
	go a.speaker.Run(ctx)
	return nil
}

func (a *announcer) ready()                      { a.speaker.SetReady(true) }
func (a *announcer) beginShutdown(shutdownTimes) { a.speaker.SetReady(false) }

// close ends the session with the router and waits for the speaker.
func (a *announcer) close() {
	a.cancel()
	a.speaker.Wait()
}
