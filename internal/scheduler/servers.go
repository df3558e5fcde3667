package scheduler

import "time"

const (
	// unresponsiveFactor is how many times the threshold or the latency an answer may take before it counts as missing.
	unresponsiveFactor = 4
	// maxConsecutiveRejects and maxConnectFailures bound the exponents of the backoff.
	maxConsecutiveRejects = 5
	maxConnectFailures    = 4
)

// responsiveness is whether a server answers.
type responsiveness uint8

const (
	responsive   responsiveness = iota
	unresponsive                // it owes answers and sends none
	trialDue                    // unresponsive, and one more request may test whether it answers again
)

// String returns the name of the state.
func (r responsiveness) String() string {
	return [...]string{"responsive", "unresponsive", "trial due"}[r]
}

// serverEntry is the state of a server process. Attempts keep it after the server has left the endpoint list.
type serverEntry struct {
	Server
	congestion congestionControl
	slowStart  slowStartBudget

	outstanding        []*attempt // in order of sending, with ended and lost ones that are not at the front
	inFlight           int        // attempts that have neither ended nor been lost
	lastSendAt         time.Duration
	lastEndedAt        time.Duration // when an attempt last ended
	lastDuration       time.Duration // of that attempt
	lastResponseAt     time.Duration // when it last answered, also with an error; 0: never
	lastErrorAt        time.Duration // when it last answered with an error; 0: never
	latestAnsweredSend time.Duration // send time of the latest attempt that it has answered with success

	connectFailures    int // consecutive
	consecutiveRejects int
	backoffUntil       time.Duration // nothing is sent before
	ejectionInterval   time.Duration // between two requests until ejectedUntil
	ejectedUntil       time.Duration
}

// forgetProcess clears what belonged to the process that ran before the server's restart.
func (n *serverEntry) forgetProcess() {
	n.connectFailures, n.consecutiveRejects, n.backoffUntil = 0, 0, 0
	n.lastResponseAt, n.lastErrorAt = 0, 0
}

// eject limits the server to one request per interval.
func (n *serverEntry) eject(now, interval time.Duration) {
	n.ejectionInterval, n.ejectedUntil = interval, now+interval
	n.backOff(n.lastSendAt + interval)
}

// backOff sends nothing to the server before a time.
func (n *serverEntry) backOff(until time.Duration) { n.backoffUntil = max(n.backoffUntil, until) }

// recordSend counts an attempt that goes out now.
func (n *serverEntry) recordSend(now time.Duration, attempt *attempt) {
	n.outstanding = append(n.outstanding, attempt)
	n.inFlight++
	n.lastSendAt = now
	if now < n.ejectedUntil {
		n.backoffUntil = now + n.ejectionInterval
	}
}

// oldestAttempt returns the oldest attempt in flight, or nil.
func (n *serverEntry) oldestAttempt() *attempt {
	for len(n.outstanding) > 0 && (n.outstanding[0].ended || n.outstanding[0].lost) {
		n.outstanding = n.outstanding[1:]
	}
	if len(n.outstanding) == 0 {
		return nil
	}
	return n.outstanding[0]
}

// responsiveness reports whether the server owes answers and has given none for longer than a pause or a large request explains,
// and whether a trial is due, which thins out with time. It covers hangs, broken links and lost answers alike; in a long stall
// the trials add to the server's queue.
func (n *serverEntry) responsiveness(now, threshold time.Duration) responsiveness {
	oldest := n.oldestAttempt()
	if oldest == nil {
		return responsive
	}
	unanswered := now - max(oldest.sentAt, n.lastResponseAt)
	if unanswered <= unresponsiveFactor*max(threshold, n.congestion.latency) {
		return responsive
	}
	interval := float64(min(max(2*threshold, unanswered/4), 16*threshold)) / min(1, n.congestion.window)
	if float64(now-n.lastSendAt) > interval {
		return trialDue
	}
	return unresponsive
}

// detectLostAttempts finds attempts that the server has passed over, since it has answered one sent clearly later, and releases
// their slots. It covers lost answers, broken links and stuck requests; it is wrong where a server works out of order for long.
// meanUnits is the size of a request.
func (n *serverEntry) detectLostAttempts(now, threshold time.Duration, meanUnits float64) {
	for _, attempt := range n.outstanding {
		age := now - attempt.sentAt
		if age < unresponsiveFactor*threshold {
			return
		}
		allowance := float64(unresponsiveFactor*max(threshold, n.congestion.latency)) * max(1, attempt.request.Units/meanUnits)
		overdue := age >= time.Duration(allowance)
		passedOver := n.latestAnsweredSend >= attempt.sentAt+n.congestion.latency
		if !attempt.ended && !attempt.lost && overdue && passedOver {
			attempt.lost = true
			attempt.releaseSlot()
		}
	}
}

// recordOutcome updates the server's health by the end of an attempt.
func (n *serverEntry) recordOutcome(now, threshold time.Duration, attempt *attempt, status Status) {
	n.lastEndedAt, n.lastDuration = now, now-attempt.sentAt
	switch status {
	case StatusOK:
		n.recordResponse(now)
		n.latestAnsweredSend = max(n.latestAnsweredSend, attempt.sentAt)
	case StatusError:
		n.recordResponse(now)
		n.lastErrorAt = now
	case StatusOverloaded:
		n.recordReject(now, threshold)
	case StatusConnectFailed:
		n.recordConnectFailure(now, threshold)
	case StatusConnectionReset:
		if now-n.lastResponseAt >= unresponsiveFactor*threshold { // else only that connection broke
			n.recordConnectFailure(now, threshold)
		}
	}
}

// recordResponse notes that the server has answered.
func (n *serverEntry) recordResponse(now time.Duration) {
	n.lastResponseAt, n.connectFailures, n.consecutiveRejects = now, 0, 0
}

// recordReject backs off from a server that rejects one request after the other: it drains, and the endpoint list is late to
// say so. A single reject shows no more than a queue that is full for a moment.
func (n *serverEntry) recordReject(now, threshold time.Duration) {
	n.consecutiveRejects = min(n.consecutiveRejects+1, maxConsecutiveRejects)
	if n.consecutiveRejects > 1 {
		n.backOff(now + threshold<<(n.consecutiveRejects-2))
	}
}

// recordConnectFailure backs off from a server that does not accept connections.
func (n *serverEntry) recordConnectFailure(now, threshold time.Duration) {
	n.connectFailures = min(n.connectFailures+1, maxConnectFailures)
	n.backOff(now + threshold<<(n.connectFailures-1))
}

// expectedLatency returns how long an answer takes that is asked for now: the smoothed latency, or the age of the oldest attempt
// in flight where that is longer. That age covers hangs, stalls and floods, which late answers would show too late; it does not
// enter the smoothed latency, so that one answer ends it.
func (n *serverEntry) expectedLatency(now, threshold time.Duration) time.Duration {
	if oldest := n.oldestAttempt(); oldest != nil {
		return max(n.congestion.latency, now-oldest.sentAt)
	}
	return n.congestion.idleLatency(now, threshold)
}
