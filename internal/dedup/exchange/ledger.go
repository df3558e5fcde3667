package exchange

import (
	"cmp"
	"container/list"
	"fmt"
	"math"
	"slices"

	"gaugerelay/internal/timerwheel"
)

const (
	tickMs       = 4    // of the wheel
	guardMs      = 12   // a copy is told this long behind its time if the core has not ended its run by then
	leastWaitMs  = 100  // the soonest time to come back that is told
	windowSpare  = 20   // a repeat must reach its node this long before its window ends
	restUploadMs = 1000 // an upload that got a block within this is not dropped for another's sake
)

type state uint8

// The states of an exchange. Receiving: nothing has been handed to the core. Answered and delivered: the answer is
// kept. Failed: it is over without one; in doubt as long as no copy has been told.
const (
	receiving state = iota
	open
	answered
	delivered
	failed
)

// waiter is a copy that waits for its exchange's answer.
type waiter struct {
	id    CopyID
	until float64 // its device's time is over, if its link took none of it
}

// entry is an exchange.
type entry struct {
	id       ID
	key      string
	dev      *device
	class    Class
	state    state
	sum      Digest
	shard    int // that the request names
	firstMs  float64
	deadline float64 // of the device, by its first copy
	cameMs   float64
	run      int
	ran      bool    // an attempt may have run
	ranMs    float64 // when the first such was sent
	lastMs   float64 // and the latest that is known: if the first never got there, a window began with it
	ranShard int
	told     bool // a copy has been told of the failure
	body     int  // bytes of the run's body
	upBytes  int  // of an upload's that has not been run
	answer   int  // of its answer, or set aside for it
	waiting  []waiter
	up       *upload
	touched  float64
	timer    timerwheel.Timer[*entry]
	list     *list.List // reads, uploads or past, of the ledger
	at       *list.Element
}

// inDoubt tells of a failure that nobody has heard.
func (e *entry) inDoubt() bool { return e.state == failed && !e.told }

// windowEnd is when nodes may stop dropping repeats: none is sent from then on.
func (e *entry) windowEnd() float64 { return e.window(e.ranMs) }

// keepEnd is when no node drops repeats any more; before it what may have run is not forgotten.
func (e *entry) keepEnd() float64 { return e.window(e.lastMs) }

func (e *entry) window(from float64) float64 {
	if !e.ran || e.class.Idempotency != IdempotentWithKey {
		return math.Inf(-1)
	}
	return from + e.class.DedupWindowMs
}

// coming is what is held of an upload that is not whole yet.
func (e *entry) coming() int {
	if e.up == nil || e.up.whole {
		return 0
	}
	return e.upBytes
}

// by is when a copy that still waits must be told: its answer has a way to go, and its request had one.
func (e *entry) by(w waiter) float64 {
	return w.until - e.dev.link.roundTrip(w.until-e.touched) - e.dev.link.margin() + guardMs
}

// device is one that has sent something of late.
type device struct {
	name  string
	link  LinkEstimator
	byKey map[string]*entry
	busy  int     // of its exchanges, those receiving or open
	usual float64 // size of its answers, smoothed
	at    *list.Element
}

// Store is the state.
type Store struct {
	set      Settings
	startMs  float64
	now      float64
	lostMs   float64 // what began before may have been forgotten to make room
	begun    bool
	draining bool
	out      []Action
	devices  map[string]*device
	resting  list.List // devices, the longest unheard first
	byID     map[ID]*entry
	copies   map[CopyID]ID // that wait, or are being written an answer
	lastID   ID
	wheel    *timerwheel.Wheel[*entry]
	reads    list.List // ended exchanges that may be forgotten at once, the oldest first
	uploads  list.List // exchanges that are receiving, the longest untouched first
	past     list.List // ended writes whose window is over
	wakeMs   float64   // 0: none is set
	stats    Stats
}

// New returns an empty ledger.
func New(set Settings) (*Store, error) {
	l := set.Link
	for _, c := range []struct {
		name string
		ok   bool
	}{
		{"number of exchanges", set.MaxExchanges > 0}, {"number of devices", set.MaxDevices > 0},
		{"exchanges of one device", set.MaxActivePerDevice > 0}, {"waiting copies", set.MaxWaitingCopies > 0},
		{"bytes of a body", set.MaxBodyBytes > 0}, {"bytes held: less than two bodies", set.MaxHeldBytes >= 2*set.MaxBodyBytes},
		{"blocks of an upload", set.MaxUploadBlocks > 0}, {"time that writes are kept", set.RetentionMs > 0},
		{"idle time of an upload", set.UploadIdleTimeoutMs > 0}, {"least time of a run", set.MinRunMs > 0},
		{"longest time to come back", set.MaxRetryAfterMs >= leastWaitMs},
		{"silence of a dead link", l.MinIdleTimeoutMs > 0 && l.MaxIdleTimeoutMs >= l.MinIdleTimeoutMs},
		{"size of a block", l.MinBlockSize >= 16 && l.MaxBlockSize >= l.MinBlockSize},
		{"time of a block", l.MaxBlockTransferMs > 0},
	} {
		if !c.ok {
			return nil, fmt.Errorf("exchange: %s: out of range", c.name)
		}
	}
	return &Store{set: set, devices: map[string]*device{}, byID: map[ID]*entry{}, copies: map[CopyID]ID{}}, nil
}

// Stats tells the counts.
func (l *Store) Stats() Stats {
	s := l.stats
	s.Exchanges, s.Devices = len(l.byID), len(l.devices)
	return s
}

// Step takes what happened at one moment and returns what to do.
func (l *Store) Step(nowMs float64, events ...Event) []Action {
	l.out = nil
	if !l.begun {
		l.begun, l.startMs, l.now, l.lostMs = true, nowMs, nowMs, math.Inf(-1)
		l.wheel = timerwheel.New[*entry](nowMs, tickMs)
	}
	l.now = max(l.now, nowMs)
	l.wheel.Advance(l.now, func(t *timerwheel.Timer[*entry]) { l.due(t.Value) })
	for _, ev := range events {
		switch ev := ev.(type) {
		case CopyReceived:
			l.stats.Copies++
			l.offer(&ev, false)
		case BlockReceived:
			l.stats.Copies++
			l.onBlock(&ev)
		case BodyAssembled:
			l.assembled(&ev)
		case CopyCanceled:
			l.left(ev.Copy)
		case ResponseWritten:
			l.written(&ev)
		case LinkMeasured:
			l.measured(&ev)
		case RunEnded:
			l.ended(&ev)
		case ShutdownStarted:
			l.draining = true
		case TimerFired:
			l.wakeMs = 0
		}
	}
	if at, ok := l.wheel.NextExpiry(); ok && (l.wakeMs == 0 || at < l.wakeMs) {
		l.wakeMs = at
		l.do(SetTimer{at})
	}
	return l.out
}

func (l *Store) do(a Action) { l.out = append(l.out, a) }

// tell answers a copy. What is served stays on the books until the answer is written or its connection gone.
func (l *Store) tell(c CopyID, t Respond) {
	t.Copy = c
	if t.Outcome != OutcomeServed {
		delete(l.copies, c)
	}
	switch t.Outcome {
	case OutcomeConflict:
		l.stats.Conflicts++
	case OutcomeBusy:
		l.stats.Busy++
	case OutcomeTooLate:
		l.stats.TooLate++
	}
	l.do(t)
}

// busy turns a copy away by the ledger's own bounds. Nothing of it has run.
func (l *Store) busy(c CopyID, d *device) {
	l.tell(c, Respond{Outcome: OutcomeBusy, RetryAfterMs: l.comeBack(), Advice: l.advice(d)})
}

// turnAway tells a copy that it is not begun: refused, unless an earlier copy that the ledger knows nothing of may
// have run. Then nobody can promise anything.
func (l *Store) turnAway(c CopyID, d *device, o Outcome, doubtful bool) {
	switch {
	case doubtful:
		l.stats.UnknownOutcomeFailed++
		l.tell(c, Respond{Outcome: OutcomeFailed, Advice: l.advice(d)})
	case o == OutcomeBusy:
		l.busy(c, d)
	default:
		l.tell(c, Respond{Outcome: o, Advice: l.advice(d)})
	}
}

// doubtful tells of a copy of an exchange that is not known here, whether an earlier one may have run all the same.
// If all were sent to this gateway, and it has forgotten nothing that is so young, none came whole.
func (l *Store) doubtful(e Idempotency, h *ResendHistory) bool {
	if !h.IsRetry || e == Idempotent {
		return false
	}
	first := l.now - h.AgeMs
	known := h.SameGateway && h.AgeMs >= 0 && h.AgeMs < l.set.RetentionMs && first > l.startMs && first > l.lostMs
	return !known
}

// comeBack is when there may be room: when something kept is due to go.
func (l *Store) comeBack() float64 {
	at, ok := l.wheel.NextExpiry()
	if !ok || l.draining { // this gateway will not have any
		return l.set.MaxRetryAfterMs
	}
	return min(max(at-l.now, leastWaitMs), l.set.MaxRetryAfterMs)
}

func (l *Store) advice(d *device) LinkAdvice {
	if d == nil {
		return (&LinkEstimator{}).Advise(&l.set.Link)
	}
	return d.link.Advise(&l.set.Link)
}

// ---- devices ----

// device finds or begins the books of a device; nil if there is no room. One with exchanges is never forgotten.
func (l *Store) device(name string) *device {
	d := l.devices[name]
	if d == nil {
		if len(l.devices) >= l.set.MaxDevices {
			front := l.resting.Front()
			if front == nil {
				return nil
			}
			l.resting.Remove(front)
			delete(l.devices, front.Value.(*device).name)
		}
		d = &device{name: name, byKey: map[string]*entry{}}
		l.devices[name] = d
	}
	l.rest(d)
	return d
}

// rest puts a device without exchanges at the end of the queue of those that may be forgotten.
func (l *Store) rest(d *device) {
	if d.at != nil {
		l.resting.Remove(d.at)
		d.at = nil
	}
	if len(d.byKey) == 0 {
		d.at = l.resting.PushBack(d)
	}
}

// ---- exchanges ----

// add begins an exchange, or returns nil where there is no room for it and the bytes that it will hold.
func (l *Store) add(d *device, key string, bytes int) *entry {
	if d.busy >= l.set.MaxActivePerDevice || !l.room(1, bytes) {
		return nil
	}
	l.lastID++
	e := &entry{id: l.lastID, key: key, dev: d, shard: -1, ranShard: -1, firstMs: l.now, touched: l.now}
	e.timer.Value = e
	l.byID[e.id] = e
	d.byKey[key] = e
	d.busy++
	l.rest(d)
	return e
}

// room makes room, if it can, for more exchanges and bytes. Answers of reads go first, then uploads that nobody
// sends, then writes whose window is over. Nothing else goes: what may have run must be known while it may be
// repeated, or the next copy would run in another cell.
func (l *Store) room(entries, bytes int) bool {
	for len(l.byID)+entries > l.set.MaxExchanges || l.stats.HeldBytes+bytes > l.set.MaxHeldBytes {
		var e *entry
		if at := l.reads.Front(); at != nil {
			e = at.Value.(*entry)
		} else if at := l.uploads.Front(); at != nil && l.now-at.Value.(*entry).touched >= restUploadMs {
			e = at.Value.(*entry)
		} else if at := l.past.Front(); at != nil {
			e = at.Value.(*entry)
		} else {
			return false
		}
		l.stats.Evicted++
		if e.class.Idempotency != Idempotent && (e.ran || e.told) {
			l.lostMs = max(l.lostMs, e.firstMs, e.lastMs)
		}
		l.forget(e)
	}
	return true
}

// forget drops an exchange. Copies that still wait for it are told that it failed: that can only be guarded against.
func (l *Store) forget(e *entry) {
	for _, w := range e.waiting {
		l.tell(w.id, Respond{Outcome: OutcomeFailed})
	}
	e.waiting = nil
	if e.state == receiving {
		l.stats.UploadsDropped++
	}
	l.settle(e, forgotten)
	l.wheel.Cancel(&e.timer)
	l.hold(e, 0, 0, 0)
	delete(l.byID, e.id)
	delete(e.dev.byKey, e.key)
	l.rest(e.dev)
	l.do(Release{ID: e.id, Body: true, Response: true, Exchange: true})
}

const forgotten state = 255

// settle moves an exchange to a state and keeps the counts and queues that follow from it.
func (l *Store) settle(e *entry, to state) {
	was := e.state
	busy := func(s state) int {
		if s == receiving || s == open {
			return 1
		}
		return 0
	}
	if to == forgotten {
		e.dev.busy -= busy(was)
	} else {
		e.dev.busy += busy(to) - busy(was)
	}
	is := func(s, what state) int {
		if s == what {
			return 1
		}
		return 0
	}
	l.stats.Running += is(to, open) - is(was, open)
	l.stats.Undelivered += is(to, answered) - is(was, answered)
	e.state = to
	l.queue(e)
}

// queue puts an exchange at the end of the queue in which it may be forgotten, if it may.
func (l *Store) queue(e *entry) {
	var to *list.List
	switch {
	case e.state == forgotten || e.state == open:
	case e.state == receiving:
		to = &l.uploads
	case e.class.Idempotency == Idempotent:
		to = &l.reads
	case e.keepEnd() <= l.now && e.class.Idempotency == IdempotentWithKey || !e.ran:
		to = &l.past
	}
	if e.list == to && to != &l.uploads {
		return
	}
	l.unqueue(e)
	if to != nil {
		e.list, e.at = to, to.PushBack(e)
	}
}

// unqueue keeps an exchange from being forgotten to make room for itself.
func (l *Store) unqueue(e *entry) {
	if e.list != nil {
		e.list.Remove(e.at)
		e.list, e.at = nil, nil
	}
}

// hold sets what bytes an exchange holds.
func (l *Store) hold(e *entry, body, up, answer int) {
	l.stats.HeldBytes += body + up + answer - e.body - e.upBytes - e.answer
	e.body, e.upBytes, e.answer = body, up, answer
}

// forgetMs is when an exchange that is over is forgotten.
func (l *Store) forgetMs(e *entry) float64 {
	if e.class.Idempotency == Idempotent {
		return max(e.deadline, e.touched+leastWaitMs) // a later copy is another wait
	}
	return max(e.deadline, e.keepEnd()) + l.set.RetentionMs
}

// arm sets an exchange's timer to what comes next for it.
func (l *Store) arm(e *entry) {
	at := math.Inf(1)
	for _, w := range e.waiting {
		at = min(at, e.by(w))
	}
	switch {
	case e.state == receiving:
		at = min(at, e.touched+l.set.UploadIdleTimeoutMs)
	case e.state != open:
		at = min(at, l.forgetMs(e))
		if e.keepEnd() > l.now {
			at = min(at, e.keepEnd()) // it may be forgotten from then on
		}
	}
	if math.IsInf(at, 1) {
		l.wheel.Cancel(&e.timer)
		return
	}
	l.wheel.Schedule(&e.timer, at)
}

// due handles an exchange whose timer has come.
func (l *Store) due(e *entry) {
	if e.state == receiving && l.now >= e.touched+l.set.UploadIdleTimeoutMs ||
		e.state != receiving && e.state != open && l.now >= l.forgetMs(e) {
		l.forget(e)
		return
	}
	kept := e.waiting[:0]
	for _, w := range e.waiting {
		if l.now < e.by(w) {
			kept = append(kept, w)
			continue
		}
		// Its device goes away now. What it hears holds for all that come later.
		l.tell(w.id, Respond{Outcome: OutcomeFailed, Advice: l.advice(e.dev)})
		e.told = true
	}
	e.waiting = kept
	l.queue(e)
	l.arm(e)
}

// ---- copies ----

// left forgets a copy. Its exchange goes on: the device may come back for it.
func (l *Store) left(c CopyID) {
	e := l.byID[l.copies[c]]
	delete(l.copies, c)
	if e == nil {
		return
	}
	for i, w := range e.waiting {
		if w.id == c {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			l.arm(e)
			return
		}
	}
}

// written notes that an answer went out whole.
func (l *Store) written(w *ResponseWritten) {
	e := l.byID[l.copies[w.Copy]]
	delete(l.copies, w.Copy)
	if e == nil {
		return
	}
	e.dev.link.Observe(w.Link)
	if e.state == answered {
		l.settle(e, delivered)
		l.arm(e)
	}
}

// measured takes in what a link was found to be. Copies that wait may have to be told sooner for it.
func (l *Store) measured(m *LinkMeasured) {
	d := l.devices[m.Device]
	if d == nil {
		return
	}
	d.link.Observe(m.Link)
	var waiting []*entry
	for _, e := range d.byKey {
		if len(e.waiting) > 0 {
			waiting = append(waiting, e)
		}
	}
	slices.SortFunc(waiting, func(a, b *entry) int { return cmp.Compare(a.id, b.id) }) // a map has no order
	for _, e := range waiting {
		l.arm(e)
	}
}

// offer decides on a whole copy; fromUpload is one whose body came in blocks and is held.
func (l *Store) offer(o *CopyReceived, fromUpload bool) {
	d := l.device(o.Device)
	if d == nil {
		l.turnAway(o.Copy, nil, OutcomeBusy, l.doubtful(o.Class.Idempotency, &o.ResendHistory))
		return
	}
	d.link.Observe(o.Link)
	e := d.byKey[o.Key]
	if e != nil && e.state == receiving && !fromUpload { // it has changed its mind and sends the body at once
		l.forget(e)
		e = nil
	}
	budget := o.RemainingMs - d.link.ExpectedOverheadMs(int(d.usual), o.RemainingMs)
	switch {
	case e == nil || e.state == receiving:
		l.begin(d, e, o, budget)
	case e.sum != o.Digest || e.class.Idempotency != o.Class.Idempotency:
		l.tell(o.Copy, Respond{Outcome: OutcomeConflict, Advice: l.advice(d)})
		if fromUpload { // those bytes must never be taken for the exchange's
			l.dropUpload(e)
		}
	default:
		l.join(e, o, budget)
	}
}

// begin takes a request that the ledger does not know; e is its upload if the body came in blocks.
func (l *Store) begin(d *device, e *entry, o *CopyReceived, budget float64) {
	if e != nil {
		budget = min(budget, e.deadline-l.now-d.link.roundTrip(o.RemainingMs)/2)
	}
	doubtful := l.doubtful(o.Class.Idempotency, &o.ResendHistory)
	if l.draining && e == nil {
		l.turnAway(o.Copy, d, OutcomeBusy, doubtful)
		return
	}
	if doubtful {
		// Another gateway, or this one before its start, may have run it. Where its window is open and its cell
		// the same, nodes drop what they have; else nobody knows what another run would do.
		left := -1.0
		if o.Class.Idempotency == IdempotentWithKey && o.AgeMs >= 0 && o.Class.DedupScope != DedupZone && (o.Shard >= 0 || o.Class.DedupScope == DedupAll) {
			left = o.Class.DedupWindowMs - o.AgeMs - windowSpare
		}
		budget = min(budget, left)
	}
	if !(budget >= l.set.MinRunMs) { // also what is no number
		l.turnAway(o.Copy, d, OutcomeTooLate, doubtful)
		if doubtful {
			l.remember(d, e, o)
		} else if e != nil {
			l.forget(e)
		}
		return
	}
	answer := l.answerPlace(o.Class)
	came := o.ClientDelayMs
	if e == nil {
		if e = l.add(d, o.Key, o.BodyBytes+answer); e == nil {
			l.turnAway(o.Copy, d, OutcomeBusy, doubtful)
			return
		}
		e.deadline = l.now + d.link.left(o.RemainingMs)
		l.settle(e, open)
	} else {
		l.unqueue(e)
		if !l.room(0, answer) {
			l.turnAway(o.Copy, d, OutcomeBusy, doubtful)
			l.queue(e) // the blocks stay: the last one may come again
			return
		}
		came += l.now - e.firstMs
		l.settle(e, open)
	}
	e.class, e.sum, e.shard, e.cameMs = o.Class, o.Digest, o.Shard, came
	if doubtful { // what is refused now may have run all the same
		e.ran, e.ranMs, e.lastMs, e.ranShard = true, l.now-o.AgeMs, l.now-o.AgeMs, o.Shard
	}
	l.hold(e, o.BodyBytes, 0, answer)
	l.start(e, o, budget, o.Shard)
}

// remember keeps a failure that a device has been told of a request that is not known here: an earlier copy that
// comes late must neither run nor be told otherwise.
func (l *Store) remember(d *device, e *entry, o *CopyReceived) {
	if e == nil {
		if e = l.add(d, o.Key, 0); e == nil {
			return // it would only have been the better
		}
		e.deadline = l.now + d.link.left(o.RemainingMs)
	}
	e.class, e.sum, e.told = o.Class, o.Digest, true
	l.settle(e, failed)
	l.freeBody(e)
	l.arm(e)
}

// start begins a run.
func (l *Store) start(e *entry, o *CopyReceived, budget float64, shard int) {
	l.stats.Runs++
	e.run++
	l.wait(e, o)
	l.do(StartRun{ID: e.id, Run: e.run, Copy: o.Copy, RemainingMs: budget, ClientDelayMs: e.cameMs, Shard: shard})
}

// wait lets a copy wait for its exchange's answer.
func (l *Store) wait(e *entry, o *CopyReceived) {
	if len(e.waiting) >= l.set.MaxWaitingCopies { // the oldest connection is the likeliest to be half open
		l.tell(e.waiting[0].id, Respond{Outcome: OutcomeSuperseded})
		e.waiting = e.waiting[1:]
	}
	e.waiting = append(e.waiting, waiter{o.Copy, l.now + max(0, o.RemainingMs)})
	e.touched = l.now
	l.copies[o.Copy] = e.id
	l.arm(e)
}

// join decides on a copy of an exchange that is known.
func (l *Store) join(e *entry, o *CopyReceived, budget float64) {
	d := e.dev
	e.touched = l.now
	if e.deadline > l.now { // the copy that a stall has kept back the least tells it best
		e.deadline = min(e.deadline, l.now+d.link.left(o.RemainingMs))
	}
	switch e.state {
	case open:
		l.stats.Joined++
		l.wait(e, o)
	case answered, delivered:
		l.stats.ServedFromCache++
		l.copies[o.Copy] = e.id
		l.tell(o.Copy, Respond{Outcome: OutcomeServed, ID: e.id, Cached: true, Advice: l.advice(d)})
	case failed:
		if left, may := l.mayRunAgain(e, budget); may && !l.draining {
			l.unqueue(e)
			if l.room(0, l.again(e, o)) {
				l.runAgain(e, o, left)
				return
			}
			l.queue(e)
			if !e.ran {
				l.busy(o.Copy, d)
				return
			}
		}
		if e.inDoubt() {
			l.stats.UnknownOutcomeFailed++
			e.told = true
			l.freeBody(e)
		}
		l.tell(o.Copy, Respond{Outcome: OutcomeFailed, Advice: l.advice(d)})
	}
}

// mayRunAgain tells whether a request in doubt may be given to the core once more, and for how long.
func (l *Store) mayRunAgain(e *entry, budget float64) (left float64, may bool) {
	left = budget
	if e.deadline > l.now {
		left = min(left, e.deadline-l.now)
	}
	if !e.inDoubt() || e.class.Idempotency == NotIdempotent && e.ran || e.ran && e.class.Idempotency == IdempotentWithKey && e.class.DedupScope == DedupZone {
		return 0, false // the ledger can name a cell, but no zone
	}
	if e.ran && e.class.Idempotency == IdempotentWithKey {
		left = min(left, e.windowEnd()-l.now-windowSpare)
		if e.class.DedupScope == DedupCell && e.ranShard < 0 {
			return 0, false
		}
	}
	return left, left >= l.set.MinRunMs
}

// runAgain gives a request in doubt to the core once more.
func (l *Store) runAgain(e *entry, o *CopyReceived, left float64) {
	l.stats.Reruns++
	l.settle(e, open)
	l.hold(e, o.BodyBytes, e.coming(), l.answerPlace(e.class))
	if e.deadline < l.now { // its device has come back for another wait
		e.deadline = l.now + e.dev.link.left(o.RemainingMs)
	}
	shard := e.shard
	if e.ran && e.class.Idempotency == IdempotentWithKey && e.class.DedupScope == DedupCell {
		shard = e.ranShard
	}
	l.start(e, o, left, shard)
}

// answerPlace is what is set aside for the answer of a run. That of a write must be kept, so it has its place from
// the start; a read's is kept if there is room.
func (l *Store) answerPlace(c Class) int {
	if c.Idempotency == Idempotent {
		return 0
	}
	return l.set.MaxBodyBytes
}

// again is how many more bytes another run of a request in doubt holds.
func (l *Store) again(e *entry, o *CopyReceived) int {
	return o.BodyBytes + e.coming() + l.answerPlace(e.class) - e.body - e.upBytes - e.answer
}

// freeBody lets go of a body that will not be run any more, and of the answer's place. An upload that is coming in
// beside it, to be compared, goes on.
func (l *Store) freeBody(e *entry) {
	l.hold(e, 0, e.coming(), 0)
	if e.upBytes == 0 {
		l.do(Release{ID: e.id, Body: true})
	}
}

// ended takes the end of a run.
func (l *Store) ended(v *RunEnded) {
	e := l.byID[v.ID]
	if e == nil || e.state != open || e.run != v.Run {
		return
	}
	if v.MayHaveExecuted && (!e.ran || e.class.Idempotency == IdempotentWithKey && v.FirstAttemptMs >= e.windowEnd()) {
		e.ran, e.ranMs, e.ranShard = true, v.FirstAttemptMs, v.Shard
	}
	if v.MayHaveExecuted {
		e.lastMs = max(e.lastMs, v.FirstAttemptMs)
	}
	e.touched = l.now
	waiting := e.waiting
	e.waiting = nil
	advice := l.advice(e.dev)
	switch {
	case v.Result == RunServed && !e.told:
		e.dev.usual += (float64(v.ResponseBytes) - e.dev.usual) / 4
		// A read's answer needs no place; if there is none, it goes to those who wait and is then forgotten.
		l.freeBody(e)
		keep := e.class.Idempotency != Idempotent || l.room(0, v.ResponseBytes)
		l.hold(e, 0, e.upBytes, v.ResponseBytes)
		l.settle(e, answered)
		for _, w := range waiting {
			l.tell(w.id, Respond{Outcome: OutcomeServed, ID: e.id, Advice: advice})
		}
		if !keep {
			l.stats.Evicted++
			l.forget(e)
			return
		}
	case v.Result == RunRejected && !e.ran && !e.told:
		for _, w := range waiting {
			l.tell(w.id, Respond{Outcome: OutcomeRejected, RetryAfterMs: v.RetryAfterMs, Advice: advice})
		}
		l.forget(e)
		return
	default:
		// Also an answer that came after a copy was told of a failure: that is final.
		if v.Result == RunServed {
			l.do(Release{ID: e.id, Response: true})
		}
		for _, w := range waiting {
			l.tell(w.id, Respond{Outcome: OutcomeFailed, Advice: advice})
		}
		e.told = e.told || len(waiting) > 0
		l.settle(e, failed)
		if e.told {
			l.freeBody(e)
		} else {
			l.hold(e, e.body, e.upBytes, 0) // the body may be wanted once more
		}
	}
	l.arm(e)
}
