// Package outlier decides which servers a gateway ejects, because a quorum of gateways reports that they fail or that they
// were withdrawn from the endpoint list. A gateway sends only a few attempts to an ejected server.
//
// # Invariants
//
// A report counts only if it comes from the gateway that observed the condition, is that gateway's latest report about the
// condition and is not older than [Settings.MaxReportAgeMs]. Lost, reordered and repeated reports therefore do not change
// a decision, and the reports of a gateway that crashes or is partitioned expire.
//
// A single gateway that has a bad link or sends false reports cannot eject a server at all gateways. A quorum must report the
// same condition, and at most [Settings.MaxEjectedFraction] of the listed servers is ejected at once. A gateway whose own
// attempts at a server succeed keeps using the server, whatever failures others report. Ejected servers still receive a
// few attempts, so a wrong ejection ends when these succeed or when the reports expire.
//
// While all links to its peers fail, a gateway ejects no server once the reports that it has received have expired.
//
// # Concurrency
//
// The package is pure: it has no clock, I/O or goroutine, and does not depend on the iteration order of maps. A [Detector]
// belongs to one goroutine. Times are milliseconds of the caller's monotonic clock.
package outlier
