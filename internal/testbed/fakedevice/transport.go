package fakedevice

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"gaugerelay/internal/testbed/invariants"
)

// ErrNoResponse is the error of a transmission whose connection ended, or was given up, before a complete response arrived.
var ErrNoResponse = errors.New("fakedevice: connection ended without a complete response")

// Transport sends requests over one protocol: [CoAP], [HTTP] or [SFTP]. It has at most one connection and is not safe for
// concurrent use.
type Transport interface {
	// send sends a transmission over the current connection or a new one and waits for the response until ctx is done. An
	// error means that no complete response arrived; the result then holds what is known about the transmission.
	send(ctx context.Context, tx *transmission) (result, error)
	// Close closes the connection. The next transmission opens a new one.
	Close()
	// Link returns the link of the latest connection, or nil if there was none.
	Link() Link
}

// Link is the link that a transport's connection runs over.
type Link interface {
	// FaultySince reports whether the link has had a fault since t.
	FaultySince(t time.Time) bool
	// TransferTime returns the time that a message of the given size and a short response take if the link has no fault.
	TransferTime(bytes int) time.Duration
}

// Dialer connects to the gateway over a link.
type Dialer func(ctx context.Context) (net.Conn, Link, error)

// result is the result of a transmission.
type result struct {
	outcome    invariants.Outcome
	content    string        // digest of the response's body
	retryAfter time.Duration // delay that a rejection asks for; 0: not specified
	note       string        // status of the response, for violation reports

	sentCompletely  bool      // whether the whole request may have arrived
	sentAt          time.Time // when the last part of the request was sent; valid if sentCompletely is set and no response arrived
	responseStarted bool      // whether the response had started to arrive when the transmission ended
	bytesSent       int

	partial []byte // received part of the body of an incomplete response
	etag    string // ETag of the incomplete response
}

// countingConn counts the bytes that are written to a connection.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}
