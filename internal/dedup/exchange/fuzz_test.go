package exchange

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// testBlockSize is the size of the blocks that the fuzz test uploads, in bytes.
const testBlockSize = 40

// fuzzStep is a step of the fuzz test. It is encoded as three bytes of the fuzz input.
type fuzzStep struct {
	operation byte
	a, b      int // second and third byte; their meaning depends on the operation
}

// newTransmission returns the transmission that a step describes, without its content.
func (s fuzzStep) newTransmission(nowMs float64) *modelTransmission {
	key := s.key()
	return &modelTransmission{device: fmt.Sprint("d", s.a%5), key: fmt.Sprint("/k", key), class: modelClasses[key],
		deviceDeadlineMs: nowMs + float64(30+s.b*4)}
}

// key returns the number of the key of the step's request, from 0 to 4.
func (s fuzzStep) key() int { return s.a / 5 % 5 }

// content returns the body of the step's request. One step in 16 has another body than the other steps with the same key.
func (s fuzzStep) content() []byte { return bodyOfKey(s.key(), s.b%16/15) }

// history returns what the device reports about earlier transmissions.
func (s fuzzStep) history(ageMs float64) ResendHistory {
	return ResendHistory{IsRetry: s.b%7 == 0, SameGateway: s.b%3 == 0, AgeMs: ageMs}
}

// FuzzStore performs random steps, checks each action of the store against the model, and compares the store with the model after
// each step.
func FuzzStore(f *testing.F) {
	f.Add([]byte{0, 0, 0, 9, 0, 0, 0, 1, 0, 9, 3, 0, 0})
	random := rand.New(rand.NewPCG(5, 6))
	for range 12 {
		steps := make([]byte, 900)
		for i := range steps {
			steps[i] = byte(random.Uint32())
		}
		f.Add(steps)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		m := newGatewayModel(t)
		for i := 0; i+2 < len(input); i += 3 {
			m.fuzz(fuzzStep{input[i], int(input[i+1]), int(input[i+2])})
		}
		m.drain()
	})
}

// fuzz performs one step.
func (m *gatewayModel) fuzz(s fuzzStep) {
	m.t.Helper()
	switch s.operation % 8 {
	case 0, 1:
		m.fuzzTransmission(s)
	case 2, 3:
		m.fuzzBlock(s)
	case 4:
		m.fuzzConnection(s)
	case 5, 6:
		m.fuzzExecutionEnd(s)
	case 7:
		if s.a == 255 && s.b > 250 {
			m.step(ShutdownStarted{})
			return
		}
		m.advanceTo(m.nowMs + float64(s.a*s.b%300))
	}
}

// fuzzTransmission sends a transmission with an entire body.
func (m *gatewayModel) fuzzTransmission(s fuzzStep) {
	m.t.Helper()
	sent := s.newTransmission(m.nowMs)
	sent.body = s.content()
	sent.digest = digestOf(sent.body)
	id := m.addTransmission(sent)
	ageMs := m.ageMs(sent)
	if s.b%14 == 0 {
		ageMs = -1
	}
	m.step(TransmissionReceived{Transmission: id, Device: sent.device, Key: sent.key, Class: sent.class, Digest: sent.digest,
		BodyBytes: len(sent.body), RemainingMs: sent.deviceDeadlineMs - m.nowMs, Shard: shardOfKey(s.key()),
		ResendHistory: s.history(ageMs), Link: LinkSample{RoundTripMs: float64(s.b), MaxGapMs: float64(s.a)}})
}

// fuzzBlock sends a block, usually the next one of the upload.
func (m *gatewayModel) fuzzBlock(s fuzzStep) {
	m.t.Helper()
	sent := s.newTransmission(m.nowMs)
	content := s.content()
	offset, tag := s.b%8*testBlockSize, fmt.Sprint(s.operation>>6)
	if current := m.uploadOf(sent); s.operation&8 == 0 && current != nil {
		offset, tag = current.received, current.tag
		if offset == len(content) && s.b%2 == 0 { // repeat the last block
			offset = (len(content) - 1) / testBlockSize * testBlockSize
		}
	}
	if offset > len(content) {
		offset = 0
	}
	sent.body = content[offset:min(offset+testBlockSize, len(content))]
	total := -1
	if s.b%5 == 0 {
		total = len(content) + s.b%16/15
	}
	sent.block = &BlockReceived{Device: sent.device, Key: sent.key, Tag: tag, Offset: offset, Length: len(sent.body),
		Digest: xxhash.Sum64(sent.body), More: offset+testBlockSize < len(content), TotalBytes: total,
		Idempotency: sent.class.Idempotency, ResendHistory: s.history(m.ageMs(sent)), RemainingMs: sent.deviceDeadlineMs - m.nowMs}
	sent.block.Transmission = m.addTransmission(sent)
	m.step(*sent.block)
}

// uploadOf returns the store's upload for the exchange of a transmission, or nil if there is none.
func (m *gatewayModel) uploadOf(sent *modelTransmission) *upload {
	device := m.store.devices[sent.device]
	if device == nil || device.exchanges[sent.key] == nil {
		return nil
	}
	return device.exchanges[sent.key].upload
}

// fuzzConnection reports a written response, a link measurement or a closed connection.
func (m *gatewayModel) fuzzConnection(s fuzzStep) {
	m.t.Helper()
	if m.lastTransmission == 0 {
		return
	}
	id := m.lastTransmission - TransmissionID(s.a)%min(m.lastTransmission, 8)
	sent := m.transmissions[id]
	switch {
	case sent.servedBy != 0 && s.b%2 == 0:
		m.step(ResponseWritten{Transmission: id, Link: LinkSample{Bytes: 1000, TransferMs: float64(s.b)}})
	case s.b%5 == 0:
		m.step(LinkMeasured{Device: sent.device, Link: LinkSample{RoundTripMs: float64(4 * s.a)}})
	default:
		sent.canceled = true
		m.step(TransmissionCanceled{id})
	}
}

// fuzzExecutionEnd ends an execution, if one is in progress.
func (m *gatewayModel) fuzzExecutionEnd(s fuzzStep) {
	m.t.Helper()
	skip := s.a
	for id := ID(1); id <= m.store.lastID; id++ {
		exchange := m.exchanges[id]
		if exchange == nil || !exchange.running {
			continue
		}
		if skip--; skip < 0 || id == m.store.lastID {
			m.endExecution(id, exchange, ExecutionEnded{Result: ExecutionResult(s.b % 3), MayHaveExecuted: s.b%4 >= 2,
				Shard: max(shardOfKey(keyNumber(exchange.key)), s.b%3), ResponseBytes: s.b % (testMaxBodyBytes + 1)})
			return
		}
	}
}

// drain ends all executions, advances the time until the store is empty, and checks that every transmission that was not
// canceled got a response.
func (m *gatewayModel) drain() {
	m.t.Helper()
	for id, exchange := range m.exchanges {
		if exchange.running {
			m.endExecution(id, exchange, ExecutionEnded{Result: ExecutionFailed, MayHaveExecuted: true, Shard: 1})
		}
	}
	for fired := 0; m.timerMs != 0; fired++ {
		m.fireTimer()
		if fired > 1000 {
			m.fail("the timer still fires after 1000 expiries")
		}
	}
	if stats := m.store.Stats(); stats.Exchanges != 0 || stats.StoredBytes != 0 || len(m.exchanges) != 0 {
		m.fail("after the drain: stats %+v and %d exchanges in the model, want none", stats, len(m.exchanges))
	}
	for id, sent := range m.transmissions {
		if sent.responses == 0 && !sent.canceled {
			m.fail("transmission %d got no response", id)
		}
	}
}
