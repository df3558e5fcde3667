package sftpserver

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"

	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

// told takes requests and answers them as the test says; the ledger's part is not played.
type told struct {
	taken []*lifecycle.Request
	a     lifecycle.Response
}

func (l *told) Submit(r *lifecycle.Request) bool {
	l.taken = append(l.taken, r)
	r.Respond(l.a)
	return true
}
func (l *told) Cancel(*lifecycle.Request)                                {}
func (l *told) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}

// What a client writes on which handles, and whether it is the first's repeat, by its upload key.
func TestWhichWritesAreRepeats(t *testing.T) {
	type step struct {
		handle int // opened when it is first named
		what   string
		off    int64
		body   string
		same   int // as the key of this write, counted from 0; -1: of its own
	}
	w := func(handle int, off int64, body string, same int) step { return step{handle, "write", off, body, same} }
	shut, lose := func(h int) step { return step{h, "close", 0, "", 0} }, func(h int) step { return step{h, "lose", 0, "", 0} }
	open, pass := func(h int) step { return step{h, "open", 0, "", 0} }, func(ms int64) step { return step{0, "pass", ms, "", 0} }
	for name, c := range map[string]struct {
		host2 bool // handles from 2 on are another client's
		steps []step
	}{
		"after a loss":                   {false, []step{w(1, 0, "aa", -1), lose(1), w(2, 0, "aa", 0)}},
		"the first still looks alive":    {false, []step{w(1, 0, "aa", -1), w(2, 0, "aa", 0), w(3, 0, "aa", 0)}},
		"the first comes late":           {false, []step{open(1), w(2, 0, "aa", -1), shut(2), w(1, 0, "aa", 0)}},
		"opened after an orderly close":  {false, []step{w(1, 0, "aa", -1), pass(1), shut(1), pass(1), w(2, 0, "aa", -1)}},
		"other bytes":                    {false, []step{w(1, 0, "aa", -1), lose(1), w(2, 0, "ab", -1)}},
		"another place":                  {false, []step{w(1, 0, "aa", -1), lose(1), w(2, 2, "aa", -1)}},
		"overwritten in between":         {false, []step{w(1, 0, "aa", -1), lose(1), w(2, 1, "bb", -1), w(2, 0, "aa", -1)}},
		"written beside it":              {false, []step{w(1, 0, "aa", -1), lose(1), w(2, 2, "bb", -1), w(2, 0, "aa", 0)}},
		"on one handle, and heard":       {false, []step{w(1, 0, "aa", -1), w(1, 0, "aa", -1)}},
		"another client's":               {true, []step{w(1, 0, "aa", -1), lose(1), w(2, 0, "aa", -1)}},
		"long ago":                       {false, []step{w(1, 0, "aa", -1), lose(1), pass(9000), w(2, 0, "aa", -1)}},
		"behind its window":              {false, []step{w(1, 0, "aa", -1), lose(1), pass(5000), w(2, 0, "aa", 0)}},
		"a repeat's repeat, of the last": {false, []step{w(1, 0, "aa", -1), lose(1), w(2, 0, "bb", -1), lose(2), w(3, 0, "bb", 1), w(4, 0, "aa", -1)}},
	} {
		l := &told{a: lifecycle.Response{Result: &sftpwire.Reply{}}}
		now := clock.NewManual(1e6)
		f := &Server{Loop: l, Clock: now, Metrics: metrics.New(), Options: Options{UnitBytes: 1024, Shards: 1, MaxUnits: 6, RetentionMs: 5000,
			WriteClass: scheduler.Class{Name: "push", DedupWindow: 3e9, Deadline: 3e9}, Roots: []Root{{Path: "/", Plan: "basic"}}}}
		ctxs := map[int]*ctl{}
		handles := map[int]*file{}
		get := func(n int) *file {
			if handles[n] == nil {
				host := "a"
				if c.host2 && n > 1 {
					host = "b"
				}
				ctxs[n] = newCtl()
				handles[n] = &file{h: &handler{f, ctxs[n].ctx, host, nil}, path: "/f", flags: sftpwire.FlagWrite, openedMs: now.NowMs(), last: map[int64]written{}}
			}
			return handles[n]
		}
		var keys []string
		for i, s := range c.steps {
			switch s.what {
			case "open":
				get(s.handle)
			case "pass":
				now.Advance(float64(s.off))
			case "close":
				get(s.handle).Close()
			case "lose":
				ctxs[s.handle].cancel()
				get(s.handle).Close()
			case "write":
				if _, err := get(s.handle).WriteAt([]byte(s.body), s.off); err != nil {
					t.Fatal(err)
				}
				r := l.taken[len(l.taken)-1]
				key := r.Device.Key
				want := -1
				for j, k := range keys {
					if k == key {
						want = j
						break
					}
				}
				if want != s.same || r.IsRetry != (s.same >= 0) || r.IsRetry != (r.Device.AgeMs >= 0) {
					t.Errorf("%s: step %d has the key of write %d, want %d; repeat %v, age %v", name, i, want, s.same, r.IsRetry, r.Device.AgeMs)
				}
				if r.Device.BodyDigest != sha256.Sum256([]byte(s.body)) || fmt.Sprint(r.Device.BuildPayload("", r.Device.Body).(*sftpwire.Command).Data) != fmt.Sprint([]byte(s.body)) {
					t.Errorf("%s: step %d hands in other bytes", name, i)
				}
				keys = append(keys, key)
			}
		}
	}
}

// What is remembered is bounded, the oldest go first.
func TestWritesRememberedAreBounded(t *testing.T) {
	l, by := &sent{}, &file{}
	for i := range 3 * maxSent {
		l.add(by, fmt.Sprint("p", i%100), written{off: int64(i), size: 1, atMs: float64(i)})
	}
	n := 0
	for _, es := range l.at {
		n += len(es)
	}
	if n != maxSent || l.order.Len() != maxSent {
		t.Errorf("%d and %d are remembered", n, l.order.Len())
	}
	if _, ok := l.find(&file{}, "p0", &written{off: 1, size: 1, atMs: 1e9}, 1000); ok || l.order.Len() != 0 || len(l.at) != 0 {
		t.Errorf("%d left when all are too old", l.order.Len())
	}
}

// ctl is a connection's context.
type ctl struct {
	ctx    context.Context
	cancel func()
}

func newCtl() *ctl {
	ctx, cancel := context.WithCancel(context.Background())
	return &ctl{ctx, cancel}
}
