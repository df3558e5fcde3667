// Package membership detects which gateways of a fleet are alive. It implements SWIM (Das, Gupta and Motivala, 2002)
// with the extensions of Lifeguard (Dadgar, Phillips and Currey, 2017).
//
// In every probe period a member pings one other member, in an order that is shuffled anew for each round. If the target
// does not acknowledge in time, other members ping it on behalf of the prober. A target that no ping reaches becomes
// suspect, and is declared dead unless it refutes the suspicion before the suspicion timeout. The timeout shrinks as
// further members confirm the suspicion. A member that finds itself slow, or that was paused, raises its health score,
// which lengthens its own timeouts. Updates about members are piggybacked on these messages.
//
// # Invariants
//
//   - An update is a pair of incarnation and state, and the greater pair wins. Loss, reordering and duplication of
//     messages therefore do not affect the final state.
//   - Only a member itself raises its incarnation, to refute what others say about it.
//   - The size of a [Memberlist] is bounded by the number of members and by maxRelays.
//
// # Concurrency
//
// The package is pure: it has no clock, I/O or goroutine, and draws random numbers only from its seed. A [Memberlist]
// belongs to one goroutine. Times are milliseconds of the caller's monotonic clock.
package membership
