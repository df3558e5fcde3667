// Package timerwheel provides a hierarchical timing wheel for large numbers of timers, most of which are rescheduled or
// canceled before they expire. Scheduling and canceling take constant time, whatever the number of timers.
//
// A Wheel has no clock and starts no goroutine: its owner passes the time to Advance and calls every method from one
// goroutine. Times are float64 milliseconds on the owner's clock. A timer expires at the first tick at or after its
// time, never before it. Timers that expire at the same tick fire in the order in which they were scheduled, so that
// runs are reproducible.
package timerwheel

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

const (
	slotBits      = 6
	slotsPerLevel = 1 << slotBits
	slotMask      = slotsPerLevel - 1
	levelCount    = 5
	// horizonTicks is the number of ticks that the levels span. A timer beyond it waits in the last slot within reach
	// and is placed again when that slot is cascaded.
	horizonTicks = 1 << (slotBits * levelCount)
)

// Wheel is a set of pending timers. It is not safe for concurrent use.
type Wheel[T any] struct {
	tickMs       float64
	baseMs       float64
	currentTick  int64 // the last tick that Advance has handled
	levels       [levelCount][slotsPerLevel]timerList[T]
	occupied     [levelCount]uint64 // a bit for each slot that may hold timers
	count        int
	lastSequence uint64
	expired      []*Timer[T] // buffer that fireSlot reuses
}

// New returns an empty wheel whose time is nowMs. It panics if tickMs is not above zero.
func New[T any](nowMs, tickMs float64) *Wheel[T] {
	if !(tickMs > 0) {
		panic("timerwheel: tick must be above zero")
	}
	return &Wheel[T]{tickMs: tickMs, baseMs: nowMs}
}

// Len returns the number of pending timers.
func (w *Wheel[T]) Len() int { return w.count }

// Schedule sets a timer to expire at atMs. A timer that is already pending is moved. A time that has passed, or that
// is not a number, expires at the next tick.
func (w *Wheel[T]) Schedule(timer *Timer[T], atMs float64) {
	w.Cancel(timer)
	tick := math.Ceil((atMs - w.baseMs) / w.tickMs)
	switch {
	case !(tick > float64(w.currentTick)): // negated so that it includes NaN
		timer.tick = w.currentTick + 1
	case tick > math.MaxInt64/2:
		timer.tick = math.MaxInt64 / 2
	default:
		timer.tick = int64(tick)
	}
	w.lastSequence++
	timer.sequence = w.lastSequence
	w.count++
	w.place(timer)
}

// place links a timer into the slot of the lowest level that covers its distance from the current tick.
func (w *Wheel[T]) place(timer *Timer[T]) {
	tick := timer.tick
	if tick-w.currentTick >= horizonTicks {
		tick = w.currentTick + horizonTicks - 1
	}
	// The level is that of the highest digit in which the tick differs from the current one: in the present round of
	// that digit all lower slots are still to come.
	level := 0
	if diff := uint64(tick ^ w.currentTick); diff != 0 {
		level = min((bits.Len64(diff)-1)/slotBits, levelCount-1)
	}
	slot := int(tick>>(slotBits*level)) & slotMask
	timer.level, timer.slot = int8(level), int8(slot)
	w.levels[level][slot].push(timer)
	w.occupied[level] |= 1 << slot
}

// Cancel removes a timer and reports whether it was pending.
func (w *Wheel[T]) Cancel(timer *Timer[T]) bool {
	if timer.list == nil {
		return false
	}
	list := timer.list
	timer.unlink()
	w.count--
	if list.empty() {
		w.occupied[timer.level] &^= 1 << timer.slot
	}
	return true
}

// NextExpiry returns the time in milliseconds at which Advance should be called next, and false if no timer is
// pending. The time is never after the first expiry. It may be before it, when timers must first move to a lower level.
func (w *Wheel[T]) NextExpiry() (ms float64, ok bool) {
	if w.count == 0 {
		return 0, false
	}
	return w.baseMs + float64(w.nextTick())*w.tickMs, true
}

// nextTick returns the next tick at which a slot fires or is cascaded to lower levels.
func (w *Wheel[T]) nextTick() int64 {
	earliest := int64(math.MaxInt64)
	for level := range levelCount {
		occupied := w.occupied[level]
		if occupied == 0 {
			continue
		}
		shift := slotBits * level
		digit := int(w.currentTick>>shift) & slotMask
		// Slots above the present digit are reached in this round, the others in the next.
		candidates := occupied &^ (1<<(digit+1) - 1)
		round := w.currentTick >> (shift + slotBits)
		if candidates == 0 {
			candidates, round = occupied, round+1
		}
		tick := (round<<slotBits + int64(bits.TrailingZeros64(candidates))) << shift
		earliest = min(earliest, tick)
	}
	return earliest
}

// Advance moves the wheel to nowMs and calls fire for each timer that expires, the earliest first. A timer is not
// pending when fire is called for it. fire may schedule and cancel timers; one scheduled for a time that has passed
// expires at the next tick.
func (w *Wheel[T]) Advance(nowMs float64, fire func(*Timer[T])) {
	endTick := int64(math.Floor((nowMs - w.baseMs) / w.tickMs))
	for w.count > 0 {
		tick := w.nextTick()
		if tick > endTick {
			break
		}
		w.currentTick = tick
		// From the top level down, because a cascaded timer may belong into a lower slot of this same tick.
		for level := levelCount - 1; level > 0; level-- {
			if tick&(1<<(slotBits*level)-1) != 0 {
				continue
			}
			w.cascade(level, int(tick>>(slotBits*level))&slotMask)
		}
		w.fireSlot(int(tick)&slotMask, fire)
	}
	w.currentTick = max(w.currentTick, endTick)
}

// cascade moves the timers of a slot to the levels that their remaining distance needs.
func (w *Wheel[T]) cascade(level, slot int) {
	list := &w.levels[level][slot]
	if list.empty() {
		return
	}
	w.occupied[level] &^= 1 << slot
	// The timers are detached first, because place may put some of them back into this slot.
	for timer := list.detach(); timer != nil; {
		next := timer.next
		if timer.tick <= w.currentTick {
			timer.level, timer.slot = 0, int8(w.currentTick&slotMask)
			w.levels[0][timer.slot].push(timer)
			w.occupied[0] |= 1 << timer.slot
		} else {
			w.place(timer)
		}
		timer = next
	}
}

// fireSlot calls fire for the timers of a slot of the lowest level, in the order in which they were scheduled.
func (w *Wheel[T]) fireSlot(slot int, fire func(*Timer[T])) {
	list := &w.levels[0][slot]
	if list.empty() {
		return
	}
	expired := w.expired[:0]
	w.expired = nil // fire may call Advance again
	sorted := true
	for timer := list.root.next; timer != &list.root; timer = timer.next {
		sorted = sorted && (len(expired) == 0 || expired[len(expired)-1].sequence < timer.sequence)
		expired = append(expired, timer)
	}
	if !sorted { // a timer cascaded from a higher level stands behind one that was scheduled later
		slices.SortFunc(expired, func(a, b *Timer[T]) int { return cmp.Compare(a.sequence, b.sequence) })
	}
	for i, timer := range expired {
		expired[i] = nil
		if timer.list == list { // otherwise an earlier call of fire has canceled or moved it
			w.Cancel(timer)
			fire(timer)
		}
	}
	w.expired = expired[:0]
}
