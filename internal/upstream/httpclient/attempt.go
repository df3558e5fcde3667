package httpclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/permission"
	"gaugerelay/internal/scheduler"
)

// timeLeftHeader tells a server how many milliseconds its client still waits.
const timeLeftHeader = "X-Time-Left-Ms"

// unknownTimeLeft stands in a request's head for the time that is left. The attempt may have to wait for its connection, and
// that time counts, so conn.Write replaces it when the head is written.
const unknownTimeLeft = "?"

var timeLeftPlaceholder = []byte("\r\n" + timeLeftHeader + ": " + unknownTimeLeft + "\r\n")

// attemptState follows one attempt through the transport. The transport's goroutines and the attempt's own share it.
type attemptState struct {
	lifecycle.Attempt
	isCanceled func() bool // reports whether the attempt's context has ended

	// These belong to the goroutine that writes the request.

	head        []byte            // buffered until its end is found; none of it is written before
	bodyLeft    int               // bytes of the body still to be written
	headWritten bool              // the end of the head was found
	denial      permission.Denial // why the attempt did not start

	conn    *conn // the connection that the transport chose; nil before
	started bool  // the first byte was handed to conn; guarded by conn.mu

	requestWritten atomic.Bool // the last byte was handed to conn
	connStale      atomic.Bool // nothing was written, because the connection was no longer usable
	connBroken     atomic.Bool // the connection ended while the response was awaited
}

// run runs one attempt to its end.
func (c *Client) run(ctx context.Context, a lifecycle.Attempt) lifecycle.AttemptResult {
	for {
		attempt := &attemptState{
			Attempt:    a,
			isCanceled: func() bool { return ctx.Err() != nil },
			bodyLeft:   len(a.Request.Payload.(*httpmessage.Request).Body),
		}
		result := c.roundTrip(ctx, attempt)
		// Nothing was written to a stale connection, so taking another one is not a retry.
		if !attempt.connStale.Load() || result.Status == scheduler.StatusOK || attempt.isCanceled() {
			return result
		}
		c.metrics.Add(connectionsStale, 1)
	}
}

// roundTrip sends the request on one connection and reads its response.
func (c *Client) roundTrip(ctx context.Context, attempt *attemptState) lifecycle.AttemptResult {
	response, err := c.transport.RoundTrip(newRequest(ctx, attempt))
	if err != nil {
		if attempt.markStaleBeforeStart() {
			attempt.connStale.Store(true)
		}
		return lifecycle.AttemptResult{Status: c.statusWithoutResponse(ctx, attempt)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, httpmessage.MaxBodyBytes+1))
	if err != nil {
		return lifecycle.AttemptResult{Status: c.statusWithoutResponse(ctx, attempt)}
	}
	return c.readResult(response, body)
}

// newRequest builds the request of an attempt. It records the connection that the transport chooses for it.
func newRequest(ctx context.Context, attempt *attemptState) *http.Request {
	payload := attempt.Request.Payload.(*httpmessage.Request)
	request := (&http.Request{
		Method: payload.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: attempt.Server.Addr, Path: payload.Path, RawPath: payload.RawPath,
			RawQuery: payload.RawQuery},
		Header: payload.Header.Clone(), Host: "api.internal",
		// The transport resends on another connection what has no body or can rewind it (GetBody) and is a GET or
		// carries an Idempotency-Key. The scheduler would not know of that attempt. So even an empty body is passed as
		// a reader, which cannot be rewound.
		Body: io.NopCloser(bytes.NewReader(payload.Body)), ContentLength: int64(len(payload.Body)),
	}).WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			attempt.conn = info.Conn.(*conn)
			attempt.conn.attempt.Store(attempt)
		},
	}))
	request.Header.Set(timeLeftHeader, unknownTimeLeft)
	return request
}

// statusWithoutResponse returns the status of an attempt that got no response it could use.
func (c *Client) statusWithoutResponse(ctx context.Context, attempt *attemptState) scheduler.Status {
	written := attempt.requestWritten.Load()
	switch cause := context.Cause(ctx); {
	case !written && attempt.Request.Canceled(): // the server is not at fault
		return scheduler.StatusCanceled
	case !written && attempt.denial.IsIndependentOfServer(): // not executed, and no sign of the server's condition
		return scheduler.StatusNotSent
	case !written && (cause == nil || !errors.Is(cause, context.Canceled)):
		return scheduler.StatusConnectFailed
	case errors.Is(cause, context.DeadlineExceeded):
		return scheduler.StatusTimedOut
	case cause != nil:
		return scheduler.StatusCanceled
	case attempt.connBroken.Load():
		return scheduler.StatusConnectionReset
	}
	// The server responds, if badly, and its other connections are as good as before: it must not be treated as one that
	// resets them.
	c.metrics.Add(serverResponsesInvalid, 1)
	return scheduler.StatusError
}

// authorizeStart reports whether the attempt's first byte may be written now, and how many milliseconds its client still
// waits. The transport may write a request that was canceled while it waited for its connection.
func (a *attemptState) authorizeStart() (leftMs float64, ok bool) {
	leftMs, a.denial = a.Authorize(a.conn.client.clock)
	return leftMs, a.denial == permission.Allowed && !a.isCanceled()
}

// isOver reports whether the attempt must not start any more.
func (a *attemptState) isOver() bool {
	return a.isCanceled() || a.Expired(a.conn.client.clock.NowMs())
}

// markStaleBeforeStart reports whether a reused connection failed before any byte of the attempt was handed to it, and makes
// sure that none is from now on. The transport drops a connection whose end it reads before it writes a waiting request.
func (a *attemptState) markStaleBeforeStart() bool {
	if a.conn == nil || a.isOver() {
		return false
	}
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	if a.started || !a.conn.used {
		return false
	}
	a.conn.unusable = true
	return true
}

// countBodyBytes counts bytes of the body that are about to be written. It must be called before the write: a server may
// respond or close the connection before the write returns. httptrace's WroteRequest comes too late for this: the transport
// copies a body that follows its head to the connection directly, so the server may have executed the request before that
// hook is called.
func (a *attemptState) countBodyBytes(bytes int) {
	if a.bodyLeft -= bytes; a.bodyLeft <= 0 {
		a.requestWritten.Store(true)
	}
}

// insertTimeLeft replaces the placeholder in a head by the milliseconds that are left.
func insertTimeLeft(head []byte, leftMs float64) []byte {
	start := bytes.Index(head, timeLeftPlaceholder)
	if start < 0 {
		return head
	}
	value := start + len(timeLeftPlaceholder) - len(unknownTimeLeft+"\r\n")
	out := make([]byte, 0, len(head)+16)
	out = append(out, head[:value]...)
	out = strconv.AppendInt(out, int64(leftMs), 10)
	return append(out, head[value+len(unknownTimeLeft):]...)
}
