package exchange

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
)

const (
	mBody    = 300
	mBytes   = 2500
	mEntries = 7
	mKeepMs  = 400
	mWindow  = 900
)

func testSettings() Settings {
	return Settings{MaxExchanges: mEntries, MaxDevices: 4, MaxActivePerDevice: 3, MaxWaitingCopies: 2, MaxHeldBytes: mBytes,
		MaxBodyBytes: mBody, MaxUploadBlocks: 8, RetentionMs: mKeepMs, UploadIdleTimeoutMs: 500, MinRunMs: 20, MaxRetryAfterMs: 2000,
		Link: LinkSettings{MinIdleTimeoutMs: 200, MaxIdleTimeoutMs: 5000, MinBlockSize: 64, MaxBlockSize: 4096, MaxBlockTransferMs: 200}}
}

// world is the simplest gateway round a ledger: it holds what the ledger says, runs what it says, and checks each
// action against what it knows of every exchange itself.
type world struct {
	t      *testing.T
	l      *Store
	now    float64
	log    []string
	copies map[CopyID]*mCopy
	last   CopyID
	known  map[ID]*mExchange
	// Of all time, by device and key: what ran last, however much the ledger has forgotten.
	history map[string]*mRun
	wakeMs  float64
	first   map[string]float64
}

type mCopy struct {
	dev, key string
	class    Class
	body     []byte
	block    *BlockReceived
	by       float64
	told     int
	left     bool
	served   ID
	sum      Digest
}

type mRun struct {
	ran    bool
	ranMs  float64
	shard  int
	window float64
}

type mExchange struct {
	dev, key string
	class    Class
	sum      Digest
	run      int
	open     bool
	body     []byte // held for its upload
	answer   int    // bytes held
	final    Outcome
	hasFinal bool
}

func newWorld(t *testing.T) *world {
	l, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	return &world{t: t, l: l, now: 1e6, copies: map[CopyID]*mCopy{}, known: map[ID]*mExchange{}, history: map[string]*mRun{}, first: map[string]float64{}}
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	for _, line := range w.log {
		w.t.Log(line)
	}
	w.t.Fatalf(format, args...)
}

func sumOf(body []byte) (s Digest) {
	d := xxhash.Sum64(body)
	for i := range 8 {
		s[i] = byte(d >> (8 * i))
	}
	return s
}

func (w *world) step(events ...Event) {
	w.t.Helper()
	for _, ev := range events {
		w.log = append(w.log, fmt.Sprintf("%.0f %T%+v", w.now, ev, ev))
	}
	var whole []Action // what asks for another step is done last, as its order is
	for _, a := range w.l.Step(w.now, events...) {
		w.log = append(w.log, fmt.Sprintf("     -> %T%+v", a, a))
		if _, ok := a.(AssembleBody); ok {
			whole = append(whole, a)
			continue
		}
		w.action(a)
	}
	w.check()
	for _, a := range whole {
		w.action(a)
	}
}

func (w *world) action(a Action) {
	w.t.Helper()
	switch a := a.(type) {
	case AppendBlock:
		c := w.copies[a.Copy]
		x := w.known[a.ID]
		if x == nil {
			x = &mExchange{dev: c.dev, key: c.key}
			w.known[a.ID] = x
		}
		if len(x.body) != c.block.Offset {
			w.fail("a block at %d is appended to %d bytes", c.block.Offset, len(x.body))
		}
		x.body = append(x.body, c.body...)
	case AssembleBody:
		c, x := w.copies[a.Copy], w.known[a.ID]
		if x.body != nil {
			x.sum = sumOf(x.body)
		}
		c.sum = x.sum
		w.step(BodyAssembled{CopyReceived{Copy: a.Copy, Device: c.dev, Key: c.key, Class: c.class, Digest: c.sum, BodyBytes: len(x.body),
			RemainingMs: c.by - w.now, Shard: mShard(int(c.key[2] - '0')), ResendHistory: ResendHistory{c.block.IsRetry, c.block.SameGateway, w.age(c)}}})
	case StartRun:
		c := w.copies[a.Copy]
		x := w.known[a.ID]
		if x == nil {
			x = &mExchange{dev: c.dev, key: c.key}
			w.known[a.ID] = x
		}
		if x.open {
			w.fail("a second run of exchange %d while the first is open", a.ID)
		}
		if c.block != nil && sumOf(x.body) != c.sum {
			w.fail("the run of an upload whose bytes are gone")
		}
		if x.run > 0 && x.sum != c.sum {
			w.fail("another content is run")
		}
		x.open, x.run, x.class, x.sum = true, a.Run, c.class, c.sum
		if a.RemainingMs < 20 {
			w.fail("a run of %v ms", a.RemainingMs)
		}
		if h := w.history[c.dev+c.key]; h != nil && h.ran && c.class.Idempotency != Idempotent && w.now < h.ranMs+h.window {
			switch {
			case c.class.Idempotency == NotIdempotent:
				w.fail("ran once, and again")
			case w.now+a.RemainingMs > h.ranMs+h.window:
				w.fail("a repeat may go out at %v, the window ends at %v", w.now+a.RemainingMs, h.ranMs+h.window)
			case c.class.DedupScope == DedupCell && a.Shard != h.shard:
				w.fail("a repeat in cell %d of what ran in %d", a.Shard, h.shard)
			case c.class.DedupScope == DedupZone:
				w.fail("a repeat in an unknown zone")
			}
		}
	case Respond:
		c := w.copies[a.Copy]
		if c == nil {
			w.fail("an unknown copy is told")
		}
		if c.told++; c.told > 1 {
			w.fail("copy %d is told twice", a.Copy)
		}
		if c.left {
			w.fail("copy %d is told after it has left", a.Copy)
		}
		if w.now > c.by+guardMs+2*tickMs && a.Outcome != OutcomeSuperseded {
			w.fail("copy %d is told %v ms late", a.Copy, w.now-c.by)
		}
		if a.Advice.IdleTimeoutMs != 0 && (a.Advice.IdleTimeoutMs < 200 || a.Advice.IdleTimeoutMs > 5000 || a.Advice.BlockSize < 64 || a.Advice.BlockSize > 4096) {
			w.fail("advice %+v", a.Advice)
		}
		var x *mExchange // that the copy belongs to, if any
		for _, y := range w.known {
			if y.dev == c.dev && y.key == c.key && y.run > 0 {
				x = y
			}
		}
		switch a.Outcome {
		case OutcomeServed:
			if w.known[a.ID] != x || x == nil || x.answer < 0 || x.sum != c.sum {
				w.fail("copy %d is served what is not its own", a.Copy)
			}
			c.served = a.ID
			fallthrough
		case OutcomeFailed:
			if x != nil && (x.open == false || a.Outcome == OutcomeFailed) && x.sum == c.sum {
				if x.hasFinal && x.final != a.Outcome {
					w.fail("exchange %s/%s was told %d, now %d", c.dev, c.key, x.final, a.Outcome)
				}
				x.hasFinal, x.final = true, a.Outcome
			}
		case OutcomeRejected:
			if h := w.history[c.dev+c.key]; h != nil && h.ran && x != nil && c.class.Idempotency != Idempotent && x.run > 0 && h.ranMs+h.window > w.now {
				w.fail("what may have run is refused")
			}
			if a.RetryAfterMs < 0 {
				w.fail("come back %v", a.RetryAfterMs)
			}
		case OutcomeBusy, OutcomeTooLate:
			if doubt := w.copies[a.Copy]; doubt.block != nil && doubt.block.IsRetry && !doubt.block.SameGateway && doubt.class.Idempotency != Idempotent {
				w.fail("what may have run elsewhere is refused")
			}
			if a.Outcome == OutcomeTooLate {
				break
			}
			if !(a.RetryAfterMs >= leastWaitMs && a.RetryAfterMs <= 2000) {
				w.fail("come back %v", a.RetryAfterMs)
			}
		}
	case Release:
		x := w.known[a.ID]
		if x == nil {
			return
		}
		if a.Body {
			x.body = nil
		}
		if a.Response {
			x.answer = -1
		}
		if a.Exchange {
			if x.open {
				w.fail("an open exchange is forgotten")
			}
			if h := w.history[x.dev+x.key]; x.run > 0 && x.class.Idempotency == IdempotentWithKey && h != nil && h.ran && w.now < h.ranMs+h.window {
				w.fail("exchange %d is forgotten %v ms before its window ends", a.ID, h.ranMs+h.window-w.now)
			}
			if x.class.Idempotency == NotIdempotent { // kept for the time that the settings say, and no window tells more
				delete(w.history, x.dev+x.key)
			}
			delete(w.known, a.ID)
		}
	case SetTimer:
		w.wakeMs = a.AtMs
	}
}

// end ends an open run.
func (w *world) end(id ID, x *mExchange, v RunResult, ran bool, shard, size int) {
	w.t.Helper()
	x.open = false
	if v == RunServed {
		ran = true
	}
	key := x.dev + x.key
	if ran && x.class.Idempotency != Idempotent {
		h := w.history[key]
		if h == nil || !h.ran || w.now-10 >= h.ranMs+h.window {
			w.history[key] = &mRun{true, w.now - 10, shard, x.class.DedupWindowMs}
			if x.class.Idempotency == NotIdempotent {
				w.history[key].window = math.Inf(1)
			}
		}
	}
	x.answer = size
	w.step(RunEnded{ID: id, Run: x.run, Result: v, ResponseBytes: size, RetryAfterMs: 50, MayHaveExecuted: ran, FirstAttemptMs: w.now - 10, Shard: shard})
}

// check compares the ledger's books with a recount.
func (w *world) check() {
	w.t.Helper()
	var got Stats = w.l.Stats()
	bytes, open, undelivered := 0, 0, 0
	for id, e := range w.l.byID {
		bytes += e.body + e.upBytes + e.answer
		if e.state == open0 {
			open++
			if x := w.known[id]; x == nil || !x.open {
				w.fail("exchange %d is open without a run", id)
			}
		}
		if e.state == answered {
			undelivered++
		}
		if e.state != open0 && !e.timer.Pending() {
			w.fail("exchange %d will never be forgotten", id)
		}
		if len(e.waiting) > 0 && e.state != open0 {
			w.fail("copies wait for exchange %d, which is not open", id)
		}
		if held := w.known[id]; held != nil && len(held.body) > e.body+e.upBytes {
			w.fail("exchange %d holds %d bytes, the books say %d", id, len(held.body), e.body+e.upBytes)
		}
	}
	if bytes != got.HeldBytes || open != got.Running || undelivered != got.Undelivered {
		w.fail("books: %+v, recount: %d bytes, %d open, %d undelivered", got, bytes, open, undelivered)
	}
	if got.HeldBytes > mBytes || got.Exchanges > mEntries || got.Devices > 4 {
		w.fail("over the bounds: %+v", got)
	}
	for name, d := range w.l.devices {
		n := 0
		for _, e := range d.byKey {
			if e.state == receiving || e.state == open0 {
				n++
			}
		}
		if n != d.busy || n > 3 || (len(d.byKey) == 0) != (d.at != nil) {
			w.fail("device %s: %d busy, recount %d", name, d.busy, n)
		}
	}
	if at, ok := w.l.wheel.NextExpiry(); ok && (w.wakeMs == 0 || w.wakeMs > at) {
		w.fail("the next wake is at %v, the wheel wants %v", w.wakeMs, at)
	}
}

const open0 = open

// mShard is the shard that a key's requests name: all copies the same.
func mShard(key int) int { return 2 - 3*(key%2) }

// age is how long ago the first copy of an exchange was sent, as an honest device tells it: since the last time that
// it was told that nothing had been done.
func (w *world) age(c *mCopy) float64 {
	name := c.dev + c.key
	if _, ok := w.first[name]; !ok {
		w.first[name] = w.now
	}
	return w.now - w.first[name]
}

var mClasses = []Class{{Idempotency: Idempotent}, {Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindowMs: mWindow},
	{Idempotency: IdempotentWithKey, DedupScope: DedupZone, DedupWindowMs: mWindow}, {Idempotency: NotIdempotent}, {Idempotency: IdempotentWithKey, DedupScope: DedupAll, DedupWindowMs: mWindow}}

// body is the content of a key; keys differ in class and size, variants in content.
func mContent(key, variant int) []byte {
	return bytes.Repeat([]byte{byte(key), byte(variant), 7}, 20+key*15)
}

// FuzzLedger takes random steps.
func FuzzLedger(f *testing.F) {
	f.Add([]byte{0, 0, 0, 9, 0, 0, 0, 1, 0, 9, 3, 0, 0})
	r := rand.New(rand.NewPCG(5, 6))
	for range 12 {
		b := make([]byte, 900)
		for i := range b {
			b[i] = byte(r.Uint32())
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, steps []byte) {
		w := newWorld(t)
		for i := 0; i+2 < len(steps); i += 3 {
			op, a, b := steps[i], int(steps[i+1]), int(steps[i+2])
			dev, key := fmt.Sprint("d", a%5), a/5%5
			c := &mCopy{dev: dev, key: fmt.Sprint("/k", key), class: mClasses[key], by: w.now + float64(30+b*4)}
			variant := 0
			if b%16 == 15 {
				variant = 1
			}
			switch op % 8 {
			case 0, 1: // a whole copy
				c.body = mContent(key, variant)
				c.sum = sumOf(c.body)
				w.last++
				w.copies[w.last] = c
				repeat, age := b%7 == 0, w.age(c)
				if b%14 == 0 {
					age = -1
				}
				w.step(CopyReceived{Copy: w.last, Device: dev, Key: c.key, Class: c.class, Digest: c.sum, BodyBytes: len(c.body),
					RemainingMs: c.by - w.now, Shard: mShard(key), ResendHistory: ResendHistory{repeat, b%3 == 0, age}, Link: LinkSample{RoundTripMs: float64(b), MaxGapMs: float64(a)}})
			case 2, 3: // a block: mostly the one that is due
				content := mContent(key, variant)
				size := 40
				offset := b % 8 * size
				tag := fmt.Sprint(op >> 6)
				if d := w.l.devices[dev]; op&8 == 0 && d != nil && d.byKey[c.key] != nil && d.byKey[c.key].up != nil {
					offset, tag = d.byKey[c.key].up.have, d.byKey[c.key].up.tag
					if offset == len(content) && b%2 == 0 { // the last once more
						offset = (len(content) - 1) / size * size
					}
				}
				if offset > len(content) {
					offset = 0
				}
				c.body = content[offset:min(offset+size, len(content))]
				total := -1
				if b%5 == 0 {
					total = len(content) + b%16/15
				}
				c.block = &BlockReceived{Device: dev, Key: c.key, Tag: tag, Offset: offset, Length: len(c.body),
					Digest: xxhash.Sum64(c.body), More: offset+size < len(content), TotalBytes: total, RemainingMs: c.by - w.now}
				w.last++
				c.block.Copy = w.last
				w.copies[w.last] = c
				c.block.Idempotency, c.block.ResendHistory = c.class.Idempotency, ResendHistory{b%7 == 0, b%3 == 0, w.age(c)}
				w.step(*c.block)
			case 4: // a connection goes, or an answer is written
				if w.last == 0 {
					continue
				}
				id := w.last - CopyID(a)%min(w.last, 8)
				if x := w.copies[id]; x.served != 0 && b%2 == 0 {
					w.step(ResponseWritten{Copy: id, Link: LinkSample{Bytes: 1000, TransferMs: float64(b)}})
				} else if b%5 == 0 {
					w.step(LinkMeasured{Device: x.dev, Link: LinkSample{RoundTripMs: float64(4 * a)}})
				} else {
					x.left = true
					w.step(CopyCanceled{id})
				}
			case 5, 6: // a run ends
				n := a
				for id := ID(1); id <= w.l.lastID; id++ {
					if x := w.known[id]; x != nil && x.open {
						if n--; n < 0 || id == w.l.lastID {
							w.end(id, x, RunResult(b%3), b%4 >= 2, max(mShard(int(x.key[2]-'0')), b%3), b%(mBody+1))
							break
						}
					}
				}
			case 7: // time
				if a == 255 && b > 250 {
					w.step(ShutdownStarted{})
					continue
				}
				for end := w.now + float64(a*b%300); ; {
					if w.wakeMs == 0 || w.wakeMs > end {
						w.now = end
						break
					}
					w.now = max(w.now, w.wakeMs)
					w.wakeMs = 0
					w.step(TimerFired{})
				}
			}
		}
		// In the end every copy has been told, and all is forgotten.
		for id, x := range w.known {
			if x.open {
				w.end(id, x, RunFailed, true, 1, 0)
			}
		}
		for n := 0; w.wakeMs != 0; n++ {
			w.now, w.wakeMs = max(w.now, w.wakeMs), 0
			w.step(TimerFired{})
			if n > 1000 {
				w.fail("it never comes to rest")
			}
		}
		if s := w.l.Stats(); s.Exchanges != 0 || s.HeldBytes != 0 || len(w.known) != 0 {
			w.fail("left over: %+v, %d known", s, len(w.known))
		}
		for id, c := range w.copies {
			if c.told == 0 && !c.left {
				w.fail("copy %d was never told", id)
			}
		}
	})
}
