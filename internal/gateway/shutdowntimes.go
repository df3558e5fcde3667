package gateway

// The platform's times of a shutdown, in milliseconds.
const (
	// newConnsMs after SIGTERM new connections still arrive: clients learn of the shutdown with a delay.
	newConnsMs = 400
	// The platform kills the program no sooner than killGraceMs after the longest deadline, of which it respects at most
	// maxKillDeadlineMs.
	maxKillDeadlineMs = 3000
	killGraceMs       = 700
)

const (
	// acceptMs is how long new connections are accepted, with a margin.
	acceptMs = 1.5 * newConnsMs
	// exitMarginMs is kept before the time to be killed, and as long again for clients to read the last responses.
	exitMarginMs = 75
	// lastRequestsMs is left for the requests that are open when connections begin to close: nearly always enough where
	// deadlines are long.
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

func newShutdownTimes(longestDeadlineMs float64) shutdownTimes {
	killMs := min(longestDeadlineMs, maxKillDeadlineMs) + killGraceMs
	times := shutdownTimes{exitByMs: killMs - exitMarginMs, respondByMs: killMs - 2*exitMarginMs}
	times.reuseUntilMs = times.respondByMs - min(longestDeadlineMs, lastRequestsMs)
	times.acceptUntilMs = min(acceptMs, times.reuseUntilMs)
	return times
}
