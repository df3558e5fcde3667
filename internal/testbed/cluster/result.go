package cluster

import "fmt"

// RecoveryBoundMs bounds Result.RecoveryMs. Its parts are the lifetime of outlier reports, the time between two attempts
// at an ejected server, and the time between two counts. A lost datagram would add the age of reports, but no scenario
// that measures the recovery loses any.
const RecoveryBoundMs = 2408.0 + 400 + 400

// Result is what a run has shown.
type Result struct {
	Kills, Pauses, Partitions int
	Stalls                    int // of the whole machine
	Served, Rejected, Failed  int // requests
	ServedUnits               float64
	Datagrams                 int // between gateways

	EjectedSendRate   float64 // highest rate from a gateway at a server that fails for all, in attempts per second
	StaleListSendRate float64 // the same at a draining server of which the gateway's own endpoint list does not say so
	RecoveryMs        float64 // longest time until a server that had failed for all was in use again
	MaxOverLimit      float64 // most units by which a volume exceeded its limit
	AllowedOverLimit  float64 // most units by which the invariant allows a volume to exceed its limit

	// Violations of the invariants, by kind.
	Lost              int // requests without a response though their gateway was running
	DuplicateArrivals int // attempts that repeat a request which is not idempotent
	Crashed           int // gateways that exited unexpectedly
	OverLimit         int // volumes that exceeded their limit by more than AllowedOverLimit
	WrongEjections    int // gateways that stopped sending to a server which served them well

	Violations []string // descriptions
}

// Result returns what has been counted so far.
func (c *Cluster) Result() Result {
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.result
	result.Violations = append([]string(nil), c.result.Violations...)
	result.addLimits(c.platform.limits, limitOverdraft(c.options.HostsPerVolume)+limitRate*limitTimeSlackMs/1000)
	result.DuplicateArrivals = c.platform.duplicates
	if result.DuplicateArrivals > 0 {
		result.Violations = append(result.Violations,
			fmt.Sprintf("%d attempts repeated requests that are not idempotent", result.DuplicateArrivals))
	}
	c.eachLink(func(_, _ int, link *datagramProxy) { result.Datagrams += link.forwardedCount() })
	return result
}

// addLimits checks by how much each volume has exceeded its limit.
func (r *Result) addLimits(limits map[uint64]*tokenBucket, allowed float64) {
	r.AllowedOverLimit = allowed
	for volume, limit := range limits {
		overLimit := -limit.lowest
		r.MaxOverLimit = max(r.MaxOverLimit, overLimit)
		if overLimit > allowed {
			r.OverLimit++
			r.Violations = append(r.Violations,
				fmt.Sprintf("volume %x: %.1f units over its limit, %.1f are allowed", volume, overLimit, allowed))
		}
	}
}
