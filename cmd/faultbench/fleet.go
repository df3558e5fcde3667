package main

import (
	"fmt"
	"os"
	"time"

	"gaugerelay/internal/testbed/cluster"
)

// fleetShards is the number of shards of the fleet's storage servers.
const fleetShards = 4

// fleetCmd holds the flags of the subcommand fleet.
type fleetCmd struct {
	Gateways int     `default:"6" help:"Number of gateway processes."`
	Seconds  float64 `default:"0" help:"Duration of the run, in seconds; 0 runs each scenario once."`
	Seed     uint64  `default:"1" help:"Seed of faults and traffic; the same seed gives the same schedule." aliases:"replay"`
	Hosts    int     `default:"3" help:"Number of gateways that receive the requests of a volume."`
	Volumes  int     `default:"4" help:"Number of volumes; the traffic of each is 1.4 times its limit."`
	Lease    float64 `default:"1000" help:"Lifetime of a quota lease, in milliseconds."`
	Only     string  `help:"Name of the only scenario to run."`
	Without  bool    `help:"Run without communication between gateways."`
	Binary   string  `help:"Path of the gateway program; by default the file gaugerelay in the directory of this program."`
}

// Run runs the scenarios. It returns an error if an invariant was violated.
func (c *fleetCmd) Run() error {
	binary, err := gatewayBinary(c.Binary)
	if err != nil {
		return err
	}
	fmt.Printf("seed %d: %d gateways, %d volumes through %d of them each\n", c.Seed, c.Gateways, c.Volumes, c.Hosts)
	options := cluster.Options{Binary: binary, Gateways: c.Gateways, HostsPerVolume: min(c.Hosts, c.Gateways), Volumes: c.Volumes,
		Shards: fleetShards, Seed: c.Seed, Gossip: !c.Without, LeaseMs: c.Lease}
	result, err := cluster.Run(options, time.Duration(c.Seconds*float64(time.Second)), c.Only, os.Stdout)
	if err != nil {
		return err
	}
	fmt.Printf("served %d (%.0f units), rejected %d, failed %d; %d pauses, %d datagrams, %d stalls of the machine\n", result.Served,
		result.ServedUnits, result.Rejected, result.Failed, result.Pauses, result.Datagrams, result.Stalls)
	fmt.Printf("largest rate of attempts from one gateway, per second: at a server that fails for all gateways %.1f, at a draining server whose drain the endpoint list omits %.1f\n",
		result.EjectedSendRate, result.StaleListSendRate)
	printViolations(result.Violations)
	fmt.Printf("processes=%d kills=%d partitions=%d over_limit=%d wrong_ejections=%d doubled=%d crashed=%d lost=%d worst_over_units=%.1f bound_units=%.1f recover_ms=%.0f bound_ms=%.0f\n",
		c.Gateways, result.Kills, result.Partitions, result.OverLimit, result.WrongEjections, result.DuplicateArrivals, result.Crashed,
		result.Lost, result.MaxOverLimit, result.AllowedOverLimit, result.RecoveryMs, cluster.RecoveryBoundMs)
	return violationError(len(result.Violations))
}
