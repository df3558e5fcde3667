// Package chaos runs several processes of the gateway program on loopback against fakes of discovery, of the storage
// servers and of the clients, injects random overlapping faults, and checks what servers and clients observed against
// the invariants. It knows a gateway only by its command line, its ports, its signals and its responses.
//
// The faults and the requests are drawn from the seed of a run: the same seed gives the same schedule. The seed does not
// determine how the processes interleave.
//
// A run is owned by its harness. Clients, the fault schedule, the faults and the stall detector run in goroutines of the
// harness, which waits for all of them before it checks the run. The fakes have a goroutine for each connection, which
// ends when the fake is closed.
package chaos
