package exchange

import (
	"bytes"
	"fmt"
	"math"
	"testing"

	"gaugerelay/internal/scheduler"

	"github.com/cespare/xxhash/v2"
)

const (
	testMaxBodyBytes   = 300
	testMaxStoredBytes = 2500
	testMaxExchanges   = 7
	testMaxDevices     = 4
	testMaxActive      = 3
	testMinRunMs       = 20
	testMaxRetryMs     = 2000
	testRetentionMs    = 400
	testDedupWindowMs  = 900
)

var testLinkSettings = LinkSettings{MinIdleTimeoutMs: 200, MaxIdleTimeoutMs: 5000, MinBlockSize: 64, MaxBlockSize: 4096,
	MaxBlockTransferMs: 200}

// testSettings returns limits that short runs reach.
func testSettings() Settings {
	return Settings{MaxExchanges: testMaxExchanges, MaxDevices: testMaxDevices, MaxActivePerDevice: testMaxActive,
		MaxWaitingCopies: 2, MaxStoredBytes: testMaxStoredBytes, MaxBodyBytes: testMaxBodyBytes, MaxUploadBlocks: 8,
		RetentionMs: testRetentionMs, UploadIdleTimeoutMs: 500, MinRunMs: testMinRunMs, MaxRetryAfterMs: testMaxRetryMs,
		Link: testLinkSettings}
}

// modelClasses are the classes of the keys of the model.
var modelClasses = []Class{
	{Idempotency: scheduler.Idempotent},
	{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.DedupShard, DedupWindowMs: testDedupWindowMs},
	{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.DedupZone, DedupWindowMs: testDedupWindowMs},
	{Idempotency: scheduler.NotIdempotent},
	{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.DedupAll, DedupWindowMs: testDedupWindowMs},
}

// gatewayModel is the simplest gateway around a store: it stores what the store says, runs what it says, and checks each
// action against what it knows of every exchange itself.
type gatewayModel struct {
	t         *testing.T
	store     *Store
	nowMs     float64
	timerMs   float64 // 0: none is set
	log       []string
	copies    map[CopyID]*modelCopy
	lastCopy  CopyID
	exchanges map[ID]*modelExchange
	// executions maps device and key to what executed last, however much the store has forgotten.
	executions map[string]*modelExecution
	// firstSentMs maps device and key to when the first copy was sent.
	firstSentMs map[string]float64
}

// modelCopy is what the model knows of a copy.
type modelCopy struct {
	device, key string
	class       Class
	body        []byte
	block       *BlockReceived // nil: the copy came in one piece
	untilMs     float64
	responses   int
	canceled    bool
	servedBy    ID
	digest      Digest
}

// name identifies the copy's exchange in the maps of the model.
func (c *modelCopy) name() string { return c.device + c.key }

// modelExecution is what the model knows of the executions of an exchange.
type modelExecution struct {
	sentMs   float64
	shard    int
	windowMs float64
}

// windowEndMs returns when a repeat would execute again.
func (e *modelExecution) windowEndMs() float64 { return e.sentMs + e.windowMs }

// modelExchange is what the model knows of an exchange.
type modelExchange struct {
	device, key   string
	class         Class
	digest        Digest
	run           int
	running       bool
	body          []byte // of its upload
	responseBytes int    // -1: it was released
	final         ResponseKind
	hasFinal      bool
}

func (e *modelExchange) name() string { return e.device + e.key }

// newGatewayModel returns a model without devices.
func newGatewayModel(t *testing.T) *gatewayModel {
	t.Helper()
	store, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	return &gatewayModel{t: t, store: store, nowMs: 1e6, copies: map[CopyID]*modelCopy{}, exchanges: map[ID]*modelExchange{},
		executions: map[string]*modelExecution{}, firstSentMs: map[string]float64{}}
}

// fail ends the test with the log of all events and actions.
func (m *gatewayModel) fail(format string, args ...any) {
	m.t.Helper()
	for _, line := range m.log {
		m.t.Log(line)
	}
	m.t.Fatalf(format, args...)
}

// digestOf returns a digest of a body.
func digestOf(body []byte) (digest Digest) {
	sum := xxhash.Sum64(body)
	for i := range 8 {
		digest[i] = byte(sum >> (8 * i))
	}
	return digest
}

// shardOfKey returns the shard that a key's requests name: all copies the same.
func shardOfKey(key int) int { return 2 - 3*(key%2) }

// keyNumber returns the number in a key.
func keyNumber(key string) int { return int(key[2] - '0') }

// contentOf returns the body of a key's requests. Keys differ in size, variants in content.
func contentOf(key, variant int) []byte {
	return bytes.Repeat([]byte{byte(key), byte(variant), 7}, 20+key*15)
}

// ageMs returns how long ago the first copy of an exchange was sent.
func (m *gatewayModel) ageMs(c *modelCopy) float64 {
	if _, ok := m.firstSentMs[c.name()]; !ok {
		m.firstSentMs[c.name()] = m.nowMs
	}
	return m.nowMs - m.firstSentMs[c.name()]
}

// addCopy gives a copy an id.
func (m *gatewayModel) addCopy(c *modelCopy) CopyID {
	m.lastCopy++
	m.copies[m.lastCopy] = c
	return m.lastCopy
}

// step hands events to the store, performs its actions and checks its state.
func (m *gatewayModel) step(events ...Event) {
	m.t.Helper()
	for _, event := range events {
		m.log = append(m.log, fmt.Sprintf("%.0f %T%+v", m.nowMs, event, event))
	}
	var assemblies []AssembleBody // each asks for another step after this one
	for _, action := range m.store.Step(m.nowMs, events...) {
		m.log = append(m.log, fmt.Sprintf("     -> %T%+v", action, action))
		switch action := action.(type) {
		case AppendBlock:
			m.appendBlock(action)
		case AssembleBody:
			assemblies = append(assemblies, action)
		case StartRun:
			m.startRun(action)
		case Respond:
			m.respond(action)
		case Release:
			m.release(action)
		case SetTimer:
			m.timerMs = action.AtMs
		}
	}
	m.checkStore()
	for _, assembly := range assemblies {
		m.assemble(assembly)
	}
}

// exchangeOf returns an exchange, which it adds if it is new.
func (m *gatewayModel) exchangeOf(id ID, c *modelCopy) *modelExchange {
	exchange := m.exchanges[id]
	if exchange == nil {
		exchange = &modelExchange{device: c.device, key: c.key}
		m.exchanges[id] = exchange
	}
	return exchange
}

func (m *gatewayModel) appendBlock(action AppendBlock) {
	m.t.Helper()
	c := m.copies[action.Copy]
	exchange := m.exchangeOf(action.ID, c)
	if len(exchange.body) != c.block.Offset {
		m.fail("a block at %d is appended to %d bytes", c.block.Offset, len(exchange.body))
	}
	exchange.body = append(exchange.body, c.body...)
}

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
		m.fail("a repeat in cell %d of what executed in %d", action.Shard, execution.shard)
	case c.class.DedupScope == scheduler.DedupZone:
		m.fail("a repeat in an unknown zone")
	}
}

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

// endRun ends the run of an exchange.
func (m *gatewayModel) endRun(id ID, exchange *modelExchange, ended RunEnded) {
	m.t.Helper()
	exchange.running = false
	if ended.Result == RunServed {
		ended.MayHaveExecuted = true
	}
	sentMs := m.nowMs - 10
	if ended.MayHaveExecuted && exchange.class.Idempotency != scheduler.Idempotent {
		m.recordExecution(exchange, sentMs, ended.Shard)
	}
	exchange.responseBytes = ended.ResponseBytes
	ended.ID, ended.Run, ended.RetryAfterMs, ended.FirstAttemptMs = id, exchange.run, 50, sentMs
	m.step(ended)
}

// recordExecution notes an execution, unless servers dropped it as the repeat of an earlier one.
func (m *gatewayModel) recordExecution(exchange *modelExchange, sentMs float64, shard int) {
	earlier := m.executions[exchange.name()]
	if earlier != nil && sentMs < earlier.windowEndMs() {
		return
	}
	windowMs := exchange.class.DedupWindowMs
	if exchange.class.Idempotency == scheduler.NotIdempotent {
		windowMs = math.Inf(1)
	}
	m.executions[exchange.name()] = &modelExecution{sentMs, shard, windowMs}
}

// advanceTo lets time pass; the timer fires on the way.
func (m *gatewayModel) advanceTo(endMs float64) {
	m.t.Helper()
	for m.timerMs != 0 && m.timerMs <= endMs {
		m.fireTimer()
	}
	m.nowMs = endMs
}

// fireTimer lets time pass until the timer fires.
func (m *gatewayModel) fireTimer() {
	m.t.Helper()
	m.nowMs, m.timerMs = max(m.nowMs, m.timerMs), 0
	m.step(TimerFired{})
}

// checkStore compares the store's counts with a recount.
func (m *gatewayModel) checkStore() {
	m.t.Helper()
	stats := m.store.Stats()
	storedBytes, running, undelivered := 0, 0, 0
	for id, exchange := range m.store.exchanges {
		m.checkExchange(id, exchange)
		storedBytes += exchange.bodyBytes + exchange.uploadBytes + exchange.responseBytes
		running += boolToInt(exchange.state == stateRunning)
		undelivered += boolToInt(exchange.state == stateResponded)
	}
	if storedBytes != stats.StoredBytes || running != stats.Running || undelivered != stats.Undelivered {
		m.fail("stats: %+v, recount: %d bytes, %d running, %d undelivered", stats, storedBytes, running, undelivered)
	}
	if stats.StoredBytes > testMaxStoredBytes || stats.Exchanges > testMaxExchanges || stats.Devices > testMaxDevices {
		m.fail("over the limits: %+v", stats)
	}
	for name, device := range m.store.devices {
		active := 0
		for _, exchange := range device.exchanges {
			active += boolToInt(exchange.state == stateReceiving || exchange.state == stateRunning)
		}
		if active != device.active || active > testMaxActive || (len(device.exchanges) == 0) != (device.idleElement != nil) {
			m.fail("device %s: %d active, recount %d", name, device.active, active)
		}
	}
	if expiryMs, ok := m.store.wheel.NextExpiry(); ok && (m.timerMs == 0 || m.timerMs > expiryMs) {
		m.fail("the timer is set to %v, the wheel's next expiry is %v", m.timerMs, expiryMs)
	}
}

// checkExchange checks an exchange of the store against the model's.
func (m *gatewayModel) checkExchange(id ID, exchange *storedExchange) {
	m.t.Helper()
	known := m.exchanges[id]
	if exchange.state == stateRunning && (known == nil || !known.running) {
		m.fail("exchange %d is running without a run", id)
	}
	if exchange.state != stateRunning && !exchange.timer.Pending() {
		m.fail("exchange %d will never be forgotten", id)
	}
	if len(exchange.waiting) > 0 && exchange.state != stateRunning {
		m.fail("copies wait for exchange %d, which is %v", id, exchange.state)
	}
	if stored := exchange.bodyBytes + exchange.uploadBytes; known != nil && len(known.body) > stored {
		m.fail("exchange %d stores %d bytes, the store counts %d", id, len(known.body), stored)
	}
}
