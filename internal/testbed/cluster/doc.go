// Package cluster runs several processes of the gateway program on loopback as one fleet, with fakes of the storage
// servers, of discovery and of the clients. It injects faults between the gateways and into them in named scenarios, and
// counts violations of the invariants at the servers and the clients. It accesses a gateway only through its command
// line, its ports and its responses.
//
// Faults and requests are drawn from the seed of a run: the same seed gives the same schedule. The seed does not determine
// how the processes interleave.
//
// Traffic and the stall detector run in goroutines of the Cluster, which Close waits for. Scenarios run one at a time in
// the goroutine that calls Run. The proxies and fakes have goroutines for their connections, which end when they are
// closed.
package cluster
