package scheduler

// This file holds what the rules allow to be sent or repeated now.

// mayGo tells whether the rules let a request be sent to a node now.
func (s *Scheduler) mayGo(n *node, r *request) bool {
	if s.listExpired() || r.over || r.expiry <= s.now || len(r.tries) >= s.set.MaxAttempts {
		return false
	}
	if len(r.tries) == 0 {
		if r.vol.plan.Limit > 0 && r.vol.limit.at(s.now) < r.Units {
			return false
		}
	} else if !s.mayRepeat(r) || !s.extraLeft() {
		return false
	} else if r.mayRun && r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupZone && n.Zone != r.ranZone {
		return false // the group that drops repeats; all nodes of a shard are one cell
	}
	if s.inTurn(r) && !s.firstInTurn(r) {
		return false
	}
	return s.admits(n)
}

// listExpired tells whether the list is too old to send by: any of its nodes may drain, and the news of that counts as
// told.
func (s *Scheduler) listExpired() bool { return s.listUntil != 0 && s.now >= s.listUntil }

// mayRepeat tells whether the class allows another attempt at this node.
func (s *Scheduler) mayRepeat(r *request) bool {
	harmless := !r.mayRun || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && s.now < r.repeatBefore()
	return harmless && len(r.tries) < s.set.MaxAttempts && r.out == 0
}

// extraLeft tells whether the budget has room for a further attempt.
func (s *Scheduler) extraLeft() bool {
	if s.set.RetryBudgetWindow == 0 {
		return true
	}
	for len(s.taken) > 0 && s.now-s.taken[0] >= s.set.RetryBudgetWindow {
		s.taken = s.taken[1:]
	}
	for len(s.extras) > 0 && s.now-s.extras[0] > s.set.RetryBudgetWindow {
		s.extras = s.extras[1:]
	}
	return float64(len(s.extras)+1) <= s.set.RetryBudgetMin+s.set.RetryBudgetRatio*float64(len(s.taken))
}
