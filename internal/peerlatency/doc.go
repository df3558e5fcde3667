// Package peerlatency combines the server latencies that several gateways measure. A gateway that receives few responses
// from a server detects late that the server has become slow, or fast again. Other gateways may already have measured the change.
//
// Each gateway reports only the mean latency of the responses that it has received itself. The combined estimate for a server
// is the lower median of the recent reports of at least two other gateways. A single gateway that reports wrong values, or
// has a slow link to the server, therefore cannot move the estimate beyond a value that another gateway has measured.
// Reports expire, and a gateway that receives none relies on its own measurements.
//
// # Invariants
//
//   - Only the most recent report of each peer about a server is kept. Reordering and duplication of reports therefore do
//     not affect the estimates.
//   - The size of an [Aggregator] is bounded by MaxServers and MaxPeers of its [Settings].
//
// # Concurrency
//
// The package is pure: it has no clock, I/O or goroutine, and does not depend on the iteration order of maps. An
// [Aggregator] belongs to one goroutine. Times are milliseconds of the caller's monotonic clock.
package peerlatency
