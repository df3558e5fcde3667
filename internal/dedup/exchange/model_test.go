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
	testMinExecutionMs = 20
	testMaxRetryMs     = 2000
	testRetentionMs    = 400
	testDedupWindowMs  = 900
)

var testLinkSettings = LinkSettings{MinIdleTimeoutMs: 200, MaxIdleTimeoutMs: 5000, MinBlockSize: 64, MaxBlockSize: 4096,
	MaxBlockTransferMs: 200}

// testSettings returns settings with limits that short tests reach.
func testSettings() Settings {
	return Settings{MaxExchanges: testMaxExchanges, MaxDevices: testMaxDevices, MaxActivePerDevice: testMaxActive,
		MaxWaitingTransmissions: 2, MaxStoredBytes: testMaxStoredBytes, MaxBodyBytes: testMaxBodyBytes, MaxUploadBlocks: 8,
		RetentionMs: testRetentionMs, UploadIdleTimeoutMs: 500, MinExecutionMs: testMinExecutionMs, MaxRetryAfterMs: testMaxRetryMs,
		Link: testLinkSettings}
}

// modelClasses holds the class of the requests with each key. The keys are "/k0" to "/k4": the requests with the key "/k2" have
// the class at index 2.
var modelClasses = []Class{
	{Idempotency: scheduler.Idempotent},
	{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.DedupShard, DedupWindowMs: testDedupWindowMs},
	{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.DedupZone, DedupWindowMs: testDedupWindowMs},
	{Idempotency: scheduler.NotIdempotent},
	{Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.DedupAll, DedupWindowMs: testDedupWindowMs},
}

// gatewayModel is a minimal owner of a store. It performs the store's actions and checks each against its own record of all
// exchanges.
type gatewayModel struct {
	t                *testing.T
	store            *Store
	nowMs            float64
	timerMs          float64 // time at which the timer fires; 0 if no timer is set
	log              []string
	transmissions    map[TransmissionID]*modelTransmission
	lastTransmission TransmissionID
	exchanges        map[ID]*modelExchange
	// serverExecutions maps device and key to the latest execution by a server. Entries remain when the store has forgotten
	// the exchange, except those of requests that are not idempotent (see release).
	serverExecutions map[string]*serverExecution
	// firstSentMs maps device and key to the time at which the first transmission was sent.
	firstSentMs map[string]float64
}

// modelTransmission is the model's record of a transmission.
type modelTransmission struct {
	device, key      string
	class            Class
	body             []byte
	block            *BlockReceived // nil: the transmission has the entire body
	deviceDeadlineMs float64        // when the device stops waiting
	responses        int
	canceled         bool
	servedBy         ID // exchange whose response was sent; 0: none
	digest           Digest
}

// name identifies the exchange of the transmission in the maps of the model.
func (sent *modelTransmission) name() string { return sent.device + sent.key }

// serverExecution is the model's record of the latest execution of a request by a server.
type serverExecution struct {
	sentMs   float64
	shard    int
	windowMs float64
}

// windowEndMs returns the time from which servers would execute a repeat.
func (e *serverExecution) windowEndMs() float64 { return e.sentMs + e.windowMs }

// modelExchange is the model's record of an exchange.
type modelExchange struct {
	device, key     string
	class           Class
	digest          Digest
	executionNumber int
	running         bool         // an execution is in progress
	body            []byte       // body of the upload
	responseBytes   int          // size of the response; -1: released
	final           ResponseKind // kind of the final response; valid if hasFinal is true
	hasFinal        bool
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
	return &gatewayModel{t: t, store: store, nowMs: 1e6, transmissions: map[TransmissionID]*modelTransmission{},
		exchanges: map[ID]*modelExchange{}, serverExecutions: map[string]*serverExecution{}, firstSentMs: map[string]float64{}}
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

// shardOfKey returns the shard that all transmissions of a request name, given the number of its key: 2 for an even number, and
// -1 for an odd one.
func shardOfKey(key int) int { return 2 - 3*(key%2) }

// keyNumber returns the number of a key, for instance 2 for "/k2".
func keyNumber(key string) int { return int(key[2] - '0') }

// bodyOfKey returns a body for a request, given the number of its key. Variants 0 and 1 are different bodies of the same size, so
// that requests with the same key can differ in content.
func bodyOfKey(key, variant int) []byte {
	return bytes.Repeat([]byte{byte(key), byte(variant), 7}, 20+key*15)
}

// ageMs returns the time since the first transmission of an exchange was sent.
func (m *gatewayModel) ageMs(sent *modelTransmission) float64 {
	if _, ok := m.firstSentMs[sent.name()]; !ok {
		m.firstSentMs[sent.name()] = m.nowMs
	}
	return m.nowMs - m.firstSentMs[sent.name()]
}

// addTransmission records a transmission and returns its new id.
func (m *gatewayModel) addTransmission(sent *modelTransmission) TransmissionID {
	m.lastTransmission++
	m.transmissions[m.lastTransmission] = sent
	return m.lastTransmission
}

// step passes events to the store, performs its actions and checks its state.
func (m *gatewayModel) step(events ...Event) {
	m.t.Helper()
	for _, event := range events {
		m.log = append(m.log, fmt.Sprintf("%.0f %T%+v", m.nowMs, event, event))
	}
	var assemblies []AssembleBody // actions that each require a separate step after this one
	for _, action := range m.store.Step(m.nowMs, events...) {
		m.log = append(m.log, fmt.Sprintf("     -> %T%+v", action, action))
		switch action := action.(type) {
		case AppendBlock:
			m.appendBlock(action)
		case AssembleBody:
			assemblies = append(assemblies, action)
		case StartExecution:
			m.startExecution(action)
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

// endExecution ends the execution of an exchange.
func (m *gatewayModel) endExecution(id ID, exchange *modelExchange, ended ExecutionEnded) {
	m.t.Helper()
	exchange.running = false
	if ended.Result == ExecutionServed {
		ended.MayHaveExecuted = true
	}
	sentMs := m.nowMs - 10
	if ended.MayHaveExecuted && exchange.class.Idempotency != scheduler.Idempotent {
		m.recordServerExecution(exchange, sentMs, ended.Shard)
	}
	exchange.responseBytes = ended.ResponseBytes
	ended.ID, ended.ExecutionNumber, ended.RetryAfterMs, ended.FirstAttemptMs = id, exchange.executionNumber, 50, sentMs
	m.step(ended)
}

// recordServerExecution records the execution of an attempt by a server, unless servers drop the attempt as a repeat.
func (m *gatewayModel) recordServerExecution(exchange *modelExchange, sentMs float64, shard int) {
	earlier := m.serverExecutions[exchange.name()]
	if earlier != nil && sentMs < earlier.windowEndMs() {
		return
	}
	windowMs := exchange.class.DedupWindowMs
	if exchange.class.Idempotency == scheduler.NotIdempotent {
		windowMs = math.Inf(1)
	}
	m.serverExecutions[exchange.name()] = &serverExecution{sentMs, shard, windowMs}
}

// advanceTo advances the time to endMs and fires the timer whenever it is due.
func (m *gatewayModel) advanceTo(endMs float64) {
	m.t.Helper()
	for m.timerMs != 0 && m.timerMs <= endMs {
		m.fireTimer()
	}
	m.nowMs = endMs
}

// fireTimer advances the time to the expiry of the timer and fires it.
func (m *gatewayModel) fireTimer() {
	m.t.Helper()
	m.nowMs, m.timerMs = max(m.nowMs, m.timerMs), 0
	m.step(TimerFired{})
}

// checkStore compares the store's statistics with values computed from its exchanges, and checks its limits and timer.
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
		m.fail("got stats %+v, want %d stored bytes, %d running, %d undelivered", stats, storedBytes, running, undelivered)
	}
	if stats.StoredBytes > testMaxStoredBytes || stats.Exchanges > testMaxExchanges || stats.Devices > testMaxDevices {
		m.fail("stats %+v exceed the limits", stats)
	}
	for name, device := range m.store.devices {
		active := 0
		for _, exchange := range device.exchanges {
			active += boolToInt(exchange.state == stateReceiving || exchange.state == stateRunning)
		}
		if active != device.active || active > testMaxActive || (len(device.exchanges) == 0) != (device.idleElement != nil) {
			m.fail("device %s: got %d active exchanges, counted %d; or its place in the list of idle devices is wrong",
				name, device.active, active)
		}
	}
	if expiryMs, ok := m.store.wheel.NextExpiry(); ok && (m.timerMs == 0 || m.timerMs > expiryMs) {
		m.fail("the timer is set to %v, want at most the next expiry of the timer wheel at %v", m.timerMs, expiryMs)
	}
}

// checkExchange compares an exchange of the store with the model's record.
func (m *gatewayModel) checkExchange(id ID, exchange *storedExchange) {
	m.t.Helper()
	known := m.exchanges[id]
	if exchange.state == stateRunning && (known == nil || !known.running) {
		m.fail("exchange %d is in the state running, but no execution is in progress", id)
	}
	if exchange.state != stateRunning && !exchange.timer.Pending() {
		m.fail("exchange %d has no pending timer, so it will never be forgotten", id)
	}
	if len(exchange.waiting) > 0 && exchange.state != stateRunning {
		m.fail("transmissions wait for exchange %d in the state %v, want running", id, exchange.state)
	}
	if stored := exchange.bodyBytes + exchange.uploadBytes; known != nil && len(known.body) > stored {
		m.fail("exchange %d has a body of %d bytes, but the store counts %d", id, len(known.body), stored)
	}
}
