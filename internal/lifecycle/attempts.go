package lifecycle

import (
	"fmt"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/scheduler"
)

// requestState is the state of a request that is not done, or that still has an attempt in flight.
type requestState struct {
	request    *Request
	deadlineMs float64
	done       bool            // whether the request was responded to or canceled
	attempts   []*attemptState // indexed by attempt number
	inFlight   int             // number of attempts that have not ended
}

// attemptState is the state of one attempt.
type attemptState struct {
	server        *Server
	sentMs        float64
	cancel        func()
	ended         bool
	neverExecuted bool             // whether the attempt's status proves that the server did not execute it
	status        scheduler.Status // how the attempt ended; valid if ended is set
}

// attemptInFlight returns the attempt with the given number, or nil if no such attempt exists or it has ended.
func (s *requestState) attemptInFlight(number int) *attemptState {
	if number < 0 || number >= len(s.attempts) || s.attempts[number].ended {
		return nil
	}
	return s.attempts[number]
}

// firstPossiblyExecuted returns the first attempt that may have been executed, or nil if there is none. The deduplication window,
// in which servers drop repeats of the request, begins when that attempt is sent.
func (s *requestState) firstPossiblyExecuted() *attemptState {
	for _, attempt := range s.attempts {
		if !attempt.neverExecuted {
			return attempt
		}
	}
	return nil
}

// stateOf returns the state of a request, or nil if the request was never accepted or its state has been released.
func (m *Manager) stateOf(request *Request) *requestState {
	state := m.requests[request.id]
	if state == nil || state.request != request {
		return nil
	}
	return state
}

// startAttempt executes a Send action of the scheduler.
func (m *Manager) startAttempt(nowMs float64, send scheduler.Send) {
	state, server := m.requests[send.ID], m.servers[send.Server]
	if state == nil || server == nil {
		m.environment.Log(fmt.Sprintf("cannot send request %d to server %d: unknown request or server", send.ID, send.Server))
		return
	}
	deadlineMs := state.deadlineMs
	if send.Timeout != 0 {
		deadlineMs = min(deadlineMs, nowMs+clock.Ms(send.Timeout))
	}
	startDeadlineMs := m.startDeadlineMs(state.request, send)
	number := len(state.attempts)
	attempt := &attemptState{server: server, sentMs: nowMs}
	state.attempts = append(state.attempts, attempt)
	state.inFlight++
	m.environment.Count(counterAttemptsStarted)
	m.countRepetition(state.attempts[:number])
	m.traceAttemptStarted(state.request, number, server)
	attempt.cancel = state.request.Upstream.Start(Attempt{
		Request:         state.request,
		Number:          number,
		Server:          server,
		DeadlineMs:      deadlineMs,
		StartDeadlineMs: startDeadlineMs,
		Authorizer:      m.authorizer,
	})
}

// countRepetition counts a further attempt by its reason: the status of the attempt before it, or hedging if that one is still in flight.
func (m *Manager) countRepetition(earlier []*attemptState) {
	if len(earlier) == 0 {
		return
	}
	if last := earlier[len(earlier)-1]; last.ended {
		m.environment.Count(counterRetriedPrefix + last.status.String())
		return
	}
	m.environment.Count(counterHedged)
}

// startDeadlineMs returns the earlier of the scheduler's start deadline and the expiry of the quota lease that the attempt
// depends on. 0 means that there is neither.
func (m *Manager) startDeadlineMs(request *Request, send scheduler.Send) float64 {
	deadlineMs := 0.0
	if m.peers != nil {
		deadlineMs = m.peers.QuotaExpiresMs(scheduler.VolumeID(request.Volume))
	}
	if sendMs := clock.Ms(send.StartDeadline); sendMs != 0 && (deadlineMs == 0 || sendMs < deadlineMs) {
		deadlineMs = sendMs
	}
	return deadlineMs
}

// cancelAttempt executes a CancelAttempt action of the scheduler. The upstream still calls Complete for the canceled attempt.
func (m *Manager) cancelAttempt(action scheduler.CancelAttempt) {
	state := m.requests[action.ID]
	if state == nil {
		return
	}
	if attempt := state.attemptInFlight(action.Attempt); attempt != nil {
		attempt.cancel()
	}
}

// Complete records how an attempt ended. Further calls for the same attempt are ignored.
func (m *Manager) Complete(nowMs float64, request *Request, number int, result AttemptResult) {
	state := m.stateOf(request)
	if state == nil {
		return
	}
	attempt := state.attemptInFlight(number)
	if attempt == nil {
		return
	}
	latencyMs := nowMs - attempt.sentMs
	attempt.ended, attempt.status = true, result.Status
	attempt.neverExecuted = result.Status.ProvesNotExecuted()
	state.inFlight--
	m.environment.Count(counterAttemptsPrefix + result.Status.String())
	m.traceAttemptEnded(request, number, attempt.server, result.Status, latencyMs)
	if m.peers != nil {
		m.peers.AttemptEnded(nowMs, attempt.server, result.Status, latencyMs)
	}
	if result.Status == scheduler.StatusOK && !state.done {
		m.respond(state, Response{Kind: Served, Body: result.Body})
	}
	m.pendingEvents = append(m.pendingEvents, scheduler.AttemptEnded{
		ID:             request.id,
		Attempt:        number,
		Server:         attempt.server.id,
		Status:         result.Status,
		Latency:        clock.Duration(latencyMs),
		RequestDone:    state.done,
		VolumeUsage:    result.VolumeUsage,
		HasVolumeUsage: result.HasVolumeUsage,
		ForeignUnits:   result.ForeignUnits,
		LoadReport:     result.LoadReport,
	})
	m.releaseIfDone(nowMs, state)
}

// finish responds to an open request. It has no effect on a request that is done.
func (m *Manager) finish(nowMs float64, id scheduler.RequestID, response Response) {
	if state := m.requests[id]; state != nil && !state.done {
		m.respond(state, response)
		m.releaseIfDone(nowMs, state)
	}
}

// respond passes the one final response of a request to its frontend. The caller checks that the request is not done.
func (m *Manager) respond(state *requestState, response Response) {
	state.done = true
	m.environment.Count(responseCounters[response.Kind])
	if response.Kind == Rejected || response.Kind == Failed {
		m.environment.Count(reasonCounters[response.Kind][response.Reason])
	}
	m.traceCompleted(state.request, &response)
	response.Shard = -1
	if attempt := state.firstPossiblyExecuted(); attempt != nil {
		response.MayHaveExecuted, response.FirstAttemptMs, response.Shard = true, attempt.sentMs, attempt.server.Shard
	}
	state.request.Respond(response)
}

// releaseIfDone deletes the state of a request that is done and has no attempt in flight.
func (m *Manager) releaseIfDone(nowMs float64, state *requestState) {
	if !state.done || state.inFlight > 0 {
		return
	}
	delete(m.requests, state.request.id)
	delete(m.requestsByClientID, state.request.ClientID)
	m.executed.end(state)
	if first := state.firstPossiblyExecuted(); first != nil {
		m.executed.remember(nowMs, state.request, first)
	}
}
