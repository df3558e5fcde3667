// Package endpoints decides which updates of the endpoint list are applied.
//
// Within one watch, updates arrive in order and none is missing. This does not hold across two watches: a restarted agent
// may serve an older list or an empty one, and a reinstalled discovery service numbers its versions from the beginning
// again. If every update were applied, an older list would reopen servers that are known to be draining or removed, and
// an empty one would remove all servers.
//
// Package endpoints owns no goroutine, performs no I/O and reads no clock: callers pass the time.
package endpoints

// RegressionTimeoutMs is how long, in milliseconds, updates may stay behind the current version before the Tracker
// concludes that the source has begun to number its versions anew. The platform treats a gateway as having been notified
// of every change within 6 s. A source that merely had an older list is therefore expected to have caught up by then; if its
// updates are still behind, it is taken to number its versions anew.
const RegressionTimeoutMs = 6000

// Endpoint is the entry of one server in an update.
type Endpoint struct {
	// Name identifies the server.
	Name string
	// Ready reports whether new requests may be sent to the server.
	Ready bool
	// Removed reports that the server was removed from the list. Ready is then false.
	Removed bool
	// StartedMs is when the server last started, in milliseconds on the clock of the source. 0 means long ago.
	StartedMs float64
}

// Update is one message of the discovery service.
type Update struct {
	// Version is the version of the list after the update.
	Version uint64
	// Snapshot reports that Endpoints holds all servers. Otherwise it holds only those that have changed.
	Snapshot bool
	// Endpoints are the entries in the order in which they arrived.
	Endpoints []Endpoint
}

// Decision specifies which part of an update is to be applied.
type Decision struct {
	// Snapshot reports that the accepted endpoints replace the whole list.
	Snapshot bool
	// Accepted holds the indices of the endpoints to apply, in ascending order.
	Accepted []int
	// Resync reports that the source has begun to number its versions anew. No part of the update is to be applied, and the
	// caller must request a snapshot without a known version.
	Resync bool
}

// Tracker holds the version of the endpoint list and the start time of each listed server. It holds one entry per listed
// server. Create one with NewTracker. A Tracker is not safe for concurrent use.
type Tracker struct {
	version   uint64
	startedMs map[string]float64 // start time in the last accepted entry of each server, by name

	regressed        bool    // whether the latest update was older than version
	regressedSinceMs float64 // when the first update of the current series of older ones arrived; valid if regressed is set
}

// NewTracker returns a Tracker that starts from a known list. The zero Update means that no list is known.
func NewTracker(known Update) *Tracker {
	tracker := &Tracker{startedMs: map[string]float64{}}
	tracker.Apply(0, known)
	return tracker
}

// Reset clears the version but keeps the servers. It is for the case that the next update comes from a source that numbers its
// versions independently. The first snapshot from that source replaces the list.
func (t *Tracker) Reset() {
	t.version = 0
	t.regressed = false
}

// Apply decides which endpoints of an update are applied and records them. nowMs is in milliseconds and must never decrease.
//
// An update that is not older than the current version is applied in full. An older update never replaces the list and adds no
// server. It can make a server draining or removed, unless its entry is from before the server's last known start. It can make a
// server ready only if the server has started again since the last accepted entry.
func (t *Tracker) Apply(nowMs float64, update Update) Decision {
	if update.Version >= t.version {
		return t.applyCurrent(update)
	}
	if !t.regressed {
		t.regressed = true
		t.regressedSinceMs = nowMs
	}
	if nowMs-t.regressedSinceMs >= RegressionTimeoutMs {
		t.Reset()
		return Decision{Resync: true}
	}
	return t.applyOutdated(update)
}

// applyCurrent records all endpoints of an update that is not older than the current version.
func (t *Tracker) applyCurrent(update Update) Decision {
	t.version = update.Version
	t.regressed = false
	if update.Snapshot {
		clear(t.startedMs)
	}
	decision := Decision{Snapshot: update.Snapshot}
	for i, endpoint := range update.Endpoints {
		decision.Accepted = append(decision.Accepted, i)
		t.record(endpoint)
	}
	return decision
}

// applyOutdated records the endpoints of an older update that are safe to apply.
func (t *Tracker) applyOutdated(update Update) Decision {
	var decision Decision
	for i, endpoint := range update.Endpoints {
		if t.isSafeWhenOutdated(endpoint) {
			decision.Accepted = append(decision.Accepted, i)
			t.record(endpoint)
		}
	}
	return decision
}

// isSafeWhenOutdated reports whether an endpoint of an older update is safe to apply. The server must be known, and the endpoint
// must not describe an earlier start of it than the last accepted endpoint. To make the server ready, it must describe a later
// start.
func (t *Tracker) isSafeWhenOutdated(endpoint Endpoint) bool {
	startedMs, known := t.startedMs[endpoint.Name]
	if !known || endpoint.StartedMs < startedMs {
		return false
	}
	restarted := endpoint.StartedMs != startedMs
	return !endpoint.Ready || restarted
}

// record stores the start time of an accepted endpoint, or deletes its server if that was removed.
func (t *Tracker) record(endpoint Endpoint) {
	if endpoint.Removed {
		delete(t.startedMs, endpoint.Name)
		return
	}
	t.startedMs[endpoint.Name] = endpoint.StartedMs
}
