package exchange

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// testBlockSize is the size of the blocks that the fuzz test uploads.
const testBlockSize = 40

// fuzzStep is a step of the fuzz test: three bytes of its input.
type fuzzStep struct {
	operation byte
	a, b      int
}

// copyOf returns the copy of a request that a step describes, without its content.
func (s fuzzStep) copyOf(nowMs float64) *modelCopy {
	key := s.key()
	return &modelCopy{device: fmt.Sprint("d", s.a%5), key: fmt.Sprint("/k", key), class: modelClasses[key],
		untilMs: nowMs + float64(30+s.b*4)}
}

func (s fuzzStep) key() int { return s.a / 5 % 5 }

// content returns the body of the step's request: rarely another one than the other copies have.
func (s fuzzStep) content() []byte { return contentOf(s.key(), s.b%16/15) }

// history returns what the device says about earlier copies.
func (s fuzzStep) history(ageMs float64) ResendHistory {
	return ResendHistory{IsRetry: s.b%7 == 0, SameGateway: s.b%3 == 0, AgeMs: ageMs}
}

// FuzzStore takes random steps.
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
		m.fuzzCopy(s)
	case 2, 3:
		m.fuzzBlock(s)
	case 4:
		m.fuzzConnection(s)
	case 5, 6:
		m.fuzzRunEnd(s)
	case 7:
		if s.a == 255 && s.b > 250 {
			m.step(ShutdownStarted{})
			return
		}
		m.advanceTo(m.nowMs + float64(s.a*s.b%300))
	}
}

// fuzzCopy sends a copy in one piece.
func (m *gatewayModel) fuzzCopy(s fuzzStep) {
	m.t.Helper()
	c := s.copyOf(m.nowMs)
	c.body = s.content()
	c.digest = digestOf(c.body)
	id := m.addCopy(c)
	ageMs := m.ageMs(c)
	if s.b%14 == 0 {
		ageMs = -1
	}
	m.step(CopyReceived{Copy: id, Device: c.device, Key: c.key, Class: c.class, Digest: c.digest, BodyBytes: len(c.body),
		RemainingMs: c.untilMs - m.nowMs, Shard: shardOfKey(s.key()), ResendHistory: s.history(ageMs),
		Link: LinkSample{RoundTripMs: float64(s.b), MaxGapMs: float64(s.a)}})
}

// fuzzBlock sends a block: mostly the one that continues the upload.
func (m *gatewayModel) fuzzBlock(s fuzzStep) {
	m.t.Helper()
	c := s.copyOf(m.nowMs)
	content := s.content()
	offset, tag := s.b%8*testBlockSize, fmt.Sprint(s.operation>>6)
	if current := m.uploadOf(c); s.operation&8 == 0 && current != nil {
		offset, tag = current.received, current.tag
		if offset == len(content) && s.b%2 == 0 { // the last one again
			offset = (len(content) - 1) / testBlockSize * testBlockSize
		}
	}
	if offset > len(content) {
		offset = 0
	}
	c.body = content[offset:min(offset+testBlockSize, len(content))]
	total := -1
	if s.b%5 == 0 {
		total = len(content) + s.b%16/15
	}
	c.block = &BlockReceived{Device: c.device, Key: c.key, Tag: tag, Offset: offset, Length: len(c.body),
		Digest: xxhash.Sum64(c.body), More: offset+testBlockSize < len(content), TotalBytes: total,
		Idempotency: c.class.Idempotency, ResendHistory: s.history(m.ageMs(c)), RemainingMs: c.untilMs - m.nowMs}
	c.block.Copy = m.addCopy(c)
	m.step(*c.block)
}

// uploadOf returns the store's upload of a copy's exchange; nil if there is none.
func (m *gatewayModel) uploadOf(c *modelCopy) *upload {
	device := m.store.devices[c.device]
	if device == nil || device.exchanges[c.key] == nil {
		return nil
	}
	return device.exchanges[c.key].upload
}

// fuzzConnection closes a connection, measures a link or completes the writing of a response.
func (m *gatewayModel) fuzzConnection(s fuzzStep) {
	m.t.Helper()
	if m.lastCopy == 0 {
		return
	}
	id := m.lastCopy - CopyID(s.a)%min(m.lastCopy, 8)
	c := m.copies[id]
	switch {
	case c.servedBy != 0 && s.b%2 == 0:
		m.step(ResponseWritten{Copy: id, Link: LinkSample{Bytes: 1000, TransferMs: float64(s.b)}})
	case s.b%5 == 0:
		m.step(LinkMeasured{Device: c.device, Link: LinkSample{RoundTripMs: float64(4 * s.a)}})
	default:
		c.canceled = true
		m.step(CopyCanceled{id})
	}
}

// fuzzRunEnd ends a run, if one is open.
func (m *gatewayModel) fuzzRunEnd(s fuzzStep) {
	m.t.Helper()
	skip := s.a
	for id := ID(1); id <= m.store.lastID; id++ {
		exchange := m.exchanges[id]
		if exchange == nil || !exchange.running {
			continue
		}
		if skip--; skip < 0 || id == m.store.lastID {
			m.endRun(id, exchange, RunEnded{Result: RunResult(s.b % 3), MayHaveExecuted: s.b%4 >= 2,
				Shard: max(shardOfKey(keyNumber(exchange.key)), s.b%3), ResponseBytes: s.b % (testMaxBodyBytes + 1)})
			return
		}
	}
}

// drain ends all runs, lets time pass until nothing is left, and checks that every copy got a response.
func (m *gatewayModel) drain() {
	m.t.Helper()
	for id, exchange := range m.exchanges {
		if exchange.running {
			m.endRun(id, exchange, RunEnded{Result: RunFailed, MayHaveExecuted: true, Shard: 1})
		}
	}
	for fired := 0; m.timerMs != 0; fired++ {
		m.fireTimer()
		if fired > 1000 {
			m.fail("the timer never stops")
		}
	}
	if stats := m.store.Stats(); stats.Exchanges != 0 || stats.StoredBytes != 0 || len(m.exchanges) != 0 {
		m.fail("left over: %+v, %d known", stats, len(m.exchanges))
	}
	for id, c := range m.copies {
		if c.responses == 0 && !c.canceled {
			m.fail("copy %d never got a response", id)
		}
	}
}
