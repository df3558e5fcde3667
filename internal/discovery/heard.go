package discovery

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/socketstate"
)

// catchUpMs bounds CatchUp: half of what the rules' times are longer by.
const catchUpMs = 25

// lookMs is how often a read that waits is taken up anew. What comes is known to have come no earlier than the last time
// that nothing was there, however long the process was stopped meanwhile.
const lookMs = 250

// heard follows whether all that has come on the latest watch's connection was told.
type heard struct {
	clock clock.Clock

	mu sync.Mutex
	// sinceMs is a time at which nothing was there yet of what was read last on the latest watch's connection.
	sinceMs float64
	line    *line
	busy    bool          // what was read of it is being told
	rest    chan struct{} // closed once it has been; nil: nobody waits
}

// line is a watch's connection. Whoever reads it again has told all that was read before.
type line struct {
	net.Conn
	h *heard
}

// listen has a dial's connections followed.
func (h *heard) listen(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		l := &line{nc, h}
		h.mu.Lock()
		h.line = l
		h.set(false)
		h.mu.Unlock()
		return l, nil
	}
}

// set notes whether something is being told. h.mu is held.
func (h *heard) set(busy bool) {
	h.busy = busy
	if !busy && h.rest != nil {
		close(h.rest)
		h.rest = nil
	}
}

func (h *heard) note(l *line, busy bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.line == l {
		h.set(busy)
	}
}

func (l *line) Read(p []byte) (int, error) {
	l.h.note(l, false)
	for {
		since := l.h.clock.NowMs()
		l.Conn.SetReadDeadline(time.Now().Add(clock.Duration(lookMs)))
		n, err := l.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		l.h.mu.Lock()
		l.h.sinceMs = since
		l.h.mu.Unlock()
		l.h.note(l, n > 0)
		return n, err
	}
}

// since is a time at which nothing was there yet of what was read last.
func (h *heard) since() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sinceMs
}

func (l *line) Close() error {
	l.h.mu.Lock()
	if l.h.line == l {
		l.h.line = nil
		l.h.set(false)
	}
	l.h.mu.Unlock()
	return l.Conn.Close()
}

// AwaitPendingUpdates waits until what has come on the watch was told, for catchUpMs at most. It guards against a process that was
// stopped, or had no processor, for longer than the grace of drains: what was decided before goes out in the same moment
// in which the news can be read. behind: there was something to wait for. Not caught: some of it could still not be told.
func (w *Watcher) AwaitPendingUpdates() (behind, caught bool) {
	h := &w.heard
	var late chan struct{}
	for {
		h.mu.Lock()
		unread := false
		if h.line != nil {
			unread, _ = socketstate.Waiting(h.line.Conn)
		}
		if !h.busy && !unread {
			h.mu.Unlock()
			return behind, true
		}
		if h.rest == nil {
			h.rest = make(chan struct{})
		}
		rest := h.rest
		h.mu.Unlock()
		if behind = true; late == nil {
			w.Metrics.Add("attempts_held_for_news", 1)
			late = make(chan struct{})
			defer w.Clock.AfterFunc(catchUpMs, func() { close(late) })()
		}
		select {
		case <-rest:
		case <-late:
			return behind, false
		}
	}
}
