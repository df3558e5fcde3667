package scheduler

import (
	"cmp"
	"slices"
)

// maxShards is the number of shards from which on an endpoint is ignored, unless the settings have more.
const maxShards = 1 << 12

// applyEndpointUpdate takes in a message or a change of state of the watch. A server that drains or is removed gets nothing more
// from now on.
func (s *Scheduler) applyEndpointUpdate(update *EndpointUpdate) {
	s.endpointsValidUntil = update.ValidUntil
	switch update.Kind {
	case Heartbeat:
		s.poller.watchOpened(s.now)
	case WatchIdle:
		s.poller.scheduleAfterWatch(s.now, idlePollSpread)
	case WatchClosed:
		s.poller.scheduleAfterWatch(s.now, maxPollSpread)
	case WatchFailed:
		s.poller.scheduleAfterFailure(s.now)
	case CachedSnapshot:
		s.applyServers(update)
	default:
		s.poller.entriesReceived(s.now, update)
		s.applyServers(update)
	}
}

// applyServers updates the servers and the shards by the entries of an update.
func (s *Scheduler) applyServers(update *EndpointUpdate) {
	listed := map[ServerID]bool{}
	for _, endpoint := range update.Servers {
		if endpoint.Shard < 0 || endpoint.Shard >= max(maxShards, s.settings.Shards) {
			continue
		}
		listed[endpoint.ID] = true
		s.applyServer(endpoint)
	}
	if update.Kind != Delta {
		for id, server := range s.servers {
			if !listed[id] {
				server.State = Removed
			}
		}
	}
	s.assignServers()
}

// applyServer updates a server by its entry in the endpoint list.
func (s *Scheduler) applyServer(endpoint Server) {
	server := s.servers[endpoint.ID]
	if server == nil {
		server = &serverEntry{}
		s.servers[endpoint.ID] = server
	}
	isNew := server.congestion.window == 0
	if isNew || endpoint.StartedAt != server.StartedAt {
		server.congestion.reset(s.latencyThreshold, s.evenShare(initialSurplusWindow))
		server.forgetProcess()
		server.slowStart = s.newSlowStartBudget()
	}
	server.Server = endpoint
	for len(s.shards) <= endpoint.Shard {
		s.shards = append(s.shards, &shard{flowsByVolume: map[VolumeID]*flow{}})
	}
}

// assignServers puts the ready servers into their shards and drops the removed ones, which their attempts keep as long as they
// need them.
func (s *Scheduler) assignServers() {
	for _, shard := range s.shards {
		shard.servers = shard.servers[:0]
	}
	for id, server := range s.servers {
		switch server.State {
		case Ready:
			shard := s.shards[server.Shard]
			shard.servers = append(shard.servers, server)
		case Removed:
			delete(s.servers, id)
		}
	}
	for _, shard := range s.shards {
		slices.SortFunc(shard.servers, compareAge)
	}
}

// compareAge orders servers by their start, the longest running first.
func compareAge(a, b *serverEntry) int {
	return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.ID, b.ID))
}
