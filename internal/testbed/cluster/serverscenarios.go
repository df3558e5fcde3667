package cluster

import (
	"net"
	"time"
)

// Shards whose servers are affected by the scenarios.
const (
	failingShard  = 0
	drainingShard = 1
	stalledShard  = 2 // stallResponses uses stalledShard modulo the number of shards
)

// failServerForAll measures how many requests the gateways still send to a server that fails for all of them, and how long they
// take to use it again after it has stopped failing.
func failServerForAll(c *Cluster) {
	for gateway := range c.gateways {
		c.platform.setFailing(gateway, true)
	}
	c.wait(1500 * time.Millisecond)
	before, start := c.platform.receivedCounts(), time.Now()
	c.wait(2 * time.Second)
	for gateway, now := range c.platform.receivedCounts() {
		rate := float64(now[failingShard]-before[gateway][failingShard]) / time.Since(start).Seconds()
		c.updateResult(func(result *Result) { result.EjectedSendRate = max(result.EjectedSendRate, rate) })
		c.platform.setFailing(gateway, false)
	}
	c.measureRecovery(failingShard)
	before = c.platform.receivedCounts()
	c.wait(2 * time.Second)
	c.checkNotEjected(allGateways, failingShard, before)
}

// failServerForOne makes a server fail for the first gateway only. The other gateways must not eject the server.
func failServerForOne(c *Cluster) {
	c.platform.setFailing(0, true)
	c.wait(time.Second)
	before := c.platform.receivedCounts()
	c.wait(3 * time.Second)
	c.checkNotEjected(allButFirstGateway, failingShard, before)
	c.platform.setFailing(0, false)
	c.wait(time.Second)
}

func allButFirstGateway(gateway int) bool { return gateway != 0 }

// sendFalseReports lets the byzantine peer send false reports to all gateways. No gateway may eject a server because of these
// reports. The scenario checks this for the servers of shards 0 and 1.
func sendFalseReports(c *Cluster) {
	before := c.platform.receivedCounts()
	for round := range 20 {
		for _, gateway := range c.gateways {
			if to, err := net.ResolveUDPAddr("udp", gateway.PeerAddr); err == nil {
				c.byzantine.sendFalseReports(to, c.options.Shards, c.options.Volumes, uint64(round+1))
			}
		}
		c.wait(150 * time.Millisecond)
	}
	c.checkNotEjected(allGateways, 0, before)
	c.checkNotEjected(allGateways, 1, before)
}

// drainServerWithStaleList drains a server while the endpoint list of one gateway still says that the server is ready. That
// gateway may learn of the drain from its peers. The other gateways must stop sending to the server.
func drainServerWithStaleList(c *Cluster) {
	c.mu.Lock()
	stale := c.hosts(0)[c.primaryHosts[0]].Index // the primary host of the first volume, since it receives many requests
	c.mu.Unlock()
	c.setDrainingExcept(stale, true)
	c.waitUnscaled(1500 * time.Millisecond) // drainGraceMs, plus 500 ms for the endpoint lists to arrive
	before, start := c.platform.receivedCounts(), time.Now()
	c.wait(2 * time.Second)
	now := c.platform.receivedCounts()
	rate := float64(now[stale][drainingShard]-before[stale][drainingShard]) / time.Since(start).Seconds()
	c.updateResult(func(result *Result) { result.StaleListSendRate = max(result.StaleListSendRate, rate) })
	for gateway := range c.gateways {
		if sent := now[gateway][drainingShard] - before[gateway][drainingShard]; gateway != stale && sent > 0 {
			c.addViolation("n%d sent %d requests to a draining server, want 0", gateway, sent)
		}
	}
	c.setDrainingExcept(stale, false)
	c.wait(time.Second)
}

// setDrainingExcept sets whether the endpoint lists of all gateways but one say that the server of drainingShard drains.
func (c *Cluster) setDrainingExcept(excepted int, draining bool) {
	for gateway := range c.gateways {
		if gateway != excepted {
			c.platform.setDraining(gateway, draining)
		}
	}
}

// stallResponses stalls the responses of a server to the first gateway, while requests still reach the server, and then
// resets the connections.
func stallResponses(c *Cluster) {
	before := c.platform.receivedCounts()
	shard := stalledShard % c.options.Shards
	proxy := c.platform.views[0].serverProxies[shard]
	proxy.setFaults(StreamFaults{}, StreamFaults{Stalled: true})
	c.wait(2 * time.Second)
	proxy.resetConns()
	proxy.heal()
	c.checkNotEjected(allButFirstGateway, shard, before)
	c.wait(time.Second)
}

// impairStreams delays and splits the requests to all servers, resets connections to servers in the middle of responses, and
// delivers the endpoint lists in small chunks.
func impairStreams(c *Cluster) {
	for gateway, view := range c.platform.views {
		for _, proxy := range view.serverProxies {
			proxy.setFaults(StreamFaults{DelayMs: 2, ChunkSize: 120}, StreamFaults{ResetAfterBytes: 400 + 100*gateway})
		}
		view.listProxy.setFaults(StreamFaults{}, StreamFaults{ChunkSize: 40})
	}
	c.wait(2 * time.Second)
	for _, view := range c.platform.views {
		for _, proxy := range view.serverProxies {
			proxy.heal()
		}
		view.listProxy.resetConns()
		view.listProxy.heal()
	}
	c.wait(time.Second)
}
