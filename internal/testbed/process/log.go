package process

import (
	"fmt"
	"sync"
	"time"
)

// A log that has more than maxLogLines lines drops the oldest droppedLogLines of them before it appends the next line.
const (
	maxLogLines     = 20_000
	droppedLogLines = 10_000
)

// Log is the merged output of all processes, in the order in which it was read. It may be used from any goroutine.
type Log struct {
	mu      sync.Mutex
	lines   []string
	dropped int       // number of lines dropped so far
	start   time.Time // time from which the timestamps count
}

// NewLog returns an empty log whose timestamps count from now.
func NewLog() *Log { return &Log{start: time.Now()} }

// Printf appends a line that begins with a timestamp in seconds.
func (l *Log) Printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) > maxLogLines {
		l.lines, l.dropped = l.lines[droppedLogLines:], l.dropped+droppedLogLines
	}
	l.lines = append(l.lines, fmt.Sprintf("[%7.3f] ", time.Since(l.start).Seconds())+fmt.Sprintf(format, args...))
}

// Position returns the position of the next line: the number of lines appended so far, dropped lines included.
func (l *Log) Position() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped + len(l.lines)
}

// LinesAround returns the lines around a position: the last lines in front of it, at most the number given by before, and the
// first lines from it on, at most the number given by after. Lines that were dropped are missing.
func (l *Log) LinesAround(position, before, after int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	position -= l.dropped
	return l.copyLines(position-before, position+after)
}

// Lines returns all lines that were not dropped.
func (l *Log) Lines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.copyLines(0, len(l.lines))
}

// copyLines returns a copy of l.lines[from:to], with the range limited to the lines that exist. l.mu must be held.
func (l *Log) copyLines(from, to int) []string {
	from, to = max(0, from), min(len(l.lines), to)
	return append([]string(nil), l.lines[min(from, to):to]...)
}
