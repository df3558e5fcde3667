// Package process runs the gateway program as a child process on loopback, sends it signals, and records when the
// process was interrupted. It also provides what tests with several gateways share: the files that a gateway reads, the merged log of
// all processes, and the detection of stalls of the test machine.
//
// A Process may be used from any goroutine, but Start, Stop and Kill of one process must not run at the same time. Each
// start has one goroutine that copies the process's standard error to the log; it ends with the process.
package process

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Errors of Process.Start.
var (
	// ErrExited reports that the process exited before it was ready.
	ErrExited = errors.New("process: exited before it was ready")
	// ErrNotReady reports that the process is running but did not become ready in time.
	ErrNotReady = errors.New("process: running, but GET /ready did not return status 200 in time")
)

const (
	readyPollInterval = 20 * time.Millisecond
	maxReadyPolls     = 500
	readyPollTimeout  = time.Second
)

// Process is one gateway process, which may be started again after it has exited. The exported fields must not change
// while the process runs.
type Process struct {
	Index      int      // index of the gateway in its fleet, counted from 0
	Name       string   // name of the gateway and prefix of its lines in the log
	ListenAddr string   // address for requests of clients and for GET /ready
	PeerAddr   string   // address for datagrams of other gateways; empty without a fleet
	Env        []string // environment variables of the process, in addition to those of this program
	Args       []string // command-line arguments
	Binary     string   // path of the gateway program
	Log        *Log     // receives the standard error of the process

	mu            sync.Mutex
	cmd           *exec.Cmd     // process started last; nil before the first start
	exited        chan struct{} // channel that is closed when cmd has exited
	interruptions []Interval    // pauses, times from SIGTERM or SIGKILL to the exit, and stalls: requests may then get no response
}

// Start starts the program and waits until it is ready. It returns ErrExited if the process exits first, and ErrNotReady
// if the process is running but does not become ready in time.
func (p *Process) Start() error {
	if err := p.Launch(); err != nil {
		return err
	}
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	return p.waitReady(exited)
}

// Launch starts the program and does not wait until it is ready.
func (p *Process) Launch() error {
	cmd := exec.CommandContext(context.Background(), p.Binary, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("process: open the standard error of %s: %w", p.Name, err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("process: start %s: %w", p.Name, err)
	}
	exited := make(chan struct{})
	go func() {
		p.copyToLog(stderr)
		_ = cmd.Wait() // the error is ignored, because only the exit matters and not its code
		close(exited)
	}()
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	return nil
}

func (p *Process) copyToLog(stderr io.Reader) {
	for lines := bufio.NewScanner(stderr); lines.Scan(); {
		p.Log.Printf("%s: %s", p.Name, lines.Text())
	}
}

// waitReady polls GET /ready until it returns status 200, the process exits, or maxReadyPolls polls have failed.
func (p *Process) waitReady(exited <-chan struct{}) error {
	client := &http.Client{Timeout: readyPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for range maxReadyPolls {
		if p.isReady(client) {
			return nil
		}
		select {
		case <-exited:
			return fmt.Errorf("%s: %w", p.Name, ErrExited)
		case <-time.After(readyPollInterval):
		}
	}
	return fmt.Errorf("%s: %w", p.Name, ErrNotReady)
}

func (p *Process) isReady(client *http.Client) bool {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+p.ListenAddr+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Signal sends a signal to the running process. A signal that pauses or terminates the process begins an interruption, which
// ends with SIGCONT, or when Kill or Stop has seen the process exit.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keepsRunning(signal) && !p.interrupted() {
		p.interruptions = append(p.interruptions, Interval{From: time.Now()})
	}
	p.Log.Printf("%s: (sending signal: %v)", p.Name, signal)
	_ = p.cmd.Process.Signal(signal) // fails only if the process has exited, which Running reports
	if signal == syscall.SIGCONT {
		p.endInterruption()
	}
}

func keepsRunning(signal syscall.Signal) bool {
	return signal == syscall.SIGCONT || signal == syscall.SIGHUP || signal == syscall.SIGUSR1
}

// interrupted reports whether an interruption has begun and not ended. p.mu must be held.
func (p *Process) interrupted() bool {
	count := len(p.interruptions)
	return count > 0 && p.interruptions[count-1].To.IsZero()
}

// endInterruption ends the current interruption, if there is one. p.mu must be held.
func (p *Process) endInterruption() {
	if p.interrupted() {
		p.interruptions[len(p.interruptions)-1].To = time.Now()
	}
}

// RecordStall records a stall of the whole machine as an interruption: responses that are late or missing because of it
// are not faults of the process.
func (p *Process) RecordStall(stall Interval) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The stall is inserted at the front, because the current interruption has to stay the last element.
	p.interruptions = append([]Interval{stall}, p.interruptions...)
}

// InterruptedDuring reports whether the process was interrupted, or the machine stalled, at any time between from and to.
func (p *Process) InterruptedDuring(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return AnyOverlaps(p.interruptions, from, to)
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.waitExit()
}

// Stop sends SIGTERM and waits until the process has exited. It kills a process that does not exit within the timeout,
// and reports whether the process exited in time.
func (p *Process) Stop(timeout time.Duration) (inTime bool) {
	p.Signal(syscall.SIGTERM)
	inTime = true
	select {
	case <-p.exited:
	case <-time.After(timeout):
		inTime = false
		p.Log.Printf("%s: still running %v after SIGTERM", p.Name, timeout)
		p.Signal(syscall.SIGKILL)
	}
	p.waitExit()
	return inTime
}

func (p *Process) waitExit() {
	<-p.exited
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endInterruption()
}

// Running reports whether the process was started and has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}
