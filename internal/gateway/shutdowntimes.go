package gateway

// Times of a shutdown that the platform sets, in milliseconds.
const (
	// newConnArrivalMs is the time after SIGTERM during which new connections still arrive, because clients are notified of
	// the shutdown with a delay.
	newConnArrivalMs = 400
	// killGraceMs is the time that the platform adds to the longest deadline of all classes. When the sum of both has passed since
	// SIGTERM, the platform kills the program.
	killGraceMs = 700
	// maxAwaitedDeadlineMs bounds the longest deadline in the sum that determines the time of the kill (see killGraceMs).
	maxAwaitedDeadlineMs = 3000
)

const (
	// acceptMs is the time during which new connections are accepted: newConnArrivalMs and a margin.
	acceptMs = 1.5 * newConnArrivalMs
	// exitMarginMs is the time between the exit and the kill. It is also the time between the last response and the exit,
	// during which clients read that response.
	exitMarginMs = 75
	// lastRequestsMs is the time from when connections begin to close until all requests must have their responses. If the longest
	// deadline is shorter, it is used instead. Requests with longer deadlines nearly always need no more time.
	lastRequestsMs = 350
)

// shutdownTimes are the times at which the phases of a shutdown end, in milliseconds since its start and in ascending order.
// They are derived from the longest deadline: with constant times, the phases would take longer than the platform waits if all
// deadlines are short.
type shutdownTimes struct {
	acceptUntilMs float64 // time until which new connections are accepted
	reuseUntilMs  float64 // time until which clients may reuse connections; each later response closes its connection
	respondByMs   float64 // time by which every request has its response
	exitByMs      float64 // time by which the program has exited
}

// newShutdownTimes returns the times for a gateway whose longest deadline is given in milliseconds.
func newShutdownTimes(longestDeadlineMs float64) shutdownTimes {
	killMs := min(longestDeadlineMs, maxAwaitedDeadlineMs) + killGraceMs
	times := shutdownTimes{exitByMs: killMs - exitMarginMs, respondByMs: killMs - 2*exitMarginMs}
	times.reuseUntilMs = times.respondByMs - min(longestDeadlineMs, lastRequestsMs)
	times.acceptUntilMs = min(acceptMs, times.reuseUntilMs)
	return times
}
