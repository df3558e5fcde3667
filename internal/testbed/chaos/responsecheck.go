package chaos

import (
	"slices"
	"strings"
	"time"

	"gaugerelay/internal/testbed/process"
)

// checkResponse counts the outcome of a request and checks its response. A served request must have a response that a server sent
// to it. A complete request must not get a status of outcomeInvalid. A request must get its response in time, unless the client
// canceled it or could not connect, the gateway was interrupted, or the machine stalled.
func (c *checker) checkResponse(r *request, arrivals []*arrival) {
	c.countOutcome(r)
	switch r.outcome {
	case outcomeServed:
		if !strings.HasPrefix(r.responseBody, responsePrefix(r.id)) {
			c.result.addViolation(&c.result.Lost, "%s %s was served, but the body %q is not a response of a server to it",
				c.seconds(r.endedAt), r.id, r.responseBody)
		}
	case outcomeRejected:
		c.checkRejected(r, arrivals)
	case outcomeInvalid:
		if !r.incomplete {
			c.result.addViolation(&c.result.Lost, "%s %s got the unexpected status %d with the body %s", c.seconds(r.endedAt), r.id,
				r.status, r.responseBody)
		}
		return
	case outcomeCanceled, outcomeNotConnected, outcomePending:
		return
	}
	if !c.interrupted(r.gateway, r.sentAt.Add(-socketSlack), r.endedAt) && !c.stalled(r.sentAt, r.endedAt) {
		c.checkResponseTime(r, arrivals)
	}
}

func (c *checker) countOutcome(r *request) {
	switch r.outcome {
	case outcomeServed:
		c.result.Served++
	case outcomeRejected:
		c.result.Rejected++
	case outcomeFailed:
		c.result.Failed++
	}
}

// checkRejected checks that no server executed a rejected request. Only requests that are idempotent without a key may have
// been executed.
func (c *checker) checkRejected(r *request, arrivals []*arrival) {
	if r.class.idempotency == idempotent {
		return
	}
	if slices.ContainsFunc(arrivals, func(a *arrival) bool { return a.executed }) {
		c.result.addViolation(&c.result.DuplicateExecutions, "%s %s (%s) was rejected, but a server may have executed it",
			c.seconds(r.endedAt), r.id, r.class.idempotency)
	}
}

// checkResponseTime checks that a request to a running gateway got a response in time. For an incomplete request, it is enough
// that the gateway responded or closed the connection before incompleteTimeout.
func (c *checker) checkResponseTime(r *request, arrivals []*arrival) {
	if r.incomplete {
		if r.outcome == outcomeTimedOut {
			c.result.addViolation(&c.result.Lost, "%s %s was sent incompletely, and the gateway neither responded nor closed the connection",
				c.seconds(r.endedAt), r.id)
		}
		return
	}
	if r.outcome == outcomeTimedOut || r.endedAt.Sub(r.sentAt) > r.deadline+responseSlack {
		c.result.addViolation(&c.result.Lost, "%s %s (%s, deadline %v, to n%d) was sent at %s and got no response in time (status %d)",
			c.seconds(r.endedAt), r.id, r.class.name, r.deadline, r.gateway, c.seconds(r.sentAt), r.status)
		return
	}
	if r.outcome != outcomeDisconnected {
		return
	}
	if len(arrivals) == 0 && c.neverAccepted(r) {
		c.result.NeverAccepted++
		return
	}
	c.result.addViolation(&c.result.Lost,
		"%s %s (%s, to n%d, connection reused: %v) was sent at %s, and its connection ended: %v; number of attempts: %d",
		c.seconds(r.endedAt), r.id, r.class.name, r.gateway, r.connReused, c.seconds(r.sentAt), r.err, len(arrivals))
}

// neverAccepted reports whether the connection of a request may have been closed before the gateway read the request. The caller
// must have checked that no attempt of the request arrived at a server.
func (c *checker) neverAccepted(r *request) bool {
	if r.connReused || r.sentAt.IsZero() {
		return true // the gateway may have closed an idle connection, or the client could not write the request
	}
	// When a gateway that is shutting down stops accepting connections, the operating system resets the established connections
	// that the gateway has not accepted yet. There are two cases. stoppedAccepting is set if a shutdown, including the restart,
	// overlaps the time from acceptTime before the dial to the end of the request, but not the time from 1 ms to acceptTime after
	// the dial. dialedTooLate is set if the client dialed during a shutdown, more than acceptTime after SIGTERM.
	stoppedAccepting := c.terminating(r.gateway, r.dialedAt.Add(-acceptTime), r.endedAt) &&
		!c.terminating(r.gateway, r.dialedAt.Add(time.Millisecond), r.dialedAt.Add(acceptTime))
	dialedTooLate := slices.ContainsFunc(c.gateways[r.gateway].terminations, func(termination process.Interval) bool {
		return termination.Contains(r.dialedAt) && r.dialedAt.Sub(termination.From) > acceptTime
	})
	return stoppedAccepting || dialedTooLate
}
