package exchange

import "gaugerelay/internal/scheduler"

// exchangeOf returns an exchange, which it adds if it is new.
func (m *gatewayModel) exchangeOf(id ID, c *modelCopy) *modelExchange {
	exchange := m.exchanges[id]
	if exchange == nil {
		exchange = &modelExchange{device: c.device, key: c.key}
		m.exchanges[id] = exchange
	}
	return exchange
}

// appendBlock appends the bytes of a copy's block to the body of its exchange.
func (m *gatewayModel) appendBlock(action AppendBlock) {
	m.t.Helper()
	c := m.copies[action.Copy]
	exchange := m.exchangeOf(action.ID, c)
	if len(exchange.body) != c.block.Offset {
		m.fail("a block at %d is appended to %d bytes", c.block.Offset, len(exchange.body))
	}
	exchange.body = append(exchange.body, c.body...)
}

// assemble reports the complete body of an exchange to the store.
func (m *gatewayModel) assemble(action AssembleBody) {
	m.t.Helper()
	c, exchange := m.copies[action.Copy], m.exchanges[action.ID]
	if exchange.body != nil {
		exchange.digest = digestOf(exchange.body)
	}
	c.digest = exchange.digest
	m.step(BodyAssembled{CopyReceived{Copy: action.Copy, Device: c.device, Key: c.key, Class: c.class, Digest: c.digest,
		BodyBytes: len(exchange.body), RemainingMs: c.untilMs - m.nowMs, Shard: shardOfKey(keyNumber(c.key)),
		ResendHistory: ResendHistory{c.block.IsRetry, c.block.SameGateway, m.ageMs(c)}}})
}

// startRun begins a run and checks that it is the only one and is allowed.
func (m *gatewayModel) startRun(action StartRun) {
	m.t.Helper()
	c := m.copies[action.Copy]
	exchange := m.exchangeOf(action.ID, c)
	if exchange.running {
		m.fail("a second run of exchange %d while the first is open", action.ID)
	}
	if c.block != nil && digestOf(exchange.body) != c.digest {
		m.fail("the run of an upload whose bytes are gone")
	}
	if exchange.run > 0 && exchange.digest != c.digest {
		m.fail("another content is run")
	}
	exchange.running, exchange.run, exchange.class, exchange.digest = true, action.Run, c.class, c.digest
	if action.RemainingMs < testMinRunMs {
		m.fail("a run of %v ms", action.RemainingMs)
	}
	m.checkRepeat(action, c)
}

// checkRepeat checks that a run of what has executed reaches servers that drop the repeat.
func (m *gatewayModel) checkRepeat(action StartRun, c *modelCopy) {
	m.t.Helper()
	execution := m.executions[c.name()]
	if execution == nil || c.class.Idempotency == scheduler.Idempotent || m.nowMs >= execution.windowEndMs() {
		return
	}
	switch {
	case c.class.Idempotency == scheduler.NotIdempotent:
		m.fail("executed once, and again")
	case m.nowMs+action.RemainingMs > execution.windowEndMs():
		m.fail("a repeat may be sent at %v, the window ends at %v", m.nowMs+action.RemainingMs, execution.windowEndMs())
	case c.class.DedupScope == scheduler.DedupShard && action.Shard != execution.shard:
		m.fail("a repeat in shard %d of what executed in %d", action.Shard, execution.shard)
	case c.class.DedupScope == scheduler.DedupZone:
		m.fail("a repeat in an unknown zone")
	}
}

// respond checks a response by its kind.
func (m *gatewayModel) respond(action Respond) {
	m.t.Helper()
	c := m.copies[action.Copy]
	m.checkResponse(action, c)
	exchange := m.lastRunOf(c)
	switch action.Kind {
	case ResponseServed:
		if m.exchanges[action.ID] != exchange || exchange == nil || exchange.responseBytes < 0 || exchange.digest != c.digest {
			m.fail("copy %d is served what is not its own", action.Copy)
		}
		c.servedBy = action.ID
		m.checkFinal(action, c, exchange)
	case ResponseFailed:
		m.checkFinal(action, c, exchange)
	case ResponseRejected:
		m.checkRejection(action, c, exchange)
	case ResponseBusy, ResponseTooLate:
		if c.block != nil && c.block.IsRetry && !c.block.SameGateway && c.class.Idempotency != scheduler.Idempotent {
			m.fail("what may have executed elsewhere is rejected")
		}
		inRange := action.RetryAfterMs >= minRetryAfterMs && action.RetryAfterMs <= testMaxRetryMs
		if action.Kind == ResponseBusy && !inRange {
			m.fail("retry after %v", action.RetryAfterMs)
		}
	}
}

// checkResponse checks what is true of each response.
func (m *gatewayModel) checkResponse(action Respond, c *modelCopy) {
	m.t.Helper()
	if c == nil {
		m.fail("a response to an unknown copy")
	}
	if c.responses++; c.responses > 1 {
		m.fail("copy %d gets a second response", action.Copy)
	}
	if c.canceled {
		m.fail("copy %d gets a response after it was canceled", action.Copy)
	}
	if m.nowMs > c.untilMs+responseGraceMs+2*tickMs && action.Kind != ResponseSuperseded {
		m.fail("copy %d gets its response %v ms late", action.Copy, m.nowMs-c.untilMs)
	}
	advice, limits := action.Advice, testLinkSettings
	if advice.IdleTimeoutMs != 0 && (advice.IdleTimeoutMs < limits.MinIdleTimeoutMs ||
		advice.IdleTimeoutMs > limits.MaxIdleTimeoutMs || advice.BlockSize < limits.MinBlockSize || advice.BlockSize > limits.MaxBlockSize) {
		m.fail("advice %+v", advice)
	}
}

// lastRunOf returns the exchange of a copy if it has run.
func (m *gatewayModel) lastRunOf(c *modelCopy) *modelExchange {
	var found *modelExchange
	for _, exchange := range m.exchanges {
		if exchange.device == c.device && exchange.key == c.key && exchange.run > 0 {
			found = exchange
		}
	}
	return found
}

// checkFinal checks that the final response of an exchange never changes.
func (m *gatewayModel) checkFinal(action Respond, c *modelCopy, exchange *modelExchange) {
	m.t.Helper()
	if exchange == nil || exchange.running && action.Kind != ResponseFailed || exchange.digest != c.digest {
		return
	}
	if exchange.hasFinal && exchange.final != action.Kind {
		m.fail("the response of exchange %s/%s was %v, now %v", c.device, c.key, exchange.final, action.Kind)
	}
	exchange.hasFinal, exchange.final = true, action.Kind
}

// checkRejection checks that nothing of a rejected exchange executed.
func (m *gatewayModel) checkRejection(action Respond, c *modelCopy, exchange *modelExchange) {
	m.t.Helper()
	execution := m.executions[c.name()]
	if execution != nil && exchange != nil && c.class.Idempotency != scheduler.Idempotent && execution.windowEndMs() > m.nowMs {
		m.fail("what may have executed is rejected")
	}
	if action.RetryAfterMs < 0 {
		m.fail("retry after %v", action.RetryAfterMs)
	}
}

// release frees what is stored and checks that no exchange is forgotten while it runs or while its repeats would be dropped.
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
		m.fail("a running exchange is forgotten")
	}
	execution := m.executions[exchange.name()]
	if exchange.run > 0 && exchange.class.Idempotency == scheduler.IdempotentWithKey && execution != nil &&
		m.nowMs < execution.windowEndMs() {
		m.fail("exchange %d is forgotten %v ms before its window ends", action.ID, execution.windowEndMs()-m.nowMs)
	}
	if exchange.class.Idempotency == scheduler.NotIdempotent { // retained as long as the settings say; it has no window
		delete(m.executions, exchange.name())
	}
	delete(m.exchanges, action.ID)
}
