package httpclient

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/socketstate"
)

// responseTimeoutMs is the time from the first byte of a response to its last one. Servers send a response at once; without
// this bound one that trickles, or that gives too large a length, would hold its request until the client's deadline.
const responseTimeoutMs = 250

var (
	errAttemptOver     = errors.New("httpclient: attempt must not start any more")
	errConnStale       = errors.New("httpclient: connection not usable any more")
	errInvalidResponse = errors.New("httpclient: invalid response")
)

// conn is a connection to a server. It carries one attempt or probe at a time, and passes on the response to that and nothing
// else: the transport returns a connection to its pool before it looks at what follows a response (readLoop's tryPutIdleConn
// comes before its next Peek), and would take a second copy, or noise, for the response to the next request.
//
// The transport writes to it from one goroutine and reads from another.
type conn struct {
	net.Conn
	client  *Client
	attempt atomic.Pointer[attemptState] // nil for a probe
	closed  atomic.Bool

	mu             sync.Mutex
	used           bool             // has carried a request
	lastResponseMs float64          // when its last response was complete
	response       *responseFraming // of the response being awaited; nil between requests
	unusable       bool             // nothing is written or read any more
	stopTimeout    func()           // stops the timer of a response that has begun; nil without one
}

// Write buffers the head of an attempt's request and writes it in one piece, so that the time left that it names is right for
// its first byte. It enforces three rules: an attempt that waited for its connection starts only if it is still authorized, an
// attempt whose last byte was not written has not executed, and no request is written where unsolicited data has arrived.
func (c *conn) Write(p []byte) (int, error) {
	attempt := c.attempt.Load()
	if attempt == nil {
		return c.writeProbe(p)
	}
	if attempt.headWritten {
		return c.writeRequest(attempt, p, len(p))
	}
	attempt.head = append(attempt.head, p...)
	end := bytes.Index(attempt.head, headEnd)
	if end < 0 {
		return len(p), nil
	}
	if err := c.writeHead(attempt, end+len(headEnd)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// writeProbe writes bytes of a probe.
func (c *conn) writeProbe(p []byte) (int, error) {
	c.waitReuseDelay()
	if err := c.startRequest(nil); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// writeHead starts an attempt: it writes the head, of headLen bytes, and what is buffered of the body.
func (c *conn) writeHead(attempt *attemptState, headLen int) error {
	c.waitReuseDelay()
	leftMs, ok := attempt.authorizeStart()
	if !ok {
		return errAttemptOver
	}
	attempt.headWritten = true
	out := append(insertTimeLeft(attempt.head[:headLen], leftMs), attempt.head[headLen:]...)
	if _, err := c.writeRequest(attempt, out, len(attempt.head)-headLen); err != nil {
		return err
	}
	if rule := attempt.CheckSent(c.client.clock.NowMs(), leftMs); rule != "" {
		c.client.metrics.Add(ruleViolationsPrefix+rule, 1)
	}
	return nil
}

// writeRequest writes bytes of an attempt, of which the last bodyBytes belong to its body.
func (c *conn) writeRequest(attempt *attemptState, p []byte, bodyBytes int) (int, error) {
	if err := c.startRequest(attempt); err != nil {
		return 0, err
	}
	attempt.countBodyBytes(bodyBytes)
	n, err := c.Conn.Write(p)
	if n < len(p) {
		attempt.requestWritten.Store(false)
	}
	return n, err
}

// startRequest records that bytes of a request are about to be written, or returns errConnStale if the connection can't be
// used for it any more. attempt is nil for a probe.
func (c *conn) startRequest(attempt *attemptState) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A server may respond before it has all of the request. The rest of the request starts nothing new.
	continues := attempt != nil && attempt.started && !attempt.requestWritten.Load()
	if c.response == nil && !continues {
		if c.unusable || c.used && c.hasUnreadInput() {
			c.unusable = true
			if attempt != nil {
				attempt.connStale.Store(true)
			}
			return errConnStale
		}
		c.used, c.response = true, &responseFraming{}
	}
	if attempt != nil {
		attempt.started = true
	}
	return nil
}

// waitReuseDelay waits until a second copy of the last response would have arrived: a server may send one some milliseconds
// late, and after the next request it could not be distinguished from the response to that one.
func (c *conn) waitReuseDelay() {
	c.mu.Lock()
	waitMs := 0.0
	if c.used && c.response == nil && !c.unusable {
		waitMs = c.lastResponseMs + c.client.options.ReuseDelayMs - c.client.clock.NowMs()
	}
	c.mu.Unlock()
	if waitMs > 0 {
		elapsed, _ := clock.After(c.client.clock, waitMs)
		<-elapsed
	}
}

// hasUnreadInput reports whether something has arrived that has not been read: more than a response, or the connection's end.
func (c *conn) hasUnreadInput() bool {
	bytes, err := socketstate.HasUnreadData(c.Conn)
	return bytes || err != nil
}

// Read passes on bytes of the response that is awaited.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.readAndCheck(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.attempt.Load()
	if err != nil && attempt != nil && !c.unusable {
		attempt.connBroken.Store(true)
	}
	if n > 0 {
		c.rejectUnsolicited()
	}
	if c.unusable {
		return 0, errInvalidResponse
	}
	if n == 0 {
		return 0, err
	}
	n, invalid := c.consumeResponse(attempt, p[:n])
	if invalid != nil {
		return 0, invalid
	}
	return n, err
}

// consumeResponse returns how many of the bytes read belong to the response that is awaited. The caller holds c.mu.
func (c *conn) consumeResponse(attempt *attemptState, p []byte) (int, error) {
	n, complete, err := c.response.feed(p)
	switch {
	case err != nil:
		c.unusable = true
		return 0, err
	case complete:
		c.response, c.lastResponseMs = nil, c.client.clock.NowMs()
		c.stopResponseTimeout()
		if n < len(p) {
			c.client.metrics.Add(serverDataUnsolicited, 1)
			c.unusable = true
		}
		// A request that was answered before it was written completely may be answered once more, so nothing may follow it.
		c.unusable = c.unusable || attempt != nil && attempt.started && !attempt.requestWritten.Load()
	case c.stopTimeout == nil:
		awaited := c.response
		c.stopTimeout = c.client.clock.AfterFunc(responseTimeoutMs, func() { c.timeOutResponse(awaited) })
	}
	return n, nil
}

// readAndCheck reads from the connection and checks in the same moment, under c.mu, whether a request awaits what arrived. If
// it checked a moment later, a request written in between would get what had arrived before it as its response.
func (c *conn) readAndCheck(p []byte) (n int, err error) {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.Conn.Read(p)
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	rawErr := raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n, err = readRetryingEINTR(int(fd), p); n > 0 {
			c.rejectUnsolicited()
		}
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readRetryingEINTR is the system call read. Signals don't end it.
func readRetryingEINTR(fd int, p []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(fd, p); err != syscall.EINTR {
			return n, err
		}
	}
}

// rejectUnsolicited makes a connection unusable if no request awaits what has arrived. The caller holds c.mu.
func (c *conn) rejectUnsolicited() {
	if c.response == nil && !c.unusable {
		c.client.metrics.Add(serverDataUnsolicited, 1)
		c.unusable = true
	}
}

// timeOutResponse closes the connection if the response is still incomplete.
func (c *conn) timeOutResponse(awaited *responseFraming) {
	c.mu.Lock()
	incomplete := c.response == awaited
	c.unusable = c.unusable || incomplete
	c.mu.Unlock()
	if incomplete {
		_ = c.Close() // the attempt ends by its read, whether or not closing succeeds
	}
}

// stopResponseTimeout stops the timer of a response, if there is one. The caller holds c.mu.
func (c *conn) stopResponseTimeout() {
	if c.stopTimeout != nil {
		c.stopTimeout()
		c.stopTimeout = nil
	}
}

// Close closes the connection. It may be called more than once.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.client.openConns.Add(-1)
	}
	c.mu.Lock()
	c.stopResponseTimeout()
	c.mu.Unlock()
	return c.Conn.Close()
}
