package cluster

import (
	"syscall"
	"time"
)

// stopTimeout is how long a gateway may take to exit after SIGTERM.
const stopTimeout = 10 * time.Second

func killLeaseHolders(c *Cluster) {
	for range 3 {
		gateway := c.random.IntN(len(c.gateways))
		c.kill(gateway)
		c.wait(time.Duration(100+c.random.IntN(900)) * time.Millisecond)
		c.restart(gateway)
		c.rotatePrimaryHosts()
		c.wait(700 * time.Millisecond)
	}
}

// pauseLeaseHolders pauses a random gateway for 2.5 times the lifetime of a lease. At full length, the leases of the gateway
// expire during the pause; a TimeScale below 0.4 makes the pause shorter than a lease.
func pauseLeaseHolders(c *Cluster) {
	for range 2 {
		gateway := c.random.IntN(len(c.gateways))
		c.rotatePrimaryHosts()
		c.wait(800 * time.Millisecond)
		c.pause(gateway, time.Duration(2.5*c.options.LeaseMs)*time.Millisecond)
		c.wait(700 * time.Millisecond)
	}
}

func killMostGateways(c *Cluster) {
	count := max(1, len(c.gateways)*7/10)
	for gateway := range count {
		c.kill(gateway)
	}
	c.wait(time.Second)
	for gateway := range count {
		c.restart(gateway)
	}
	c.wait(time.Second)
}

func stopGateways(c *Cluster) {
	for gateway := range min(2, len(c.gateways)) {
		c.gateways[gateway].Stop(stopTimeout)
		c.restart(gateway)
		c.wait(300 * time.Millisecond)
	}
}

// pauseAndKillInPartition partitions gateway 1 from the others, pauses gateway 0 meanwhile, and kills gateway 1 before the
// partition ends.
func pauseAndKillInPartition(c *Cluster) {
	c.partition(func(gateway int) bool { return gateway == 1 })
	c.rotatePrimaryHosts()
	c.wait(500 * time.Millisecond)
	c.gateways[0].Signal(syscall.SIGSTOP)
	c.wait(time.Second)
	c.kill(1)
	c.gateways[0].Signal(syscall.SIGCONT)
	c.updateResult(func(result *Result) { result.Pauses++ })
	c.wait(300 * time.Millisecond)
	c.restart(1)
	c.healLinks()
	c.wait(time.Second)
}

// runOneWithoutGossip runs one gateway without an operator's file, so that the gateway behaves like a version of the
// program without gossip.
func runOneWithoutGossip(c *Cluster) {
	gateway := c.gateways[c.random.IntN(len(c.gateways))]
	args := gateway.Args
	c.kill(gateway.Index)
	gateway.Args = nil
	c.restart(gateway.Index)
	for range 2 {
		c.wait(1500 * time.Millisecond)
		c.rotatePrimaryHosts()
	}
	c.kill(gateway.Index)
	gateway.Args = args
	c.restart(gateway.Index)
	c.wait(500 * time.Millisecond)
}
