package scheduler

import (
	"cmp"
	"slices"
)

// maxShards is the number of shards that the endpoint list may name. If Settings.Shards is larger, that number applies instead.
// Entries for further shards are ignored.
const maxShards = 1 << 12

// applyEndpointUpdate applies a message of the watch or a change of the watch's state. A server that drains or is removed gets no
// further requests.
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

// applyServers updates the servers and the shards with the entries of an update. A Snapshot or CachedSnapshot contains every
// server, so the servers that it does not contain are removed.
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

// applyServer updates a server with its entry in the endpoint list. A server that is new or has restarted gets its initial state.
func (s *Scheduler) applyServer(endpoint Server) {
	server := s.servers[endpoint.ID]
	if server == nil {
		server = &serverEntry{}
		s.servers[endpoint.ID] = server
	}
	isNew := server.congestion.window == 0
	if isNew || endpoint.StartedAt != server.StartedAt {
		server.congestion.reset(s.latencyThreshold, s.equalShare(initialExcessWindow))
		server.resetProcessState()
		server.slowStart = s.newSlowStartBudget()
	}
	server.Server = endpoint
	for len(s.shards) <= endpoint.Shard {
		s.shards = append(s.shards, &shard{flowsByVolume: map[VolumeID]*flow{}})
	}
}

// assignServers puts the ready servers into their shards and drops the removed ones. Outstanding attempts keep a reference to their
// dropped server.
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
		slices.SortFunc(shard.servers, compareStartTimes)
	}
}

// compareStartTimes orders servers by start time, the longest running first.
func compareStartTimes(a, b *serverEntry) int {
	return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.ID, b.ID))
}
