package scheduler

import (
	"cmp"
	"slices"
)

// This file holds how the list of nodes is taken in.

const (
	mostShards = 1 << 12 // a list with a shard beyond, and beyond the settings', errs
)

// list applies news of the nodes. A node that drains or is gone gets nothing more from now on.
func (s *Scheduler) list(l *EndpointUpdate) {
	s.listUntil = l.ValidUntil
	switch l.Kind {
	case Heartbeat:
		s.watching()
		return
	case WatchIdle:
		s.callBehindWatch(silentSpread)
		return
	case WatchClosed:
		s.callBehindWatch(mostSpread)
		return
	case WatchFailed:
		s.callBehindFailure()
		return
	}
	if l.Kind != CachedSnapshot {
		s.answered(l)
	}
	named := map[ServerID]bool{}
	for _, e := range l.Servers {
		if e.Shard < 0 || e.Shard >= max(mostShards, s.set.Shards) {
			continue
		}
		named[e.ID] = true
		n := s.nodes[e.ID]
		if n == nil {
			n = &node{}
			s.nodes[e.ID] = n
		}
		if n.window == 0 || e.StartedAt != n.StartedAt { // new or restarted
			n.window, n.spare, n.latency = windowStart, s.share(windowSpare), s.threshold
			n.failures, n.turned, n.holdUntil, n.answered, n.erredAt = 0, 0, 0, 0, 0 // the old process's
			n.starting = s.newSlowStartBudget()
		}
		n.Server = e
		for len(s.shards) <= e.Shard {
			s.shards = append(s.shards, &shard{byVol: map[VolumeID]*flow{}})
		}
	}
	if l.Kind != Delta {
		for id, n := range s.nodes {
			if !named[id] {
				n.State = Removed
			}
		}
	}
	for _, sh := range s.shards {
		sh.nodes = sh.nodes[:0]
	}
	for id, n := range s.nodes {
		if n.State == Ready {
			s.shards[n.Shard].nodes = append(s.shards[n.Shard].nodes, n)
		} else if n.State == Removed {
			delete(s.nodes, id) // its attempts keep it as long as they need it
		}
	}
	for _, sh := range s.shards {
		slices.SortFunc(sh.nodes, func(a, b *node) int {
			return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.ID, b.ID))
		})
	}
}
