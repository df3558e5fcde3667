package scheduler

import (
	"math"
	"time"
)

const (
	// errorCooldown is how long a server that responded with an error gets no new objects.
	errorCooldown = 4 * time.Second
	// minKnownServers is how many servers a gateway gets to know by placing new objects on servers it has not used yet.
	minKnownServers = 8
	// placementChoices is the number of preferred shards among which the less loaded one is chosen.
	placementChoices = 2
)

// leastLoadedShard returns the shard for a new object: the less loaded one, as seen from this gateway, of two preferred shards drawn
// at random. The least loaded of all may be the same for every gateway with few requests, and would then get the new objects of all
// of them and the reads that follow. A shard that is not preferred is returned only if there is no other, and nil if no shard has a
// server.
func (s *Scheduler) leastLoadedShard() (best *shard) {
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

// isPreferred reports whether a server should get new objects: it accepts requests, responds, has not failed lately and is not in
// slow start. Once enough servers are known it must be one of those, because another costs a handshake from every gateway.
func (s *Scheduler) isPreferred(server *serverEntry, enoughKnown bool) bool {
	accepting := server.consecutiveRejects == 0 && server.connectFailures == 0 && s.now >= server.backoffUntil
	failedLately := server.lastErrorAt != 0 && s.now-server.lastErrorAt <= errorCooldown
	known := server.lastResponseAt > 0 || !enoughKnown
	return accepting && !failedLately && known && !s.inSlowStart(server) &&
		server.responsiveness(s.now, s.latencyThreshold) == responsive
}
