package chaos

import (
	"time"

	"gaugerelay/internal/testbed/process"
)

const (
	// maxKeptOutFraction is the part of the requests that may get no response while crowds hold connections.
	maxKeptOutFraction = 0.03
	// minKeptOut is the number of such requests below which their part says nothing.
	minKeptOut = 3
)

// countBesideCrowd counts a request that was sent to a gateway while a crowd held connections, unless something else explains that it gets
// no response. A client that leaves early does not send its request again if a kept connection has been closed.
func (c *checker) countBesideCrowd(r *request) {
	g := c.gateways[r.gateway]
	from := r.dialedAt
	if from.IsZero() {
		from = r.sentAt
	}
	excused := from.IsZero() || r.incomplete || r.cancelAfter > 0 || r.outcome == outcomeCanceled || r.outcome == outcomePending ||
		!process.AnyOverlaps(g.crowds, from, r.endedAt) || c.interrupted(r.gateway, from.Add(-socketSlack), r.endedAt) ||
		c.terminating(r.gateway, from.Add(-acceptTime), r.endedAt) || c.stalled(from, r.endedAt)
	if excused {
		return
	}
	c.besideCrowds++
	if r.status == 0 {
		c.keptOut++
		c.log.Printf("(n%d kept %s out at %s: %v after %v, %v)", r.gateway, r.id, c.seconds(from), r.outcome,
			r.endedAt.Sub(from).Round(time.Millisecond), r.err)
	}
}

// checkKeptOut checks that crowds keep few requests out.
func (c *checker) checkKeptOut() {
	if c.keptOut >= minKeptOut && float64(c.keptOut) > maxKeptOutFraction*float64(c.besideCrowds) {
		c.result.addViolation(&c.result.KeptOut, "%d of %d requests got no response while crowds held connections", c.keptOut, c.besideCrowds)
	}
}
