package chaos

import (
	"slices"
	"time"
)

// notifiedAt returns when a gateway is treated as having been notified of the change with the given index, or the zero time if
// it never is. processStart is the start of the gateway's process. The result is the earliest of these times:
//   - when the change was delivered to the gateway;
//   - when discovery has been up without interruption for the longest allowed delay since the later of the change and
//     processStart. This delay is maxNotificationDelay, but 0 with push discovery if no watch of the gateway was silent at the
//     change;
//   - if a watch was silent at the change, the result of silenceDeadline.
func (d *discovery) notifiedAt(gateway int, processStart time.Time, index int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.deliveredAt(gateway, processStart, index)
	silenceDeadline := d.silenceDeadline(gateway, processStart, d.changes[index])
	at = earlierNonzero(at, silenceDeadline)
	maxDelay := maxNotificationDelay
	if d.push && silenceDeadline.IsZero() {
		maxDelay = 0 // the gateway is treated as having been notified as soon as the agent on its machine has the change
	}
	reachableFrom := later(d.changes[index].at, processStart)
	for _, up := range d.upIntervals {
		if deadline := later(reachableFrom, up.From).Add(maxDelay); up.To.IsZero() || !deadline.After(up.To) {
			at = earlierNonzero(at, deadline)
		}
	}
	return at
}

// deliveredAt returns when a watch first brought the gateway process that was started at processStart to a version of the list
// that contains the change, or the zero time if none did. d.mu must be held.
func (d *discovery) deliveredAt(gateway int, processStart time.Time, index int) time.Time {
	for _, delivered := range d.deliveries[gateway] {
		if delivered.version > index && !delivered.at.Before(processStart) {
			return delivered.at
		}
	}
	return time.Time{}
}

// silenceDeadline returns when a gateway is treated as having been notified of a change that occurred while one of its watches was
// silent. The gateway has to replace a silent watch within maxNotificationDelay after the silence has begun. The result is the end of
// that delay, or the time of the change if the change came later. It is the zero time if no watch was silent. d.mu must be held.
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
