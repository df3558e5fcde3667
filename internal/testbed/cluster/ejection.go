package cluster

import "time"

const (
	// checkNotEjected compares the requests that a gateway sent to the server of a shard with those to the server of the next shard.
	// It does not check a gateway that sent fewer than minRequestsToCompare requests to the server of the next shard.
	minRequestsToCompare = 20
	// A gateway is considered to have ejected a server if it sent more than ejectedRatio times as many requests to the server of
	// the next shard as to that server.
	ejectedRatio = 4
	// recoveryCheckInterval is the time between two checks whether a server has recovered.
	recoveryCheckInterval = 400 * time.Millisecond
)

// allGateways selects all gateways.
func allGateways(int) bool { return true }

// checkNotEjected checks that no selected gateway has nearly stopped sending requests to the server of a shard while it
// went on sending to the server of the next shard. before holds the request counts at the start of the comparison. The shard
// of a request is uniformly random, so both servers should get about the same number.
func (c *Cluster) checkNotEjected(selected func(gateway int) bool, shard int, before [][]int) {
	now := c.platform.receivedCounts()
	next := (shard + 1) % c.options.Shards
	for gateway := range c.gateways {
		sent, sentToNext := now[gateway][shard]-before[gateway][shard], now[gateway][next]-before[gateway][next]
		if selected(gateway) && sentToNext >= minRequestsToCompare && ejectedRatio*sent < sentToNext {
			c.updateResult(func(result *Result) { result.WrongEjections++ })
			c.addViolation("n%d sent %d requests to a server that serves it without errors, but %d to the server of the next shard",
				gateway, sent, sentToNext)
		}
	}
}

// measureRecovery waits until the gateways use the server of a shard again after it has stopped failing, and records how long
// that took. The server counts as used again if, within one recoveryCheckInterval, all gateways together sent it at least half as
// many requests as the server of the next shard, and at least as many requests as there are gateways. measureRecovery gives up
// after twice RecoveryBoundMs and then records the time that has passed.
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
	// Short runs, with a TimeScale, are also used on busy machines, so they do not check the time.
	if elapsedMs > RecoveryBoundMs && c.options.TimeScale == 0 {
		c.addViolation("a recovered server was used again after %.0f ms, want at most %.0f ms", elapsedMs, RecoveryBoundMs)
	}
}
