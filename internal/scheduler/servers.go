package scheduler

import "time"

const (
	// unresponsiveFactor is how many times the threshold or the latency a response may take before it counts as missing.
	unresponsiveFactor = 4
	// maxConsecutiveRejects and maxConnectFailures bound the exponents of the backoff.
	maxConsecutiveRejects = 5
	maxConnectFailures    = 4
)

// responsiveness is whether a server responds.
type responsiveness uint8

const (
	responsive   responsiveness = iota
	unresponsive                // attempts are in flight and no response has come for too long
	trialDue                    // unresponsive, and one more request may test whether it responds again
)

// String returns the state in lower case, or "unknown".
func (r responsiveness) String() string { return nameOf(r, "responsive", "unresponsive", "trial due") }

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
	lastResponseAt     time.Duration // when it last responded, also with an error; 0: never
	lastErrorAt        time.Duration // when it last responded with an error; 0: never
	latestServedSentAt time.Duration // send time of the latest attempt that succeeded

	connectFailures    int // consecutive
	consecutiveRejects int
	backoffUntil       time.Duration // nothing is sent before
	ejectionInterval   time.Duration // between two requests until ejectedUntil
	ejectedUntil       time.Duration
}

// forgetProcess clears what belonged to the process that ran before the server's restart.
func (e *serverEntry) forgetProcess() {
	e.connectFailures, e.consecutiveRejects, e.backoffUntil = 0, 0, 0
	e.lastResponseAt, e.lastErrorAt = 0, 0
}

// eject limits the server to one request per interval.
func (e *serverEntry) eject(now, interval time.Duration) {
	e.ejectionInterval, e.ejectedUntil = interval, now+interval
	e.backOff(e.lastSendAt + interval)
}

// backOff sends nothing to the server before a time.
func (e *serverEntry) backOff(until time.Duration) { e.backoffUntil = max(e.backoffUntil, until) }

// recordSend counts an attempt that goes out now.
func (e *serverEntry) recordSend(now time.Duration, attempt *attempt) {
	e.outstanding = append(e.outstanding, attempt)
	e.inFlight++
	e.lastSendAt = now
	if now < e.ejectedUntil {
		e.backoffUntil = now + e.ejectionInterval
	}
}

// oldestAttempt returns the oldest attempt in flight, or nil.
func (e *serverEntry) oldestAttempt() *attempt {
	for len(e.outstanding) > 0 && (e.outstanding[0].ended || e.outstanding[0].lost) {
		e.outstanding = e.outstanding[1:]
	}
	if len(e.outstanding) == 0 {
		return nil
	}
	return e.outstanding[0]
}

// responsiveness reports whether the server has sent no response for longer than a pause or a large request explains although
// attempts are in flight, and whether a trial is due. The time between trials grows with the silence. Hangs, broken links and lost
// responses look alike here; in a long stall the trials add to the server's queue.
func (e *serverEntry) responsiveness(now, threshold time.Duration) responsiveness {
	oldest := e.oldestAttempt()
	if oldest == nil {
		return responsive
	}
	unresponsiveFor := now - max(oldest.sentAt, e.lastResponseAt)
	if unresponsiveFor <= unresponsiveFactor*max(threshold, e.congestion.latency) {
		return responsive
	}
	interval := float64(min(max(2*threshold, unresponsiveFor/4), 16*threshold)) / min(1, e.congestion.window)
	if float64(now-e.lastSendAt) > interval {
		return trialDue
	}
	return unresponsive
}

// detectLostAttempts finds overdue attempts that the server has passed over, since an attempt sent clearly later has succeeded, and
// releases their slots. That covers lost responses, broken links and stuck requests. It errs at a server that keeps working out of
// order. meanUnits is the mean size of a request.
func (e *serverEntry) detectLostAttempts(now, threshold time.Duration, meanUnits float64) {
	for _, attempt := range e.outstanding {
		age := now - attempt.sentAt
		if age < unresponsiveFactor*threshold {
			return
		}
		allowance := float64(unresponsiveFactor*max(threshold, e.congestion.latency)) * max(1, attempt.request.Units/meanUnits)
		overdue := age >= time.Duration(allowance)
		passedOver := e.latestServedSentAt >= attempt.sentAt+e.congestion.latency
		if !attempt.ended && !attempt.lost && overdue && passedOver {
			attempt.lost = true
			attempt.releaseSlot()
		}
	}
}

// recordAttemptEnd updates the server's health by the end of an attempt.
func (e *serverEntry) recordAttemptEnd(now, threshold time.Duration, attempt *attempt, status Status) {
	e.lastEndedAt, e.lastDuration = now, now-attempt.sentAt
	switch status {
	case StatusOK:
		e.recordResponse(now)
		e.latestServedSentAt = max(e.latestServedSentAt, attempt.sentAt)
	case StatusError:
		e.recordResponse(now)
		e.lastErrorAt = now
	case StatusOverloaded:
		e.recordReject(now, threshold)
	case StatusConnectFailed:
		e.recordConnectFailure(now, threshold)
	case StatusConnectionReset:
		if now-e.lastResponseAt >= unresponsiveFactor*threshold { // else only that connection broke
			e.recordConnectFailure(now, threshold)
		}
	}
}

// recordResponse notes that the server has responded.
func (e *serverEntry) recordResponse(now time.Duration) {
	e.lastResponseAt, e.connectFailures, e.consecutiveRejects = now, 0, 0
}

// recordReject backs off from a server that rejects several requests in a row: it may be draining before the endpoint list reports
// so. A single rejection shows no more than a queue that is full for a moment.
func (e *serverEntry) recordReject(now, threshold time.Duration) {
	e.consecutiveRejects = min(e.consecutiveRejects+1, maxConsecutiveRejects)
	if e.consecutiveRejects > 1 {
		e.backOff(now + threshold<<(e.consecutiveRejects-2))
	}
}

// recordConnectFailure backs off from a server that does not accept connections.
func (e *serverEntry) recordConnectFailure(now, threshold time.Duration) {
	e.connectFailures = min(e.connectFailures+1, maxConnectFailures)
	e.backOff(now + threshold<<(e.connectFailures-1))
}

// expectedLatency returns the latency to expect of a request that is sent now: the smoothed latency, or the age of the oldest
// attempt in flight if that is longer. The age shows a hang or an overload before any late response does. It is not added to the
// smoothed latency, so that its effect ends with the response.
func (e *serverEntry) expectedLatency(now, threshold time.Duration) time.Duration {
	if oldest := e.oldestAttempt(); oldest != nil {
		return max(e.congestion.latency, now-oldest.sentAt)
	}
	return e.congestion.idleLatency(now, threshold)
}
