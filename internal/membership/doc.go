// Package membership detects which gateways of a fleet are alive. It implements SWIM (Das, Gupta and Motivala, 2002)
// with the extensions of Lifeguard (Dadgar, Phillips and Currey, 2017).
//
// In every probe period a member pings one other member, in an order that is shuffled again for each round. If the target
// does not acknowledge in time, other members ping it on behalf of the prober. A target that acknowledges none of these
// pings becomes suspect, and is declared dead unless it refutes the suspicion before the suspicion timeout. The timeout
// shrinks as further members confirm the suspicion. A member that detects that it is slow, or that was paused, raises its
// health score, which lengthens its own probe timeouts and periods. Updates about members are piggybacked on these messages.
//
// # Invariants
//
//   - Updates about a member are ordered by incarnation, then by state, and the greatest one wins. Loss, reordering and
//     duplication of messages therefore do not affect the final state.
//   - Only the member itself raises its incarnation, to refute a wrong update about it.
//   - The size of a [Memberlist] is bounded by the number of members and by maxRelays.
//
// # Concurrency
//
// The package is pure: it has no clock, I/O or goroutine, and draws random numbers only from its seed. A [Memberlist]
// belongs to one goroutine. Times are milliseconds of the caller's monotonic clock.
package membership
