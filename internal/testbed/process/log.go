package process

import (
	"fmt"
	"sync"
	"time"
)

// A log of more than maxLogLines lines drops its first droppedLogLines.
const (
	maxLogLines     = 20_000
	droppedLogLines = 10_000
)

// Log is the merged output of all processes, in the order in which it was read. It may be used from any goroutine.
type Log struct {
	mu      sync.Mutex
	lines   []string
	dropped int // lines that were dropped from the front
	start   time.Time
}

// NewLog returns an empty log whose timestamps count from now.
func NewLog() *Log { return &Log{start: time.Now()} }

// Printf appends a line with a timestamp in seconds.
func (l *Log) Printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) > maxLogLines {
		l.lines, l.dropped = l.lines[droppedLogLines:], l.dropped+droppedLogLines
	}
	l.lines = append(l.lines, fmt.Sprintf("[%7.3f] ", time.Since(l.start).Seconds())+fmt.Sprintf(format, args...))
}

// Position returns the number of the next line, counted from the beginning of the log.
func (l *Log) Position() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped + len(l.lines)
}

// LinesAround returns the lines from before lines in front of a position to after lines behind it, as far as they are
// still kept.
func (l *Log) LinesAround(position, before, after int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	position -= l.dropped
	return l.copyLines(position-before, position+after)
}

// Lines returns all lines that are still kept.
func (l *Log) Lines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.copyLines(0, len(l.lines))
}

// copyLines copies the lines of a range that is cut to the lines there are. l.mu must be held.
func (l *Log) copyLines(from, to int) []string {
	from, to = max(0, from), min(len(l.lines), to)
	return append([]string(nil), l.lines[min(from, to):to]...)
}
