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
	// horizonTicks is the number of ticks that all levels cover. A timer that expires after them is put into the slot of
	// the last of these ticks, and is placed again when that slot is cascaded.
	horizonTicks = 1 << (slotBits * levelCount)
)

// Wheel is a set of pending timers. It is not safe for concurrent use.
type Wheel[T any] struct {
	tickMs       float64
	baseMs       float64
	currentTick  int64 // last tick that Advance has handled
	levels       [levelCount][slotsPerLevel]timerList[T]
	occupied     [levelCount]uint64 // bit set of the slots of each level that may contain timers
	count        int                // number of pending timers
	lastSequence uint64
	expired      []*Timer[T] // buffer that fireSlot reuses
}

// New returns an empty wheel whose current time is nowMs. It panics unless tickMs is positive.
func New[T any](nowMs, tickMs float64) *Wheel[T] {
	if !(tickMs > 0) {
		panic("timerwheel: tickMs must be positive")
	}
	return &Wheel[T]{tickMs: tickMs, baseMs: nowMs}
}

// Len returns the number of pending timers.
func (w *Wheel[T]) Len() int { return w.count }

// Schedule sets a timer to expire at atMs. A timer that is already pending is rescheduled. If atMs has passed or is NaN, the
// timer expires at the next tick.
func (w *Wheel[T]) Schedule(timer *Timer[T], atMs float64) {
	w.Cancel(timer)
	tick := math.Ceil((atMs - w.baseMs) / w.tickMs)
	switch {
	case !(tick > float64(w.currentTick)): // negated to include NaN
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

// place puts a timer into a slot of the lowest level that covers the time until it expires.
func (w *Wheel[T]) place(timer *Timer[T]) {
	tick := timer.tick
	if tick-w.currentTick >= horizonTicks {
		tick = w.currentTick + horizonTicks - 1
	}
	// Each level stands for one digit of the tick. A digit has slotBits bits. The level is that of the highest digit in which
	// the tick differs from the current one. The slot is therefore reached before the level wraps around.
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

// NextExpiry returns the time in milliseconds at which Advance should be called next. ok is false if no timer is pending.
// The time is never after the first expiry. It may be earlier, if timers must first be moved to a lower level.
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
		// A round is one pass through the slots of a level. Slots above the current digit are reached in the current round, the
		// others in the next one.
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

// Advance moves the wheel to nowMs and calls fire for each timer that expires, in the order of the timers' ticks. A timer is
// not pending when fire is called for it. fire may schedule and cancel timers. A timer that fire schedules for a time that
// has passed expires at the next tick.
func (w *Wheel[T]) Advance(nowMs float64, fire func(*Timer[T])) {
	endTick := int64(math.Floor((nowMs - w.baseMs) / w.tickMs))
	for w.count > 0 {
		tick := w.nextTick()
		if tick > endTick {
			break
		}
		w.currentTick = tick
		// The levels are cascaded from the top down, because a timer may move to a slot of a lower level that is reached at
		// the same tick.
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

// cascade moves the timers of a slot to the lower levels that cover the remaining time until they expire.
func (w *Wheel[T]) cascade(level, slot int) {
	list := &w.levels[level][slot]
	if list.empty() {
		return
	}
	w.occupied[level] &^= 1 << slot
	// The timers are detached first, because place may put some of them into this slot again.
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
	w.expired = nil // fire may call Advance, which must not use the same buffer
	sorted := true
	for timer := list.root.next; timer != &list.root; timer = timer.next {
		sorted = sorted && (len(expired) == 0 || expired[len(expired)-1].sequence < timer.sequence)
		expired = append(expired, timer)
	}
	if !sorted { // a timer that was cascaded from a higher level may follow one that was scheduled later
		slices.SortFunc(expired, func(a, b *Timer[T]) int { return cmp.Compare(a.sequence, b.sequence) })
	}
	for i, timer := range expired {
		expired[i] = nil
		if timer.list == list { // otherwise a previous call of fire has canceled or rescheduled it
			w.Cancel(timer)
			fire(timer)
		}
	}
	w.expired = expired[:0]
}
