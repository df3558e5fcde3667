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
	// maxPendingWaitMs bounds the wait of AwaitPendingUpdates. The platform's rules allow a delay of 50 ms; this is half of it.
	maxPendingWaitMs = 25

	// readTimeoutMs is the interval at which a blocked read is restarted. The start of the read, and not its end, is taken as the
	// time at which the bytes arrived, because the process may be paused in between. The restarts keep that time recent.
	readTimeoutMs = 250
)

// receiveTracker tracks whether all bytes that have arrived on the connection of the latest watch have been processed. It is
// safe for concurrent use.
type receiveTracker struct {
	clock clock.Clock

	mu sync.Mutex
	// readStartedMs is the time at which the latest completed read was started. The bytes of this read are treated as having
	// arrived after that time.
	readStartedMs float64
	conn          *trackedConn  // connection of the latest watch; nil if there is none
	processing    bool          // whether bytes that were read from conn are being processed
	processed     chan struct{} // closed when the bytes read from conn have been processed; nil if no goroutine waits for that
}

// trackedConn is the connection of a watch. Its reader calls Read only after it has processed all bytes that the
// previous call returned.
type trackedConn struct {
	net.Conn
	tracker *receiveTracker
}

// trackDial returns a dial function whose connections are tracked. Each connection replaces the previous one.
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

// setProcessing records whether bytes read from a connection are being processed. It ignores connections that have been
// replaced.
func (t *receiveTracker) setProcessing(conn *trackedConn, processing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == conn {
		t.setProcessingLocked(processing)
	}
}

// setProcessingLocked records whether bytes read from the latest connection are being processed. The caller holds mu.
func (t *receiveTracker) setProcessingLocked(processing bool) {
	t.processing = processing
	if !processing && t.processed != nil {
		close(t.processed)
		t.processed = nil
	}
}

// setReadStarted records the time at which a read that is about to return was started.
func (t *receiveTracker) setReadStarted(startedMs float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readStartedMs = startedMs
}

// lastReadStartedMs returns the time at which the latest completed read was started. The bytes of this read are treated as
// having arrived after that time.
func (t *receiveTracker) lastReadStartedMs() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readStartedMs
}

// untrack stops tracking a connection, if it is the latest one.
func (t *receiveTracker) untrack(conn *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == conn {
		t.conn = nil
		t.setProcessingLocked(false)
	}
}

// pending returns nil if all bytes that have arrived are processed. Otherwise it returns a channel that is closed when the reader
// has processed the bytes that it has read. More bytes may be unread by then, so the caller has to call pending again.
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
	c.tracker.untrack(c)
	return c.Conn.Close()
}

// PendingUpdates is the result of AwaitPendingUpdates: what became of the updates that had arrived on the watch.
type PendingUpdates uint8

const (
	// NoneArrived means that no update was waiting to be passed to the notify function.
	NoneArrived PendingUpdates = iota
	// Delivered means that all updates were passed to the notify function during the wait.
	Delivered
	// StillPending means that some updates had not been passed to the notify function when the wait ended.
	StillPending
)

// String returns a description of the result.
func (p PendingUpdates) String() string {
	switch p {
	case NoneArrived:
		return "none arrived"
	case Delivered:
		return "delivered"
	}
	return "still pending"
}

// AwaitPendingUpdates waits until the updates that have arrived on the watch have been passed to the notify function, for
// maxPendingWaitMs at most.
//
// It guards against a pause of the process, or a lack of processor time, that is longer than the time for which a draining server
// still accepts requests. Without it, an attempt that was decided before the pause could be sent although an update that forbids
// it had already arrived and was still unread. AwaitPendingUpdates may be called from any goroutine except that of the notify
// function.
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
