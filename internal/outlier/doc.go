// Package outlier decides which servers a gateway ejects, that is, sends almost nothing to, because a quorum of gateways
// reports that they fail or that they were withdrawn from the endpoint list.
//
// # Invariants
//
// A report counts only from the gateway that observed the condition, only in its latest version, and only until it has
// reached [Settings.MaxReportAgeMs]. Lost, reordered and repeated reports therefore change no decision, and the reports of
// a gateway that crashes or is partitioned expire.
//
// No single gateway, with a bad link or with false reports, ejects a server for all: a quorum has to report the same
// condition, at most [Settings.MaxEjectedFraction] of the listed servers is ejected at once, and a gateway that a server
// serves well keeps using it whatever others report of failures. Ejected servers still receive a few attempts, so a wrong
// ejection ends when these succeed, or when the reports expire.
//
// While all links to its peers fail, a gateway ejects nothing once the reports that it has received have expired.
//
// # Concurrency
//
// The package is pure: it has no clock, I/O or goroutine, and does not depend on the iteration order of maps. A [Detector]
// belongs to one goroutine. Times are milliseconds of the caller's monotonic clock.
package outlier
