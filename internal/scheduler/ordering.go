package scheduler

import "slices"

// This file holds the order of requests for one key.

func (s *Scheduler) inTurn(r *request) bool { return r.class.OrderedByKey && r.Key != NoKey }

func (s *Scheduler) queueTurn(r *request) {
	t := s.turns[r.Key]
	if t == nil {
		t = &turn{}
		s.turns[r.Key] = t
	}
	t.queue = append(t.queue, r)
}

// firstInTurn tells whether every earlier request of the key is over, without an attempt out, and rested.
// The rest binds later requests only, not a request's own further attempts.
func (s *Scheduler) firstInTurn(r *request) bool {
	t := s.turns[r.Key]
	return t.queue[0] == r && (s.now >= t.rest || len(r.tries) > 0)
}

// restTurn notes that an attempt may go on running.
func (s *Scheduler) restTurn(r *request) {
	if t := s.turns[r.Key]; s.inTurn(r) && t != nil {
		t.rest = max(t.rest, s.now+s.set.KeyCooldown+s.set.MinStepInterval)
	}
}

func (s *Scheduler) leaveTurn(r *request) {
	t := s.turns[r.Key]
	if i := slices.Index(t.queue, r); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
	}
	if len(t.queue) == 0 && s.now >= t.rest {
		delete(s.turns, r.Key)
	}
}
