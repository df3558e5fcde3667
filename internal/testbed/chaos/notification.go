package chaos

import (
	"slices"
	"time"
)

// notifiedAt returns when a gateway whose process was started at a time is notified of the change with an index: when it
// was sent the change, or when the change counts as notified by the protocol's deadlines, whichever is earlier. The zero
// time means never.
func (d *discovery) notifiedAt(gateway int, processStart time.Time, index int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.deliveredAt(gateway, processStart, index)
	silenceDeadline := d.silenceDeadline(gateway, processStart, d.changes[index])
	at = earlierNonzero(at, silenceDeadline)
	within := notifyWithin
	if d.push && silenceDeadline.IsZero() {
		within = 0 // the agent runs on the gateway's machine: the gateway is notified of what the agent has
	}
	reachableFrom := later(d.changes[index].at, processStart)
	for _, up := range d.up {
		if deadline := later(reachableFrom, up.From).Add(within); up.To.IsZero() || !deadline.After(up.To) {
			at = earlierNonzero(at, deadline)
		}
	}
	return at
}

// deliveredAt returns when a gateway was first sent a change. d.mu must be held.
func (d *discovery) deliveredAt(gateway int, processStart time.Time, index int) time.Time {
	for _, delivered := range d.deliveries[gateway] {
		if delivered.version > index && !delivered.at.Before(processStart) {
			return delivered.at
		}
	}
	return time.Time{}
}

// silenceDeadline returns when a gateway has to treat a watch as broken that was silent when the list changed. It returns
// the zero time if no watch was silent then. d.mu must be held.
func (d *discovery) silenceDeadline(gateway int, processStart time.Time, c change) (deadline time.Time) {
	for _, silence := range d.silences[gateway] {
		if silence.Contains(c.at) && silence.From.After(processStart) {
			deadline = earlierNonzero(deadline, later(c.at, silence.From.Add(notifyWithin)))
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

// earlierNonzero returns the earlier of two times and ignores one that is zero.
func earlierNonzero(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
