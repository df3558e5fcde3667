// Package endpointlease decides for how long the endpoint list may be used while it cannot be refreshed.
//
// The gateway is treated as having been notified of a change of the list at the latest MaxNotificationDelayMs after discovery had
// the change and was reachable, whether or not a notification arrived. No request may be sent to a draining server after the grace
// period that follows the notification of its drain, so a gateway that goes on using an outdated list violates this rule as soon
// as one of its servers drains. The list is therefore used under a lease. The lease starts at the last time at which the gateway
// is known to have missed no change, and expires when the gateway would have to obey a change that was made right after that time.
//
// While discovery is unreachable, the gateway cannot be notified of changes, so calls that fail renew the lease. They do not after a
// watch that was silent: what it missed counts from its silence on, whether or not discovery is reachable.
//
// Package endpointlease owns no goroutine, performs no I/O and reads no clock. All times are in milliseconds on one clock
// that never runs backwards.
package endpointlease

// congestedLatencyMs is the response latency from which on a call is assumed to have waited for the calls of other gateways.
const congestedLatencyMs = 1000

// Settings determine the length of a lease. All are in milliseconds.
type Settings struct {
	// MaxNotificationDelayMs is the longest time from a change until the gateway is treated as having been notified of it.
	MaxNotificationDelayMs float64
	// DrainGraceMs is how long requests may still be sent to a server after the notification of its drain.
	DrainGraceMs float64
	// SendDelayMarginMs is the allowance for a delay of the gateway between a decision and the first byte that it sends.
	SendDelayMarginMs float64
}

// Lease determines until when the endpoint list may be used. Create one with New; the zero value expires at time 0. A Lease
// is not safe for concurrent use.
type Lease struct {
	settings     Settings
	completeAtMs float64 // the list contains every change made before this time
	silentWatch  bool    // whether the last watch was silent, so that the list may lack changes made while discovery was reachable
	congested    bool    // whether the last call that got a response is assumed to have waited for the calls of other gateways
}

// New returns a lease for a list that is complete at nowMs.
func New(settings Settings, nowMs float64) *Lease {
	return &Lease{settings: settings, completeAtMs: nowMs}
}

// Renew records that the list was complete at atMs, because discovery sent an update or a heartbeat on an open watch then. It does
// not shorten the lease if a renewal for a later time was recorded.
func (l *Lease) Renew(atMs float64) {
	if atMs > l.completeAtMs {
		l.completeAtMs, l.silentWatch = atMs, false
	}
}

// RecordSilentWatch records that a watch sent nothing for longer than a healthy one before it ended. It may have missed changes since
// the last renewal. Until the next one, failed calls do not renew the lease.
func (l *Lease) RecordSilentWatch() { l.silentWatch = true }

// RecordCallLatency records how long discovery took to respond to a call. A long latency indicates congestion.
func (l *Lease) RecordCallLatency(latencyMs float64) {
	l.congested = latencyMs >= congestedLatencyMs
}

// RecordUnreachable renews the lease as of startedMs, the start of a call that could not connect. Discovery was unreachable then,
// so the time by which the gateway must have been notified of a missed change counts from a later moment.
func (l *Lease) RecordUnreachable(startedMs float64) { l.renewByFailure(startedMs) }

// RecordRejection records that discovery rejected or interrupted a call that started at startedMs. Discovery rejects calls while
// it is down. A rejection then renews the lease, as RecordUnreachable does. Discovery also rejects calls while it gets too many
// of them, which is rare because gateways pace their calls. It is reachable then, so the lease must not be renewed. This case is
// assumed if the last call that got a response indicated congestion.
func (l *Lease) RecordRejection(startedMs float64) {
	if !l.congested {
		l.renewByFailure(startedMs)
	}
}

// renewByFailure renews the lease as of startedMs, unless the list may lack changes from before discovery became unreachable.
func (l *Lease) renewByFailure(startedMs float64) {
	if !l.silentWatch {
		l.completeAtMs = max(l.completeAtMs, startedMs)
	}
}

// ExpiresAtMs returns the time from which on the list must not be used.
func (l *Lease) ExpiresAtMs() float64 {
	graceMs := max(0, l.settings.DrainGraceMs-l.settings.SendDelayMarginMs)
	return l.completeAtMs + l.settings.MaxNotificationDelayMs + graceMs
}
