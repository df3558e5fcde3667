package gateway

// The platform's times of a shutdown, in milliseconds.
const (
	// newConnsMs is how long after SIGTERM new connections still arrive, because clients learn of the shutdown with a delay.
	newConnsMs = 400
	// killGraceMs is how long the platform waits, after the longest deadline, before it kills the program.
	killGraceMs = 700
	// maxKillDeadlineMs bounds the longest deadline that the platform waits for.
	maxKillDeadlineMs = 3000
)

const (
	// acceptMs is how long new connections are accepted, with a margin.
	acceptMs = 1.5 * newConnsMs
	// exitMarginMs is the time between the exit and the kill, and also between the last response and the exit, in which
	// clients read it.
	exitMarginMs = 75
	// lastRequestsMs is left for the requests that are open when connections begin to close. Where deadlines are long it is
	// nearly always enough.
	lastRequestsMs = 350
)

// shutdownTimes are the times of a shutdown in milliseconds since its start, in ascending order. They follow from the
// longest deadline alone: constant ones would add up to more than there is where all deadlines are short.
type shutdownTimes struct {
	acceptUntilMs float64 // new connections are accepted
	reuseUntilMs  float64 // clients go on using their connections; after that each response is the last of its connection
	respondByMs   float64 // every request has its response
	exitByMs      float64 // the program has exited
}

// newShutdownTimes returns the times for a gateway whose longest deadline is given in milliseconds.
func newShutdownTimes(longestDeadlineMs float64) shutdownTimes {
	killMs := min(longestDeadlineMs, maxKillDeadlineMs) + killGraceMs
	times := shutdownTimes{exitByMs: killMs - exitMarginMs, respondByMs: killMs - 2*exitMarginMs}
	times.reuseUntilMs = times.respondByMs - min(longestDeadlineMs, lastRequestsMs)
	times.acceptUntilMs = min(acceptMs, times.reuseUntilMs)
	return times
}
