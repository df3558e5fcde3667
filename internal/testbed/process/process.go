// Package process runs the gateway program as a child process on loopback, signals it, and records when it was
// interrupted. It also holds what tests of several gateways share: the files that a gateway reads, the merged log of all
// processes, and the detection of stalls of the test machine.
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
	ErrExited = errors.New("process: exited unexpectedly")
	// ErrNotReady reports that the process runs and has not become ready in time.
	ErrNotReady = errors.New("process: not ready in time")
)

const (
	readyPollInterval = 20 * time.Millisecond
	readyPolls        = 500
	readyPollTimeout  = time.Second

	// stopTimeout is how long a process may take to exit after SIGTERM.
	stopTimeout = 10 * time.Second
)

// Process is one gateway process, which may be started again after it has exited. The exported fields must not change
// while the process runs.
type Process struct {
	Index      int    // of the gateway in its fleet
	Name       string // for the log
	ListenAddr string // for clients, and for GET /ready
	PeerAddr   string // for the datagrams of other gateways; empty without a fleet
	Env        []string
	Args       []string
	Binary     string
	Log        *Log

	mu            sync.Mutex
	cmd           *exec.Cmd     // nil until the first start
	exited        chan struct{} // closed when cmd has exited
	interruptions []Interval    // in which requests may have ended without a response: stopped, terminated or killed
}

// Start starts the program and waits until it is ready. It returns ErrExited or ErrNotReady if that fails; in the latter
// case the process is still running.
func (p *Process) Start() error {
	cmd := exec.CommandContext(context.Background(), p.Binary, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("process: %s: %w", p.Name, err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("process: %s: %w", p.Name, err)
	}
	exited := make(chan struct{})
	go func() {
		p.copyToLog(stderr)
		_ = cmd.Wait() // every exit code counts as an exit
		close(exited)
	}()
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	return p.waitReady(exited)
}

func (p *Process) copyToLog(stderr io.Reader) {
	for lines := bufio.NewScanner(stderr); lines.Scan(); {
		p.Log.Printf("%s: %s", p.Name, lines.Text())
	}
}

// waitReady polls GET /ready until it answers 200.
func (p *Process) waitReady(exited <-chan struct{}) error {
	client := &http.Client{Timeout: readyPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for range readyPolls {
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

// Signal sends a signal to the running process. A signal that stops or ends the process begins an interruption; SIGCONT
// ends it.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keepsRunning(signal) && !p.interrupted() {
		p.interruptions = append(p.interruptions, Interval{From: time.Now()})
	}
	p.Log.Printf("%s: (%v)", p.Name, signal)
	_ = p.cmd.Process.Signal(signal) // fails only if the process has exited, which Running reports
	if signal == syscall.SIGCONT {
		p.endInterruption()
	}
}

func keepsRunning(signal syscall.Signal) bool {
	return signal == syscall.SIGCONT || signal == syscall.SIGHUP || signal == syscall.SIGUSR1
}

// interrupted reports whether an interruption is open. p.mu must be held.
func (p *Process) interrupted() bool {
	n := len(p.interruptions)
	return n > 0 && p.interruptions[n-1].To.IsZero()
}

// endInterruption closes the open interruption, if there is one. p.mu must be held.
func (p *Process) endInterruption() {
	if p.interrupted() {
		p.interruptions[len(p.interruptions)-1].To = time.Now()
	}
}

// RecordStall records a stall of the whole machine as an interruption, since it says nothing about the process.
func (p *Process) RecordStall(stall Interval) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// It goes to the front because the last interruption may be open.
	p.interruptions = append([]Interval{stall}, p.interruptions...)
}

// InterruptedDuring reports whether the process was interrupted at any time between two moments.
func (p *Process) InterruptedDuring(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return AnyOverlaps(p.interruptions, from, to)
}

// Kill ends the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.waitExit()
}

// Stop ends the process with SIGTERM and waits until it has exited. It reports whether the process exited within
// stopTimeout; one that did not is killed.
func (p *Process) Stop() (inTime bool) {
	p.Signal(syscall.SIGTERM)
	inTime = true
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		inTime = false
		p.Log.Printf("%s: still running %v after SIGTERM", p.Name, stopTimeout)
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
