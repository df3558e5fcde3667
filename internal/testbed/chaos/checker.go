package chaos

import (
	"fmt"
	"slices"
	"time"

	"gaugerelay/internal/testbed/process"
)

// stallLookback is how long before a late attempt a stall of the machine excuses it.
const stallLookback = 200 * time.Millisecond

// checker checks the invariants on what a run has recorded. All its clients and faults must have ended.
type checker struct {
	*harness
	result   *Result
	changes  []change              // of the endpoint list
	requests map[string]*request   // by ID
	arrivals map[string][]*arrival // by request ID
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
	}
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

// stalled reports whether the machine stalled between two times: the gateway is not to blame for what is late then.
func (c *checker) stalled(from, to time.Time) bool { return process.AnyOverlaps(c.stalls, from, to) }

// interrupted reports whether the gateway's process was killed or paused between two times.
func (c *checker) interrupted(gateway int, from, to time.Time) bool {
	g := c.gateways[gateway]
	return process.AnyOverlaps(g.kills, from, to) || process.AnyOverlaps(g.pauses, from, to)
}

// terminating reports whether the gateway was shutting down, or not ready again, between two times.
func (c *checker) terminating(gateway int, from, to time.Time) bool {
	return process.AnyOverlaps(c.gateways[gateway].terminations, from, to)
}

// checkDrain checks that no attempt begins at a server later than the grace after its gateway was notified that the
// server drains or is removed.
func (c *checker) checkDrain(a *arrival) {
	if a.gateway < 0 {
		return
	}
	start := c.processStart(a.gateway, a.firstByteAt)
	for index, listed := range c.changes {
		if listed.server != a.server || listed.state == process.EndpointReady {
			continue
		}
		notifiedAt := c.discovery.notifiedAt(a.gateway, start, index)
		if notifiedAt.IsZero() {
			continue
		}
		age := a.firstByteAt.Sub(notifiedAt)
		if age > drainGrace+socketSlack && !c.stalled(a.firstByteAt.Add(-stallLookback), a.firstByteAt) {
			c.result.addViolation(&c.result.SentAfterDrain,
				"%s n%d sent %s to %s %v after it was notified that it drains (published at %s, gateway started at %s)",
				c.seconds(a.firstByteAt), a.gateway, a.id, a.server.name, age.Round(time.Millisecond), c.seconds(listed.at), c.seconds(start))
		}
		return // the first change of which it was notified counts
	}
}

// checkSlowStart checks that a server which has started recently gets no more than its slow start allows in any
// overloadWindow. Only attempts of gateways that were notified of the start count.
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
		c.result.addViolation(&c.result.SlowStartExceeded, "%s %s, started at %s, got %.2f of what its slow start allows", c.seconds(worstAt),
			s.name, c.seconds(s.startedAt), worst)
	}
}

// arrivalsInSlowStart returns the attempts during the slow start of a server whose gateways were notified of its start,
// in the order of their first bytes.
func (c *checker) arrivalsInSlowStart(s *server, arrivals []*arrival) (counted []*arrival) {
	index := slices.IndexFunc(c.changes, func(listed change) bool { return listed.server == s })
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

// checkCanceled checks that no attempt begins for a client that has closed its connection.
func (c *checker) checkCanceled(r *request, arrivals []*arrival) {
	if r.closedAt.IsZero() {
		return
	}
	for _, a := range arrivals {
		if age := a.firstByteAt.Sub(r.closedAt); age > cancelSlack && !c.stalled(r.closedAt, a.firstByteAt) {
			c.result.addViolation(&c.result.Lost, "%s %s began at %s %v after its client had closed the connection", c.seconds(a.firstByteAt),
				r.id, a.server.name, age.Round(time.Millisecond))
		}
	}
}

// checkDeadline checks that no attempt states more time to the server than the client has left.
func (c *checker) checkDeadline(r *request, arrivals []*arrival) {
	for _, a := range arrivals {
		if r.sentAt.IsZero() || a.lastByteAt.IsZero() {
			continue
		}
		left := r.deadline - a.firstByteAt.Sub(r.sentAt)
		if excess := a.timeLeft - left; excess > deadlineSlack && !c.stalled(r.sentAt, a.firstByteAt) {
			c.result.addViolation(&c.result.DeadlineExtended, "%s %s stated %v to %s, %v more than the client had left", c.seconds(a.firstByteAt),
				r.id, a.timeLeft, a.server.name, excess.Round(time.Millisecond))
		}
	}
}

// checkDuplicates checks that a request which is not idempotent is executed once, and one with a key once in each
// deduplication scope and window.
func (c *checker) checkDuplicates(r *request, arrivals []*arrival) {
	if r.class.idempotency == idempotent {
		return
	}
	var first *arrival // that was executed
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
