// Package lifecycle owns the life of each client request, from its submission to its one final response.
//
// A Manager passes what happens (requests, ends of attempts, endpoint updates) as events to the scheduler, and executes the
// actions that the scheduler returns: it starts and cancels attempts, and responds to clients. It performs no I/O and knows no
// wire protocol: frontends submit requests, and Upstreams carry out attempts.
//
// Invariants:
//   - Each request gets at most one response, and none after its cancellation.
//   - The scheduler learns of the end of each attempt exactly once, and whether its request is done by then.
//   - A request is kept until it is done and none of its attempts is in flight.
//   - Attempt.Authorize denies an attempt whose Server entry the endpoint list has since closed.
//
// A Manager belongs to one goroutine, which package eventloop runs. Request.Cancel, Request.Canceled, Server, Attempt and
// Authorizer may be used from other goroutines as their comments say.
package lifecycle
