package sftpserver

import (
	"container/list"
	"crypto/sha256"
	"fmt"
	"sync"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/sftpwire"
)

// This file tells a WRITE that comes again from a new one. The protocol has no name for a WRITE, so its place, its
// bytes and what became of the first one must do:
//
//   - on one handle, a WRITE that failed and comes again unchanged means the same upload;
//   - so does one that the same client had sent on another handle, unless that was closed in order, and so had all
//     its answers, before this one was opened.
//
// Whatever has been overwritten in between must be written again, and gets a fresh key.

const maxSent = 4096 // writes of open and lost handles that are known, of all clients

// written is a WRITE.
type written struct {
	off  int64
	sum  [sha256.Size]byte
	size int
	key  string
	atMs float64 // when it was first sent
}

func (w *written) same(o *written) bool { return w.off == o.off && w.size == o.size && w.sum == o.sum }

func (w *written) overlaps(o *written) bool {
	return w.off < o.off+int64(o.size) && o.off < w.off+int64(w.size)
}

// sent holds the writes of handles that have not been closed in order, the oldest first. Their connections may be
// lost, or look alive long after the client has given them up.
type sent struct {
	mu    sync.Mutex
	order list.List // of *sentWrite
	at    map[string][]*list.Element
}

type sentWrite struct {
	written
	place    string // client and path
	by       *file
	closedMs float64 // when its handle was closed in order; 0: it was not
}

// add keeps a write.
func (l *sent) add(by *file, place string, w written) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil {
		l.at = map[string][]*list.Element{}
	}
	l.at[place] = append(l.at[place], l.order.PushBack(&sentWrite{written: w, place: place, by: by}))
	if l.order.Len() > maxSent {
		l.drop(l.order.Front())
	}
}

func (l *sent) drop(e *list.Element) {
	w := l.order.Remove(e).(*sentWrite)
	rest := l.at[w.place][:0]
	for _, x := range l.at[w.place] {
		if x != e {
			rest = append(rest, x)
		}
	}
	if l.at[w.place] = rest; len(rest) == 0 {
		delete(l.at, w.place)
	}
}

// find looks for a write of another handle that is the same as w and not older than mostMs. Those that w overwrites
// are dropped.
func (l *sent) find(by *file, place string, w *written, mostMs float64) (old written, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.order.Front(); e != nil && w.atMs-e.Value.(*sentWrite).atMs >= mostMs; e = l.order.Front() {
		l.drop(e)
	}
	for _, e := range append([]*list.Element(nil), l.at[place]...) {
		x := e.Value.(*sentWrite)
		if x.same(w) && x.by != by && (x.closedMs == 0 || by.openedMs <= x.closedMs) {
			old, ok = x.written, true // the latest counts
		} else if x.overlaps(w) {
			l.drop(e)
		}
	}
	return old, ok
}

// closed notes that a handle was closed in order: its client has had all answers. The same WRITE may still be on its
// way over an older connection, on a handle that was opened before.
func (l *sent) closed(by *file, place string, nowMs float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.at[place] {
		if x := e.Value.(*sentWrite); x.by == by {
			x.closedMs = nowMs
		}
	}
}

// keyFor gives a WRITE its upload key. again is how long ago a lost connection first sent it; below zero: none did.
func (f *file) keyFor(p []byte, off int64) (w written, again float64) {
	w = written{off: off, sum: sha256.Sum256(p), size: len(p), atMs: f.h.Clock.NowMs()}
	window := clock.Ms(f.h.WriteClass.DedupWindow)
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.last[off]; ok && old.same(&w) && w.atMs-old.atMs < window {
		return old, -1 // the ledger, if there is one, knows its key
	}
	for at, old := range f.last { // overwritten: it must not be taken for a repeat any more
		if old.overlaps(&w) {
			delete(f.last, at)
		}
	}
	again = -1
	if f.h.RetentionMs > 0 {
		if old, ok := f.h.sent.find(f, f.place(), &w, window+f.h.RetentionMs); ok {
			f.h.Metrics.Add("file_writes_rejoined", 1)
			again = w.atMs - old.atMs
			w = old
		}
	}
	if w.key == "" {
		w.key = newKey()
	}
	if f.h.RetentionMs > 0 {
		f.h.sent.add(f, f.place(), w)
	}
	return w, again
}

func (f *file) place() string { return f.h.host + " " + f.path }

// Close implements io.Closer. The library also calls it for handles that a lost connection left open.
func (f *file) Close() error {
	if f.h.RetentionMs > 0 && f.h.ctx.Err() == nil {
		f.h.sent.closed(f, f.place(), f.h.Clock.NowMs())
	}
	return nil
}

// exchange makes a WRITE a copy of an exchange.
func (h *handler) exchange(req *lifecycle.Request, cmd *sftpwire.Command, again float64) {
	req.Device = &lifecycle.DeviceRequest{ID: "file " + h.host, Key: "f" + cmd.UploadKey, AgeMs: again,
		HeadDigest: sha256.Sum256(fmt.Appendf(nil, "%d %s", cmd.Offset, cmd.Path)), Body: cmd.Data, BodyDigest: sha256.Sum256(cmd.Data),
		BuildPayload: func(_ string, body []byte) any {
			c := *cmd
			c.Data = body
			return &c
		}}
	req.IsRetry = again >= 0
}
