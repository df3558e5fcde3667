package workbudget

// Parts of the cores that work for clients may take. Work beyond them waits. What is left is for requests that go to servers.
const (
	connectionShare = 1.0 / 20 // of one connection
	hostShare       = 1.0 / 2  // of all connections from one host
	totalShare      = 3.0 / 5  // of all connections
)

// Work that may be done at once after a quiet time.
const (
	connectionBurst Work = 2_000
	hostBurst       Work = 4_000
	totalBurst      Work = 6_000
)

const (
	// microsPerMs converts a number of cores into work per millisecond.
	microsPerMs = 1_000
	// heavyFraction is the part of the work that a connection may do, above which it counts as heavy: it then waits for the allowances of
	// its host and of all connections before each read.
	heavyFraction = 1.0 / 8
	// maxWaitMs is the longest time that work waits. The platform wants bad clients answered or disconnected within 3 s.
	maxWaitMs = 2000
	// minReleaseMs is the shortest time between two releases of waiting work.
	minReleaseMs = 0.2
)

// isHeavy reports whether the connection has done much work lately. The caller holds budget.mu.
func (a *Account) isHeavy(nowMs float64) bool {
	return a.usage.at(nowMs) > heavyFraction*usageDecayMs*a.bucket.perMs
}

// recordDebt remembers since when the connection has been using all of its allowance. The caller holds budget.mu.
func (a *Account) recordDebt(nowMs float64) {
	switch {
	case a.bucket.level > a.bucket.burst/2:
		a.debtSinceMs = 0
	case a.bucket.level < 0 && a.debtSinceMs == 0:
		a.debtSinceMs = nowMs
	}
}

// Overused reports whether the connection has been using all of its allowance for longer than work may wait. More requests that wait on it
// should then be refused and the connection closed.
func (a *Account) Overused() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	nowMs := a.budget.clock.NowMs()
	a.bucket.refill(nowMs)
	a.recordDebt(nowMs)
	return a.debtSinceMs != 0 && nowMs-a.debtSinceMs > maxWaitMs
}
