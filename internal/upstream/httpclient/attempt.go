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

// timeLeftHeader carries the remaining time of the request, in milliseconds, to the server.
const timeLeftHeader = "X-Time-Left-Ms"

// timeLeftPlaceholder is the value of timeLeftHeader until the head is written. An attempt may have to wait for its connection,
// which reduces the remaining time. Therefore conn.Write inserts the value just before it writes the head.
const timeLeftPlaceholder = "?"

var timeLeftPlaceholderLine = []byte("\r\n" + timeLeftHeader + ": " + timeLeftPlaceholder + "\r\n")

// attemptState is the state of one attempt on one connection. The attempt's goroutine shares it with the transport's goroutines.
type attemptState struct {
	lifecycle.Attempt
	isCanceled func() bool // reports whether the attempt's context has ended

	// The following fields are used only by the goroutine that writes the request.

	head        []byte            // head of the request, buffered until it is complete; may be followed by a part of the body
	bodyLeft    int               // bytes of the body still to be written
	headWritten bool              // the head is complete and the attempt was authorized to write it
	denial      permission.Denial // reason why the attempt was not authorized to start

	conn    *conn // connection that the transport chose; nil until it has chosen one
	started bool  // conn is about to write the first byte, or has written it; guarded by conn.mu

	requestWritten atomic.Bool // conn is about to write the last byte of the request, or has written it
	connStale      atomic.Bool // nothing was written, because the connection could no longer be used
	connBroken     atomic.Bool // the connection ended while the response was awaited
}

// run sends the request of an attempt and returns the result.
func (c *Client) run(ctx context.Context, a lifecycle.Attempt) lifecycle.AttemptResult {
	for {
		attempt := &attemptState{
			Attempt:    a,
			isCanceled: func() bool { return ctx.Err() != nil },
			bodyLeft:   len(a.Request.Payload.(*httpmessage.Request).Body),
		}
		result := c.roundTrip(ctx, attempt)
		// Nothing was written to a stale connection, so using another one is not a retry.
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
	body, err := c.readBody(response)
	if err != nil {
		return lifecycle.AttemptResult{Status: c.statusWithoutResponse(ctx, attempt)}
	}
	return c.readResult(response, body)
}

// readBody reads the body of a response, or as much of one that is too large as shows that.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	memory := c.options.Memory.NewAccount()
	defer memory.Close()
	memory.Force(int(max(0, response.ContentLength)))
	body := bytes.NewBuffer(make([]byte, 0, max(0, response.ContentLength)+bytes.MinRead)) // with room for the read that finds the end
	_, err := body.ReadFrom(io.LimitReader(response.Body, httpmessage.MaxBodyBytes+1))
	return body.Bytes(), err
}

// newRequest builds the request of an attempt. When the transport chooses a connection for the request, attempt.conn is set to it.
func newRequest(ctx context.Context, attempt *attemptState) *http.Request {
	payload := attempt.Request.Payload.(*httpmessage.Request)
	request := (&http.Request{
		Method: payload.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: attempt.Server.Addr, Path: payload.Path, RawPath: payload.RawPath,
			RawQuery: payload.RawQuery},
		Header: payload.Header.Clone(), Host: "api.internal",
		// The transport resends a request on another connection if it is a GET or carries an Idempotency-Key, and has no body
		// or one that can be rewound (GetBody). The scheduler would not know of the resent request. Therefore even an empty body
		// is passed as a reader, which cannot be rewound.
		Body: io.NopCloser(bytes.NewReader(payload.Body)), ContentLength: int64(len(payload.Body)),
	}).WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			attempt.conn = info.Conn.(*conn)
			attempt.conn.attempt.Store(attempt)
		},
	}))
	request.Header.Set(timeLeftHeader, timeLeftPlaceholder)
	return request
}

// statusWithoutResponse returns the status of an attempt that got no valid response.
func (c *Client) statusWithoutResponse(ctx context.Context, attempt *attemptState) scheduler.Status {
	written := attempt.requestWritten.Load()
	switch cause := context.Cause(ctx); {
	case !written && attempt.Request.Canceled(): // canceled before it was sent completely; the server is not at fault
		return scheduler.StatusCanceled
	case !written && attempt.denial.IsIndependentOfServer(): // not executed, for a reason that says nothing about the server
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
	// The server sent an invalid response, but its other connections still work. It must not be treated like a server that
	// resets connections.
	c.metrics.Add(serverResponsesInvalid, 1)
	return scheduler.StatusError
}

// authorizeStart reports whether the attempt's first byte may be written now, and returns the remaining time. It also checks for
// cancellation, because the transport may write a request that was canceled while it waited for its connection.
func (a *attemptState) authorizeStart() (remainingMs float64, ok bool) {
	remainingMs, a.denial = a.Authorize(a.conn.client.clock)
	return remainingMs, a.denial == permission.Allowed && !a.isCanceled()
}

// isCanceledOrExpired reports whether the attempt must not start any more.
func (a *attemptState) isCanceledOrExpired() bool {
	return a.isCanceled() || a.Expired(a.conn.client.clock.NowMs())
}

// markStaleBeforeStart reports whether a reused connection failed before any byte of the attempt was written. If so, it marks the
// connection as unusable, so that no byte is written later. This case occurs because the transport drops a connection if it reads
// the connection's end before it writes a waiting request.
func (a *attemptState) markStaleBeforeStart() bool {
	if a.conn == nil || a.isCanceledOrExpired() {
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

// countBodyBytes counts bytes of the body that are about to be written. It must be called before the write, because a server may
// respond or close the connection before the write returns. The hook WroteRequest of httptrace cannot be used, because it is
// called too late: the transport copies a body that follows its head directly to the connection, so the server may have executed
// the request before the hook is called.
func (a *attemptState) countBodyBytes(bytes int) {
	if a.bodyLeft -= bytes; a.bodyLeft <= 0 {
		a.requestWritten.Store(true)
	}
}

// insertTimeLeft replaces the placeholder in a head by the remaining time in milliseconds.
func insertTimeLeft(head []byte, remainingMs float64) []byte {
	start := bytes.Index(head, timeLeftPlaceholderLine)
	if start < 0 {
		return head
	}
	value := start + len(timeLeftPlaceholderLine) - len(timeLeftPlaceholder+"\r\n")
	out := make([]byte, 0, len(head)+16)
	out = append(out, head[:value]...)
	out = strconv.AppendInt(out, int64(remainingMs), 10)
	return append(out, head[value+len(timeLeftPlaceholder):]...)
}
