package scheduler

import (
	"math"
	"time"
)

const (
	// errorCooldown is the time after an error response during which a server gets no new objects.
	errorCooldown = 4 * time.Second
	// minKnownServers is the number of servers that must have responded to a gateway before it prefers these servers to others for
	// new objects.
	minKnownServers = 8
	// placementChoices is the number of preferred shards from which the least loaded one is chosen.
	placementChoices = 2
)

// shardForNewObject returns the shard for a new object: the less loaded, as seen from this gateway, of two preferred shards drawn
// at random. A shard is preferred if isPreferred holds for its first server. Gateways with few requests may all see the same
// shard as the least loaded one. If they searched all shards, that shard would get the new objects of all these gateways, and
// later the reads of the objects. A shard that is not preferred is returned only if none is preferred. The result is nil if no
// shard has a server.
func (s *Scheduler) shardForNewObject() (best *shard) {
	bestLoad, bestPreferred, candidates := math.Inf(1), false, 0
	enoughKnown := s.knownServers() >= minKnownServers
	for _, i := range s.random.Perm(len(s.shards)) {
		shard := s.shards[i]
		if len(shard.servers) == 0 {
			continue
		}
		server := shard.servers[0]
		preferred := s.isPreferred(server, enoughKnown)
		load := float64(server.inFlight+1) * float64(server.expectedLatency(s.now, s.latencyThreshold))
		if best == nil || preferred && !bestPreferred || preferred == bestPreferred && load < bestLoad {
			best, bestLoad, bestPreferred = shard, load, preferred
		}
		if preferred {
			if candidates++; candidates == placementChoices {
				break
			}
		}
	}
	return best
}

// knownServers returns the number of shards whose first server has responded to this gateway.
func (s *Scheduler) knownServers() (count int) {
	for _, shard := range s.shards {
		if len(shard.servers) > 0 && shard.servers[0].lastResponseAt > 0 {
			count++
		}
	}
	return count
}

// isPreferred reports whether a server should get new objects: it accepts requests, is responsive, has not responded with an error
// lately and is not in slow start. If enoughKnown is set, the server must also have responded to this gateway before, because a
// gateway's first request to a server costs a handshake.
func (s *Scheduler) isPreferred(server *serverEntry, enoughKnown bool) bool {
	accepting := server.consecutiveRejects == 0 && server.connectFailures == 0 && s.now >= server.backoffUntil
	failedLately := server.lastErrorAt != 0 && s.now-server.lastErrorAt <= errorCooldown
	known := server.lastResponseAt > 0 || !enoughKnown
	return accepting && !failedLately && known && !s.inSlowStart(server) &&
		server.responsiveness(s.now, s.latencyThreshold) == responsive
}
