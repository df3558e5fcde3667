package chaos

import "gaugerelay/internal/testbed/overload"

// missingBesideFlood is a request to a gateway that was being flooded, without a response in time.
type missingBesideFlood struct {
	overload.MissingResponse
	gateway int
}

// checkBesideFloods checks that requests beside floods got their responses in time, unless the gateway was interrupted or shut down, or the
// machine stalled. A request that could not be written was not taken.
func (c *checker) checkBesideFloods() {
	c.result.Requests += c.besideFloods
	for _, missing := range c.missingBesideFloods {
		from := missing.StartedAt.Add(-socketSlack)
		excused := missing.WrittenAt.IsZero() || c.interrupted(missing.gateway, from, missing.EndedAt) || c.stalled(from, missing.EndedAt) ||
			c.terminating(missing.gateway, missing.StartedAt.Add(-acceptTime), missing.EndedAt)
		if excused {
			continue
		}
		c.result.addViolation(&c.result.Lost, "%s %s was sent to n%d at %s beside a flood and got no response within %v of its time",
			c.seconds(missing.EndedAt), missing.ID, missing.gateway, c.seconds(missing.StartedAt), responseSlack)
	}
}
