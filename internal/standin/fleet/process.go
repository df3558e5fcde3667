package fleet

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

// process is one gateway: the real program.
type process struct {
	n      int
	name   string
	listen string // for clients
	peerAt string // for the others' datagrams
	env    []string
	args   []string
	binary string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	away   []span // when requests may have ended without an answer: paused, told to end, killed
	log    *logs
}

// span is a time; a zero end is still to come.
type span struct{ from, to time.Time }

// logs is what all processes have written, in the order in which it was read.
type logs struct {
	mu    sync.Mutex
	lines []string
	gone  int // lines dropped from the front
	began time.Time
}

func (l *logs) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) > 20_000 {
		l.lines, l.gone = l.lines[10_000:], l.gone+10_000
	}
	l.lines = append(l.lines, fmt.Sprintf("[%7.3f] ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
}

// at is the number of the next line.
func (l *logs) at() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gone + len(l.lines)
}

// around is so many lines before and behind a line.
func (l *logs) around(at, before, behind int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	at -= l.gone
	from, to := max(0, at-before), min(len(l.lines), at+behind)
	return append([]string(nil), l.lines[min(from, to):to]...)
}

// start starts the program and waits until it is ready.
func (p *process) start() error {
	cmd := exec.Command(p.binary, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
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
			p.log.add("%s: %s", p.name, lines.Text())
		}
		cmd.Wait()
		close(exited)
	}()
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 500 {
		if resp, err := client.Get("http://" + p.listen + "/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-exited:
			return fmt.Errorf("%s has ended by itself", p.name)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return errors.New(p.name + " is not ready after 10 s")
}

// back notes that the process is there again, or that its end is over.
func (p *process) back() {
	if n := len(p.away); n > 0 && p.away[n-1].to.IsZero() {
		p.away[n-1].to = time.Now()
	}
}

// signal sends a signal to the process that runs now.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.away); s != syscall.SIGCONT && (n == 0 || !p.away[n-1].to.IsZero()) {
		p.away = append(p.away, span{from: time.Now()})
	}
	p.log.add("%s: (%v)", p.name, s)
	p.cmd.Process.Signal(s)
	if s == syscall.SIGCONT {
		p.back()
	}
}

// stalled notes that the whole machine did nothing for a time: what came of it says nothing of the process.
func (p *process) stalled(from, to time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = append([]span{{from, to}}, p.away...) // the last one may be open
}

// ended waits for the process's end.
func (p *process) ended() {
	<-p.exited
	p.mu.Lock()
	defer p.mu.Unlock()
	p.back()
}

// kill ends it at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.ended()
}

// stop ends it as the platform does.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		p.log.add("%s: still there 10 s after SIGTERM", p.name)
		p.signal(syscall.SIGKILL)
	}
	p.ended()
}

// alive tells whether it runs, and has not ended by itself.
func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// troubled tells whether the process was away at any time between two moments.
func (p *process) troubled(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.away {
		if a.from.Before(to) && (a.to.IsZero() || a.to.After(from)) {
			return true
		}
	}
	return false
}

// files writes what the gateway is told into its directory.
func (p *process) files(dir string, config []byte, edge map[string]any) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	at := filepath.Join(dir, "config.json")
	if err := os.WriteFile(at, config, 0o644); err != nil {
		return err
	}
	p.env = []string{"ROUTER_CONFIG=" + at, "ROUTER_NAME=" + p.name, "ROUTER_LISTEN=" + p.listen}
	if edge == nil {
		return nil
	}
	text, err := json.Marshal(edge)
	if err != nil {
		return err
	}
	p.args = []string{"-edge", filepath.Join(dir, "edge.json")}
	return os.WriteFile(p.args[1], text, 0o644)
}
