package timerwheel

// Timer is an entry of a wheel, embedded in or owned by what it times. The zero value is not pending. A timer may be
// scheduled again after it has fired or been canceled, so that its owner allocates it once.
type Timer[T any] struct {
	// Value is the owner's data; the wheel does not use it.
	Value T

	tick       int64
	sequence   uint64 // of its last Schedule
	prev, next *Timer[T]
	list       *timerList[T] // nil if it is not pending
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

// timerList is a doubly linked ring with a sentinel, which is initialized by the first push.
type timerList[T any] struct{ root Timer[T] }

func (l *timerList[T]) empty() bool { return l.root.next == nil || l.root.next == &l.root }

// push appends a timer.
func (l *timerList[T]) push(timer *Timer[T]) {
	if l.root.next == nil {
		l.root.next, l.root.prev = &l.root, &l.root
	}
	timer.prev, timer.next, timer.list = l.root.prev, &l.root, l
	timer.prev.next, l.root.prev = timer, timer
}

// detach empties a list that has timers and returns the first of them; their next pointers end in nil. The caller must
// push each of them into a list again.
func (l *timerList[T]) detach() *Timer[T] {
	first := l.root.next
	l.root.prev.next = nil
	l.root.next, l.root.prev = &l.root, &l.root
	return first
}
