package main

import (
	"fmt"

	"gaugerelay/internal/testbed/membershipsim"
)

// Figures of the simulated fleets.
const (
	minDelayMs = 1
	jitterMs   = 12
	deathCount = 5 // gateways that fail in each run
	// fullTimeSize is the largest fleet that is simulated for the whole time; the time of larger ones shrinks with their
	// size, since 1,000 gateways take a minute of the machine's time for each 10 s.
	fullTimeSize = 200
)

var (
	fleetSizes = []int{3, 10, 100, 1000}
	lossRates  = []float64{0, 0.05, 0.2}
)

// membersCmd is the subcommand members.
type membersCmd struct {
	Seed    uint64  `default:"1" help:"Seed of losses, delays and failures."`
	Seconds float64 `default:"60" help:"Simulated time of each fleet."`
	Most    int     `default:"1000" help:"Size of the largest fleet."`
}

// Run simulates the fleets. It returns an error if the failure of a gateway was not detected within the bound.
func (c *membersCmd) Run() error {
	falseDeaths, undetected := 0, 0
	for _, size := range fleetSizes {
		if size > c.Most {
			continue
		}
		for _, lossRate := range lossRates {
			durationMs := c.Seconds * 1000 * min(1, fullTimeSize/float64(size))
			report := membershipsim.Measure(membershipsim.Options{MemberCount: size, LossRate: lossRate, MinDelayMs: minDelayMs,
				JitterMs: jitterMs, Seed: c.Seed}, durationMs, deathCount)
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
