package main

import (
	"fmt"
	"os"
	"time"

	"gaugerelay/internal/testbed/chaos"
)

// chaosCmd holds the flags of the subcommand chaos.
type chaosCmd struct {
	Processes int     `default:"24" help:"Number of gateway processes."`
	Siblings  int     `default:"0" help:"Number of gateways in the settings; 0 means the number of processes."`
	Shards    int     `default:"8" help:"Number of shards."`
	Seconds   float64 `default:"60" help:"Duration of the run, in seconds."`
	Seed      uint64  `default:"1" help:"Seed of faults and traffic; the same seed gives the same schedule."`
	Rate      float64 `default:"12" help:"Requests per second to each gateway."`
	Push      bool    `help:"Push endpoint lists to the gateways by an agent; by default the gateways poll for them."`
	Faults    string  `help:"Names of the faults to inject, separated by commas; all by default."`
	Overload  bool    `default:"true" negatable:"" help:"Overload gateways by crowds, floods and clients that leave."`
	Memory    int     `default:"0" help:"Memory limit of each gateway in MB; 0 means that each draws its own."`
	Sockets   int     `default:"0" help:"Limit on the descriptors of each gateway; 0 means that each draws its own."`
	Shims     bool    `help:"Make system calls fail at random and offset the wall clock; needs a gateway built with the tag chaos."`
	Debug     bool    `help:"Log each request in the gateways."`
	Verbose   bool    `help:"Show the logs of all processes if an invariant was violated."`
	Binary    string  `help:"Path of the gateway program; by default the file gaugerelay in the directory of this program."`
}

// Run runs gateways under random overlapping faults. It returns an error if an invariant was violated.
func (c *chaosCmd) Run() error {
	binary, err := gatewayBinary(c.Binary)
	if err != nil {
		return err
	}
	faults, err := chaos.ParseFaults(c.Faults)
	if err != nil {
		return err
	}
	options := chaos.Options{Binary: binary, Gateways: c.Processes, FleetSize: c.Siblings, Shards: c.Shards,
		Duration: time.Duration(c.Seconds * float64(time.Second)), Seed: c.Seed, RequestRate: c.Rate, PushDiscovery: c.Push,
		Faults: faults, FailSystemCalls: c.Shims, DebugLog: c.Debug, Overload: c.Overload, EdgeFrontends: c.Overload,
		MemoryMB: c.Memory, MaxSockets: c.Sockets}
	if c.Verbose {
		options.LogOutput = os.Stdout
	}
	result, err := chaos.Run(options)
	if err != nil {
		return err
	}
	printViolations(result.Violations)
	fmt.Printf("served=%d rejected=%d failed=%d never_accepted=%d stalls=%d\n", result.Served, result.Rejected, result.Failed,
		result.NeverAccepted, result.Stalls)
	fmt.Println(result)
	return violationError(result.ViolationCount())
}
