// Package memorybudget bounds the memory that unanswered data of clients takes: requests that are being read, requests and responses
// in flight, responses that clients have not read yet.
//
// A Budget is shared by all frontends and upstreams of a gateway. Each connection has an Account, whose bytes count against the budget.
// Before bytes are refused, data that can be obtained again is dropped. While the budget is nearly used up, the connections that make the
// least progress are ended, so that others have room. Bytes beyond the limit are refused.
//
// Sizes are in bytes and times in milliseconds. The package runs no goroutine. Its methods may be called from any goroutine, but not with
// a lock that an Evictor acquires.
package memorybudget

import (
	"sync"

	"gaugerelay/internal/metrics"
)

const (
	// pressureFraction is the fraction of the limit from which on connections are ended.
	pressureFraction = 0.75
	// bulkFraction is the fraction of the limit up to which Account.ReserveBulk reserves.
	bulkFraction = 0.85
)

// Names of metrics.
const (
	gaugeUsed      = "client_memory_bytes_now"
	gaugeLimit     = "client_memory_limit_bytes_now"
	counterRefused = "client_memory_refused"
	counterEvicted = "client_memory_evicted"
	counterOverrun = "client_memory_overrun"
)

// unlimitedBudget is the limit of a budget without a limit.
const unlimitedBudget = 0

// Candidate is a connection that may be ended to release memory.
type Candidate struct {
	// Account is the connection's account.
	Account *Account
	// BytesPerMs is the rate at which the connection has made progress.
	BytesPerMs float64
	// End ends the connection and does not block. It returns false, and does nothing, if the connection must not be ended any more.
	End func() bool
}

// Evictor is a set of connections that may be ended to release memory.
type Evictor interface {
	// Slowest returns the connection that makes the least progress. ok is false if none may be ended.
	Slowest() (slowest Candidate, ok bool)
}

// Dropper is a set of data that can be obtained again, such as responses that their clients do not read at present.
type Dropper interface {
	// Drop releases some of the data from its account before it returns. It returns false if there is none that may be dropped now.
	Drop() bool
}

// Budget is an amount of memory that connections share. Create one with New.
type Budget struct {
	limit   int64
	metrics *metrics.Registry

	mu       sync.Mutex
	used     int64
	ending   int64 // bytes of accounts whose connections are being ended
	evictors []Evictor
	droppers []Dropper
}

// New returns a budget of the given number of bytes. 0 means that there is no limit.
func New(limitBytes int64, registry *metrics.Registry) *Budget {
	b := &Budget{limit: limitBytes, metrics: registry}
	registry.AddGauge(gaugeUsed, b.Used)
	registry.AddGauge(gaugeLimit, func() int64 { return b.limit })
	return b
}

// AddEvictor adds a set of connections that may be ended. It must be called before the budget is used.
func (b *Budget) AddEvictor(evictor Evictor) { b.evictors = append(b.evictors, evictor) }

// AddDropper adds a set of data that may be dropped. It must be called before the budget is used.
func (b *Budget) AddDropper(dropper Dropper) {
	if b != nil {
		b.droppers = append(b.droppers, dropper)
	}
}

// drop releases some data that can be obtained again. It returns false if there is none.
func (b *Budget) drop() bool {
	for _, dropper := range b.droppers {
		if dropper.Drop() {
			return true
		}
	}
	return false
}

// Used returns the bytes of all accounts.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// NewAccount returns an account without bytes. A nil Budget returns one without a limit.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// isOver reports whether the bytes in use and the wanted ones are over a fraction of the limit, apart from those of connections that are
// being ended already.
func (b *Budget) isOver(wanted int64, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit != unlimitedBudget && float64(b.used-b.ending+wanted) > fraction*float64(b.limit)
}

// relieve ends connections until the bytes in use and the wanted ones are not over a fraction of the limit.
func (b *Budget) relieve(wanted int64, fraction float64) {
	for b.isOver(wanted, fraction) {
		slowest, ok := b.slowest()
		if !ok || !slowest.Account.beginEnd() {
			return
		}
		if !slowest.End() {
			slowest.Account.cancelEnd()
			return
		}
		b.metrics.Add(counterEvicted, 1)
	}
}

// slowest returns the connection of all evictors that makes the least progress.
func (b *Budget) slowest() (slowest Candidate, ok bool) {
	for _, evictor := range b.evictors {
		candidate, found := evictor.Slowest()
		if found && (!ok || candidate.BytesPerMs < slowest.BytesPerMs) {
			slowest, ok = candidate, true
		}
	}
	return slowest, ok
}

// Account is the part of a budget that one connection uses. nil and the zero value have no limit.
type Account struct {
	budget *Budget // nil: no limit

	// Guarded by budget.mu.

	bytes  int64
	ending bool // whether bytes are counted in budget.ending
	closed bool // whether bytes that are added are not counted
}

// Reserve adds bytes to the account. It returns false, and adds nothing, if the budget would be exceeded.
func (a *Account) Reserve(bytes int) bool { return a.add(int64(bytes), 1, false) }

// ReserveBulk is Reserve for large amounts. It leaves a part of the budget to small ones.
func (a *Account) ReserveBulk(bytes int) bool { return a.add(int64(bytes), bulkFraction, false) }

// ReserveUpTo adds bytes up to the given fraction of the limit, and so leaves the rest of the budget to others. To make room it drops data,
// but ends no connection. It returns false, and adds nothing, if there is no room.
func (a *Account) ReserveUpTo(fraction float64, bytes int) bool {
	if a == nil || a.budget == nil || bytes <= 0 {
		return true
	}
	return !a.addOrDrop(int64(bytes), fraction)
}

// addOrDrop adds bytes up to a fraction of the limit, and drops data for them. It reports whether they are over the fraction.
func (a *Account) addOrDrop(bytes int64, fraction float64) (over bool) {
	over = a.addLocked(bytes, fraction, false)
	for over && a.budget.drop() {
		over = a.addLocked(bytes, fraction, false)
	}
	return over
}

// Force adds bytes to the account even if the budget is exceeded. It is meant for memory that is in use already.
func (a *Account) Force(bytes int) { a.add(int64(bytes), 1, true) }

// add adds bytes up to a fraction of the limit, or beyond it if force is set.
func (a *Account) add(bytes int64, fraction float64, force bool) bool {
	if a == nil || a.budget == nil || bytes <= 0 {
		return true
	}
	if force {
		a.force(bytes)
	} else if a.addOrDrop(bytes, fraction) {
		a.budget.metrics.Add(counterRefused, 1)
		a.budget.relieve(bytes, fraction) // for the next attempt
		return false
	}
	a.budget.relieve(0, pressureFraction)
	return true
}

// force adds bytes, and drops data while the budget is exceeded.
func (a *Account) force(bytes int64) {
	if !a.addLocked(bytes, 1, true) {
		return
	}
	for a.budget.isOver(0, 1) && a.budget.drop() {
		continue
	}
	a.budget.metrics.Add(counterOverrun, 1)
}

// addLocked adds bytes, unless they are over the fraction of the limit and force is not set. It reports whether they are over it.
func (a *Account) addLocked(bytes int64, fraction float64, force bool) (over bool) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	over = b.limit != unlimitedBudget && float64(b.used+bytes) > fraction*float64(b.limit)
	if !a.closed && (!over || force) {
		a.changeLocked(bytes)
	}
	return over
}

// Release removes bytes from the account, at most all that it has.
func (a *Account) Release(bytes int) {
	if a == nil || a.budget == nil || bytes <= 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.changeLocked(-min(int64(bytes), a.bytes))
}

// Resize makes the account have the given number of bytes, even if the budget is exceeded.
func (a *Account) Resize(bytes int) {
	if a == nil || a.budget == nil {
		return
	}
	a.budget.mu.Lock()
	change := bytes - int(a.bytes)
	a.budget.mu.Unlock()
	a.Force(change)
	a.Release(-change)
}

// Close removes all bytes from the account. Bytes that are added later are not counted.
func (a *Account) Close() {
	if a == nil || a.budget == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.changeLocked(-a.bytes)
	a.closed = true
}

// changeLocked changes the bytes of the account and of the budget. The caller holds budget.mu.
func (a *Account) changeLocked(bytes int64) {
	a.bytes += bytes
	a.budget.used += bytes
	if a.ending {
		a.budget.ending += bytes
	}
}

// beginEnd counts the account as that of a connection that is being ended. It returns false if it is one already.
func (a *Account) beginEnd() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.ending || a.closed {
		return false
	}
	a.ending = true
	a.budget.ending += a.bytes
	return true
}

// cancelEnd is called if the connection is not ended after beginEnd.
func (a *Account) cancelEnd() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.ending = false
	a.budget.ending -= a.bytes
}
