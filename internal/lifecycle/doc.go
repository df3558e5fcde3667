// Package lifecycle tracks each client request from its submission to its one final response.
//
// A Manager passes events (arrived requests, ended attempts, endpoint updates) to the scheduler, and executes the actions that
// the scheduler returns: it starts and cancels attempts, and responds to clients. It performs no I/O and is independent of wire
// protocols: frontends submit requests, and Upstreams carry out attempts.
//
// Invariants:
//   - Each request gets at most one response, and none after its cancellation.
//   - The scheduler is notified exactly once of the end of each attempt, including whether the request is done by then.
//   - The state of a request is kept until the request is done and none of its attempts is in flight.
//   - Attempt.Authorize denies an attempt if an endpoint update has closed its Server entry.
//
// A Manager belongs to one goroutine, which package eventloop runs. Request.Cancel, Request.Canceled, Server, Attempt and
// Authorizer may be used from other goroutines as their comments say.
package lifecycle
