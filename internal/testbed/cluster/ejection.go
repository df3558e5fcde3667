package cluster

import "time"

const (
	// minRequestsToCompare is how many requests a gateway must have sent to a server for a comparison with another.
	minRequestsToCompare = 20
	// ejectedRatio bounds the requests to a comparable server relative to those to this one. A gateway that exceeds it counts
	// as having ejected this server.
	ejectedRatio = 4
	// recoveryCheckInterval is the time between two counts that look for the recovery of a server.
	recoveryCheckInterval = 400 * time.Millisecond
)

// allGateways selects all gateways.
func allGateways(int) bool { return true }

// checkNotEjected checks that no selected gateway has nearly stopped sending to the server of a shard since an earlier
// count, while it sent to the next server as before. The shard of a request is random, so both get about as many.
func (c *Cluster) checkNotEjected(selected func(gateway int) bool, shard int, before [][]int) {
	now := c.platform.receivedCounts()
	next := (shard + 1) % c.options.Shards
	for gateway := range c.gateways {
		sent, sentToNext := now[gateway][shard]-before[gateway][shard], now[gateway][next]-before[gateway][next]
		if selected(gateway) && sentToNext >= minRequestsToCompare && ejectedRatio*sent < sentToNext {
			c.updateResult(func(result *Result) { result.WrongEjections++ })
			c.addViolation("n%d sent %d requests to a server that serves it well, %d to the next one", gateway, sent, sentToNext)
		}
	}
}

// measureRecovery waits until the server of a shard, which has stopped failing, gets half as many requests as the next
// one, from all gateways together, and records how long that took. It stops at twice the bound.
func (c *Cluster) measureRecovery(shard int) {
	start, last := time.Now(), c.platform.receivedCounts()
	next := (shard + 1) % c.options.Shards
	for {
		c.waitUnscaled(recoveryCheckInterval)
		now := c.platform.receivedCounts()
		sent, sentToNext := 0, 0
		for gateway := range c.gateways {
			sent += now[gateway][shard] - last[gateway][shard]
			sentToNext += now[gateway][next] - last[gateway][next]
		}
		last = now
		elapsedMs := float64(time.Since(start).Milliseconds())
		if 2*sent >= sentToNext && sent >= len(c.gateways) || elapsedMs > 2*RecoveryBoundMs {
			c.recordRecovery(elapsedMs)
			return
		}
	}
}

func (c *Cluster) recordRecovery(elapsedMs float64) {
	c.updateResult(func(result *Result) { result.RecoveryMs = max(result.RecoveryMs, elapsedMs) })
	// Short runs also take place on busy machines, so they do not judge times.
	if elapsedMs > RecoveryBoundMs && c.options.TimeScale == 0 {
		c.addViolation("a server that works again is used after %.0f ms, bound %.0f", elapsedMs, RecoveryBoundMs)
	}
}
