// Package process runs the real program as a child process, signals it, and knows when it was away.
package process

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one gateway: the real program.
type Process struct {
	Index      int
	Name       string
	ListenAddr string // for clients
	PeerAddr   string // for the others' datagrams
	Env        []string
	Args       []string
	Binary     string
	Log        *Log

	mu     sync.Mutex
	cmd    *exec.Cmd // nil until the first start
	exited chan struct{}
	away   []span // when requests may have ended without an answer: paused, told to end, killed
}

// span is a time; a zero end is still to come.
type span struct{ from, to time.Time }

// Log is what all processes have written, in the order in which it was read.
type Log struct {
	mu    sync.Mutex
	lines []string
	gone  int // lines dropped from the front
	began time.Time
}

// NewLog returns an empty log whose times count from now.
func NewLog() *Log { return &Log{began: time.Now()} }

// Printf adds a line.
func (l *Log) Printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) > 20_000 {
		l.lines, l.gone = l.lines[10_000:], l.gone+10_000
	}
	l.lines = append(l.lines, fmt.Sprintf("[%7.3f] ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
}

// Position is the number of the next line.
func (l *Log) Position() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gone + len(l.lines)
}

// LinesAround is so many lines before and behind a line.
func (l *Log) LinesAround(at, before, behind int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	at -= l.gone
	from, to := max(0, at-before), min(len(l.lines), at+behind)
	return append([]string(nil), l.lines[min(from, to):to]...)
}

// Start starts the program and waits until it is ready.
func (p *Process) Start() error {
	cmd := exec.Command(p.Binary, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			p.Log.Printf("%s: %s", p.Name, lines.Text())
		}
		cmd.Wait()
		close(exited)
	}()
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 500 {
		if resp, err := client.Get("http://" + p.ListenAddr + "/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-exited:
			return fmt.Errorf("%s has ended by itself", p.Name)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return errors.New(p.Name + " is not ready after 10 s")
}

// back notes that the process is there again, or that its end is over.
func (p *Process) back() {
	if n := len(p.away); n > 0 && p.away[n-1].to.IsZero() {
		p.away[n-1].to = time.Now()
	}
}

// Signal sends a signal to the process that runs now.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stays := s == syscall.SIGCONT || s == syscall.SIGHUP || s == syscall.SIGUSR1
	if n := len(p.away); !stays && (n == 0 || !p.away[n-1].to.IsZero()) {
		p.away = append(p.away, span{from: time.Now()})
	}
	p.Log.Printf("%s: (%v)", p.Name, s)
	p.cmd.Process.Signal(s)
	if s == syscall.SIGCONT {
		p.back()
	}
}

// RecordStall notes that the whole machine did nothing for a time: what came of it says nothing of the process.
func (p *Process) RecordStall(from, to time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = append([]span{{from, to}}, p.away...) // the last one may be open
}

// ended waits for the process's end.
func (p *Process) ended() {
	<-p.exited
	p.mu.Lock()
	defer p.mu.Unlock()
	p.back()
}

// Kill ends it at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.ended()
}

// Stop ends it as the platform does. False: it was still there 10 s after SIGTERM, and was killed.
func (p *Process) Stop() bool {
	p.Signal(syscall.SIGTERM)
	inTime := true
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		inTime = false
		p.Log.Printf("%s: still there 10 s after SIGTERM", p.Name)
		p.Signal(syscall.SIGKILL)
	}
	p.ended()
	return inTime
}

// Running tells whether it runs, and has not ended by itself.
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

// Pid is the number of the process that runs now.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// InterruptedDuring tells whether the process was away at any time between two moments.
func (p *Process) InterruptedDuring(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.away {
		if a.from.Before(to) && (a.to.IsZero() || a.to.After(from)) {
			return true
		}
	}
	return false
}

// WriteConfig writes what the gateway is told into its directory.
func (p *Process) WriteConfig(dir string, config []byte, edge map[string]any) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	at := filepath.Join(dir, "config.json")
	if err := os.WriteFile(at, config, 0o644); err != nil {
		return err
	}
	p.Env = []string{"ROUTER_CONFIG=" + at, "ROUTER_NAME=" + p.Name, "ROUTER_LISTEN=" + p.ListenAddr}
	if edge == nil {
		return nil
	}
	text, err := json.Marshal(edge)
	if err != nil {
		return err
	}
	p.Args = []string{"-edge", filepath.Join(dir, "edge.json")}
	return os.WriteFile(p.Args[1], text, 0o644)
}
