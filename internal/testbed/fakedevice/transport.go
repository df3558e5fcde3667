package fakedevice

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"gaugerelay/internal/testbed/invariants"
)

// ErrNoResponse is the error of a connection that ended, or was given up, without a complete response.
var ErrNoResponse = errors.New("fakedevice: no response")

// Transport sends copies of requests over one protocol: [CoAP], [HTTP] or [SFTP]. It has at most one connection and must not
// be used by several goroutines at once.
type Transport interface {
	// send sends a copy over the present connection or a new one and waits for the response until ctx is done. An error
	// means that there was no complete response; the result says then what is known of the copy.
	send(ctx context.Context, c *requestCopy) (result, error)
	// Close closes the connection. The next copy opens another one.
	Close()
	// Link returns the link under the latest connection, nil if there was none.
	Link() Link
}

// Link is the link that a transport's connection runs over.
type Link interface {
	// FaultySince reports whether the link has misbehaved since t.
	FaultySince(t time.Time) bool
	// TransferTime returns how long a message of some bytes and a short response take if it does not misbehave.
	TransferTime(bytes int) time.Duration
}

// Dialer connects to the gateway over a link.
type Dialer func(ctx context.Context) (net.Conn, Link, error)

// result is what became of a copy.
type result struct {
	outcome    invariants.Outcome
	content    string        // the digest of the response's body
	retryAfter time.Duration // of a rejection; 0: not named
	note       string        // the status, for reports

	sentCompletely  bool
	sentAt          time.Time // of the last byte
	responseStarted bool
	bytesSent       int

	partial []byte // of a response that broke off
	etag    string // of partial
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
