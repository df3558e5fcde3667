package main

import (
	"fmt"

	"gaugerelay/internal/testbed/membershipsim"
)

type membersCmd struct {
	Seed    uint64  `default:"1" help:"What is drawn."`
	Seconds float64 `default:"60" help:"How long each fleet is played, on its own clock."`
	Most    int     `default:"1000" help:"The largest fleet."`
}

// Run plays the fleets; a death that is not known within the bound makes it fail.
func (c *membersCmd) Run() error {
	wrong, unknown := 0, 0
	for _, n := range []int{3, 10, 100, 1000} {
		if n > c.Most {
			continue
		}
		for _, loss := range []float64{0, 0.05, 0.2} {
			ms := c.Seconds * 1000 * min(1, 200/float64(n)) // a thousand take a minute of the machine's time for each 10 s
			rep := membershipsim.Measure(membershipsim.Options{MemberCount: n, LossRate: loss, MinDelayMs: 1, JitterMs: 12, Seed: c.Seed}, ms, 5)
			fmt.Printf("%4d gateways, %2.0f %% lost: %v\n", n, 100*loss, rep)
			wrong, unknown = wrong+rep.FalseDeaths, unknown+rep.Undetected
		}
	}
	fmt.Printf("unknown=%d false=%d\n", unknown, wrong)
	if unknown > 0 {
		return fmt.Errorf("%d deaths were not known within the bound", unknown)
	}
	return nil
}
