package workbudget

import (
	"net"

	"gaugerelay/internal/clock"
)

// Account counts the work of one connection. A nil *Account counts and bounds nothing.
type Account struct {
	budget *Budget
	client string // address of the client, host:port
	host   *host

	// Guarded by budget.mu.

	usage       usage
	bucket      bucket
	finish      Work    // finish tag: where the work of the connection ends in virtual time
	debtSinceMs float64 // time since which the connection has been using all of its allowance; 0: it has not
}

// Open returns an account for a connection with the given client and charges the work of the connection to it. A nil Budget returns
// nil. The account must be closed.
func (b *Budget) Open(client net.Addr) *Account {
	if b == nil {
		return nil
	}
	name := client.String()
	hostName, _, err := net.SplitHostPort(name)
	if err != nil { // not an address with a port
		hostName = name
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	nowMs := b.clock.NowMs()
	a := &Account{budget: b, client: name, host: b.hostOf(hostName, nowMs),
		bucket: newBucket(b.perMs*connectionShare, connectionBurst, nowMs)}
	a.host.conns++
	b.accounts[a] = struct{}{}
	a.countLocked(Connection, nowMs) // the tags of a new connection begin with virtual time
	return a
}

// Charge counts work of the connection. It does not block.
func (a *Account) Charge(work Work) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.chargeLocked(work, a.budget.clock.NowMs())
}

// chargeLocked counts work of the connection and advances its tags. The caller holds budget.mu.
func (a *Account) chargeLocked(work Work, nowMs float64) {
	a.countLocked(work, nowMs)
	a.advance(work)
}

// countLocked counts work of the connection. The caller holds budget.mu.
func (a *Account) countLocked(work Work, nowMs float64) {
	a.usage.add(work, nowMs)
	a.host.usage.add(work, nowMs)
	a.bucket.take(work, nowMs)
	a.recordDebt(nowMs)
	a.host.bucket.take(work, nowMs)
	a.budget.total.take(work, nowMs)
}

// advance moves the finish tag of the connection by work. While nothing waits, virtual time follows, so that work of the past does not
// count later. The caller holds budget.mu.
func (a *Account) advance(work Work) {
	b := a.budget
	a.finish = max(b.virtualTime, a.finish) + work
	if len(b.waiting) == 0 {
		b.virtualTime = a.finish
	}
}

// Close ends the account. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if _, open := a.budget.accounts[a]; !open {
		return
	}
	delete(a.budget.accounts, a)
	a.host.conns--
}

// AwaitRead waits before bytes of a client are read, until its connection may do more work. Connections that do little work do not wait.
// It returns false if the wait is too long; the connection should then be closed.
func (a *Account) AwaitRead() bool { return a.await(0, false) }

// AwaitUnwanted waits before bytes are read that a client should not have sent yet, until the connection, its host and all connections
// together may do more work. It returns false if the wait is too long; the connection should then be closed.
func (a *Account) AwaitUnwanted() bool { return a.await(0, true) }

// AwaitAnswer waits until the connection, its host and all connections together may do more work, and charges the work of a response that
// the gateway makes itself. It returns false, and charges nothing, if the wait is too long; the connection should then be closed.
func (a *Account) AwaitAnswer(work Work) bool { return a.await(work, true) }

// await waits for the connection's allowance, and for those of its host and of all connections if shared is set or the connection is
// heavy. Then it charges work.
func (a *Account) await(work Work, shared bool) bool {
	if a == nil {
		return true
	}
	a.awaitOwn()
	ready := a.enqueue(work, shared)
	if ready == nil {
		return true
	}
	expired, stop := clock.After(a.budget.clock, maxWaitMs)
	defer stop()
	select {
	case <-ready:
		return true
	case <-expired:
		return !a.budget.giveUp(ready)
	}
}

// awaitOwn waits until the connection itself is out of debt.
func (a *Account) awaitOwn() {
	a.budget.mu.Lock()
	debtMs := a.bucket.debtMs(a.budget.clock.NowMs())
	a.budget.mu.Unlock()
	if debtMs == 0 {
		return
	}
	elapsed, _ := clock.After(a.budget.clock, min(debtMs, maxWaitMs))
	<-elapsed
}
