package main

import (
	"fmt"
	"os"
	"path/filepath"

	"gaugerelay/internal/testbed/chaos"
)

type chaosCmd struct {
	Processes int     `default:"24" help:"How many processes of the gateway."`
	Siblings  int     `default:"0" help:"As many gateways as the settings name; as many as there are if left out."`
	Shards    int     `default:"8" help:"How many shards."`
	Seconds   float64 `default:"60" help:"How long."`
	Seed      uint64  `default:"1" help:"What is drawn; the same seed draws the same faults and traffic."`
	Rate      float64 `default:"12" help:"Requests a second to each gateway."`
	Push      bool    `help:"Lists are pushed by an agent; otherwise asked for."`
	Faults    string  `help:"The kinds of faults, by name, separated by commas; all if left out."`
	Shims     bool    `help:"The program was built with the tag chaos: its system calls fail now and then, its wall clock is off."`
	Debug     bool    `help:"Gateways log each request."`
	Verbose   bool    `help:"Show the logs of all processes where a rule was broken."`
	Binary    string  `help:"The gateway; bin/gaugerelay beside this program if left out."`
}

// Run plays the soak with overlapping faults; what must never be makes it fail.
func (c *chaosCmd) Run() error {
	if c.Binary == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Binary = filepath.Join(filepath.Dir(self), "gaugerelay")
	}
	faults, err := chaos.ParseFaults(c.Faults)
	if err != nil {
		return err
	}
	options := chaos.Options{Binary: c.Binary, Gateways: c.Processes, FleetSize: c.Siblings, Shards: c.Shards, Seconds: c.Seconds,
		Seed: c.Seed, RequestRate: c.Rate, PushDiscovery: c.Push, Faults: faults, FailSystemCalls: c.Shims, DebugLog: c.Debug}
	if c.Verbose {
		options.LogOutput = os.Stdout
	}
	res, err := chaos.Run(options)
	if err != nil {
		return err
	}
	for _, text := range res.Violations {
		fmt.Println("broken:", text)
	}
	fmt.Printf("served=%d refused=%d failed=%d crossed=%d stalls=%d\n", res.Served, res.Rejected, res.Failed, res.NeverAccepted, res.Stalls)
	fmt.Println(res)
	if res.ViolationCount() > 0 {
		return fmt.Errorf("%d of what must never be", res.ViolationCount())
	}
	return nil
}
