// Package peer exchanges state with the other gateways of a fleet. It connects the pure packages membership, quota,
// outlier and peerlatency to the network and to the scheduler: it passes them the messages of other gateways, sends their
// messages, and turns their decisions into events of the scheduler.
//
// The number of a gateway is its index in Options.Peers, which is the same at all gateways.
//
// # Invariants
//
//   - Only datagrams of other gateways of the fleet are processed. Duplicates that a datagram.ReplayWindow detects are
//     dropped, and the messages tolerate those that it misses.
//   - The messages and demands that wait for the next step are bounded.
//   - The state of other gateways may be missing or late at any time. The gateway then uses its own measurements and the
//     share of each quota that it owns.
//
// # Concurrency
//
// Everything except decoding runs on the goroutine of the event loop. The socket of the service owns two goroutines, one
// that receives and decodes datagrams and one that sends them; Close waits for both.
package peer
