package lifecycle

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/scheduler"
)

// EndpointUpdate is an update of the endpoint list, or a change in the state of its watch.
type EndpointUpdate struct {
	Version uint64
	Kind    scheduler.UpdateKind
	Servers []*Server
	// CompleteAsOfMs is a time such that the list contains every change made before it. If Kind is scheduler.WatchFailed, it is
	// the time when the failed call started.
	CompleteAsOfMs float64
	// CallDurationMs is how long discovery took to respond to a call. It is set in the first update of a call only.
	CallDurationMs float64
	// Failure classifies the failed call if Kind is scheduler.WatchFailed. If Kind is scheduler.WatchIdle or scheduler.WatchClosed, only
	// WatchSilent has a meaning.
	Failure CallFailure
}

// CallFailure classifies a failed call to discovery, or the end of a watch, by what it proves about discovery and the list.
type CallFailure uint8

// The kinds of failure.
const (
	// CallRejected means that discovery rejected or interrupted the call, because it is down or has too many callers.
	CallRejected CallFailure = iota
	// CallUnreachable means that no connection to discovery could be established.
	CallUnreachable
	// CallInconclusive means that the failure does not prove that discovery is down: the call failed on this machine, timed out, or
	// ended because discovery had restarted its version numbers.
	CallInconclusive
	// WatchSilent means that a heartbeat was overdue when the watch ended, so that the watch may have missed changes.
	WatchSilent

	callFailureCount = iota
)

// callFailureNames holds the name of each failure, as String returns it.
var callFailureNames = [callFailureCount]string{
	CallRejected:     "rejected",
	CallUnreachable:  "unreachable",
	CallInconclusive: "inconclusive",
	WatchSilent:      "silent watch",
}

// String returns the name of the failure, and "unknown" for other values.
func (f CallFailure) String() string {
	if int(f) < len(callFailureNames) {
		return callFailureNames[f]
	}
	return "unknown"
}

// isSnapshot reports whether the update contains the complete endpoint list.
func (u *EndpointUpdate) isSnapshot() bool {
	return u.Kind == scheduler.Snapshot || u.Kind == scheduler.CachedSnapshot
}

// providesEndpoints reports whether the update gives the gateway a usable endpoint list. A cached snapshot, which dates from before
// the start, is usable only if it lists a server.
func (u *EndpointUpdate) providesEndpoints() bool {
	switch u.Kind {
	case scheduler.Delta, scheduler.Snapshot:
		return true
	case scheduler.CachedSnapshot:
		return len(u.Servers) > 0
	}
	return false
}

// ServerCount returns the number of servers in the endpoint list.
func (m *Manager) ServerCount() int { return len(m.serverIDs) }

// Ready reports whether a usable endpoint list has been received. Once true, it stays true.
func (m *Manager) Ready() bool { return m.hasEndpoints }

// UpdateEndpoints applies an update of the endpoint list. The Manager retains the entries in update.Servers.
func (m *Manager) UpdateEndpoints(update EndpointUpdate) {
	m.renewEndpointLease(update)
	event := scheduler.EndpointUpdate{Version: update.Version, Kind: update.Kind, ValidUntil: m.endpointsValidUntil()}
	listed := map[scheduler.ServerID]bool{}
	for _, server := range update.Servers {
		if !m.assignID(server) {
			continue
		}
		listed[server.id] = true
		m.replaceEntry(server)
		event.Servers = append(event.Servers, server.schedulerServer())
		if server.State == scheduler.Removed {
			m.removeServer(server)
		}
	}
	if update.isSnapshot() {
		m.removeUnlisted(listed)
	}
	if update.providesEndpoints() {
		m.hasEndpoints = true
	}
	m.pendingEvents = append(m.pendingEvents, event)
	m.endpointsChanged = true
}

// assignID sets the id of an entry to that of its server, or to a new id if the server is new. It returns false if the entry
// removes an unknown server: such an entry can be ignored.
func (m *Manager) assignID(server *Server) bool {
	id := m.serverIDs[server.Name]
	if id == 0 {
		if server.State == scheduler.Removed {
			return false
		}
		m.lastServerID++
		id = m.lastServerID
		m.serverIDs[server.Name] = id
	}
	server.id = id
	return true
}

// replaceEntry replaces the previous entry of a server, which attempts may still hold. If the previous entry is open and has the
// same address, both entries share their closed state. Otherwise the previous entry is closed for good, because it may refer to
// an earlier process of the server.
func (m *Manager) replaceEntry(server *Server) {
	server.closed = &atomic.Bool{}
	if previous := m.servers[server.id]; previous != nil {
		if previous.Addr == server.Addr && !previous.Closed() {
			server.closed = previous.closed
		} else {
			previous.closed.Store(true)
		}
	}
	server.closed.Store(server.State != scheduler.Ready)
	m.servers[server.id] = server
}

// removeUnlisted closes and removes every server that a snapshot does not list.
func (m *Manager) removeUnlisted(listed map[scheduler.ServerID]bool) {
	for id, server := range m.servers {
		if !listed[id] {
			server.closed.Store(true)
			m.removeServer(server)
		}
	}
}

// removeServer deletes a server. Servers that replace others get new names and ids, so entries that are not deleted would
// accumulate. Attempts hold their entries for as long as they need them.
func (m *Manager) removeServer(server *Server) {
	delete(m.servers, server.id)
	delete(m.serverIDs, server.Name)
	if m.peers != nil {
		m.removedServers = append(m.removedServers, server)
	}
}

// renewEndpointLease records in the lease on the endpoint list what an update shows about discovery and the list, and passes the
// resulting expiry to the Authorizer. The lease is renewed if the update proves that the list contains every change so far.
func (m *Manager) renewEndpointLease(update EndpointUpdate) {
	if m.endpointLease == nil {
		return
	}
	if update.CallDurationMs > 0 {
		m.endpointLease.RecordCallLatency(update.CallDurationMs)
	}
	switch update.Kind {
	case scheduler.Delta, scheduler.Snapshot, scheduler.Heartbeat:
		m.endpointLease.Renew(update.CompleteAsOfMs)
	case scheduler.WatchFailed:
		m.recordCallFailure(update)
	}
	if update.Failure == WatchSilent {
		m.endpointLease.RecordSilentWatch()
	}
	m.authorizer.SetEndpointsValidUntilMs(m.endpointLease.ExpiresAtMs())
}

// recordCallFailure records a failed call to discovery in the endpoint lease.
func (m *Manager) recordCallFailure(update EndpointUpdate) {
	switch update.Failure {
	case CallUnreachable:
		m.endpointLease.RecordUnreachable(update.CompleteAsOfMs)
	case CallRejected:
		m.endpointLease.RecordRejection(update.CompleteAsOfMs)
	}
}

// endpointsValidUntil returns the time when the endpoint list expires. 0 means never.
func (m *Manager) endpointsValidUntil() time.Duration {
	if m.endpointLease == nil {
		return 0
	}
	return clock.Duration(m.endpointLease.ExpiresAtMs())
}

// ProbeEnded records the result of a probe.
func (m *Manager) ProbeEnded(server *Server, latencyMs float64, status scheduler.Status, loadReport []float64) {
	m.pendingEvents = append(m.pendingEvents, scheduler.ProbeEnded{
		Server:     server.id,
		Status:     status,
		Latency:    clock.Duration(latencyMs),
		LoadReport: loadReport,
	})
}

// stepPeers reports changes of the endpoint list to Peers and puts the events that Peers returns before the pending ones.
func (m *Manager) stepPeers(nowMs float64) {
	if m.endpointsChanged {
		servers := slices.SortedFunc(maps.Values(m.servers), func(a, b *Server) int { return cmp.Compare(a.id, b.id) })
		m.peers.EndpointsChanged(nowMs, servers, m.removedServers)
		m.endpointsChanged, m.removedServers = false, nil
	}
	m.pendingEvents = append(m.peers.BeginStep(nowMs), m.pendingEvents...)
}
