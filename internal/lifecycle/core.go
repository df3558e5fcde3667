// Package core holds the life of requests: it feeds the decision module and carries out what it decides.
// It does no I/O and knows no wire. One goroutine (package loop) owns a Core; Node alone is shared.
package lifecycle

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/endpointlease"
	"gaugerelay/internal/logevent"
)

type attemptState struct {
	server        *Server
	sentMs        float64
	cancel        func()
	ended         bool
	neverExecuted bool // it has ended and never ran
}

type requestState struct {
	request    *Request
	deadlineMs float64
	done       bool
	attempts   []*attemptState
	inFlight   int
}

// Manager is the state of one gateway.
type Manager struct {
	scheduler    Scheduler
	environment  Environment
	deduplicator Deduplicator
	peers        Peers
	// For the fleet: whether the list has changed since it was told, and what is gone since then.
	endpointsChanged   bool
	removedServers     []*Server
	pendingEvents      []scheduler.Event
	requests           map[scheduler.RequestID]*requestState
	requestsByClientID map[string]*requestState // of open, those that have a ClientID
	servers            map[scheduler.ServerID]*Server
	serverIDs          map[string]scheduler.ServerID
	lastRequestID      scheduler.RequestID
	lastServerID       scheduler.ServerID
	hasEndpoints       bool
	timerAt            time.Duration // as last asked for
	timerFired         bool
	traceRequests      bool // single requests and attempts are logged
	authorizer         *Authorizer
	endpointLease      *endpointlease.Lease // nil: the list may be used without a bound
}

// Options are the collaborators of a Manager. Scheduler and Environment are required.
type Options struct {
	Scheduler   Scheduler
	Environment Environment
	// Deduplicator handles the requests of devices. If it is nil, they are handled like all others.
	Deduplicator Deduplicator
	// Peers coordinates with the other gateways. nil means that there are none.
	Peers Peers
	// EndpointLease bounds for how long an endpoint list is used that cannot be refreshed. nil means without a bound.
	EndpointLease *endpointlease.Lease
	// Authorizer authorizes the first byte of each attempt. nil means NewAuthorizer(AuthorizerOptions{}).
	Authorizer *Authorizer
	// TraceRequests enables Environment.Trace.
	TraceRequests bool
}

// New returns a Manager without requests and servers.
func New(options Options) *Manager {
	authorizer := options.Authorizer
	if authorizer == nil {
		authorizer = NewAuthorizer(AuthorizerOptions{})
	}
	return &Manager{scheduler: options.Scheduler, environment: options.Environment, deduplicator: options.Deduplicator,
		peers: options.Peers, endpointLease: options.EndpointLease, authorizer: authorizer, traceRequests: options.TraceRequests,
		requests: map[scheduler.RequestID]*requestState{}, requestsByClientID: map[string]*requestState{},
		servers: map[scheduler.ServerID]*Server{}, serverIDs: map[string]scheduler.ServerID{}}
}

// OpenRequests is the number of requests not yet answered.
func (c *Manager) OpenRequests() (n int) {
	for _, e := range c.requests {
		if !e.done {
			n++
		}
	}
	return n
}

// ServerCount is the number of nodes that are not gone.
func (c *Manager) ServerCount() int { return len(c.serverIDs) }

// Ready tells whether a node list is held. An empty one from before the start does not count.
func (c *Manager) Ready() bool { return c.hasEndpoints }

// Submit hands a client's request in.
func (c *Manager) Submit(nowMs float64, r *Request) {
	if r.canceled.Load() { // else Gone is still to come, and is counted then
		return
	}
	if r.Device != nil && c.deduplicator != nil {
		c.deduplicator.Submit(nowMs, r)
		return
	}
	if r.ClientID != "" && c.requestsByClientID[r.ClientID] != nil {
		// UpdateEndpoints tell requests by this name. The other one's client must get the answer to its own.
		c.environment.Count("requests_duplicate")
		r.Respond(Response{Kind: DuplicateID})
		return
	}
	for c.lastRequestID++; c.requests[c.lastRequestID] != nil; c.lastRequestID++ { // after 2^32 requests ids come round
	}
	r.id = c.lastRequestID
	e := &requestState{request: r, deadlineMs: nowMs + r.RemainingMs}
	c.requests[r.id] = e
	if r.ClientID != "" {
		c.requestsByClientID[r.ClientID] = e
	}
	c.environment.Count("requests_taken")
	if c.traceRequests {
		c.environment.Trace(logevent.RequestTaken, logevent.Request, r.ClientID, "id", r.id, "class", r.Class, "shard", r.Shard, "left_ms", r.RemainingMs)
	}
	c.pendingEvents = append(c.pendingEvents, scheduler.RequestArrived{ID: r.id, Class: r.Class, Plan: r.Plan,
		Volume: scheduler.VolumeID(r.Volume), Key: r.Key, TTL: clock.Duration(r.RemainingMs), ClientDelay: clock.Duration(r.ClientDelayMs),
		Units: r.Units, Shard: r.Shard, Gateways: r.Gateways, IsRetry: r.IsRetry, IsFirstAttempt: r.IsFirstAttempt})
}

// Cancel tells that a request's client has gone away: it gets no answer any more.
func (c *Manager) Cancel(nowMs float64, r *Request) {
	r.Cancel()
	if r.Device != nil && c.deduplicator != nil {
		c.deduplicator.Cancel(nowMs, r)
		return
	}
	e := c.requests[r.id]
	if e == nil || e.request != r || e.done {
		return
	}
	e.done = true
	c.environment.Count("requests_dropped")
	if c.traceRequests {
		c.environment.Trace(logevent.RequestDropped, logevent.Request, r.ClientID, "id", r.id)
	}
	c.pendingEvents = append(c.pendingEvents, scheduler.RequestCanceled{ID: r.id})
	c.releaseIfDone(e)
}

// Complete tells how an attempt ended. A second end of the same attempt is ignored.
func (c *Manager) Complete(nowMs float64, r *Request, n int, res AttemptResult) {
	e := c.requests[r.id]
	if e == nil || e.request != r || n < 0 || n >= len(e.attempts) || e.attempts[n].ended {
		return
	}
	t := e.attempts[n]
	t.ended = true
	t.neverExecuted = res.Status == scheduler.StatusOverloaded || res.Status == scheduler.StatusConnectFailed || res.Status == scheduler.StatusNotSent
	e.inFlight--
	c.environment.Count("attempts_" + attemptStatusNames[res.Status])
	if c.traceRequests {
		c.environment.Trace(logevent.AttemptEnded, logevent.Request, r.ClientID, "id", r.id, logevent.Attempt, n, logevent.Server, t.server.Name,
			logevent.Status, attemptStatusNames[res.Status], logevent.TookMs, nowMs-t.sentMs)
	}
	if c.peers != nil {
		c.peers.AttemptEnded(nowMs, t.server, res.Status, nowMs-t.sentMs)
	}
	if res.Status == scheduler.StatusOK && !e.done { // the first answer of a node goes to the client as it is
		c.respond(e, Response{Kind: Served, Result: res.Body})
	}
	c.pendingEvents = append(c.pendingEvents, scheduler.AttemptEnded{ID: r.id, Attempt: n, Server: t.server.id, Status: res.Status,
		Latency: clock.Duration(nowMs - t.sentMs), RequestDone: e.done, VolumeUsage: res.VolumeUsage, HasVolumeUsage: res.HasVolumeUsage,
		ForeignUnits: res.ForeignUnits, LoadReport: res.LoadReport})
	c.releaseIfDone(e)
}

var attemptStatusNames = [...]string{"ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

// ProbeEnded tells what a probe found.
func (c *Manager) ProbeEnded(n *Server, latencyMs float64, s scheduler.Status, report []float64) {
	c.pendingEvents = append(c.pendingEvents, scheduler.ProbeEnded{Server: n.id, Status: s,
		Latency: clock.Duration(latencyMs), LoadReport: report})
}

// renewEndpointLease renews the lease on the list by what has come of discovery.
func (c *Manager) renewEndpointLease(l EndpointUpdate) {
	if c.endpointLease == nil {
		return
	}
	if l.CallDurationMs > 0 {
		c.endpointLease.RecordCallLatency(l.CallDurationMs)
	}
	switch {
	case l.Kind == scheduler.Delta || l.Kind == scheduler.Snapshot || l.Kind == scheduler.Heartbeat:
		c.endpointLease.Renew(l.CompleteAsOfMs)
	case l.Kind == scheduler.WatchFailed && l.Failure == CallUnreachable:
		c.endpointLease.RecordUnreachable(l.CompleteAsOfMs)
	case l.Kind == scheduler.WatchFailed && l.Failure == CallRejected:
		c.endpointLease.RecordRejection(l.CompleteAsOfMs)
	}
	c.authorizer.SetEndpointsValidUntil(c.endpointLease.ExpiresAtMs())
}

// endpointsValidUntil is when the list may no longer be used, for the module; 0: there is no such time.
func (c *Manager) endpointsValidUntil() time.Duration {
	if c.endpointLease == nil {
		return 0
	}
	return clock.Duration(c.endpointLease.ExpiresAtMs())
}

// UpdateEndpoints brings news of the node list.
func (c *Manager) UpdateEndpoints(l EndpointUpdate) {
	c.renewEndpointLease(l)
	ev := scheduler.EndpointUpdate{Version: l.Version, Kind: l.Kind, ValidUntil: c.endpointsValidUntil()}
	listed := map[scheduler.ServerID]bool{}
	for _, n := range l.Servers {
		id := c.serverIDs[n.Name]
		if id == 0 {
			if n.State == scheduler.Removed {
				continue // nothing is known of it, and nothing will be
			}
			c.lastServerID++
			id = c.lastServerID
			c.serverIDs[n.Name] = id
		}
		n.id = id
		listed[id] = true
		n.closed = &atomic.Bool{}
		if old := c.servers[id]; old != nil {
			if old.Addr == n.Addr && !old.Closed() {
				n.closed = old.closed
			} else {
				old.closed.Store(true) // moved
			}
		}
		n.closed.Store(n.State != scheduler.Ready)
		c.servers[id] = n
		ev.Servers = append(ev.Servers, scheduler.Server{ID: id, State: n.State, Shard: n.Shard, Kind: n.Kind, Zone: n.Zone,
			StartedAt: clock.Duration(n.StartedMs), Size: n.Weight})
		if n.State == scheduler.Removed {
			c.removeServer(n)
		}
	}
	if l.Kind == scheduler.Snapshot || l.Kind == scheduler.CachedSnapshot {
		for id, n := range c.servers {
			if !listed[id] {
				n.closed.Store(true)
				c.removeServer(n)
			}
		}
	}
	if l.Kind < scheduler.WatchFailed && (l.Kind != scheduler.CachedSnapshot || len(l.Servers) > 0) {
		c.hasEndpoints = true
	}
	c.pendingEvents = append(c.pendingEvents, ev)
	c.endpointsChanged = true
}

// removeServer drops a node that is gone: every one that replaces another has a name of its own, and on a long day there
// are many. Attempts keep theirs as long as they need it.
func (c *Manager) removeServer(n *Server) {
	delete(c.servers, n.id)
	delete(c.serverIDs, n.Name)
	if c.peers != nil {
		c.removedServers = append(c.removedServers, n)
	}
}

// BeginShutdown tells that the gateway ends, and by when all that is open must have been answered: also what was taken
// before anyone knew, and may wait for longer than the platform leaves the program.
func (c *Manager) BeginShutdown(atMs float64) {
	c.pendingEvents = append(c.pendingEvents, scheduler.ShutdownStarted{Deadline: clock.Duration(atMs)})
}

// TimerFired tells that a time asked for with Outside.WakeAt has come.
func (c *Manager) TimerFired() {
	c.timerFired = true
	c.pendingEvents = append(c.pendingEvents, scheduler.TimerFired{})
}

// timerRoundingError is more than what a time loses on its way to a timer and back as float64 milliseconds since the epoch.
const timerRoundingError = time.Microsecond

// stepTime is the time of a step. A wake that comes for the time asked for never comes before it: seen a few hundred
// nanoseconds early, for want of digits, it would be none to the module, which waits for that time and asks for no
// other. Nothing would wake it any more, and what is held would stay until something else happens.
func (c *Manager) stepTime(ms float64) time.Duration {
	now := clock.Duration(ms)
	if c.timerFired && now < c.timerAt && c.timerAt-now < timerRoundingError {
		now = c.timerAt
	}
	c.timerFired = false
	return now
}

// Step lets the module decide on all that came in since the last one, and carries it out.
func (c *Manager) Step(nowMs float64) {
	if c.peers != nil {
		if c.endpointsChanged {
			c.peers.EndpointsChanged(nowMs, slices.SortedFunc(maps.Values(c.servers), func(a, b *Server) int { return cmp.Compare(a.id, b.id) }), c.removedServers)
			c.endpointsChanged, c.removedServers = false, nil
		}
		c.pendingEvents = append(c.peers.BeginStep(nowMs), c.pendingEvents...)
	}
	if len(c.pendingEvents) == 0 {
		return
	}
	events := c.pendingEvents
	c.pendingEvents = nil
	for _, a := range c.scheduler.Step(c.stepTime(nowMs), events) {
		switch a := a.(type) {
		case scheduler.Send:
			c.startAttempt(nowMs, a)
		case scheduler.Reject:
			c.finish(a.ID, Response{Kind: Rejected, RetryAfterMs: clock.Ms(a.RetryAfter), Reason: a.Reason})
		case scheduler.Fail:
			c.finish(a.ID, Response{Kind: Failed, Reason: a.Reason})
		case scheduler.CancelAttempt:
			if e := c.requests[a.ID]; e != nil && a.Attempt >= 0 && a.Attempt < len(e.attempts) && !e.attempts[a.Attempt].ended {
				e.attempts[a.Attempt].cancel()
			}
		case scheduler.WatchEndpoints:
			c.environment.WatchEndpoints()
		case scheduler.ProbeServer:
			if n := c.servers[a.Server]; n != nil {
				c.environment.ProbeServer(n)
			}
		case scheduler.QuotaDemand:
			if c.peers != nil {
				c.peers.ReportDemand(nowMs, a)
			}
		case scheduler.SetTimer:
			c.timerAt = a.At
			c.environment.SetTimer(clock.Ms(a.At))
		case scheduler.Log:
			c.environment.Log(a.Text)
		default:
			c.environment.Log(fmt.Sprintf("unknown action %T", a))
		}
	}
}

func (c *Manager) startAttempt(nowMs float64, a scheduler.Send) {
	e, n := c.requests[a.ID], c.servers[a.Server]
	if e == nil || n == nil {
		c.environment.Log(fmt.Sprintf("send of request %d to node %d: not known", a.ID, a.Server))
		return
	}
	deadline := e.deadlineMs
	if a.Timeout != 0 {
		deadline = min(deadline, nowMs+clock.Ms(a.Timeout))
	}
	begin := 0.0
	if c.peers != nil {
		begin = c.peers.QuotaExpiresMs(scheduler.VolumeID(e.request.Volume))
	}
	if before := clock.Ms(a.StartDeadline); before != 0 && (begin == 0 || before < begin) {
		begin = before
	}
	t := &attemptState{server: n, sentMs: nowMs}
	e.attempts = append(e.attempts, t)
	e.inFlight++
	c.environment.Count("attempts_started")
	if c.traceRequests {
		c.environment.Trace(logevent.AttemptStarted, logevent.Request, e.request.ClientID, "id", a.ID, logevent.Attempt, len(e.attempts)-1, logevent.Server, n.Name)
	}
	t.cancel = e.request.Upstream.Start(Attempt{Request: e.request, Number: len(e.attempts) - 1, Server: n, DeadlineMs: deadline,
		StartDeadlineMs: begin, Authorizer: c.authorizer})
}

func (c *Manager) finish(id scheduler.RequestID, a Response) {
	if e := c.requests[id]; e != nil && !e.done {
		c.respond(e, a)
		c.releaseIfDone(e)
	}
}

var responseCounters = [...]string{"answers_served", "answers_refused", "answers_failed"}

// reasonCounters are the names of the counters of refused and failed answers by reason.
var reasonCounters = func() (names [len(responseCounters)][scheduler.ReasonCount]string) {
	for v, verdict := range responseCounters {
		for r := range names[v] {
			names[v][r] = verdict + "_" + scheduler.Reason(r).String()
		}
	}
	return names
}()

// respond gives the one final answer.
func (c *Manager) respond(e *requestState, a Response) {
	e.done = true
	c.environment.Count(responseCounters[a.Kind])
	if a.Kind == Rejected || a.Kind == Failed {
		c.environment.Count(reasonCounters[a.Kind][a.Reason])
	}
	if c.traceRequests {
		c.environment.Trace(logevent.RequestAnswered, logevent.Request, e.request.ClientID, "id", e.request.id, "verdict", responseCounters[a.Kind], logevent.Reason, a.Reason.String())
	}
	a.Shard = -1
	for _, t := range e.attempts {
		if !t.neverExecuted && !a.MayHaveExecuted { // the first in time: the window in which repeats are dropped begins there
			a.MayHaveExecuted, a.FirstAttemptMs, a.Shard = true, t.sentMs, t.server.Shard
		}
	}
	e.request.Respond(a)
}

// releaseIfDone forgets a request that is answered and has no attempt out.
func (c *Manager) releaseIfDone(e *requestState) {
	if e.done && e.inFlight == 0 {
		delete(c.requests, e.request.id)
		delete(c.requestsByClientID, e.request.ClientID)
	}
}
