package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gaugerelay/internal/testbed/cluster"
)

type fleetCmd struct {
	Gateways int     `default:"6" help:"How many processes of the gateway."`
	Seconds  float64 `default:"0" help:"How long; each scenario once if left out."`
	Seed     uint64  `default:"1" help:"What is drawn; the same seed draws the same faults and traffic." aliases:"replay"`
	Hosts    int     `default:"3" help:"Gateways through which a volume's requests come."`
	Volumes  int     `default:"4" help:"Volumes, each with a limit that is asked for 1.4 times."`
	Lease    float64 `default:"1000" help:"How long a part of a limit is lent, in milliseconds."`
	Only     string  `help:"One scenario, by its name."`
	Without  bool    `help:"Gateways do not speak with each other."`
	Binary   string  `help:"The gateway; bin/gaugerelay beside this program if left out."`
}

// Run plays the scenarios; what must never be makes it fail.
func (c *fleetCmd) Run() error {
	if c.Binary == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Binary = filepath.Join(filepath.Dir(self), "gaugerelay")
	}
	fmt.Printf("seed %d: %d gateways, %d volumes through %d of them each\n", c.Seed, c.Gateways, c.Volumes, c.Hosts)
	res, err := cluster.Run(cluster.Options{Binary: c.Binary, Gateways: c.Gateways, HostsPerVolume: min(c.Hosts, c.Gateways), Volumes: c.Volumes, Shards: 4,
		Seed: c.Seed, Gossip: !c.Without, LeaseMs: c.Lease}, time.Duration(c.Seconds*float64(time.Second)), c.Only, os.Stdout)
	if err != nil {
		return err
	}
	fmt.Printf("served %d (%.0f units), refused %d, failed %d; %d pauses, %d datagrams, %d stalls of the machine\n", res.Served, res.ServedUnits, res.Rejected, res.Failed,
		res.Pauses, res.Datagrams, res.Stalls)
	fmt.Printf("a node that fails for all: at most %.1f tries a second from each gateway; one that drains unheard of: %.1f\n",
		res.EjectedSendRate, res.StaleListSendRate)
	for _, b := range res.Violations {
		fmt.Println("broken:", b)
	}
	fmt.Printf("processes=%d kills=%d partitions=%d over_limit=%d wrong_ejections=%d doubled=%d crashed=%d lost=%d worst_over_units=%.1f bound_units=%.1f recover_ms=%.0f bound_ms=%.0f\n",
		c.Gateways, res.Kills, res.Partitions, res.OverLimit, res.WrongEjections, res.DuplicateArrivals, res.Crashed, res.Lost, res.MaxOverLimit, res.AllowedOverLimit,
		res.RecoveryMs, cluster.RecoveryBoundMs)
	if n := len(res.Violations); n > 0 {
		return fmt.Errorf("%d of what must never be", n)
	}
	return nil
}
