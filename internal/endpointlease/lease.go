// Package endpointlease decides how long a list of servers may be used that cannot be refreshed. It is pure: the caller
// brings the time, in milliseconds on a clock that never runs backwards.
//
// A change of the list counts as told at the latest NotifyWithinMs after discovery had it and could be reached, whether
// or not it arrived. A gateway that goes on sending by an old list breaks the rule on drains as soon as one of its
// servers drains. So a list is held on a lease: it is valid as of the last moment at which the gateway is known to have
// missed nothing, and may be used until a change made right behind that moment would have to be heeded.
package endpointlease

// Settings are what the length of a lease follows from.
type Settings struct {
	MaxNotificationDelayMs float64 // a change counts as told so long after it was made, at the latest
	DrainGraceMs           float64 // a server may be sent to for so long after its drain was told
	SendDelayMarginMs      float64 // the gateway may be held up for so long between a decision and its first byte
}

// Lease tells until when the list may be used. Its zero value has ended.
type Lease struct {
	set     Settings
	knownMs float64 // nothing that discovery could have told before is missing
	crowded bool    // the last call that was answered had to wait for others
}

// crowdedMs is how long a call may take to be answered where it does not wait for many others.
const crowdedMs = 1000

// New returns a lease on a list that is held at a time.
func New(set Settings, nowMs float64) *Lease {
	return &Lease{set: set, knownMs: nowMs}
}

// Renew tells that discovery said something on an open watch, be it that nothing has changed.
func (l *Lease) Renew(nowMs float64) { l.knownMs = max(l.knownMs, nowMs) }

// RecordCallLatency tells that a call was answered after a time.
func (l *Lease) RecordCallLatency(tookMs float64) { l.crowded = tookMs >= crowdedMs }

// RecordUnreachable tells that a call that began at a time found nobody: discovery could not be reached then.
func (l *Lease) RecordUnreachable(beganMs float64) { l.knownMs = max(l.knownMs, beganMs) }

// RecordRejection tells that a call that began at a time was turned away or broken off. Discovery does so while it is down, and
// also where too many call, which is no proof that it could not be reached. The pace of calls sees to it that the latter
// is rare; where this gateway has seen that calls wait for each other, a refusal proves nothing.
func (l *Lease) RecordRejection(beganMs float64) {
	if !l.crowded {
		l.knownMs = max(l.knownMs, beganMs)
	}
}

// ExpiresAtMs is when the list may no longer be used.
func (l *Lease) ExpiresAtMs() float64 {
	return l.knownMs + l.set.MaxNotificationDelayMs + max(0, l.set.DrainGraceMs-l.set.SendDelayMarginMs)
}
