// Package responsebuffer holds the bodies of responses until their peers have read them, within a memory budget.
//
// A peer whose link stalls leaves its responses unread, and many such peers together would take more memory than there is. A Set
// therefore drops bodies while memory is short, first those of the peers that have read nothing for the longest time. A dropped body is
// fetched again, by executing its request again, when the peer reads on. Only responses whose requests may be executed any number of
// times have a FetchFunc, and are dropped.
//
// The package starts no goroutine. Its methods may be called from any goroutine, but not with a lock that a memorybudget.Evictor acquires.
package responsebuffer

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/metrics"
)

// Fractions of the budget up to which bodies take memory. They are below those from which on connections are ended, and leave room for the
// requests of others, and for peers that are active.
const (
	// queuedFraction applies to a body behind other responses to the same peer.
	queuedFraction = 0.3
	// idleFraction applies to a body that can be written at once to a peer that is not active.
	idleFraction = 0.6
	// activeFraction applies to one that can be written at once to an active peer.
	activeFraction = 0.7
	// activeFetchFraction applies to the body for an active peer that is fetched again.
	activeFetchFraction = 0.75
)

const (
	// minUnreadStall is how long a body of which nothing has been read must have been held before it may be dropped.
	minUnreadStall = 100 * time.Millisecond
	// minLaterSign is how much later than a peer another one must have given the last sign of its link to take the place of its body.
	// Links that have stalled at the same time give their last signs at nearly the same time.
	minLaterSign = 100 * time.Millisecond
	// activeTime is how long after the last bytes from a peer its link is taken to go on.
	activeTime = 500 * time.Millisecond
	// maxDropsWhileRead bounds how often a body is dropped after its peer has begun to read it, since its request is executed again each
	// time.
	maxDropsWhileRead = 2
	// fetchInterval is the time between two attempts to get memory for a body that is to be fetched again, and turnInterval the time
	// after which a peer that waits for its turn is looked at again.
	fetchInterval = 25 * time.Millisecond
	turnInterval  = 100 * time.Millisecond
	// maxUnservedFetches is how many other responses than served ones a repeated request may get before its peer gets the last of them. A
	// peer that has read a part of the body can get no other response, so that its request is repeated until its time is over.
	maxUnservedFetches = 3
	// minFetchDelay and maxFetchDelay bound the time between two executions of a request that is not served.
	minFetchDelay = 50 * time.Millisecond
	maxFetchDelay = 250 * time.Millisecond
)

// Names of counters.
const (
	counterDropped = "response_bodies_dropped"
	counterFetched = "response_bodies_fetched_again"
)

// Errors of reads.
var (
	// ErrChanged means that the response has another body than the one of which the peer has read a part.
	ErrChanged = errors.New("responsebuffer: the response has changed since a part of it was read")
	// ErrReleased means that the body is no longer held.
	ErrReleased = errors.New("responsebuffer: the response has been released")
)

// NotServedError means that the body was dropped, and that the request has now got a response without one.
type NotServedError struct{ Response lifecycle.Response }

// Error implements error.
func (e *NotServedError) Error() string {
	return "responsebuffer: the repeated request is " + e.Response.Kind.String()
}

// FetchFunc executes a request again and returns its response. It returns an error if there is none in time or ctx ends.
type FetchFunc func(ctx context.Context) (lifecycle.Response, error)

// Set is the set of all bodies that are held by one gateway. Create one with NewSet.
type Set struct {
	metrics  *metrics.Registry
	idPrefix string        // prefix of the ids of requests that are executed again
	lastID   atomic.Uint64 // number of the last such id
	// turn has an element while a body for an inactive peer waits for memory, so that one of them asks for it at a time.
	turn chan struct{}
	// freed has an element if a body has released its memory since a Buffer last looked for some.
	freed chan struct{}

	mu sync.Mutex
	// Buffers whose bodies may be dropped, by whether any of the body has been read, least recently read or added first.
	unread, reading list.List
}

// NewSet returns an empty set whose bodies are dropped when the budget is short. A nil budget has no limit. idPrefix begins the ids of
// requests that are executed again; it must differ from that of every other gateway and of every earlier start of this gateway.
func NewSet(budget *memorybudget.Budget, idPrefix string, registry *metrics.Registry) *Set {
	s := &Set{metrics: registry, idPrefix: idPrefix, turn: make(chan struct{}, 1), freed: make(chan struct{}, 1)}
	budget.AddDropper(s)
	return s
}

// Drop implements memorybudget.Dropper. It drops the body of which nothing has been read for the longest time, or none if the peers of all
// have read something lately.
func (s *Set) Drop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.unread.Front()
	if oldest == nil || time.Since(oldest.Value.(*Buffer).touchedAt) < minUnreadStall {
		return false
	}
	oldest.Value.(*Buffer).dropLocked()
	return true
}

// dropForLater drops the body whose peer has read on least recently, if that peer has given no sign of its link for some time before
// heardAt, when another peer has given one.
func (s *Set) dropForLater(heardAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.reading.Front()
	if oldest == nil || heardAt.Sub(oldest.Value.(*Buffer).lastSign()) < minLaterSign {
		return false
	}
	oldest.Value.(*Buffer).dropLocked()
	return true
}

// Buffer holds the body of one response. Its methods are called by the goroutine that writes the response, except Release.
type Buffer struct {
	set     *Set
	account *memorybudget.Account
	fetch   FetchFunc // nil if the response can't be fetched again
	// lastHeard returns the time of the last bytes from the peer.
	lastHeard func() time.Time

	// Guarded by set.mu.

	body      []byte
	size      int
	etag      uint64
	isHeld    bool // whether body is valid
	isRead    bool // whether any of the body has been read
	drops     int  // number of times that the body was dropped after it had been read in part
	touchedAt time.Time
	released  bool
	list      *list.List // list of the set that contains the buffer; nil if the body must not be dropped or is not held
	element   *list.Element
}

// Peer is the peer of a response.
type Peer struct {
	Account *memorybudget.Account
	// LastHeard returns the time of the last bytes from the peer. It must not acquire a lock that is held where a Buffer is used.
	LastHeard func() time.Time
	// HasUnwritten says that earlier responses to the peer have not been written yet.
	HasUnwritten bool
}

// fraction returns the fraction of the budget up to which a new body for the peer takes memory.
func (p *Peer) fraction() float64 {
	switch {
	case p.HasUnwritten:
		return queuedFraction
	case time.Since(p.LastHeard()) < activeTime:
		return activeFraction
	default:
		return idleFraction
	}
}

// Add returns a buffer with the body of a served response. If there is no memory for a body that fetch can fetch again, the body is dropped
// at once. fetch is nil if the request must not be executed again.
func (s *Set) Add(peer Peer, response lifecycle.Response, fetch FetchFunc) *Buffer {
	body := response.Body.([]byte)
	b := &Buffer{set: s, account: peer.Account, fetch: fetch, lastHeard: peer.LastHeard, size: len(body), etag: response.ETag}
	if fetch == nil {
		peer.Account.Force(len(body))
	} else if !peer.Account.ReserveUpTo(peer.fraction(), len(body)) {
		s.metrics.Add(counterDropped, 1)
		return b
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b.holdLocked(body)
	return b
}

// Size returns the length of the body in bytes. It may change until the first ReadAt.
func (b *Buffer) Size() int {
	size, _ := b.state()
	return size
}

// ETag returns what identifies the content of the body. It may change until the first ReadAt.
func (b *Buffer) ETag() uint64 {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	return b.etag
}

// Await fetches the body if it has been dropped. It returns a *NotServedError if the request now gets another response, or the error of
// the FetchFunc or of ctx.
func (b *Buffer) Await(ctx context.Context) error {
	for {
		b.set.mu.Lock()
		isHeld := b.isHeld
		b.set.mu.Unlock()
		if isHeld {
			return nil
		}
		if err := b.fetchAgain(ctx); err != nil {
			return err
		}
	}
}

// ReadAt copies bytes of the body, from the offset on, to p, and returns how many. It first fetches the body if it has been dropped.
// Errors are those of Await, and ErrChanged.
func (b *Buffer) ReadAt(ctx context.Context, p []byte, offset int) (int, error) {
	for {
		if n, ok := b.copyAt(p, offset); ok {
			return n, nil
		}
		if err := b.fetchAgain(ctx); err != nil {
			return 0, err
		}
	}
}

// copyAt is ReadAt if the body is held.
func (b *Buffer) copyAt(p []byte, offset int) (n int, ok bool) {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	if !b.isHeld {
		return 0, false
	}
	b.isRead = true
	b.listLocked()
	return copy(p, b.body[min(offset, len(b.body)):]), true
}

// Release ends the use of the body. Further calls have no effect.
func (b *Buffer) Release() {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	b.released = true
	b.unlistLocked()
	if b.isHeld {
		b.discardLocked()
	}
}

// fetchAgain fetches a body that was dropped, once there is memory for it.
func (b *Buffer) fetchAgain(ctx context.Context) error {
	size, isRead := b.state()
	if err := b.awaitMemory(ctx, size); err != nil {
		return err
	}
	response, err := b.fetchServed(ctx, isRead)
	if err != nil {
		b.account.Release(size)
		return err
	}
	b.set.metrics.Add(counterFetched, 1)
	return b.hold(response, size)
}

// fetchServed executes the request until it is served. If nothing of the body has been read, it returns a *NotServedError after a few
// executions.
func (b *Buffer) fetchServed(ctx context.Context, isRead bool) (lifecycle.Response, error) {
	for unserved := 1; ; unserved++ {
		response, err := b.fetch(ctx)
		if err != nil || response.Kind == lifecycle.Served {
			return response, err
		}
		if !isRead && unserved >= maxUnservedFetches {
			return response, &NotServedError{response}
		}
		delay := min(max(clock.Duration(response.RetryAfterMs), minFetchDelay), maxFetchDelay)
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return response, ctx.Err()
		}
	}
}

// state returns the length of the body in bytes, and whether any of it has been read.
func (b *Buffer) state() (size int, isRead bool) {
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	return b.size, b.isRead
}

// hold keeps a body that was fetched again, for which reserved bytes have been reserved.
func (b *Buffer) hold(response lifecycle.Response, reserved int) error {
	body := response.Body.([]byte)
	b.account.Force(len(body) - reserved)
	b.account.Release(reserved - len(body))
	b.set.mu.Lock()
	defer b.set.mu.Unlock()
	if b.released {
		b.account.Release(len(body))
		return ErrReleased
	}
	if b.isRead && (len(body) != b.size || response.ETag != b.etag) {
		b.account.Release(len(body))
		return ErrChanged
	}
	b.size, b.etag = len(body), response.ETag
	b.holdLocked(body)
	return nil
}

// awaitMemory waits until there is memory for a body, and reserves it. Peers that have been heard of lately come first. The others get memory
// one after another.
func (b *Buffer) awaitMemory(ctx context.Context, size int) error {
	hasTurn := false
	defer func() {
		if hasTurn {
			<-b.set.turn
		}
	}()
	for !b.reserve(size, hasTurn) {
		wait, turn, freed := fetchInterval, (chan struct{})(nil), b.set.freed
		if !hasTurn && !b.isActive() {
			wait, turn, freed = turnInterval, b.set.turn, nil
		}
		select {
		case turn <- struct{}{}:
			hasTurn = true
		case <-freed:
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// reserve reserves memory for a body that is to be fetched again, if there is some for its peer. It takes the place of bodies whose peers were
// heard of earlier and read no more.
func (b *Buffer) reserve(size int, hasTurn bool) bool {
	switch {
	case b.isActive() && b.account.ReserveUpTo(activeFetchFraction, size):
		return true
	case hasTurn && b.account.ReserveUpTo(idleFraction, size):
		return true
	}
	for b.set.dropForLater(b.lastHeard()) {
		if b.account.ReserveUpTo(activeFetchFraction, size) {
			return true
		}
	}
	return false
}

// isActive reports whether something has been received from the peer lately.
func (b *Buffer) isActive() bool { return time.Since(b.lastHeard()) < activeTime }

// lastSign returns when the peer gave the last sign that its link goes on: bytes from it, or that it has read some.
func (b *Buffer) lastSign() time.Time {
	if heardAt := b.lastHeard(); heardAt.After(b.touchedAt) {
		return heardAt
	}
	return b.touchedAt
}

// holdLocked keeps the body. The caller holds set.mu.
func (b *Buffer) holdLocked(body []byte) {
	b.body, b.isHeld = body, true
	b.listLocked()
}

// listLocked records that the buffer was added or read, and moves it to the end of its list. The caller holds set.mu.
func (b *Buffer) listLocked() {
	b.unlistLocked()
	b.touchedAt = time.Now()
	if b.fetch == nil || b.released || b.isRead && b.drops >= maxDropsWhileRead {
		return
	}
	b.list = &b.set.unread
	if b.isRead {
		b.list = &b.set.reading
	}
	b.element = b.list.PushBack(b)
}

// unlistLocked removes the buffer from its list. The caller holds set.mu.
func (b *Buffer) unlistLocked() {
	if b.list != nil {
		b.list.Remove(b.element)
		b.list, b.element = nil, nil
	}
}

// dropLocked drops the body, to be fetched again. The caller holds set.mu.
func (b *Buffer) dropLocked() {
	b.unlistLocked()
	b.discardLocked()
	if b.isRead {
		b.drops++
	}
	b.set.metrics.Add(counterDropped, 1)
}

// discardLocked releases the memory of the body. The caller holds set.mu.
func (b *Buffer) discardLocked() {
	b.body, b.isHeld = nil, false
	b.account.Release(b.size)
	select {
	case b.set.freed <- struct{}{}:
	default:
	}
}
