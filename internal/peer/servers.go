package peer

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// removedServerRetentionMs is the time for which this gateway reports a removed server as withdrawn, for the sake of gateways
// that do not know of the removal yet. It is longer than endpoint updates take to reach all gateways.
const removedServerRetentionMs = 10_000

// ServerKey returns the key by which all gateways identify one process of a server: a hash of the server's identifier and its
// start time.
func ServerKey(id string, startedMs float64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %.0f", id, startedMs))
}

func serverKey(server *lifecycle.Server) uint64 { return ServerKey(server.Name, server.StartedMs) }

// serverTable holds the servers of the current endpoint list and the servers that were removed recently.
type serverTable struct {
	listed    map[uint64]*lifecycle.Server // servers of the current list, keyed by ServerKey
	removedAt map[uint64]float64           // times of removal in ms, keyed by ServerKey
}

func newServerTable() serverTable {
	return serverTable{listed: map[uint64]*lifecycle.Server{}, removedAt: map[uint64]float64{}}
}

// update replaces the listed servers. It returns the keys of the listed servers in the given order, and the sorted keys of the
// withdrawn servers, which are those that are not ready or were removed recently.
func (t *serverTable) update(nowMs float64, servers, removed []*lifecycle.Server) (listed, withdrawn []uint64) {
	for _, server := range removed {
		t.removedAt[serverKey(server)] = nowMs
	}
	clear(t.listed)
	for _, server := range servers {
		key := serverKey(server)
		t.listed[key] = server
		listed = append(listed, key)
		if server.State != scheduler.Ready {
			withdrawn = append(withdrawn, key)
		}
	}
	for key, atMs := range t.removedAt {
		if nowMs-atMs > removedServerRetentionMs {
			delete(t.removedAt, key)
		} else if t.listed[key] == nil {
			withdrawn = append(withdrawn, key)
		}
	}
	slices.Sort(withdrawn)
	return listed, withdrawn
}

// EndpointsChanged implements lifecycle.Peers.
func (s *Service) EndpointsChanged(nowMs float64, servers, removed []*lifecycle.Server) {
	listed, withdrawn := s.servers.update(nowMs, servers, removed)
	s.latencies.SetServers(listed)
	s.outliers.SetServers(slices.Concat(listed, withdrawn))
	for _, key := range withdrawn {
		s.outliers.MarkWithdrawn(key)
	}
	s.stepBy(nowMs, nowMs+batchDelayMs)
}

// AttemptEnded implements lifecycle.Peers. It ignores statuses that do not show whether the server works.
func (s *Service) AttemptEnded(nowMs float64, server *lifecycle.Server, status scheduler.Status, latencyMs float64) {
	key := serverKey(server)
	switch status {
	case scheduler.StatusOK:
		s.outliers.RecordAttempt(nowMs, key, false)
		s.latencies.Observe(nowMs, key, latencyMs)
		s.stepBy(nowMs, max(nowMs+batchDelayMs, s.latencies.NextReportMs(nowMs)))
	case scheduler.StatusError, scheduler.StatusTimedOut, scheduler.StatusConnectFailed, scheduler.StatusConnectionReset:
		s.outliers.RecordAttempt(nowMs, key, true)
		s.stepBy(nowMs, nowMs+failureDelayMs)
	}
}
