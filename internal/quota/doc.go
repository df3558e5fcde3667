// Package quota divides limits that apply to all gateways together, such as the rate limit of a volume, and moves unused
// quota between gateways with leases.
//
// Each limit is a pool. Callers state the number of gateways that receive the pool's traffic, and each of these gateways
// permanently owns an equal share of the pool. No gateway needs a peer to use its own share, so a gateway without peers
// behaves as it would without this package. A gateway that does not use its whole share grants a fraction of it to a peer
// for the duration of a lease.
//
// # Invariants
//
// The fractions of a pool that gateways may use at any moment never add up to more than 1. The limit is therefore never
// exceeded, whatever messages are lost, delayed, duplicated or reordered, and whichever gateways pause, crash or lose
// their connection. This assumes that no clock is faster or slower than true time by more than [Settings.ClockDrift], and
// that the set of gateways that receive a pool's traffic changes no faster than [Settings.IdleTimeoutMs]. The invariant holds
// because:
//
//   - A lender records a grant before it sends the grant, and uses the granted quota again only when the lease has
//     expired on the lender's own clock or the borrower has returned the quota. The lender's lease is longer than the
//     borrower's, to allow for clocks of different rates; see [Settings.GrantHoldMs].
//   - A borrower's lease starts when the borrower sends the request, which is before the lender records the grant. A
//     borrower that was paused must call [Allocator.Step] or [Allocator.AvailableFraction] before it uses any
//     quota, so that expired leases are dropped first.
//   - During its startup hold, which lasts [Settings.GrantHoldMs], a gateway does not use the part of its share that it
//     could have lent, because its previous incarnation may have lent that part.
//   - Messages carry totals rather than changes of them, and the borrower's sequence numbers identify outdated messages. A
//     lost, repeated or reordered message therefore makes no gateway use more than its lender has recorded as lent.
//
// While all links to its peers fail, a gateway loses only the quota that it has borrowed, and it can use all of its own
// share again at most [Settings.GrantHoldMs] after the last grant that it issued. It can use at least
// 1 - MaxGrantedFraction of its own share at any time, unless that share has shrunk since it granted leases, because more
// gateways now receive the pool's traffic.
//
// # Concurrency
//
// The package is pure: it has no clock, I/O or goroutine, and does not depend on the iteration order of maps. An [Allocator]
// belongs to one goroutine. Times are milliseconds of the caller's monotonic clock, whose zero is arbitrary.
package quota
