// Package wheel is a hierarchical timing wheel: deadlines by the hundred thousand, most of which are moved or
// cancelled before they are due. Adding and cancelling cost a few pointer writes, whatever the number.
//
// Times are float64 milliseconds on the caller's clock. A timer is due at the first tick at or after its time,
// never before it. What is due at one tick fires in the order of adding, so that runs repeat. A Wheel is not
// safe for concurrent use.
package timerwheel

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

const (
	slotBits = 6
	slots    = 1 << slotBits // of one level
	levels   = 5             // 2^30 ticks; what lies further waits in the last slot it can and is sorted again
	mask     = slots - 1
	horizon  = 1 << (slotBits * levels)
)

// Timer is an entry. Its zero value is not in any wheel. It may be added again once it has fired or been
// cancelled, so that its owner needs no allocation for each deadline.
type Timer[T any] struct {
	Value T

	tick       int64
	order      uint64
	prev, next *Timer[T]
	home       *list[T]
	level      int8
	slot       int8
}

// Pending tells whether a timer is waiting.
func (t *Timer[T]) Pending() bool { return t.home != nil }

// list is a ring with a sentinel that is made at its first use.
type list[T any] struct{ root Timer[T] }

func (l *list[T]) empty() bool { return l.root.next == nil || l.root.next == &l.root }

func (l *list[T]) push(t *Timer[T]) {
	if l.root.next == nil {
		l.root.next, l.root.prev = &l.root, &l.root
	}
	t.prev, t.next, t.home = l.root.prev, &l.root, l
	t.prev.next, l.root.prev = t, t
}

func (t *Timer[T]) unlink() {
	t.prev.next, t.next.prev = t.next, t.prev
	t.prev, t.next, t.home = nil, nil, nil
}

// Wheel holds timers.
type Wheel[T any] struct {
	tickMs float64
	baseMs float64
	now    int64 // the last tick that has been handled
	level  [levels][slots]list[T]
	used   [levels]uint64 // slots that may hold timers
	count  int
	orders uint64
	due    []*Timer[T] // scratch
}

// New returns a wheel that stands at nowMs. It panics if tickMs is not above zero.
func New[T any](nowMs, tickMs float64) *Wheel[T] {
	if !(tickMs > 0) {
		panic("wheel: a tick must be above zero")
	}
	return &Wheel[T]{tickMs: tickMs, baseMs: nowMs}
}

// Len is the number of waiting timers.
func (w *Wheel[T]) Len() int { return w.count }

// Schedule sets a timer, moving it if it is set already. A time that has passed is due at the next tick.
func (w *Wheel[T]) Schedule(t *Timer[T], atMs float64) {
	w.Cancel(t)
	tick := math.Ceil((atMs - w.baseMs) / w.tickMs)
	switch {
	case !(tick > float64(w.now)): // also what is no number
		t.tick = w.now + 1
	case tick > math.MaxInt64/2:
		t.tick = math.MaxInt64 / 2
	default:
		t.tick = int64(tick)
	}
	w.orders++
	t.order = w.orders
	w.count++
	w.place(t)
}

// place links a timer into the slot of the lowest level that its distance fits.
func (w *Wheel[T]) place(t *Timer[T]) {
	at := t.tick
	if at-w.now >= horizon {
		at = w.now + horizon - 1
	}
	// The level is that of the highest digit in which the time differs from now: all lower slots of that
	// digit's present round are still to come.
	level := 0
	if diff := uint64(at ^ w.now); diff != 0 {
		level = min((bits.Len64(diff)-1)/slotBits, levels-1)
	}
	slot := int(at>>(slotBits*level)) & mask
	t.level, t.slot = int8(level), int8(slot)
	w.level[level][slot].push(t)
	w.used[level] |= 1 << slot
}

// Cancel takes a timer out. It tells whether it was set.
func (w *Wheel[T]) Cancel(t *Timer[T]) bool {
	if t.home == nil {
		return false
	}
	home := t.home
	t.unlink()
	w.count--
	if home.empty() {
		w.used[t.level] &^= 1 << t.slot
	}
	return true
}

// NextExpiry tells when the next timer may be due: never after it, and never so early that calling Advance then
// achieves nothing at all.
func (w *Wheel[T]) NextExpiry() (ms float64, ok bool) {
	if w.count == 0 {
		return 0, false
	}
	return w.baseMs + float64(w.nextTick())*w.tickMs, true
}

// nextTick is the next tick at which a slot fires or is dealt out to lower levels.
func (w *Wheel[T]) nextTick() int64 {
	best := int64(math.MaxInt64)
	for level := range levels {
		used := w.used[level]
		if used == 0 {
			continue
		}
		shift := slotBits * level
		digit := int(w.now>>shift) & mask
		// Slots above the present digit come in this round, those up to it in the next.
		ahead := used &^ (1<<(digit+1) - 1)
		round := w.now >> (shift + slotBits)
		if ahead == 0 {
			ahead, round = used, round+1
		}
		at := (round<<slotBits + int64(bits.TrailingZeros64(ahead))) << shift
		best = min(best, at)
	}
	return best
}

// Advance moves the wheel to nowMs and calls fire for each timer that has come due, soonest first. fire may add
// and cancel timers; one added for a time that has passed is due at the next tick.
func (w *Wheel[T]) Advance(nowMs float64, fire func(*Timer[T])) {
	end := int64(math.Floor((nowMs - w.baseMs) / w.tickMs))
	for w.count > 0 {
		at := w.nextTick()
		if at > end {
			break
		}
		w.now = at
		// From the top down: what is dealt out may belong into a lower slot of this very tick.
		for level := levels - 1; level > 0; level-- {
			if at&(1<<(slotBits*level)-1) != 0 {
				continue
			}
			w.deal(level, int(at>>(slotBits*level))&mask)
		}
		w.fire(int(at)&mask, fire)
	}
	w.now = max(w.now, end)
}

// deal sorts the timers of a slot again.
func (w *Wheel[T]) deal(level, slot int) {
	l := &w.level[level][slot]
	if l.empty() {
		return
	}
	w.used[level] &^= 1 << slot
	first := l.root.next
	l.root.prev.next = nil // cut the ring: what goes back into this slot must not be met again
	l.root.next, l.root.prev = &l.root, &l.root
	for t := first; t != nil; {
		next := t.next
		if t.tick <= w.now {
			t.level, t.slot = 0, int8(w.now&mask)
			w.level[0][t.slot].push(t)
			w.used[0] |= 1 << t.slot
		} else {
			w.place(t)
		}
		t = next
	}
}

// fire calls fire for the timers of a slot of the lowest level, in the order of adding.
func (w *Wheel[T]) fire(slot int, fire func(*Timer[T])) {
	l := &w.level[0][slot]
	if l.empty() {
		return
	}
	due := w.due[:0]
	w.due = nil // while it is read
	sorted := true
	for t := l.root.next; t != &l.root; t = t.next {
		sorted = sorted && (len(due) == 0 || due[len(due)-1].order < t.order)
		due = append(due, t)
	}
	if !sorted { // some came down from higher levels later than others were added here
		slices.SortFunc(due, func(a, b *Timer[T]) int { return cmp.Compare(a.order, b.order) })
	}
	for i, t := range due {
		due[i] = nil
		if t.home == l { // else cancelled or moved by one before it
			w.Cancel(t)
			fire(t)
		}
	}
	w.due = due[:0]
}
