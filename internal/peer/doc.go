// Package peer exchanges state with the other gateways of a fleet. It connects the state machines of the packages membership,
// quota, outlier and peerlatency to the network and to the scheduler: it passes them the messages of other gateways, sends
// their messages, and turns their decisions into events for the scheduler.
//
// A gateway is identified by its index in Options.Peers, which must be the same at all gateways.
//
// # Invariants
//
//   - Only datagrams from other gateways of the fleet are processed. Duplicates that a datagram.ReplayWindow detects are
//     dropped. Duplicates that it does not detect have no effect on the state machines.
//   - The number of messages and demands that wait for the next step is bounded.
//   - The state of other gateways may be missing or outdated at any time. The gateway then uses its own measurements and
//     its own share of each quota.
//
// # Concurrency
//
// Everything except decoding runs on the goroutine of the event loop. The socket of the service owns two goroutines: one
// receives and decodes datagrams, and the other one sends them. Close waits for both.
package peer
