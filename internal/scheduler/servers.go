package scheduler

import "time"

const (
	// unresponsiveFactor is the multiple of the latency threshold, or of the smoothed latency if that is longer, after which a
	// response is overdue.
	unresponsiveFactor = 4
	// The backoff time doubles with each further consecutive rejection or failed connect. maxConsecutiveRejects and
	// maxConnectFailures bound the numbers of rejections and of failed connects that are counted.
	maxConsecutiveRejects = 5
	maxConnectFailures    = 4
)

// responsiveness is the state of a server with regard to its responses.
type responsiveness uint8

const (
	responsive   responsiveness = iota
	unresponsive                // attempts are in flight and the server has not responded for too long
	trialDue                    // the server is unresponsive, and one more request may be sent to test whether it responds again
)

// String returns the state in lower case, or "unknown".
func (r responsiveness) String() string {
	return enumName(r, "responsive", "unresponsive", "trial due")
}

// serverEntry is the state of a server. Outstanding attempts keep a reference to it after the server has left the endpoint list.
type serverEntry struct {
	Server
	congestion congestionControl
	slowStart  slowStartBudget

	outstanding         []*attempt    // attempts in order of sending; ended and lost ones are dropped only from the front
	inFlight            int           // number of attempts that have neither ended nor been lost
	lastSendAt          time.Duration // time at which an attempt was last sent
	lastEndedAt         time.Duration // time at which an attempt last ended
	lastDuration        time.Duration // duration of the attempt that ended last
	lastResponseAt      time.Duration // time of the last response, including errors; 0: none yet
	lastErrorAt         time.Duration // time of the last response with an error; 0: none yet
	latestSuccessSentAt time.Duration // latest send time of an attempt that succeeded

	connectFailures    int           // number of consecutive failed connects, up to maxConnectFailures
	consecutiveRejects int           // number of consecutive rejected attempts, up to maxConsecutiveRejects
	backoffUntil       time.Duration // time before which nothing is sent to the server
	ejectionInterval   time.Duration // shortest time between two requests while the server is ejected
	ejectedUntil       time.Duration // time at which the ejection ends unless it is repeated
}

// resetProcessState clears the state that belongs to the process that ran before the server's restart.
func (e *serverEntry) resetProcessState() {
	e.connectFailures, e.consecutiveRejects, e.backoffUntil = 0, 0, 0
	e.lastResponseAt, e.lastErrorAt = 0, 0
}

// eject limits the server to one request per interval. The ejection ends after one interval unless it is repeated.
func (e *serverEntry) eject(now, interval time.Duration) {
	e.ejectionInterval, e.ejectedUntil = interval, now+interval
	e.backOff(e.lastSendAt + interval)
}

// backOff suspends sending to the server until the given time.
func (e *serverEntry) backOff(until time.Duration) { e.backoffUntil = max(e.backoffUntil, until) }

// recordSend records an attempt that is sent now. If the server is ejected, nothing more is sent to it for ejectionInterval.
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

// responsiveness returns whether the server responds and, if it does not, whether a trial is due. A server is unresponsive if
// attempts are in flight and a response is overdue (see unresponsiveFactor): neither a pause of the server nor a large request
// explains such a delay. The time between trials grows with the time without a response. Hangs, broken links and lost responses
// cannot be distinguished here, so trials are sent in all these cases. If the server only stalls, the trials add to its queue.
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

// detectLostAttempts marks overdue attempts as lost and releases their slots if an attempt that was sent at least one smoothed
// latency later has succeeded. This covers lost responses, broken links and stuck requests. An attempt is wrongly marked if the
// server executes requests out of order and is still working on it. meanUnits is the mean size of a request.
func (e *serverEntry) detectLostAttempts(now, threshold time.Duration, meanUnits float64) {
	for _, attempt := range e.outstanding {
		age := now - attempt.sentAt
		if age < unresponsiveFactor*threshold {
			return
		}
		timeout := float64(unresponsiveFactor*max(threshold, e.congestion.latency)) * max(1, attempt.request.Units/meanUnits)
		overdue := age >= time.Duration(timeout)
		laterAttemptSucceeded := e.latestSuccessSentAt >= attempt.sentAt+e.congestion.latency
		if !attempt.ended && !attempt.lost && overdue && laterAttemptSucceeded {
			attempt.lost = true
			attempt.releaseSlot()
		}
	}
}

// recordAttemptEnd updates the server's health with the end of an attempt.
func (e *serverEntry) recordAttemptEnd(now, threshold time.Duration, attempt *attempt, status Status) {
	e.lastEndedAt, e.lastDuration = now, now-attempt.sentAt
	switch status {
	case StatusOK:
		e.recordResponse(now)
		e.latestSuccessSentAt = max(e.latestSuccessSentAt, attempt.sentAt)
	case StatusError:
		e.recordResponse(now)
		e.lastErrorAt = now
	case StatusOverloaded:
		e.recordReject(now, threshold)
	case StatusConnectFailed:
		e.recordConnectFailure(now, threshold)
	case StatusConnectionReset:
		if now-e.lastResponseAt >= unresponsiveFactor*threshold { // otherwise only this connection is broken, since the server responds
			e.recordConnectFailure(now, threshold)
		}
	}
}

// recordResponse records that the server has responded.
func (e *serverEntry) recordResponse(now time.Duration) {
	e.lastResponseAt, e.connectFailures, e.consecutiveRejects = now, 0, 0
}

// recordReject backs off from a server that rejects several requests in a row: it may be draining although the endpoint list does
// not report it yet. A single rejection only shows that the server's queue is full at the moment.
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

// expectedLatency returns the expected latency of a request that is sent now: the smoothed latency, or the age of the oldest
// attempt in flight if that is longer. The age reveals a hang or an overload before a late response does. The age is not added to
// the samples of the smoothed latency, so that its effect ends with the response.
func (e *serverEntry) expectedLatency(now, threshold time.Duration) time.Duration {
	if oldest := e.oldestAttempt(); oldest != nil {
		return max(e.congestion.latency, now-oldest.sentAt)
	}
	return e.congestion.idleLatency(now, threshold)
}
