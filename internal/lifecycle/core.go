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

type attempt struct {
	node   *Node
	sentMs float64
	cancel func()
	ended  bool
	unrun  bool // it has ended and never ran
}

type entry struct {
	req      *Request
	expiryMs float64
	answered bool
	tries    []*attempt
	out      int
}

// Core is the state of one gateway.
type Core struct {
	policy Policy
	out    Outside
	desk   Desk
	fleet  Fleet
	// For the fleet: whether the list has changed since it was told, and what is gone since then.
	relisted bool
	gone     []*Node
	events   []scheduler.Event
	open     map[scheduler.RequestID]*entry
	byName   map[string]*entry // of open, those that have a ClientID
	nodes    map[scheduler.ServerID]*Node
	ids      map[string]scheduler.ServerID
	lastID   scheduler.RequestID
	lastNo   scheduler.ServerID
	listed   bool
	wakeAt   time.Duration // as last asked for
	woken    bool
	traced   bool // single requests and attempts are logged
	gate     *Gate
	lease    *endpointlease.Lease // nil: the list may be used without a bound
}

// New returns a core round a module.
func New(p Policy, out Outside) *Core {
	return &Core{policy: p, out: out, gate: NewGate(), open: map[scheduler.RequestID]*entry{}, byName: map[string]*entry{},
		nodes: map[scheduler.ServerID]*Node{}, ids: map[string]scheduler.ServerID{}}
}

// TraceOn makes the core log the life of each request. It is called before the first of them.
func (c *Core) TraceOn() { c.traced = true }

// SetLease bounds the time for which a list is used that is not refreshed. It is called before the first list.
func (c *Core) SetLease(l *endpointlease.Lease) { c.lease = l }

// Gate is what all attempts pass before their first byte.
func (c *Core) Gate() *Gate { return c.gate }

// SetDesk gives the core the desk for the requests of devices. It is called before the first of them.
func (c *Core) SetDesk(d Desk) { c.desk = d }

// Desk is what SetDesk gave.
func (c *Core) Desk() Desk { return c.desk }

// SetFleet gives the core what speaks with other gateways. It is called before the first step.
func (c *Core) SetFleet(f Fleet) { c.fleet = f }

// Open is the number of requests not yet answered.
func (c *Core) Open() (n int) {
	for _, e := range c.open {
		if !e.answered {
			n++
		}
	}
	return n
}

// Known is the number of nodes that are not gone.
func (c *Core) Known() int { return len(c.ids) }

// Ready tells whether a node list is held. An empty one from before the start does not count.
func (c *Core) Ready() bool { return c.listed }

// Take hands a client's request in.
func (c *Core) Take(nowMs float64, r *Request) {
	if r.left.Load() { // else Gone is still to come, and is counted then
		return
	}
	if r.Device != nil && c.desk != nil {
		c.desk.Offer(nowMs, r)
		return
	}
	if r.ClientID != "" && c.byName[r.ClientID] != nil {
		// Nodes tell requests by this name. The other one's client must get the answer to its own.
		c.out.Count("requests_duplicate")
		r.Reply(Answer{Verdict: Rejected})
		return
	}
	for c.lastID++; c.open[c.lastID] != nil; c.lastID++ { // after 2^32 requests ids come round
	}
	r.id = c.lastID
	e := &entry{req: r, expiryMs: nowMs + r.LeftMs}
	c.open[r.id] = e
	if r.ClientID != "" {
		c.byName[r.ClientID] = e
	}
	c.out.Count("requests_taken")
	if c.traced {
		c.out.Trace(logevent.RequestTaken, logevent.Request, r.ClientID, "id", r.id, "class", r.Class, "shard", r.Shard, "left_ms", r.LeftMs)
	}
	c.events = append(c.events, scheduler.RequestArrived{ID: r.id, Class: r.Class, Plan: r.Plan,
		Volume: scheduler.VolumeID(r.Volume), Key: r.Key, TTL: clock.Duration(r.LeftMs), ClientDelay: clock.Duration(r.CameMs),
		Units: r.Units, Shard: r.Shard, Gateways: r.Hosts, IsRetry: r.Repeat, IsFirstAttempt: r.Fresh})
}

// Gone tells that a request's client has gone away: it gets no answer any more.
func (c *Core) Gone(nowMs float64, r *Request) {
	r.Leave()
	if r.Device != nil && c.desk != nil {
		c.desk.Gone(nowMs, r)
		return
	}
	e := c.open[r.id]
	if e == nil || e.req != r || e.answered {
		return
	}
	e.answered = true
	c.out.Count("requests_dropped")
	if c.traced {
		c.out.Trace(logevent.RequestDropped, logevent.Request, r.ClientID, "id", r.id)
	}
	c.events = append(c.events, scheduler.RequestCanceled{ID: r.id})
	c.settle(e)
}

// Finish tells how an attempt ended. A second end of the same attempt is ignored.
func (c *Core) Finish(nowMs float64, r *Request, n int, res Result) {
	e := c.open[r.id]
	if e == nil || e.req != r || n < 0 || n >= len(e.tries) || e.tries[n].ended {
		return
	}
	t := e.tries[n]
	t.ended = true
	t.unrun = res.Status == scheduler.StatusOverloaded || res.Status == scheduler.StatusConnectFailed || res.Status == scheduler.StatusNotSent
	e.out--
	c.out.Count("attempts_" + statusNames[res.Status])
	if c.traced {
		c.out.Trace(logevent.AttemptEnded, logevent.Request, r.ClientID, "id", r.id, logevent.Attempt, n, logevent.Server, t.node.Name,
			logevent.Status, statusNames[res.Status], logevent.TookMs, nowMs-t.sentMs)
	}
	if c.fleet != nil {
		c.fleet.Ended(nowMs, t.node, res.Status, nowMs-t.sentMs)
	}
	if res.Status == scheduler.StatusOK && !e.answered { // the first answer of a node goes to the client as it is
		c.answer(e, Answer{Verdict: Served, Result: res.Body})
	}
	c.events = append(c.events, scheduler.AttemptEnded{ID: r.id, Attempt: n, Server: t.node.known, Status: res.Status,
		Latency: clock.Duration(nowMs - t.sentMs), RequestDone: e.answered, VolumeUsage: res.Use, HasVolumeUsage: res.HasUse,
		ForeignUnits: res.ForeignUnits, LoadReport: res.Report})
	c.settle(e)
}

var statusNames = [...]string{"ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

// Probed tells what a probe found.
func (c *Core) Probed(n *Node, latencyMs float64, s scheduler.Status, report []float64) {
	c.events = append(c.events, scheduler.ProbeEnded{Server: n.known, Status: s,
		Latency: clock.Duration(latencyMs), LoadReport: report})
}

// renew renews the lease on the list by what has come of discovery.
func (c *Core) renew(l List) {
	if c.lease == nil {
		return
	}
	if l.TookMs > 0 {
		c.lease.RecordCallLatency(l.TookMs)
	}
	switch {
	case l.Scope == scheduler.Delta || l.Scope == scheduler.Snapshot || l.Scope == scheduler.Heartbeat:
		c.lease.Renew(l.AtMs)
	case l.Scope == scheduler.WatchFailed && l.Failure == Unreachable:
		c.lease.RecordUnreachable(l.AtMs)
	case l.Scope == scheduler.WatchFailed && l.Failure == TurnedAway:
		c.lease.RecordRejection(l.AtMs)
	}
	c.gate.SetListUntil(c.lease.ExpiresAtMs())
}

// listUntil is when the list may no longer be used, for the module; 0: there is no such time.
func (c *Core) listUntil() time.Duration {
	if c.lease == nil {
		return 0
	}
	return clock.Duration(c.lease.ExpiresAtMs())
}

// Nodes brings news of the node list.
func (c *Core) Nodes(l List) {
	c.renew(l)
	ev := scheduler.EndpointUpdate{Version: l.Version, Kind: l.Scope, ValidUntil: c.listUntil()}
	listed := map[scheduler.ServerID]bool{}
	for _, n := range l.Nodes {
		id := c.ids[n.Name]
		if id == 0 {
			if n.State == scheduler.Removed {
				continue // nothing is known of it, and nothing will be
			}
			c.lastNo++
			id = c.lastNo
			c.ids[n.Name] = id
		}
		n.known = id
		listed[id] = true
		n.closed = &atomic.Bool{}
		if old := c.nodes[id]; old != nil {
			if old.Addr == n.Addr && !old.Closed() {
				n.closed = old.closed
			} else {
				old.closed.Store(true) // moved
			}
		}
		n.closed.Store(n.State != scheduler.Ready)
		c.nodes[id] = n
		ev.Servers = append(ev.Servers, scheduler.Server{ID: id, State: n.State, Shard: n.Shard, Kind: n.Kind, Zone: n.Zone,
			StartedAt: clock.Duration(n.StartedMs), Size: n.Weight})
		if n.State == scheduler.Removed {
			c.forget(n)
		}
	}
	if l.Scope == scheduler.Snapshot || l.Scope == scheduler.CachedSnapshot {
		for id, n := range c.nodes {
			if !listed[id] {
				n.closed.Store(true)
				c.forget(n)
			}
		}
	}
	if l.Scope < scheduler.WatchFailed && (l.Scope != scheduler.CachedSnapshot || len(l.Nodes) > 0) {
		c.listed = true
	}
	c.events = append(c.events, ev)
	c.relisted = true
}

// forget drops a node that is gone: every one that replaces another has a name of its own, and on a long day there
// are many. Attempts keep theirs as long as they need it.
func (c *Core) forget(n *Node) {
	delete(c.nodes, n.known)
	delete(c.ids, n.Name)
	if c.fleet != nil {
		c.gone = append(c.gone, n)
	}
}

// Ending tells that the gateway ends, and by when all that is open must have been answered: also what was taken
// before anyone knew, and may wait for longer than the platform leaves the program.
func (c *Core) Ending(atMs float64) {
	c.events = append(c.events, scheduler.ShutdownStarted{Deadline: clock.Duration(atMs)})
}

// Wake tells that a time asked for with Outside.WakeAt has come.
func (c *Core) Wake() {
	c.woken = true
	c.events = append(c.events, scheduler.TimerFired{})
}

// roundOff is more than what a time loses on its way to a timer and back as float64 milliseconds since the epoch.
const roundOff = time.Microsecond

// now is the time of a step. A wake that comes for the time asked for never comes before it: seen a few hundred
// nanoseconds early, for want of digits, it would be none to the module, which waits for that time and asks for no
// other. Nothing would wake it any more, and what is held would stay until something else happens.
func (c *Core) now(ms float64) time.Duration {
	now := clock.Duration(ms)
	if c.woken && now < c.wakeAt && c.wakeAt-now < roundOff {
		now = c.wakeAt
	}
	c.woken = false
	return now
}

// Step lets the module decide on all that came in since the last one, and carries it out.
func (c *Core) Step(nowMs float64) {
	if c.fleet != nil {
		if c.relisted {
			c.fleet.Listed(nowMs, slices.SortedFunc(maps.Values(c.nodes), func(a, b *Node) int { return cmp.Compare(a.known, b.known) }), c.gone)
			c.relisted, c.gone = false, nil
		}
		c.events = append(c.fleet.Before(nowMs), c.events...)
	}
	if len(c.events) == 0 {
		return
	}
	events := c.events
	c.events = nil
	for _, a := range c.policy.Step(c.now(nowMs), events) {
		switch a := a.(type) {
		case scheduler.Send:
			c.send(nowMs, a)
		case scheduler.Reject:
			c.end(a.ID, Answer{Verdict: Refused, ComeBackMs: clock.Ms(a.RetryAfter), Reason: a.Reason})
		case scheduler.Fail:
			c.end(a.ID, Answer{Verdict: Failed, Reason: a.Reason})
		case scheduler.CancelAttempt:
			if e := c.open[a.ID]; e != nil && a.Attempt >= 0 && a.Attempt < len(e.tries) && !e.tries[a.Attempt].ended {
				e.tries[a.Attempt].cancel()
			}
		case scheduler.WatchEndpoints:
			c.out.Subscribe()
		case scheduler.ProbeServer:
			if n := c.nodes[a.Server]; n != nil {
				c.out.Probe(n)
			}
		case scheduler.QuotaDemand:
			if c.fleet != nil {
				c.fleet.Demand(nowMs, a)
			}
		case scheduler.SetTimer:
			c.wakeAt = a.At
			c.out.WakeAt(clock.Ms(a.At))
		case scheduler.Log:
			c.out.Log(a.Text)
		default:
			c.out.Log(fmt.Sprintf("unknown action %T", a))
		}
	}
}

func (c *Core) send(nowMs float64, a scheduler.Send) {
	e, n := c.open[a.ID], c.nodes[a.Server]
	if e == nil || n == nil {
		c.out.Log(fmt.Sprintf("send of request %d to node %d: not known", a.ID, a.Server))
		return
	}
	deadline := e.expiryMs
	if a.Timeout != 0 {
		deadline = min(deadline, nowMs+clock.Ms(a.Timeout))
	}
	begin := 0.0
	if c.fleet != nil {
		begin = c.fleet.Until(scheduler.VolumeID(e.req.Volume))
	}
	if before := clock.Ms(a.StartDeadline); before != 0 && (begin == 0 || before < begin) {
		begin = before
	}
	t := &attempt{node: n, sentMs: nowMs}
	e.tries = append(e.tries, t)
	e.out++
	c.out.Count("attempts_started")
	if c.traced {
		c.out.Trace(logevent.AttemptStarted, logevent.Request, e.req.ClientID, "id", a.ID, logevent.Attempt, len(e.tries)-1, logevent.Server, n.Name)
	}
	t.cancel = e.req.Carrier.Start(Attempt{Request: e.req, N: len(e.tries) - 1, Node: n, DeadlineMs: deadline,
		BeginMs: begin, Gate: c.gate})
}

func (c *Core) end(id scheduler.RequestID, a Answer) {
	if e := c.open[id]; e != nil && !e.answered {
		c.answer(e, a)
		c.settle(e)
	}
}

var verdictNames = [...]string{"answers_served", "answers_refused", "answers_failed"}

// reasonCounters are the names of the counters of refused and failed answers by reason.
var reasonCounters = func() (names [len(verdictNames)][scheduler.ReasonCount]string) {
	for v, verdict := range verdictNames {
		for r := range names[v] {
			names[v][r] = verdict + "_" + scheduler.Reason(r).String()
		}
	}
	return names
}()

// answer gives the one final answer.
func (c *Core) answer(e *entry, a Answer) {
	e.answered = true
	c.out.Count(verdictNames[a.Verdict])
	if a.Verdict == Refused || a.Verdict == Failed {
		c.out.Count(reasonCounters[a.Verdict][a.Reason])
	}
	if c.traced {
		c.out.Trace(logevent.RequestAnswered, logevent.Request, e.req.ClientID, "id", e.req.id, "verdict", verdictNames[a.Verdict], logevent.Reason, a.Reason.String())
	}
	a.Shard = -1
	for _, t := range e.tries {
		if !t.unrun && !a.Ran { // the first in time: the window in which repeats are dropped begins there
			a.Ran, a.RanMs, a.Shard = true, t.sentMs, t.node.Shard
		}
	}
	e.req.Reply(a)
}

// settle forgets a request that is answered and has no attempt out.
func (c *Core) settle(e *entry) {
	if e.answered && e.out == 0 {
		delete(c.open, e.req.id)
		delete(c.byName, e.req.ClientID)
	}
}
