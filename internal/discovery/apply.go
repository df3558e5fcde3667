package discovery

import (
	"log/slog"

	"gaugerelay/internal/endpoints"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/scheduler"
)

// handleHeartbeat records that the list was complete when a heartbeat was received. A heartbeat has no effect until the session is
// confirmed. The notify function is called only if the list is polled, because a pushed list has no lease to renew.
func (w *Watcher) handleHeartbeat(session *watchSession, receivedMs float64) {
	if !session.confirmed(receivedMs) {
		return
	}
	w.markComplete(receivedMs)
	if session.mode == modeOnDemand {
		w.notify(lifecycle.EndpointUpdate{Kind: scheduler.Heartbeat, CompleteAsOfMs: receivedMs})
	}
}

// handleObject decodes an object and passes the accepted part of its update to the notify function.
func (w *Watcher) handleObject(session *watchSession, object []byte, receivedMs float64) error {
	message, err := decodeMessage(&session.parser, object)
	if err != nil {
		w.metrics.Add(counterInvalidMessages, 1)
		return err
	}
	entries := len(message.update.Servers)
	w.metrics.Add(counterInvalidEntries, int64(message.invalidEntries))
	w.metrics.Add(counterEntries, int64(entries))
	decision, err := w.decide(&message)
	if err != nil {
		return err
	}
	if stale := entries - len(decision.Accepted); stale > 0 {
		w.metrics.Add(counterStaleEntries, int64(stale))
	}
	update := acceptedUpdate(message.update, decision)
	if decision.Snapshot || len(decision.Accepted) > 0 {
		update.CallDurationMs = session.recordUpdate(w.clock.NowMs())
	}
	slog.Debug(logevent.DiscoveryUpdate, logevent.Version, update.Version,
		"entries", len(update.Servers), "snapshot", decision.Snapshot)
	w.NormalizeStartTimes(update)
	if session.confirmed(receivedMs) {
		update.CompleteAsOfMs = receivedMs
		w.markComplete(receivedMs)
	}
	w.notify(update)
	return nil
}

// decide records the version of a message and decides which of its entries to apply. A message without a version is given the
// current version, because messages of one watch arrive in order. The error is errAddressChanged or errVersionReset.
func (w *Watcher) decide(message *watchMessage) (endpoints.Decision, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == stateSwitching {
		return endpoints.Decision{}, errAddressChanged
	}
	if !message.versioned {
		message.update.Version = w.version
	}
	w.version = message.update.Version
	decision := w.tracker.Apply(w.clock.NowMs(), trackerUpdate(message.update))
	if decision.Resync {
		w.version = 0 // version 0 makes the next watch request a snapshot
		return decision, errVersionReset
	}
	return decision, nil
}

// trackerUpdate converts an update to the form that endpoints.Tracker uses.
func trackerUpdate(update lifecycle.EndpointUpdate) endpoints.Update {
	converted := endpoints.Update{
		Version:   update.Version,
		Snapshot:  update.Kind != scheduler.Delta,
		Endpoints: make([]endpoints.Endpoint, len(update.Servers)),
	}
	for i, server := range update.Servers {
		converted.Endpoints[i] = endpoints.Endpoint{
			Name:      server.Name,
			Ready:     server.State == scheduler.Ready,
			Removed:   server.State == scheduler.Removed,
			StartedMs: server.StartedMs,
		}
	}
	return converted
}

// acceptedUpdate returns the part of an update that the decision says to apply.
func acceptedUpdate(update lifecycle.EndpointUpdate, decision endpoints.Decision) lifecycle.EndpointUpdate {
	accepted := lifecycle.EndpointUpdate{Version: update.Version, Kind: scheduler.Delta}
	if decision.Snapshot {
		accepted.Kind = scheduler.Snapshot
	}
	accepted.Servers = make([]*lifecycle.Server, len(decision.Accepted))
	for i, index := range decision.Accepted {
		accepted.Servers[i] = update.Servers[index]
	}
	return accepted
}

// markComplete records that the reported list contains all changes that were made before atMs.
func (w *Watcher) markComplete(atMs float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnations.MarkComplete(atMs)
}

// NormalizeStartTimes converts the start times of an update's servers to this gateway's clock, in place. The Watcher calls it
// for the updates that it reports. For Options.CachedEndpoints, the owner of the Watcher has to call it.
func (w *Watcher) NormalizeStartTimes(update lifecycle.EndpointUpdate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	nowMs := w.clock.NowMs()
	for _, server := range update.Servers {
		server.StartedMs = w.incarnations.StartedAtMs(server.Name, server.StartedMs, nowMs)
	}
}
