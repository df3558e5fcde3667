package process

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
)

// Usage is what a process uses of its limits.
type Usage struct {
	PeakMemoryBytes int64 // largest resident memory since the start of the process
	Descriptors     int   // open file descriptors
}

// peakMemory matches the line of /proc/PID/status that tells the peak of the resident memory.
var peakMemory = regexp.MustCompile(`(?m)^VmHWM:\s*(\d+) kB$`)

// Usage returns what the running process uses. ok is false if the process does not run.
func (p *Process) Usage() (usage Usage, ok bool) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || !p.Running() {
		return Usage{}, false
	}
	dir := fmt.Sprintf("/proc/%d/", cmd.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return Usage{}, false
	}
	match := peakMemory.FindSubmatch(status)
	descriptors, err := os.ReadDir(dir + "fd")
	if match == nil || err != nil {
		return Usage{}, false // the process has exited in the meantime
	}
	kilobytes, err := strconv.ParseInt(string(match[1]), 10, 64)
	return Usage{PeakMemoryBytes: kilobytes << 10, Descriptors: len(descriptors)}, err == nil
}
