package process

import (
	"syscall"
	"time"
)

// throttlePeriod is the time in which a throttled process runs once and is stopped once.
const throttlePeriod = 20 * time.Millisecond

// Throttle lets the process run for only a part of the time, as if it had that many cores, until stop is closed. While the process is
// interrupted otherwise, it does nothing. A throttled process does not count as interrupted.
func (p *Process) Throttle(cores float64, stop <-chan struct{}) {
	running := time.Duration(cores * float64(throttlePeriod))
	for {
		select {
		case <-stop:
			return
		case <-time.After(running):
		}
		p.stopFor(throttlePeriod - running)
	}
}

// stopFor stops the process for the given time, unless it is interrupted or does not run.
func (p *Process) stopFor(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.interrupted() {
		return
	}
	if p.cmd.Process.Signal(syscall.SIGSTOP) != nil {
		return // the process has exited
	}
	time.Sleep(pause)
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // fails only if the process has exited
}
