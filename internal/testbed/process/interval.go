package process

import (
	"slices"
	"time"
)

// Interval is a span of time. A zero To means that the interval has not ended yet.
type Interval struct{ From, To time.Time }

// Contains reports whether a time lies in the interval, which includes From and excludes To.
func (i Interval) Contains(at time.Time) bool {
	return !at.Before(i.From) && (i.To.IsZero() || at.Before(i.To))
}

// Overlaps reports whether any time between from and to lies in the interval.
func (i Interval) Overlaps(from, to time.Time) bool {
	return i.From.Before(to) && (i.To.IsZero() || i.To.After(from))
}

// AnyOverlaps reports whether any of the intervals overlaps the time between from and to.
func AnyOverlaps(intervals []Interval, from, to time.Time) bool {
	return slices.ContainsFunc(intervals, func(i Interval) bool { return i.Overlaps(from, to) })
}
