package cluster

import (
	"syscall"
	"time"
)

// setLinks sets the faults of each link between two gateways.
func (c *Cluster) setLinks(faults func(from, to int) DatagramFaults) {
	c.eachLink(func(from, to int, link *datagramProxy) { link.setFaults(faults(from, to)) })
}

// healLinks removes the faults of all links.
func (c *Cluster) healLinks() {
	c.log.Printf("(all links healed)")
	c.setLinks(func(int, int) DatagramFaults { return DatagramFaults{} })
}

// partition drops all datagrams between the gateways for which side returns true and the others, in both directions.
func (c *Cluster) partition(side func(gateway int) bool) {
	c.log.Printf("(partition)")
	c.partitionLinks(func(from, to int) bool { return side(from) != side(to) })
}

// partitionOneWay drops all datagrams from the gateways for which side returns true to the others.
func (c *Cluster) partitionOneWay(side func(gateway int) bool) {
	c.log.Printf("(partition in one direction)")
	c.partitionLinks(func(from, to int) bool { return side(from) && !side(to) })
}

// partitionLinks makes the selected links drop all datagrams, heals the other links, and counts a partition.
func (c *Cluster) partitionLinks(isPartitioned func(from, to int) bool) {
	c.updateResult(func(result *Result) { result.Partitions++ })
	c.setLinks(func(from, to int) DatagramFaults { return DatagramFaults{Partitioned: isPartitioned(from, to)} })
}

func (c *Cluster) kill(gateway int) {
	c.updateResult(func(result *Result) { result.Kills++ })
	c.gateways[gateway].Kill()
}

// restart starts a gateway whose process has ended.
func (c *Cluster) restart(gateway int) {
	if err := c.gateways[gateway].Start(); err != nil {
		c.addViolation("%v", err)
	}
}

// pause suspends a gateway process for a duration.
func (c *Cluster) pause(gateway int, duration time.Duration) {
	c.updateResult(func(result *Result) { result.Pauses++ })
	c.gateways[gateway].Signal(syscall.SIGSTOP)
	c.wait(duration)
	c.gateways[gateway].Signal(syscall.SIGCONT)
}

// rotatePrimaryHosts makes the next host of each volume its primary host, which receives most of the volume's requests.
func (c *Cluster) rotatePrimaryHosts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for volume := range c.primaryHosts {
		c.primaryHosts[volume] = (c.primaryHosts[volume] + 1) % c.options.HostsPerVolume
	}
}

// wait waits for a duration, scaled by Options.TimeScale, or until the cluster is closed.
func (c *Cluster) wait(duration time.Duration) {
	if c.options.TimeScale > 0 {
		duration = time.Duration(float64(duration) * c.options.TimeScale)
	}
	c.waitUnscaled(duration)
}

// waitUnscaled waits for a duration that depends on timeouts of the gateways. Options.TimeScale does not shorten those timeouts, so
// it does not shorten the wait either.
func (c *Cluster) waitUnscaled(duration time.Duration) {
	select {
	case <-c.stop:
	case <-time.After(duration):
	}
}
