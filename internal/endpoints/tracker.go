// Package endpoints decides which updates of the endpoint list apply.
//
// Within one watch, updates arrive in order and none is missing. Across two watches neither holds: an agent that
// restarts may serve an older list, or an empty one, and a discovery service that is set up anew numbers its versions
// from the beginning. Applied as they are, the first would reopen servers that are known to be draining or removed,
// and the second would empty the list.
//
// Package endpoints owns no goroutine, performs no I/O and reads no clock: callers pass the time.
package endpoints

// RegressionTimeoutMs is how long, in milliseconds, updates may stay behind the current version before the Tracker
// takes their numbering for a new one. Every change counts as notified within 6 s, so by then an older source has either
// caught up or will never do so.
const RegressionTimeoutMs = 6000

// Endpoint is the entry of one server in an update.
type Endpoint struct {
	// Name identifies the server.
	Name string
	// Ready reports whether new requests may be sent to the server.
	Ready bool
	// Removed reports that the server has left the list. It excludes Ready.
	Removed bool
	// StartedMs is when the server last started, in milliseconds on the clock of the source. 0 means long ago.
	StartedMs float64
}

// Update is one message of the discovery service.
type Update struct {
	// Version numbers the state of the list after the update.
	Version uint64
	// Snapshot reports that Endpoints holds all servers. Otherwise it holds only those that changed.
	Snapshot bool
	// Endpoints are the entries in the order in which they arrived.
	Endpoints []Endpoint
}

// Decision says which part of an update applies.
type Decision struct {
	// Snapshot reports that the accepted endpoints replace the whole list.
	Snapshot bool
	// Accepted holds the indices, in ascending order, of the endpoints that apply.
	Accepted []int
	// Resync reports that the source has begun to number its versions anew. Nothing of the update applies, and the caller
	// has to request a snapshot as if it knew no version.
	Resync bool
}

// Tracker holds the version of the endpoint list and the start of each listed server. Its size is that of the list. Create
// one with NewTracker. A Tracker is not safe for concurrent use.
type Tracker struct {
	version   uint64
	startedMs map[string]float64 // by name: the start that was last accepted

	regressed        bool    // updates are behind version
	regressedSinceMs float64 // when the first of them arrived; valid while regressed is set
}

// NewTracker returns a Tracker that starts from a known list. The zero Update stands for no known list.
func NewTracker(known Update) *Tracker {
	tracker := &Tracker{startedMs: map[string]float64{}}
	tracker.Apply(0, known)
	return tracker
}

// Reset forgets the version but keeps the servers, because the next update comes from a source with a numbering of its
// own. The first snapshot of that source replaces the list.
func (t *Tracker) Reset() {
	t.version = 0
	t.regressed = false
}

// Apply decides which endpoints of an update apply and records them. nowMs is in milliseconds and must never decrease.
//
// An update that is not older than the current version applies in full. While updates are older, they may close a server
// unless they describe an earlier start of it, they make ready only a server that has started since, and they never
// replace the list.
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

// applyCurrent records all of an update that is at or past the current version.
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
		if t.supersedes(endpoint) {
			decision.Accepted = append(decision.Accepted, i)
			t.record(endpoint)
		}
	}
	return decision
}

// supersedes reports whether an endpoint of an older update applies to its server.
func (t *Tracker) supersedes(endpoint Endpoint) bool {
	startedMs, known := t.startedMs[endpoint.Name]
	if !known || endpoint.StartedMs < startedMs {
		return false
	}
	restarted := endpoint.StartedMs != startedMs
	return !endpoint.Ready || restarted
}

// record stores the start of an accepted endpoint, or forgets its server if that was removed.
func (t *Tracker) record(endpoint Endpoint) {
	if endpoint.Removed {
		delete(t.startedMs, endpoint.Name)
		return
	}
	t.startedMs[endpoint.Name] = endpoint.StartedMs
}
