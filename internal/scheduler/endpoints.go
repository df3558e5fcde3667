package scheduler

import (
	"cmp"
	"slices"
)

// This file holds how the list of nodes is taken in.

const (
	maxShards = 1 << 12 // a list with a shard beyond, and beyond the settings', errs
)

// applyEndpointUpdate applies news of the nodes. A node that drains or is gone gets nothing more from now on.
func (s *Scheduler) applyEndpointUpdate(update *EndpointUpdate) {
	s.endpointsValidUntil = update.ValidUntil
	switch update.Kind {
	case Heartbeat:
		s.poller.watchOpened(s.now)
		return
	case WatchIdle:
		s.poller.scheduleAfterWatch(s.now, idlePollSpread)
		return
	case WatchClosed:
		s.poller.scheduleAfterWatch(s.now, maxPollSpread)
		return
	case WatchFailed:
		s.poller.scheduleAfterFailure(s.now)
		return
	}
	if update.Kind != CachedSnapshot {
		s.poller.entriesReceived(s.now, update)
	}
	named := map[ServerID]bool{}
	for _, e := range update.Servers {
		if e.Shard < 0 || e.Shard >= max(maxShards, s.settings.Shards) {
			continue
		}
		named[e.ID] = true
		server := s.servers[e.ID]
		if server == nil {
			server = &serverEntry{}
			s.servers[e.ID] = server
		}
		if server.window == 0 || e.StartedAt != server.StartedAt { // new or restarted
			server.window, server.surplusWindow, server.latency = initialWindow, s.evenShare(initialSurplusWindow), s.latencyThreshold
			server.connectFailures, server.consecutiveRejects, server.backoffUntil, server.lastResponseAt, server.lastErrorAt = 0, 0, 0, 0, 0 // the old process's
			server.slowStart = s.newSlowStartBudget()
		}
		server.Server = e
		for len(s.shards) <= e.Shard {
			s.shards = append(s.shards, &shard{flowsByVolume: map[VolumeID]*flow{}})
		}
	}
	if update.Kind != Delta {
		for id, server := range s.servers {
			if !named[id] {
				server.State = Removed
			}
		}
	}
	for _, shard := range s.shards {
		shard.servers = shard.servers[:0]
	}
	for id, server := range s.servers {
		if server.State == Ready {
			s.shards[server.Shard].servers = append(s.shards[server.Shard].servers, server)
		} else if server.State == Removed {
			delete(s.servers, id) // its attempts keep it as long as they need it
		}
	}
	for _, shard := range s.shards {
		slices.SortFunc(shard.servers, func(a, b *serverEntry) int {
			return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.ID, b.ID))
		})
	}
}
