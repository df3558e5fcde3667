package cluster

import "time"

func changePrimaryHosts(c *Cluster) {
	for range 3 {
		c.wait(4 * time.Second)
		c.rotatePrimaryHosts()
	}
}

func partitionHalves(c *Cluster) {
	c.partition(func(gateway int) bool { return gateway%2 == 0 })
	c.wait(time.Second)
	c.rotatePrimaryHosts()
	c.wait(2 * time.Second)
	c.healLinks()
	c.wait(time.Second)
}

// partitionInEachDirection drops the datagrams from the first gateway to the others, and after that only the datagrams from the
// others to the first gateway.
func partitionInEachDirection(c *Cluster) {
	for _, side := range []func(gateway int) bool{
		func(gateway int) bool { return gateway == 0 },
		func(gateway int) bool { return gateway != 0 },
	} {
		c.partitionOneWay(side)
		c.wait(1500 * time.Millisecond)
		c.rotatePrimaryHosts()
	}
	c.healLinks()
	c.wait(500 * time.Millisecond)
}

func impairDatagrams(c *Cluster) {
	c.setLinks(func(int, int) DatagramFaults {
		return DatagramFaults{LossRate: 0.2, DuplicateRate: 0.2, BitFlipRate: 0.1, DelayMs: 5, JitterMs: 120}
	})
	for range 3 {
		c.wait(1200 * time.Millisecond)
		c.rotatePrimaryHosts()
	}
	c.healLinks()
}

// loseAcknowledgements drops all datagrams from each gateway to the gateways with lower indexes. So of two gateways, only one
// receives the datagrams of the other, and no request for a lease is acknowledged.
func loseAcknowledgements(c *Cluster) {
	c.setLinks(func(from, to int) DatagramFaults { return DatagramFaults{Partitioned: from > to, DelayMs: 3} })
	c.rotatePrimaryHosts()
	c.wait(2 * time.Second)
	c.healLinks()
	c.wait(500 * time.Millisecond)
}

func partitionAllLinks(c *Cluster) {
	c.partitionLinks(func(int, int) bool { return true })
	c.rotatePrimaryHosts()
	c.wait(2500 * time.Millisecond)
	c.healLinks()
	c.wait(500 * time.Millisecond)
}

func healPartitionRepeatedly(c *Cluster) {
	for i := range 10 {
		side := func(gateway int) bool { return gateway <= i%3 }
		if i%4 == 3 {
			c.partitionOneWay(side)
		} else {
			c.partition(side)
		}
		c.wait(200 * time.Millisecond)
		c.healLinks()
		c.wait(200 * time.Millisecond)
		if i%3 == 2 {
			c.rotatePrimaryHosts()
		}
	}
}
