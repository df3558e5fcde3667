package cluster

import "fmt"

// RecoveryBoundMs is the largest Result.RecoveryMs that is not a violation in a run without a TimeScale. It is the sum of three
// durations: how long after the last failure a gateway may still report a server as failing
// (outlier.Settings.FailureDecayBoundMs), the time between two attempts at an ejected server, and recoveryCheckInterval. If a
// datagram were lost, a report could stay in effect for longer, up to the age at which reports are ignored, but scenarios that
// measure the recovery lose no datagrams.
const RecoveryBoundMs = 2408.0 + 400 + 400

// Result holds the counts and the violations of a run.
type Result struct {
	Kills, Pauses, Partitions int
	Stalls                    int // stalls of the whole machine
	Served, Rejected, Failed  int // requests, by outcome
	ServedUnits               float64
	Datagrams                 int // datagrams forwarded between gateways

	EjectedSendRate   float64 // highest rate of attempts, per second, from one gateway to a server that fails for all gateways
	StaleListSendRate float64 // highest rate of requests, per second, from a gateway to a draining server that the gateway's own list calls ready
	RecoveryMs        float64 // longest time until a server that had failed for all gateways was used again
	MaxOverLimit      float64 // most units by which any volume exceeded its limit
	AllowedOverLimit  float64 // most units by which the invariant allows a volume to exceed its limit

	// Violations of the invariants, by kind.
	Lost              int // requests without a response although their gateway was running
	DuplicateArrivals int // attempts of requests that had already arrived at a server; not allowed, because no request is idempotent
	Crashed           int // gateways that exited unexpectedly
	OverLimit         int // volumes that exceeded their limits by more than AllowedOverLimit
	WrongEjections    int // gateways that nearly stopped sending to a server that served them without errors

	Violations []string // descriptions of all violations
}

// Result returns the counts and the violations so far.
func (c *Cluster) Result() Result {
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.result
	result.Violations = append([]string(nil), c.result.Violations...)
	result.checkLimits(c.platform.limits, limitOverdraft(c.options.HostsPerVolume)+limitRate*limitTimeSlackMs/1000)
	result.DuplicateArrivals = c.platform.duplicates
	if result.DuplicateArrivals > 0 {
		result.Violations = append(result.Violations,
			fmt.Sprintf("%d attempts repeated a request that is not idempotent", result.DuplicateArrivals))
	}
	c.eachLink(func(_, _ int, link *datagramProxy) { result.Datagrams += link.forwardedCount() })
	return result
}

// checkLimits records by how much the volumes exceeded their limits, and a violation for each that exceeded its limit by
// more than the allowed units.
func (r *Result) checkLimits(limits map[uint64]*tokenBucket, allowed float64) {
	r.AllowedOverLimit = allowed
	for volume, limit := range limits {
		overLimit := -limit.lowest
		r.MaxOverLimit = max(r.MaxOverLimit, overLimit)
		if overLimit > allowed {
			r.OverLimit++
			r.Violations = append(r.Violations,
				fmt.Sprintf("volume %x: %.1f units over its limit, want at most %.1f", volume, overLimit, allowed))
		}
	}
}
