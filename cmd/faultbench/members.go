package main

import (
	"fmt"

	"gaugerelay/internal/testbed/membershipsim"
)

// Parameters of the simulated fleets.
const (
	minDelayMs   = 1  // shortest delay of a datagram
	jitterMs     = 12 // range of the random part of the delay
	failureCount = 5  // number of gateways that fail in each run
	// fullDurationSize is the size of the largest fleet that is simulated for the full duration. For larger fleets
	// the duration is multiplied by fullDurationSize/size, since simulating 10 s of 1,000 gateways takes a minute.
	fullDurationSize = 200
)

var (
	fleetSizes = []int{3, 10, 100, 1000}
	lossRates  = []float64{0, 0.05, 0.2}
)

// membersCmd holds the flags of the subcommand members.
type membersCmd struct {
	Seed    uint64  `default:"1" help:"Seed of datagram losses, delays and failures."`
	Seconds float64 `default:"60" help:"Simulated time of each fleet, in seconds; less for large fleets."`
	Most    int     `default:"1000" help:"Size of the largest fleet."`
}

// Run simulates membership in fleets of several sizes. It returns an error if the failure of a gateway was not detected
// within membership.Settings.DetectionBoundMs.
func (c *membersCmd) Run() error {
	falseDeaths, undetected := 0, 0
	for _, size := range fleetSizes {
		if size > c.Most {
			continue
		}
		for _, lossRate := range lossRates {
			durationMs := c.Seconds * 1000 * min(1, fullDurationSize/float64(size))
			report := membershipsim.Measure(membershipsim.Options{MemberCount: size, LossRate: lossRate, MinDelayMs: minDelayMs,
				JitterMs: jitterMs, Seed: c.Seed}, durationMs, failureCount)
			fmt.Printf("%4d gateways, %2.0f %% lost: %v\n", size, 100*lossRate, report)
			falseDeaths, undetected = falseDeaths+report.FalseDeaths, undetected+report.Undetected
		}
	}
	fmt.Printf("unknown=%d false=%d\n", undetected, falseDeaths)
	if undetected > 0 {
		return fmt.Errorf("%d failures were not detected within the bound", undetected)
	}
	return nil
}
