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

const (
	// maxPendingWaitMs bounds AwaitPendingUpdates: half of the 50 ms that the platform's rules tolerate.
	maxPendingWaitMs = 25

	// readTimeoutMs is the interval at which a blocked read is restarted. Bytes that it returns have arrived since its last
	// start, however long the process was paused meanwhile.
	readTimeoutMs = 250
)

// receiveTracker follows whether everything that has arrived on the connection of the latest watch was processed. It is
// safe for concurrent use.
type receiveTracker struct {
	clock clock.Clock

	mu sync.Mutex
	// readStartedMs is when the latest read that has returned was started. None of its bytes had arrived then.
	readStartedMs float64
	conn          *trackedConn  // the latest watch's; nil: none
	processing    bool          // bytes read from conn are being processed
	processed     chan struct{} // closed when they have been; nil: nobody waits
}

// trackedConn is the connection of a watch. Its reader has processed everything that it read before it reads again.
type trackedConn struct {
	net.Conn
	tracker *receiveTracker
}

// trackDial returns a dial function whose connections are tracked, each in place of the one before.
func (t *receiveTracker) trackDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialed, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		conn := &trackedConn{Conn: dialed, tracker: t}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conn = conn
		t.setProcessingLocked(false)
		return conn, nil
	}
}

// setProcessing records whether bytes read from a connection are being processed. It ignores all but the latest one.
func (t *receiveTracker) setProcessing(conn *trackedConn, processing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == conn {
		t.setProcessingLocked(processing)
	}
}

// setProcessingLocked does the same for the latest connection. The caller holds mu.
func (t *receiveTracker) setProcessingLocked(processing bool) {
	t.processing = processing
	if !processing && t.processed != nil {
		close(t.processed)
		t.processed = nil
	}
}

// setReadStarted records when the read that returns now was started.
func (t *receiveTracker) setReadStarted(startedMs float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readStartedMs = startedMs
}

// lastReadStartedMs returns when the latest read that has returned was started. None of its bytes had arrived then.
func (t *receiveTracker) lastReadStartedMs() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readStartedMs
}

// forget stops tracking a connection, if it is the latest one.
func (t *receiveTracker) forget(conn *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == conn {
		t.conn = nil
		t.setProcessingLocked(false)
	}
}

// pending returns a channel that is closed when the bytes that have arrived were processed, or nil if there are none.
func (t *receiveTracker) pending() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	unread := false
	if t.conn != nil {
		unread, _ = socketstate.HasUnreadData(t.conn.Conn)
	}
	if !t.processing && !unread {
		return nil
	}
	if t.processed == nil {
		t.processed = make(chan struct{})
	}
	return t.processed
}

// Read implements net.Conn.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	c.tracker.setProcessing(c, false)
	for {
		startedMs := c.tracker.clock.NowMs()
		c.SetReadDeadline(time.Now().Add(clock.Duration(readTimeoutMs)))
		n, err := c.Conn.Read(buffer)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		c.tracker.setReadStarted(startedMs)
		c.tracker.setProcessing(c, n > 0)
		return n, err
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.forget(c)
	return c.Conn.Close()
}

// PendingUpdates is what AwaitPendingUpdates found of updates that have arrived on the watch.
type PendingUpdates uint8

const (
	// NoneArrived means that there was nothing to wait for.
	NoneArrived PendingUpdates = iota
	// Delivered means that all were passed to the notify function during the wait.
	Delivered
	// StillPending means that some had not been passed to the notify function when the wait ended.
	StillPending
)

// String returns the result in lower case.
func (p PendingUpdates) String() string {
	switch p {
	case NoneArrived:
		return "none arrived"
	case Delivered:
		return "delivered"
	}
	return "still pending"
}

// AwaitPendingUpdates waits until the updates that have arrived on the watch were passed to the notify function, for
// maxPendingWaitMs at most.
//
// It guards against a process that was stopped, or had no processor, for longer than the grace of drains: without it, an
// attempt that was decided before could be sent in the moment in which the update that forbids it can be read. It may be
// called from any goroutine but that of the notify function.
func (w *Watcher) AwaitPendingUpdates() PendingUpdates {
	processed := w.received.pending()
	if processed == nil {
		return NoneArrived
	}
	w.metrics.Add(counterAttemptsDelayed, 1)
	timeout := make(chan struct{})
	defer w.clock.AfterFunc(maxPendingWaitMs, func() { close(timeout) })()
	for processed != nil {
		select {
		case <-processed:
		case <-timeout:
			return StillPending
		}
		processed = w.received.pending()
	}
	return Delivered
}
