package httpclient

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"gaugerelay/internal/socketstate"
)

// responseTimeoutMs bounds the time from the first to the last byte of a response. Servers send a response without pauses.
// Without this bound, a response that arrives slowly, or whose stated length is too large, would hold its request until the
// client's deadline.
const responseTimeoutMs = 250

var (
	errStartNotAllowed = errors.New("httpclient: the attempt is no longer allowed to start")
	errConnStale       = errors.New("httpclient: the connection can no longer be used")
	errInvalidResponse = errors.New("httpclient: invalid response")
)

// conn is a connection to a server. It carries one attempt or probe at a time, and passes only the response to that attempt or probe
// to the transport. The transport puts a connection back into its pool before it checks what follows a response (in readLoop,
// tryPutIdleConn comes before the next Peek). Without conn, the transport would therefore take a duplicate response, or other
// unsolicited data, for the response to the next request.
//
// The transport writes to the connection from one goroutine and reads from another.
type conn struct {
	net.Conn
	client  *Client
	addr    string                       // address of the server
	attempt atomic.Pointer[attemptState] // current attempt; nil for a probe
	closed  atomic.Bool

	mu             sync.Mutex
	used           bool             // the connection has carried a request
	lastResponseMs float64          // time at which the last response was complete
	response       *responseFraming // framing of the awaited response; nil if no response is awaited
	unusable       bool             // the connection must not be used any more: no request is written, and no data is returned
	stopTimeout    func()           // stops the response timeout; nil unless a response has begun
}

// Write buffers the head of an attempt's request and writes it in one piece, so that the remaining time in the head is right when
// its first byte is written. It enforces three rules: an attempt that waited for its connection starts only if it is still
// authorized; an attempt whose request was not written completely has not executed; and no request is written to a connection on
// which unsolicited data has arrived.
func (c *conn) Write(p []byte) (int, error) {
	attempt := c.attempt.Load()
	if attempt == nil {
		return c.writeProbe(p)
	}
	if attempt.headWritten {
		return c.writeRequest(attempt, p, len(p))
	}
	attempt.head = append(attempt.head, p...)
	end := bytes.Index(attempt.head, headTerminator)
	if end < 0 {
		return len(p), nil
	}
	if err := c.writeHead(attempt, end+len(headTerminator)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// writeProbe writes bytes of the request of a probe.
func (c *conn) writeProbe(p []byte) (int, error) {
	c.waitReuseDelay()
	if err := c.startRequest(nil); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// writeHead starts an attempt: it writes the buffered bytes, of which the first headLen are the head and the rest belongs to
// the body.
func (c *conn) writeHead(attempt *attemptState, headLen int) error {
	c.waitReuseDelay()
	remainingMs, ok := attempt.authorizeStart()
	if !ok {
		return errStartNotAllowed
	}
	attempt.headWritten = true
	out := append(insertTimeLeft(attempt.head[:headLen], remainingMs), attempt.head[headLen:]...)
	if _, err := c.writeRequest(attempt, out, len(attempt.head)-headLen); err != nil {
		return err
	}
	if rule := attempt.CheckSent(c.client.clock.NowMs(), remainingMs); rule != "" {
		c.client.metrics.Add(ruleViolationsPrefix+rule, 1)
	}
	return nil
}

// writeRequest writes bytes of an attempt's request, of which the last bodyBytes belong to the body.
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

// Read returns bytes of the awaited response.
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

// consumeResponse returns how many of the bytes in p, which were just read, belong to the awaited response. The caller holds c.mu.
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
			c.recordUnsolicited()
			c.unusable = true
		}
		// A request that was answered before it was written completely may be answered a second time. No other
		// request may follow it on this connection.
		c.unusable = c.unusable || attempt != nil && attempt.started && !attempt.requestWritten.Load()
	case c.stopTimeout == nil:
		awaited := c.response
		c.stopTimeout = c.client.clock.AfterFunc(responseTimeoutMs, func() { c.timeOutResponse(awaited) })
	}
	return n, nil
}

// readAndCheck reads from the connection and checks, under the same lock of c.mu, whether a request awaits the data. If the check
// came later, a request could be written after the read and before the check, and the data would be taken for its response.
func (c *conn) readAndCheck(p []byte) (n int, err error) {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.Conn.Read(p)
	}
	return socketstate.ReadLocked(syscallConn, p, &c.mu, func(int) { c.rejectUnsolicited() })
}

// timeOutResponse closes the connection if the awaited response is still incomplete.
func (c *conn) timeOutResponse(awaited *responseFraming) {
	c.mu.Lock()
	incomplete := c.response == awaited
	c.unusable = c.unusable || incomplete
	c.mu.Unlock()
	if incomplete {
		_ = c.Close() // the attempt's read ends with an error, whether or not Close returns one
	}
}

// stopResponseTimeout stops the response timeout if it is running. The caller holds c.mu.
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
