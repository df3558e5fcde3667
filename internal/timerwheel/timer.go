package timerwheel

// Timer is an entry of a wheel. The zero value is not pending. Its owner may embed it and schedule it again after it has
// fired or been canceled, so that a timer is allocated only once.
type Timer[T any] struct {
	// Value is the owner's data; the wheel does not use it.
	Value T

	tick       int64
	sequence   uint64 // sequence number of the call of Schedule that last scheduled this timer
	prev, next *Timer[T]
	list       *timerList[T] // list that contains the timer; nil if it is not pending
	level      int8
	slot       int8
}

// Pending reports whether the timer is scheduled and has not fired yet.
func (t *Timer[T]) Pending() bool { return t.list != nil }

// unlink removes the timer from its list.
func (t *Timer[T]) unlink() {
	t.prev.next, t.next.prev = t.next, t.prev
	t.prev, t.next, t.list = nil, nil, nil
}

// timerList is a circular doubly linked list. root is its sentinel, which the first push initializes.
type timerList[T any] struct{ root Timer[T] }

func (l *timerList[T]) empty() bool { return l.root.next == nil || l.root.next == &l.root }

// push appends a timer to the list.
func (l *timerList[T]) push(timer *Timer[T]) {
	if l.root.next == nil {
		l.root.next, l.root.prev = &l.root, &l.root
	}
	timer.prev, timer.next, timer.list = l.root.prev, &l.root, l
	timer.prev.next, l.root.prev = timer, timer
}

// detach empties a list that contains timers. It returns the first timer; the next pointer of the last one is nil. The
// caller must push each of the timers to a list again.
func (l *timerList[T]) detach() *Timer[T] {
	first := l.root.next
	l.root.prev.next = nil
	l.root.next, l.root.prev = &l.root, &l.root
	return first
}
