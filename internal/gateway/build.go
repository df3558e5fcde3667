package gateway

import (
	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/discovery"
	"gaugerelay/internal/endpointlease"
	"gaugerelay/internal/eventloop"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/permission"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/upstream/httpclient"
)

// reuseDelayMs is how long a connection to a server is not used again after a response, since the platform's servers may send
// a duplicate response some milliseconds late. It is short compared with latency objectives, which are a hundred milliseconds
// or more.
const reuseDelayMs = 5

// maxNotificationDelayMs is how long it takes at most until every gateway counts as notified of a change of the endpoint list, from
// the moment at which discovery has the change and can be reached.
const maxNotificationDelayMs = 6000

// New builds a gateway. Only its pause detector runs before Start. The configuration must not be changed afterwards.
func New(cfg *config.Config, edge *config.Edge, c clock.Clock, network Network) (*Gateway, error) {
	g := &Gateway{Clock: c, Metrics: metrics.New(), cfg: cfg, network: network, failures: make(chan error, maxFailures),
		pauseDetector: clock.StartPauseDetector(c)}
	var fleet *fleetMember
	if edge.Fleet != nil {
		var err error
		if fleet, err = newFleetMember(g, edge.Fleet); err != nil {
			return nil, err
		}
	}
	scheduler, err := newScheduler(cfg, fleet)
	if err != nil {
		return nil, err
	}
	g.setDeadlines()
	options := g.loopOptions(scheduler, fleet)
	var gatewayName string
	if edge.Devices != nil {
		deduplicator, id, err := newDeduplicator(g, edge.Devices)
		if err != nil {
			return nil, err
		}
		options.Deduplicator, gatewayName = deduplicator, id
	}
	g.loop = eventloop.New(options)
	g.upstream = httpclient.New(httpclient.Options{ConnectTimeoutMs: cfg.ConnectTimeoutMs, ConnIdleTimeoutMs: cfg.IdleConnTimeoutMs,
		ReuseDelayMs: reuseDelayMs, MaxConns: maxUpstreamConns(cfg), LoadReportFields: cfg.Settings.LoadReportFields, Dial: network.Dial},
		c, g.Metrics, g.loop)
	g.watcher = discovery.New(discovery.Options{Addr: cfg.Discovery, Known: cfg.KnownEndpoints, Clock: c, Metrics: g.Metrics,
		Notify: g.loop.UpdateEndpoints, Dial: network.Dial})
	g.components = newComponents(g, edge, fleet, gatewayName)
	return g, nil
}

// newScheduler returns the scheduler. A gateway in a fleet starts with the quota that no other gateway is ever granted.
func newScheduler(cfg *config.Config, fleet *fleetMember) (*scheduler.Scheduler, error) {
	settings := cfg.Settings
	if fleet != nil {
		settings.QuotaLeases, settings.InitialQuotaShare = true, fleet.service.InitialQuotaShare()
	}
	return scheduler.New(settings, cfg.Seed)
}

// setDeadlines finds the longest and the shortest deadline of the classes; there is at least one.
func (g *Gateway) setDeadlines() {
	classes := g.cfg.Settings.Classes
	g.shortestDeadline = classes[0].Deadline
	for _, class := range classes {
		g.longestDeadline = max(g.longestDeadline, class.Deadline)
		g.shortestDeadline = min(g.shortestDeadline, class.Deadline)
	}
}

// loopOptions returns the event loop's options without its deduplicator. Their functions are called once the loop runs, and
// use what New builds after the loop.
func (g *Gateway) loopOptions(scheduler *scheduler.Scheduler, fleet *fleetMember) eventloop.Options {
	options := eventloop.Options{Scheduler: scheduler, Clock: g.Clock, Metrics: g.Metrics,
		Authorizer: lifecycle.NewAuthorizer(lifecycle.AuthorizerOptions{
			WaitForUpdates: g.waitForEndpointUpdates, OnDenied: g.countDenied}),
		WatchEndpoints: func() { g.watcher.Open(g.ctx) },
		ProbeServer:    func(server *lifecycle.Server) { g.upstream.Probe(server) },
		OnReady:        g.notifyReady}
	if g.cfg.Settings.PollEndpoints {
		// A pushed list needs no lease: what this machine's agent has counts as notified, and it can always be asked.
		options.EndpointLease = endpointlease.New(endpointlease.Settings{MaxNotificationDelayMs: maxNotificationDelayMs,
			DrainGraceMs: clock.Ms(g.cfg.Settings.DrainGrace), SendDelayMarginMs: lifecycle.SendDelayMarginMs}, g.Clock.NowMs())
	}
	if fleet != nil {
		options.Peers = fleet.service
	}
	return options
}

// newComponents returns the components in the order of their start. The fleet comes first, so that quota is known sooner
// and is returned later.
func newComponents(g *Gateway, edge *config.Edge, fleet *fleetMember, gatewayName string) []component {
	var components []component
	clients := newClientFrontend(g)
	if fleet != nil {
		components = append(components, fleet)
		clients.handler.FleetStatus = fleet.serveStatus
	}
	components = append(components, clients)
	if edge.SFTP != nil {
		components = append(components, newSFTPFrontend(g, edge.SFTP, edge.Devices))
	}
	if edge.Devices != nil {
		components = append(components, newDeviceFrontend(g, edge.Devices, gatewayName))
	}
	if edge.BGP != nil {
		components = append(components, newAnnouncer(g, edge.BGP))
	}
	return components
}

// notifyReady is called on the event loop's goroutine once requests can be served.
func (g *Gateway) notifyReady() {
	for _, c := range g.components {
		c.ready()
	}
}

// countDenied counts an attempt that was not authorized to start.
func (g *Gateway) countDenied(_ *lifecycle.Attempt, reason permission.Denial) {
	g.Metrics.Add(attemptsDeniedPrefix+reason.String(), 1)
}

// waitForEndpointUpdates waits for a bounded time until the updates that have arrived on the watch are applied, and reports
// whether they are.
func (g *Gateway) waitForEndpointUpdates() (applied bool) {
	result := g.watcher.AwaitPendingUpdates()
	if result == discovery.Delivered {
		g.loop.Sync()
	}
	return result != discovery.StillPending
}
