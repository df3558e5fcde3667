// Package endpointlease decides for how long the endpoint list may be used while it cannot be refreshed.
//
// A change of the list counts as notified at the latest MaxNotificationDelayMs after discovery had it and was reachable,
// whether or not it arrived. A gateway that keeps sending by an outdated list violates the rule on drains as soon as one of
// its servers drains. The list is therefore used under a lease: the lease is valid as of the last moment at which the
// gateway is known to have missed no change, and expires when a change made right after that moment would have to be
// obeyed.
//
// Package endpointlease owns no goroutine, performs no I/O and reads no clock. All times are in milliseconds on one clock
// that never runs backwards.
package endpointlease

// congestedLatencyMs is the least latency of a response from which it is concluded that the call waited for those of other gateways.
const congestedLatencyMs = 1000

// Settings determine the length of a lease. All are in milliseconds.
type Settings struct {
	// MaxNotificationDelayMs is when, after it was made, a change counts as notified at the latest.
	MaxNotificationDelayMs float64
	// DrainGraceMs is for how long requests may still be sent to a server after the notification of its drain.
	DrainGraceMs float64
	// SendDelayMarginMs is for how long the gateway may be delayed between a decision and the first byte that it sends.
	SendDelayMarginMs float64
}

// Lease determines until when the endpoint list may be used. Create one with New; the zero value expires at time 0. A Lease
// is not safe for concurrent use.
type Lease struct {
	settings     Settings
	completeAtMs float64 // no change made before this time is missing
	congested    bool    // the last call that got a response waited for those of others
}

// New returns a lease for a list that is complete at nowMs.
func New(settings Settings, nowMs float64) *Lease {
	return &Lease{settings: settings, completeAtMs: nowMs}
}

// Renew records that the list was complete at a time, because discovery sent an update or a heartbeat on an open watch.
// Renewals for earlier times have no effect.
func (l *Lease) Renew(atMs float64) { l.completeAtMs = max(l.completeAtMs, atMs) }

// RecordCallLatency records how long discovery took to respond to a call.
func (l *Lease) RecordCallLatency(latencyMs float64) {
	l.congested = latencyMs >= congestedLatencyMs
}

// RecordUnreachable renews the lease as of the start of a call that could not connect: discovery was unreachable then.
func (l *Lease) RecordUnreachable(startedMs float64) { l.Renew(startedMs) }

// RecordRejection records that discovery rejected or broke off a call that started at startedMs. Discovery does so while it
// is down, which renews the lease, but also under too many calls, which proves nothing. Calls are paced so that the latter
// is rare; while the last call that got a response indicated congestion, a rejection does not renew the lease.
func (l *Lease) RecordRejection(startedMs float64) {
	if !l.congested {
		l.Renew(startedMs)
	}
}

// ExpiresAtMs returns the time from which on the list must not be used.
func (l *Lease) ExpiresAtMs() float64 {
	graceMs := max(0, l.settings.DrainGraceMs-l.settings.SendDelayMarginMs)
	return l.completeAtMs + l.settings.MaxNotificationDelayMs + graceMs
}
