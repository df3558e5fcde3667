package chaos

import (
	"slices"
	"strings"
	"time"

	"gaugerelay/internal/testbed/process"
)

// checkResponse counts the outcome of a request and checks that each request which a gateway has accepted gets its
// final response, and one that was served gets it from a server.
func (c *checker) checkResponse(r *request, arrivals []*arrival) {
	c.countOutcome(r)
	switch r.outcome {
	case outcomeServed:
		if !strings.HasPrefix(r.responseBody, responsePrefix(r.id)) {
			c.result.addViolation(&c.result.Lost, "%s %s was served with %q", c.seconds(r.endedAt), r.id, r.responseBody)
		}
	case outcomeRejected:
		c.checkRejected(r, arrivals)
	case outcomeInvalid:
		if !r.incomplete {
			c.result.addViolation(&c.result.Lost, "%s %s got %d: %s", c.seconds(r.endedAt), r.id, r.status, r.responseBody)
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

// checkRejected checks that a rejected request was not executed, unless it is idempotent.
func (c *checker) checkRejected(r *request, arrivals []*arrival) {
	if r.class.idempotency == idempotent {
		return
	}
	if slices.ContainsFunc(arrivals, func(a *arrival) bool { return a.executed }) {
		c.result.addViolation(&c.result.DuplicateExecutions, "%s %s (%s) was rejected, though it may have been executed", c.seconds(r.endedAt),
			r.id, r.class.idempotency)
	}
}

// checkResponseTime checks that a request which was sent to a running gateway has ended in time and with a response.
func (c *checker) checkResponseTime(r *request, arrivals []*arrival) {
	if r.incomplete { // the gateway has to end it, with a response or without
		if r.outcome == outcomeTimedOut {
			c.result.addViolation(&c.result.Lost, "%s %s was sent incompletely and never ended", c.seconds(r.endedAt), r.id)
		}
		return
	}
	if r.outcome == outcomeTimedOut || r.endedAt.Sub(r.sentAt) > r.deadline+responseSlack {
		c.result.addViolation(&c.result.Lost, "%s %s (%s, %v, to n%d) was sent at %s and got no response in time (%d)", c.seconds(r.endedAt),
			r.id, r.class.name, r.deadline, r.gateway, c.seconds(r.sentAt), r.status)
		return
	}
	if r.outcome != outcomeDisconnected {
		return
	}
	if len(arrivals) == 0 && c.neverAccepted(r) {
		c.result.NeverAccepted++
		return
	}
	c.result.addViolation(&c.result.Lost, "%s %s (%s, to n%d, reused %v) was sent at %s and its connection ended: %v; attempts %d",
		c.seconds(r.endedAt), r.id, r.class.name, r.gateway, r.connReused, c.seconds(r.sentAt), r.err, len(arrivals))
}

// neverAccepted reports whether the gateway may have closed the connection before it read a request for which there was
// no attempt.
func (c *checker) neverAccepted(r *request) bool {
	if r.connReused || r.sentAt.IsZero() {
		return true // the request met the end of an idle connection
	}
	// When a gateway that shuts down stops accepting, the system resets connections that it has established meanwhile.
	stoppedAccepting := c.terminating(r.gateway, r.dialedAt.Add(-acceptTime), r.endedAt) &&
		!c.terminating(r.gateway, r.dialedAt.Add(time.Millisecond), r.dialedAt.Add(acceptTime))
	dialedTooLate := slices.ContainsFunc(c.gateways[r.gateway].terminations, func(termination process.Interval) bool {
		return termination.Contains(r.dialedAt) && r.dialedAt.Sub(termination.From) > acceptTime
	})
	return stoppedAccepting || dialedTooLate
}
