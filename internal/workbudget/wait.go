package workbudget

import (
	"cmp"
	"runtime"
	"slices"
)

// waiter is work that waits for the allowances of its host and of all connections.
type waiter struct {
	account *Account
	work    Work
	start   Work // start tag
	number  int  // order of arrival
	ready   chan struct{}
}

// compare orders waiters by their start tags, and then by arrival. A connection's tags advance by its work, so that waiting connections get
// equal parts, and a connection that has done little goes first.
func (w *waiter) compare(other *waiter) int {
	return cmp.Or(cmp.Compare(w.start, other.start), cmp.Compare(w.number, other.number))
}

// enqueue lets work pass, or lets it wait until the channel that it returns is closed. If it returns nil, the work has passed.
func (a *Account) enqueue(work Work, shared bool) (ready <-chan struct{}) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	nowMs := b.clock.NowMs()
	if !shared && !a.isHeavy(nowMs) {
		a.chargeLocked(work, nowMs)
		return nil
	}
	b.arrivals++
	w := &waiter{account: a, work: work, start: max(b.virtualTime, a.finish), number: b.arrivals, ready: make(chan struct{})}
	position, _ := slices.BinarySearchFunc(b.waiting, w, (*waiter).compare)
	b.waiting = slices.Insert(b.waiting, position, w)
	b.release(nowMs)
	return w.ready
}

// release lets waiting work pass while the allowances last, and sets a timer if some still waits. The caller holds b.mu.
func (b *Budget) release(nowMs float64) {
	for i := 0; i < len(b.waiting) && b.total.debtMs(nowMs) == 0; {
		w := b.waiting[i]
		if w.account.host.bucket.debtMs(nowMs) > 0 {
			i++
			continue
		}
		b.waiting = slices.Delete(b.waiting, i, i+1)
		b.virtualTime = max(b.virtualTime, w.start) + max(Read, w.work)/Work(len(b.waiting)+1)
		w.account.chargeLocked(w.work, nowMs)
		close(w.ready)
	}
	b.scheduleRelease(nowMs)
}

// scheduleRelease sets a timer for the time at which the first waiting work may pass. The caller holds b.mu.
func (b *Budget) scheduleRelease(nowMs float64) {
	if len(b.waiting) == 0 || b.releaseScheduled {
		return
	}
	hostMs := float64(maxWaitMs)
	for _, w := range b.waiting {
		hostMs = min(hostMs, w.account.host.bucket.debtMs(nowMs))
	}
	b.releaseScheduled = true
	b.clock.AfterFunc(max(minReleaseMs, b.total.debtMs(nowMs), hostMs), b.releaseScheduledWork)
}

// releaseScheduledWork is called by the timer of scheduleRelease.
func (b *Budget) releaseScheduledWork() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseScheduled = false
	b.release(b.clock.NowMs())
}

// giveUp removes work that has waited for too long. It returns false if the work has passed in the meantime.
func (b *Budget) giveUp(ready <-chan struct{}) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	index := slices.IndexFunc(b.waiting, func(w *waiter) bool { return w.ready == ready })
	if index < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, index, index+1)
	b.registry.Add(counterRefused, 1)
	return true
}

// Yield lets other goroutines run before the caller goes on. A goroutine that reads and answers one request after the other, each at once,
// would otherwise run until the runtime stops it, and those that have become ready in the meantime would wait.
func Yield() { runtime.Gosched() }
