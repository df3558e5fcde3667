package chaos

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gaugerelay/internal/testbed/overload"
	"gaugerelay/internal/testbed/process"
)

// stallLookback is how long after its end a stall of the machine still excuses an attempt that begins after the drain grace.
const stallLookback = 200 * time.Millisecond

// checker checks the invariants against the records of a run, whose clients and faults must have ended.
type checker struct {
	*harness
	result   *Result
	changes  []change              // all changes of the endpoint list
	requests map[string]*request   // requests by ID
	arrivals map[string][]*arrival // arrived attempts by ID of their request

	// Requests to gateways while a crowd held connections, and those of them that got no response.
	besideCrowds, keptOut int
}

func newChecker(h *harness, result *Result) *checker {
	c := &checker{harness: h, result: result, changes: h.discovery.publishedChanges(), requests: map[string]*request{},
		arrivals: map[string][]*arrival{}}
	for _, clients := range h.clients {
		for _, r := range clients.requests {
			c.requests[r.id] = r
		}
	}
	return c
}

// check applies all invariants and adds the violations to the result.
func (c *checker) check() {
	for _, s := range c.servers {
		arrivals := s.recordedArrivals()
		for _, a := range arrivals {
			c.arrivals[a.id] = append(c.arrivals[a.id], a)
			c.checkDrain(a)
			c.checkNeverExecuted(a)
		}
		c.checkSlowStart(s, arrivals)
	}
	for id, r := range c.requests {
		c.result.Requests++
		arrivals := c.arrivals[id]
		sortByFirstByte(arrivals)
		c.checkResponse(r, arrivals)
		c.checkCanceled(r, arrivals)
		c.checkDeadline(r, arrivals)
		c.checkDuplicates(r, arrivals)
		c.countBesideCrowd(r)
	}
	c.checkBesideFloods()
	c.checkKeptOut()
}

func sortByFirstByte(arrivals []*arrival) {
	slices.SortFunc(arrivals, func(a, b *arrival) int { return a.firstByteAt.Compare(b.firstByteAt) })
}

// seconds formats a time in seconds since the start of the run, as the log does.
func (c *checker) seconds(t time.Time) string {
	return fmt.Sprintf("%.3f", t.Sub(c.startedAt).Seconds())
}

// processStart returns the start of the gateway process that was running at a time.
func (c *checker) processStart(gateway int, at time.Time) (start time.Time) {
	for _, s := range c.gateways[gateway].starts {
		if !s.After(at) {
			start = s
		}
	}
	return start
}

// stalled reports whether the machine stalled at any time between from and to. The gateway is not to blame for events that
// are late because of a stall.
func (c *checker) stalled(from, to time.Time) bool { return process.AnyOverlaps(c.stalls, from, to) }

// interrupted reports whether, at any time between from and to, the gateway's process was paused, or killed and not yet ready
// again.
func (c *checker) interrupted(gateway int, from, to time.Time) bool {
	g := c.gateways[gateway]
	return process.AnyOverlaps(g.kills, from, to) || process.AnyOverlaps(g.pauses, from, to)
}

// terminating reports whether, at any time between from and to, the gateway was shutting down or not yet ready again.
func (c *checker) terminating(gateway int, from, to time.Time) bool {
	return process.AnyOverlaps(c.gateways[gateway].terminations, from, to)
}

// checkDrain checks that an attempt did not begin later than drainGrace after its gateway was notified that the server
// drains or is removed.
func (c *checker) checkDrain(a *arrival) {
	if a.gateway < 0 {
		return
	}
	start := c.processStart(a.gateway, a.firstByteAt)
	for index, published := range c.changes {
		if published.server != a.server || published.state == process.EndpointReady {
			continue
		}
		notifiedAt := c.discovery.notifiedAt(a.gateway, start, index)
		if notifiedAt.IsZero() {
			continue
		}
		age := a.firstByteAt.Sub(notifiedAt)
		if age > drainGrace+socketSlack && !c.stalled(a.firstByteAt.Add(-stallLookback), a.firstByteAt) {
			c.result.addViolation(&c.result.SentAfterDrain,
				"%s n%d sent %s to %s %v after it was notified that the server drains or is removed (published at %s, gateway started at %s)",
				c.seconds(a.firstByteAt), a.gateway, a.id, a.server.name, age.Round(time.Millisecond), c.seconds(published.at), c.seconds(start))
		}
		return // only the first change that the gateway was notified of is checked
	}
}

// checkNeverExecuted checks that an attempt is not of a request that the gateway must reject.
func (c *checker) checkNeverExecuted(a *arrival) {
	if strings.HasPrefix(a.id, overload.NeverExecutedPrefix) {
		c.result.addViolation(&c.result.DuplicateExecutions, "%s %s, whose body was ambiguous or which was hidden in such a body, was sent to %s",
			c.seconds(a.firstByteAt), a.id, a.server.name)
	}
}

// checkSlowStart checks the load of a server that was started during the run: within each overloadWindow of its slow start, it
// may get as much load as slowStartBound allows. Only attempts of gateways that had been notified of the start are counted.
func (c *checker) checkSlowStart(s *server, arrivals []*arrival) {
	if s.startedAt.IsZero() {
		return
	}
	counted := c.arrivalsInSlowStart(s, arrivals)
	windowStart, load, worst := 0, 0.0, 0.0
	var worstAt time.Time
	for _, a := range counted {
		load += a.units / meanUnits
		for a.firstByteAt.Sub(counted[windowStart].firstByteAt) >= overloadWindow {
			load -= counted[windowStart].units / meanUnits
			windowStart++
		}
		if relative := load / slowStartBound(a.firstByteAt.Sub(s.startedAt)); relative > worst {
			worst, worstAt = relative, a.firstByteAt
		}
	}
	if worst > 1 {
		c.result.addViolation(&c.result.SlowStartExceeded, "%s %s, started at %s, got %.2f times the load that its slow start allows",
			c.seconds(worstAt), s.name, c.seconds(s.startedAt), worst)
	}
}

// arrivalsInSlowStart returns the attempts that arrived during the slow start of a server from gateways that had been
// notified of its start, in the order of their first bytes.
func (c *checker) arrivalsInSlowStart(s *server, arrivals []*arrival) (counted []*arrival) {
	index := slices.IndexFunc(c.changes, func(published change) bool { return published.server == s })
	for _, a := range arrivals {
		if a.gateway < 0 || a.firstByteAt.Sub(s.startedAt) > slowStartDuration {
			continue
		}
		notifiedAt := c.discovery.notifiedAt(a.gateway, c.processStart(a.gateway, a.firstByteAt), index)
		if !notifiedAt.IsZero() && !notifiedAt.After(a.firstByteAt) {
			counted = append(counted, a)
		}
	}
	sortByFirstByte(counted)
	return counted
}

// checkCanceled checks that no attempt of a request begins more than cancelSlack after the client has closed the connection.
func (c *checker) checkCanceled(r *request, arrivals []*arrival) {
	if r.closedAt.IsZero() {
		return
	}
	for _, a := range arrivals {
		if age := a.firstByteAt.Sub(r.closedAt); age > cancelSlack && !c.stalled(r.closedAt, a.firstByteAt) {
			c.result.addViolation(&c.result.Lost, "%s attempt of %s began at %s %v after its client had closed the connection",
				c.seconds(a.firstByteAt), r.id, a.server.name, age.Round(time.Millisecond))
		}
	}
}

// checkDeadline checks that no attempt states a remaining time to the server that exceeds what the client has left by more
// than deadlineSlack.
func (c *checker) checkDeadline(r *request, arrivals []*arrival) {
	for _, a := range arrivals {
		if r.sentAt.IsZero() || a.lastByteAt.IsZero() {
			continue
		}
		remaining := r.deadline - a.firstByteAt.Sub(r.sentAt)
		if excess := a.remainingTime - remaining; excess > deadlineSlack && !c.stalled(r.sentAt, a.firstByteAt) {
			c.result.addViolation(&c.result.DeadlineExtended,
				"%s attempt of %s (connection reused: %v) stated a remaining time of %v to %s, %v more than the client had left",
				c.seconds(a.firstByteAt), r.id, r.connReused, a.remainingTime, a.server.name, excess.Round(time.Millisecond))
		}
	}
}

// checkDuplicates checks that a request that is not idempotent was executed at most once. A request with a key may be executed
// again, but only at the shard of its first execution, which is its deduplication scope, and at most dedupWindow (plus
// socketSlack) after that execution. Each attempt that a server received completely and did not reject is taken as executed.
func (c *checker) checkDuplicates(r *request, arrivals []*arrival) {
	if r.class.idempotency == idempotent {
		return
	}
	var first *arrival // the first executed attempt
	for _, a := range arrivals {
		if !a.executed {
			continue
		}
		if first == nil {
			first = a
			continue
		}
		deduplicated := r.class.idempotency == idempotentWithKey && a.server.shard == first.server.shard &&
			a.lastByteAt.Sub(first.lastByteAt) <= dedupWindow+socketSlack
		if !deduplicated {
			c.result.addViolation(&c.result.DuplicateExecutions, "%s %s (%s) was executed at %s, then at %s", c.seconds(a.lastByteAt), r.id,
				r.class.idempotency, first.server.name, a.server.name)
		}
	}
}
