package chaos

import (
	"slices"
	"time"
)

// notifiedAt returns when a gateway is treated as having been notified of the change with the given index: when the change was
// delivered to it, or at the protocol's deadline for the notification, whichever is earlier. processStart is the start of
// the gateway's process. The zero time means never.
func (d *discovery) notifiedAt(gateway int, processStart time.Time, index int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.deliveredAt(gateway, processStart, index)
	silenceDeadline := d.silenceDeadline(gateway, processStart, d.changes[index])
	at = earlierNonzero(at, silenceDeadline)
	maxDelay := maxNotificationDelay
	if d.push && silenceDeadline.IsZero() {
		maxDelay = 0 // the agent runs on the gateway's machine, so what the agent has received counts as delivered
	}
	reachableFrom := later(d.changes[index].at, processStart)
	for _, up := range d.upIntervals {
		if deadline := later(reachableFrom, up.From).Add(maxDelay); up.To.IsZero() || !deadline.After(up.To) {
			at = earlierNonzero(at, deadline)
		}
	}
	return at
}

// deliveredAt returns when a change was first delivered to the gateway process that was started at processStart, or the zero
// time if it was not. d.mu must be held.
func (d *discovery) deliveredAt(gateway int, processStart time.Time, index int) time.Time {
	for _, delivered := range d.deliveries[gateway] {
		if delivered.version > index && !delivered.at.Before(processStart) {
			return delivered.at
		}
	}
	return time.Time{}
}

// silenceDeadline returns the deadline by which a gateway has to detect that one of its watches, which was silent at the time
// of a change, is broken. It returns the zero time if no watch was silent then. d.mu must be held.
func (d *discovery) silenceDeadline(gateway int, processStart time.Time, c change) (deadline time.Time) {
	for _, silence := range d.silences[gateway] {
		if silence.Contains(c.at) && silence.From.After(processStart) {
			deadline = earlierNonzero(deadline, later(c.at, silence.From.Add(maxNotificationDelay)))
		}
	}
	return deadline
}

// publishedChanges returns all changes so far.
func (d *discovery) publishedChanges() []change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.changes)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlierNonzero returns the earlier of two times. It ignores a time that is zero.
func earlierNonzero(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
