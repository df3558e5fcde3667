package exchange

import "gaugerelay/internal/scheduler"

// findOrAddExchange returns the model's record of an exchange and adds one if there is none.
func (m *gatewayModel) findOrAddExchange(id ID, sent *modelTransmission) *modelExchange {
	exchange := m.exchanges[id]
	if exchange == nil {
		exchange = &modelExchange{device: sent.device, key: sent.key}
		m.exchanges[id] = exchange
	}
	return exchange
}

// appendBlock appends the block of a transmission to the body of its exchange.
func (m *gatewayModel) appendBlock(action AppendBlock) {
	m.t.Helper()
	sent := m.transmissions[action.Transmission]
	exchange := m.findOrAddExchange(action.ID, sent)
	if len(exchange.body) != sent.block.Offset {
		m.fail("a block at offset %d is appended to a body of %d bytes", sent.block.Offset, len(exchange.body))
	}
	exchange.body = append(exchange.body, sent.body...)
}

// assemble passes the digest and size of an exchange's complete body to the store.
func (m *gatewayModel) assemble(action AssembleBody) {
	m.t.Helper()
	sent, exchange := m.transmissions[action.Transmission], m.exchanges[action.ID]
	if exchange.body != nil {
		exchange.digest = digestOf(exchange.body)
	}
	sent.digest = exchange.digest
	m.step(BodyAssembled{TransmissionReceived{Transmission: action.Transmission, Device: sent.device, Key: sent.key,
		Class: sent.class, Digest: sent.digest, BodyBytes: len(exchange.body), RemainingMs: sent.deviceDeadlineMs - m.nowMs,
		Shard:         shardOfKey(keyNumber(sent.key)),
		ResendHistory: ResendHistory{sent.block.IsRetry, sent.block.SameGateway, m.ageMs(sent)}}})
}

// startExecution starts an execution and checks that it is allowed and that no other is in progress.
func (m *gatewayModel) startExecution(action StartExecution) {
	m.t.Helper()
	sent := m.transmissions[action.Transmission]
	exchange := m.findOrAddExchange(action.ID, sent)
	if exchange.running {
		m.fail("exchange %d starts a second execution while the first is in progress", action.ID)
	}
	if sent.block != nil && digestOf(exchange.body) != sent.digest {
		m.fail("the stored body of the upload does not have the digest of the transmission that is executed")
	}
	if exchange.executionNumber > 0 && exchange.digest != sent.digest {
		m.fail("a repeated execution has another content than the first")
	}
	exchange.running, exchange.executionNumber, exchange.class, exchange.digest =
		true, action.ExecutionNumber, sent.class, sent.digest
	if action.RemainingMs < testMinExecutionMs {
		m.fail("an execution has %v ms, which is less than the minimum", action.RemainingMs)
	}
	m.checkRepeat(action, sent)
}

// checkRepeat checks an execution of a request that a server has already executed. A request that is not idempotent must not be
// repeated. While the deduplication window lasts, a repeat with a key must reach servers that drop it.
func (m *gatewayModel) checkRepeat(action StartExecution, sent *modelTransmission) {
	m.t.Helper()
	execution := m.serverExecutions[sent.name()]
	if execution == nil || sent.class.Idempotency == scheduler.Idempotent || m.nowMs >= execution.windowEndMs() {
		return
	}
	switch {
	case sent.class.Idempotency == scheduler.NotIdempotent:
		m.fail("a request that is not idempotent and was executed by a server is executed again")
	case m.nowMs+action.RemainingMs > execution.windowEndMs():
		m.fail("a repeat may be sent until %v, but the deduplication window ends at %v", m.nowMs+action.RemainingMs,
			execution.windowEndMs())
	case sent.class.DedupScope == scheduler.DedupShard && action.Shard != execution.shard:
		m.fail("a repeat is sent to shard %d, but the request was executed in shard %d", action.Shard, execution.shard)
	case sent.class.DedupScope == scheduler.DedupZone:
		m.fail("a repeat is sent to an unknown zone")
	}
}

// respond checks a response to a transmission.
func (m *gatewayModel) respond(action Respond) {
	m.t.Helper()
	sent := m.transmissions[action.Transmission]
	m.checkResponse(action, sent)
	exchange := m.executedExchange(sent)
	switch action.Kind {
	case ResponseServed:
		if m.exchanges[action.ID] != exchange || exchange == nil || exchange.responseBytes < 0 || exchange.digest != sent.digest {
			m.fail("transmission %d is served the response of another exchange or a released one", action.Transmission)
		}
		sent.servedBy = action.ID
		m.checkFinal(action, sent, exchange)
	case ResponseFailed:
		m.checkFinal(action, sent, exchange)
	case ResponseRejected:
		m.checkRejection(action, sent, exchange)
	case ResponseContinue:
		if end := sent.block.Offset + sent.block.Length; action.BufferedBytes < end {
			m.fail("a block up to offset %d is acknowledged, but only %d bytes are stored", end, action.BufferedBytes)
		}
	case ResponseBusy, ResponseTooLate:
		if sent.block != nil && sent.block.IsRetry && !sent.block.SameGateway && sent.class.Idempotency != scheduler.Idempotent {
			m.fail("a request that may have been executed through another gateway is rejected")
		}
		inRange := action.RetryAfterMs >= minRetryAfterMs && action.RetryAfterMs <= testMaxRetryMs
		if action.Kind == ResponseBusy && !inRange {
			m.fail("a busy response has a retry delay of %v ms, which is out of range", action.RetryAfterMs)
		}
	}
}

// checkResponse checks the properties that all responses must have.
func (m *gatewayModel) checkResponse(action Respond, sent *modelTransmission) {
	m.t.Helper()
	if sent == nil {
		m.fail("a response is sent to an unknown transmission")
	}
	if sent.responses++; sent.responses > 1 {
		m.fail("transmission %d gets a second response", action.Transmission)
	}
	if sent.canceled {
		m.fail("transmission %d gets a response after it was canceled", action.Transmission)
	}
	if m.nowMs > sent.deviceDeadlineMs+responseGraceMs+2*wheelTickMs && action.Kind != ResponseSuperseded {
		m.fail("transmission %d gets its response %v ms after its deadline", action.Transmission, m.nowMs-sent.deviceDeadlineMs)
	}
	advice, limits := action.Advice, testLinkSettings
	if advice.IdleTimeoutMs != 0 && (advice.IdleTimeoutMs < limits.MinIdleTimeoutMs ||
		advice.IdleTimeoutMs > limits.MaxIdleTimeoutMs || advice.BlockSize < limits.MinBlockSize ||
		advice.BlockSize > limits.MaxBlockSize) {
		m.fail("advice %+v is out of range", advice)
	}
}

// executedExchange returns the exchange of a transmission if it has been executed at least once, and nil otherwise.
func (m *gatewayModel) executedExchange(sent *modelTransmission) *modelExchange {
	var found *modelExchange
	for _, exchange := range m.exchanges {
		if exchange.device == sent.device && exchange.key == sent.key && exchange.executionNumber > 0 {
			found = exchange
		}
	}
	return found
}

// checkFinal checks that the final response of an exchange never changes.
func (m *gatewayModel) checkFinal(action Respond, sent *modelTransmission, exchange *modelExchange) {
	m.t.Helper()
	if exchange == nil || exchange.running && action.Kind != ResponseFailed || exchange.digest != sent.digest {
		return
	}
	if exchange.hasFinal && exchange.final != action.Kind {
		m.fail("the final response of exchange %s/%s changes from %v to %v", sent.device, sent.key, exchange.final, action.Kind)
	}
	exchange.hasFinal, exchange.final = true, action.Kind
}

// checkRejection checks that no server executed the request of a rejected exchange.
func (m *gatewayModel) checkRejection(action Respond, sent *modelTransmission, exchange *modelExchange) {
	m.t.Helper()
	execution := m.serverExecutions[sent.name()]
	if execution != nil && exchange != nil && sent.class.Idempotency != scheduler.Idempotent && execution.windowEndMs() > m.nowMs {
		m.fail("a request that may have been executed is rejected")
	}
	if action.RetryAfterMs < 0 {
		m.fail("a rejection has a negative retry delay of %v ms", action.RetryAfterMs)
	}
}

// release frees stored data. It checks that no exchange is forgotten during an execution or before its deduplication window
// ends.
func (m *gatewayModel) release(action Release) {
	m.t.Helper()
	exchange := m.exchanges[action.ID]
	if exchange == nil {
		return
	}
	if action.Body {
		exchange.body = nil
	}
	if action.Response {
		exchange.responseBytes = -1
	}
	if !action.Exchange {
		return
	}
	if exchange.running {
		m.fail("an exchange is forgotten while its execution is in progress")
	}
	execution := m.serverExecutions[exchange.name()]
	if exchange.executionNumber > 0 && exchange.class.Idempotency == scheduler.IdempotentWithKey && execution != nil &&
		m.nowMs < execution.windowEndMs() {
		m.fail("exchange %d is forgotten %v ms before its deduplication window ends", action.ID, execution.windowEndMs()-m.nowMs)
	}
	if exchange.class.Idempotency == scheduler.NotIdempotent {
		// The window of this record never ends. If the record were kept, checkRepeat would fail any later execution with the same
		// key, although one is allowed once the exchange is forgotten.
		delete(m.serverExecutions, exchange.name())
	}
	delete(m.exchanges, action.ID)
}
