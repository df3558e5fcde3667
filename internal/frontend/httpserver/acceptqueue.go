package httpserver

// acceptQueue estimates how long connections have waited to be accepted. Connections are accepted in the order in which they came: if the
// queue has a certain length at some time, the connections behind it came later. The zero value is ready for use. It is not safe for
// concurrent use.
type acceptQueue struct {
	count        int                // number of connections that have been accepted
	observations []queueObservation // oldest first, with rising lastQueued
}

// queueObservation says that all connections behind number lastQueued, counted in the order of their accepts, came after atMs.
type queueObservation struct {
	atMs       float64
	lastQueued int
}

// observe records that the given number of connections waits to be accepted.
func (q *acceptQueue) observe(nowMs float64, length int) {
	lastQueued := q.count + length
	// A later observation with the same last connection says more about the ones behind it.
	for n := len(q.observations); n > 0 && q.observations[n-1].lastQueued >= lastQueued; n = len(q.observations) {
		q.observations = q.observations[:n-1]
	}
	q.observations = append(q.observations, queueObservation{nowMs, lastQueued})
}

// accepted records that a connection has been accepted, and returns the earliest time at which it can have come: the time of the last
// observation in which it did not wait yet, or of the first one if it waited then already, or nowMs if there is no observation.
func (q *acceptQueue) accepted(nowMs float64) (earliestMs float64) {
	q.count++
	if len(q.observations) == 0 {
		return nowMs
	}
	for len(q.observations) > 1 && q.observations[1].lastQueued < q.count {
		q.observations = q.observations[1:]
	}
	return q.observations[0].atMs
}

// isWaiting reports whether connections that were seen to wait have not been accepted yet.
func (q *acceptQueue) isWaiting() bool {
	n := len(q.observations)
	return n > 0 && q.observations[n-1].lastQueued > q.count
}

// forget forgets the observations, since connections are accepted as they come.
func (q *acceptQueue) forget() { q.observations = nil }
