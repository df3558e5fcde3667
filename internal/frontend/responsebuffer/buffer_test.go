package responsebuffer

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/metrics"
)

const testLimit = 1000 // bytes of the budget of the tests

// testSet is a set with a budget.
type testSet struct {
	*Set
	budget  *memorybudget.Budget
	fetches int                // number of calls of fetch
	fetched lifecycle.Response // what fetch returns
}

func newTestSet() *testSet {
	registry := metrics.New()
	s := &testSet{budget: memorybudget.New(testLimit, registry)}
	s.Set = NewSet(s.budget, "gw", registry)
	s.fetched = served(body(100))
	return s
}

func (s *testSet) fetch(context.Context) (lifecycle.Response, error) {
	s.fetches++
	return s.fetched, nil
}

// body returns a body of the given length.
func body(length int) []byte { return bytes.Repeat([]byte("b"), length) }

// served returns a served response with a body.
func served(body []byte) lifecycle.Response {
	return lifecycle.Response{Body: body, ETag: uint64(len(body))}
}

// peer returns a peer with an account of its own that has been heard of now, or long ago.
func (s *testSet) peer(isActive bool) Peer {
	heardAt := time.Now()
	if !isActive {
		heardAt = heardAt.Add(-time.Hour)
	}
	return Peer{Account: s.budget.NewAccount(), LastHeard: func() time.Time { return heardAt }}
}

// dropReading drops the body that has been read in part least recently.
func (s *testSet) dropReading() { s.dropForLater(time.Now().Add(time.Hour)) }

// dropUnread drops the oldest body of which nothing has been read.
func (s *testSet) dropUnread() {
	time.Sleep(minUnreadStall)
	s.Drop()
}

// add adds a body of 100 bytes.
func (s *testSet) add(peer Peer) *Buffer { return s.Add(peer, served(body(100)), s.fetch) }

func (s *testSet) checkUsed(t *testing.T, want int64) {
	t.Helper()
	if used := s.budget.Used(); used != want {
		t.Errorf("%d bytes are used, want %d", used, want)
	}
}

// Guards against bodies of peers that do not read them that take all memory: those of inactive peers and behind other responses take less.
func TestBodiesLeaveMemoryToActivePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSet()
		queued := s.peer(true)
		queued.HasUnwritten = true
		for range 10 {
			s.add(queued)
		}
		s.checkUsed(t, queuedFraction*testLimit)
		for range 10 {
			s.add(s.peer(false))
		}
		s.checkUsed(t, idleFraction*testLimit)
		for range 10 {
			s.add(s.peer(true))
		}
		s.checkUsed(t, activeFraction*testLimit)
	})
}

// Guards against peers that wait although bodies that others do not read take the memory.
func TestUnreadBodiesAreDroppedForNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSet()
		var buffers []*Buffer
		for range 7 {
			buffers = append(buffers, s.add(s.peer(true)))
		}
		time.Sleep(minUnreadStall)
		added := s.add(s.peer(true))
		for i, b := range buffers {
			if b.isHeld != (i > 0) {
				t.Errorf("body %d: held %v, want only the oldest one dropped", i, b.isHeld)
			}
		}
		if !added.isHeld || s.fetches != 0 {
			t.Errorf("new body: held %v, %d fetches; want it held, and none fetched", added.isHeld, s.fetches)
		}
		for _, b := range append(buffers, added) {
			b.Release()
			b.Release()
		}
		s.checkUsed(t, 0)
	})
}

// Guards against peers whose links go on that wait for those whose links stall: a body of which a part has been read is dropped for a peer
// that was heard of later, and fetched again when its own peer reads on. One that was heard of at the same time may have stalled too.
func TestReadBodiesAreDroppedForPeersHeardOfLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSet()
		var stalled []*Buffer
		for range 7 {
			b := s.add(s.peer(true))
			if n, err := b.ReadAt(t.Context(), make([]byte, 40), 0); n != 40 || err != nil {
				t.Fatalf("read %d bytes with error %v, want 40", n, err)
			}
			stalled = append(stalled, b)
		}
		sameTime := s.peer(true)
		time.Sleep(2 * activeTime)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := s.add(sameTime).Await(ctx); !errors.Is(err, context.DeadlineExceeded) || !stalled[0].isHeld {
			t.Errorf("peer heard of at the same time: error %v, body held %v; want none dropped for it", err, stalled[0].isHeld)
		}
		later := s.add(s.peer(true))
		if err := later.Await(t.Context()); err != nil || s.fetches != 1 {
			t.Fatalf("peer heard of later: %d fetches and error %v, want 1 and none", s.fetches, err)
		}
		if stalled[0].isHeld || !stalled[1].isHeld {
			t.Error("want the body dropped that has been unread for the longest time, and no other")
		}
		later.Release()
		stalled[1].Release()
		rest := make([]byte, 100)
		if n, err := stalled[0].ReadAt(t.Context(), rest, 40); n != 60 || err != nil || !bytes.Equal(rest[:n], body(60)) || s.fetches != 2 {
			t.Errorf("the rest: %d bytes, error %v, %d fetches; want 60 and 2", n, err, s.fetches)
		}
	})
}

// Guards against a body that is composed of two different ones.
func TestChangedBodyIsNotReadOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSet()
		b := s.add(s.peer(false))
		_, _ = b.ReadAt(t.Context(), make([]byte, 1), 0)
		s.dropReading()
		s.fetched = served(body(99))
		if _, err := b.ReadAt(t.Context(), make([]byte, 1), 1); !errors.Is(err, ErrChanged) {
			t.Errorf("got error %v, want ErrChanged", err)
		}
		s.checkUsed(t, 0)

		b = s.add(s.peer(false))
		s.dropUnread()
		if err := b.Await(t.Context()); err != nil || b.Size() != 99 || b.ETag() != 99 {
			t.Errorf("a body of which nothing was read: error %v, size %d, ETag %d; want the new one", err, b.Size(), b.ETag())
		}
		s.checkUsed(t, 99)
	})
}

// Guards against bodies that are dropped without end because their peers read them slowly.
func TestReadBodyIsDroppedFewTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSet()
		b := s.add(s.peer(false))
		for offset := range 10 {
			if _, err := b.ReadAt(t.Context(), make([]byte, 1), offset); err != nil {
				t.Fatal(err)
			}
			s.dropReading()
		}
		if s.fetches != maxDropsWhileRead {
			t.Errorf("the body was fetched %d times, want %d", s.fetches, maxDropsWhileRead)
		}
	})
}

// A repeated request that is not served is repeated; a peer that has read nothing gets the response after a few times, and one that has read
// a part gets none.
func TestUnservedFetches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSet()
		s.fetched = lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 100}
		unread := s.add(s.peer(false))
		s.dropUnread()
		var notServed *NotServedError
		if err := unread.Await(t.Context()); !errors.As(err, &notServed) || notServed.Response.RetryAfterMs != 100 ||
			s.fetches != maxUnservedFetches {
			t.Errorf("got error %v after %d fetches, want the rejection after %d", err, s.fetches, maxUnservedFetches)
		}
		read := s.add(s.peer(false))
		_, _ = read.ReadAt(t.Context(), make([]byte, 1), 0)
		s.dropReading()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if _, err := read.ReadAt(ctx, make([]byte, 1), 1); !errors.Is(err, context.DeadlineExceeded) || s.fetches < 50 {
			t.Errorf("got error %v after %d fetches, want the end of the time", err, s.fetches)
		}
		s.checkUsed(t, 0)
	})
}

// A response that must not be fetched again is held in any case, and counted.
func TestBodyWithoutFetchIsHeld(t *testing.T) {
	s := newTestSet()
	b := s.Add(s.peer(false), served(body(2*testLimit)), nil)
	s.checkUsed(t, 2*testLimit)
	if s.Drop() || !b.isHeld {
		t.Error("the body was dropped, want it held")
	}
	b.Release()
	s.checkUsed(t, 0)
}

// Guards against a body that is held for ever because its connection ends while it is fetched again.
func TestReleaseDuringFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSet()
		var b *Buffer
		b = s.Add(s.peer(false), served(body(100)), func(context.Context) (lifecycle.Response, error) {
			b.Release()
			return served(body(100)), nil
		})
		s.dropUnread()
		if err := b.Await(t.Context()); !errors.Is(err, ErrReleased) {
			t.Errorf("got error %v, want ErrReleased", err)
		}
		s.checkUsed(t, 0)
	})
}
