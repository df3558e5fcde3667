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

// name identifies the exchange in the maps of the model.
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
