package cluster

import (
	"syscall"
	"time"
)

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
		c.gateways[gateway].Stop()
		c.restart(gateway)
		c.wait(300 * time.Millisecond)
	}
}

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

// runOneWithoutGossip runs one gateway without an operator's file, so that it behaves like a version without gossip.
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
