package cluster

// scenario is a sequence of faults. It ends with all gateways running and all links healed.
type scenario struct {
	name string
	run  func(c *Cluster)
}

// scenarios lists all scenarios in the order in which Run runs them.
var scenarios = []scenario{
	{"no faults: the primary hosts change", changePrimaryHosts},
	{"halves partitioned from each other, both at the limit", partitionHalves},
	{"partition in one direction, then in the other", partitionInEachDirection},
	{"datagrams lost, duplicated, corrupted and reordered", impairDatagrams},
	{"acknowledgements lost: no lease is granted", loseAcknowledgements},
	{"gateways with granted and held leases killed and restarted", killLeaseHolders},
	{"lease holder paused past its lease, resumed with a full inbox", pauseLeaseHolders},
	{"most of the fleet killed at once", killMostGateways},
	{"no datagrams between any gateways", partitionAllLinks},
	{"graceful shutdown one after the other, under load", stopGateways},
	{"paused and killed during a partition", pauseAndKillInPartition},
	{"a server fails for all gateways", failServerForAll},
	{"a server fails for one gateway only", failServerForOne},
	{"one peer is byzantine", sendFalseReports},
	{"a server drains, and the list of one gateway does not say so", drainServerWithStaleList},
	{"the responses of a server stall for one gateway, then are reset", stallResponses},
	{"responses are reset, requests trickle, lists are late", impairStreams},
	{"one gateway without gossip among the others", runOneWithoutGossip},
	{"a partition heals ten times", healPartitionRepeatedly},
}
