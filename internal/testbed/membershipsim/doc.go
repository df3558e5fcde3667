// Package membershipsim simulates fleets of any size in one process, with a simulated clock. It connects members of
// package membership by a network that delays and loses messages, and injects crashes, pauses, partitions and restarts.
// It measures how fast failures are detected, how often running members are declared dead, and the network load.
//
// A simulation is deterministic for given Options. It is not safe for concurrent use and starts no goroutine.
package membershipsim
