package gateway

import (
	"fmt"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/discovery"
	"gaugerelay/internal/endpointlease"
	"gaugerelay/internal/eventloop"
	"gaugerelay/internal/frontend/responsebuffer"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/permission"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/upstream/httpclient"
	"gaugerelay/internal/workbudget"
)

// reuseDelayMs is the time after a response during which its connection to a server is not reused, because the platform's
// servers may send a duplicate response some milliseconds late. It is short compared with latency objectives, which are
// 100 ms or more.
const reuseDelayMs = 5

// maxNotificationDelayMs is the time after which every gateway is treated as having been notified of a change of the endpoint
// list, at the latest. It begins when discovery has the change and is reachable.
const maxNotificationDelayMs = 6000

// New builds a gateway. Before Start only its pause detector runs. The caller must not change the configuration afterwards.
func New(cfg *config.Config, edge *config.Edge, gatewayClock clock.Clock, network Network) (*Gateway, error) {
	g := &Gateway{Clock: gatewayClock, startedMs: gatewayClock.NowMs(), Metrics: metrics.New(), cfg: cfg, network: network,
		failures: make(chan error, maxPendingFailures), pauseDetector: clock.StartPauseDetector(gatewayClock)}
	g.clientMemory = memorybudget.New(clientMemoryWithStore(cfg, edge.Devices), g.Metrics)
	g.storeMemory = g.clientMemory.NewAccount()
	g.responses = responsebuffer.NewSet(g.clientMemory, g.uniqueName(), g.Metrics)
	g.clientWork = workbudget.New(clientCores(cfg), gatewayClock, g.Metrics)
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
		ReuseDelayMs: reuseDelayMs, MaxConns: maxUpstreamConns(cfg), LoadReportFields: cfg.Settings.LoadReportFields, Dial: network.Dial,
		Memory: g.clientMemory},
		gatewayClock, g.Metrics, g.loop)
	g.watcher = discovery.New(discovery.Options{Addr: cfg.Discovery, CachedEndpoints: cfg.KnownEndpoints, Clock: gatewayClock,
		Metrics: g.Metrics, Notify: g.loop.UpdateEndpoints, Dial: network.Dial})
	g.components = newComponents(g, edge, fleet, gatewayName)
	return g, nil
}

// uniqueName returns a name that differs from those of other gateways, and from those that this gateway had at earlier starts.
func (g *Gateway) uniqueName() string {
	return fmt.Sprintf("%s-%x-%x", g.cfg.Name, g.cfg.Seed, int64(g.startedMs))
}

// newScheduler returns the scheduler. In a fleet, it starts with a share of the quota that no other gateway is ever granted.
func newScheduler(cfg *config.Config, fleet *fleetMember) (*scheduler.Scheduler, error) {
	settings := cfg.Settings
	if fleet != nil {
		settings.QuotaLeases, settings.InitialQuotaShare = true, fleet.service.InitialQuotaShare()
	}
	return scheduler.New(settings, cfg.Seed)
}

// setDeadlines sets the longest and the shortest deadline of all classes. There is at least one class.
func (g *Gateway) setDeadlines() {
	classes := g.cfg.Settings.Classes
	g.shortestDeadline = classes[0].Deadline
	for _, class := range classes {
		g.longestDeadline = max(g.longestDeadline, class.Deadline)
		g.shortestDeadline = min(g.shortestDeadline, class.Deadline)
	}
}

// loopOptions returns the options of the event loop, except its deduplicator. The functions in them use parts that New builds
// after the loop. The loop calls them only after it has been started.
func (g *Gateway) loopOptions(scheduler *scheduler.Scheduler, fleet *fleetMember) eventloop.Options {
	options := eventloop.Options{Scheduler: scheduler, Clock: g.Clock, Metrics: g.Metrics,
		Authorizer: lifecycle.NewAuthorizer(lifecycle.AuthorizerOptions{
			WaitForUpdates: g.waitForEndpointUpdates, OnDenied: g.countDenied}),
		WatchEndpoints: func() { g.watcher.Open(g.ctx) },
		Classes:        g.cfg.Settings.Classes,
		ProbeServer:    func(server *lifecycle.Server) { g.upstream.Probe(server) },
		OnReady:        g.notifyReady}
	if g.cfg.Settings.PollEndpoints {
		// Only a polled list needs a lease. Where the list is pushed, the gateway is treated as having been notified of a
		// change once this machine's agent has it, and the gateway can reach the agent at any time.
		options.EndpointLease = endpointlease.New(endpointlease.Settings{MaxNotificationDelayMs: maxNotificationDelayMs,
			DrainGraceMs: clock.Ms(g.cfg.Settings.DrainGrace), SendDelayMarginMs: lifecycle.SendDelayMarginMs}, g.Clock.NowMs())
	}
	if fleet != nil {
		options.Peers = fleet.service
	}
	return options
}

// newComponents returns the components in start order. The fleet member is started first and closed last, so that its quota
// is known as early, and returned as late, as possible.
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

// notifyReady informs all components that requests can be served. The event loop calls it once, on its goroutine.
func (g *Gateway) notifyReady() {
	for _, c := range g.components {
		c.ready()
	}
}

// countDenied counts an attempt whose authorization was denied, by reason.
func (g *Gateway) countDenied(_ *lifecycle.Attempt, reason permission.Denial) {
	g.Metrics.Add(counterAttemptsDeniedPrefix+reason.String(), 1)
}

// waitForEndpointUpdates waits for a bounded time until all updates that have arrived on the watch are applied. It reports
// whether they have been applied.
func (g *Gateway) waitForEndpointUpdates() (applied bool) {
	result := g.watcher.AwaitPendingUpdates()
	if result == discovery.Delivered {
		g.loop.Sync()
	}
	return result != discovery.StillPending
}
