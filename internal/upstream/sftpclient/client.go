// Package sftpclient sends attempts to the SFTP ports of storage servers, as packets of SFTP version 3 over plain TCP, and
// reports how each of them ended.
//
// A Client owns a pool of sessions. It guarantees:
//
//   - The first packet of an attempt is written only if the attempt is still authorized once it has a session. The
//     authorization is checked again after the OPEN, before the READ or WRITE is written.
//   - The packet of a command is written at most once. An attempt whose packet was not written completely has not executed. It is
//     reported as scheduler.StatusOverloaded, or with the status of statusOfDenial if it was denied before its first packet.
//   - A session carries one attempt at a time. A session on which anything unexpected happens is not used again.
//
// Each attempt runs on its own goroutine. The goroutine ends at the latest when the attempt's deadline passes or the attempt is
// canceled, because each of these events closes the session.
package sftpclient

import (
	"context"
	"errors"
	"strings"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/permission"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/upstream"
)

// Names of the metrics.
const (
	connectsFailed     = "file_connects_failed"
	responsesMalformed = "file_responses_malformed"
)

// Options are the limits of a Client. Times are in milliseconds.
type Options struct {
	// ConnectTimeoutMs bounds the time to connect. It has no effect if Dial is set.
	ConnectTimeoutMs float64
	// ConnIdleTimeoutMs is the time after which a server drops an idle connection.
	ConnIdleTimeoutMs float64
	// MaxSessions bounds the sessions that are open at the same time, summed over all servers.
	MaxSessions int
	// Address returns the address of a server's SFTP port; ok is false if the server has none.
	Address func(server *lifecycle.Server) (address string, ok bool)
	// Dial opens connections. If it is nil, the network of this machine is used.
	Dial upstream.DialFunc
}

// Client sends attempts over pooled sessions. It implements lifecycle.Upstream. Its methods may be called from any goroutine.
type Client struct {
	options  Options
	clock    clock.Clock
	metrics  *metrics.Registry
	complete func(lifecycle.Attempt, lifecycle.AttemptResult)
	sessions *sessionPool
}

// New returns a Client without sessions. It calls complete once for each attempt, on the goroutine of that attempt.
func New(options Options, clk clock.Clock, registry *metrics.Registry,
	complete func(lifecycle.Attempt, lifecycle.AttemptResult)) *Client {
	return &Client{
		options:  options,
		clock:    clk,
		metrics:  registry,
		complete: complete,
		sessions: newSessionPool(options, clk),
	}
}

// Start implements lifecycle.Upstream.
func (c *Client) Start(attempt lifecycle.Attempt) (cancelAttempt func()) {
	ctx, cancel := clock.WithDeadline(c.clock, attempt.DeadlineMs)
	go func() {
		defer cancel(nil)
		c.runAttempt(ctx, attempt)
	}()
	return func() { cancel(context.Canceled) }
}

// Close closes the idle sessions. Sessions that carry an attempt stay open.
func (c *Client) Close() { c.sessions.closeIdle() }

// runAttempt sends the command of an attempt and reports the result. If the connection fails before the command was written
// completely, the status is StatusOverloaded and not StatusConnectFailed: the SFTP port may be down while the server's other ports
// work, and StatusConnectFailed would make the scheduler back off from the server for all protocols.
func (c *Client) runAttempt(ctx context.Context, attempt lifecycle.Attempt) {
	address, ok := c.options.Address(attempt.Server)
	if !ok || attempt.Server.Closed() {
		c.complete(attempt, lifecycle.AttemptResult{Status: scheduler.StatusOverloaded})
		return
	}
	session, err := c.sessions.acquire(ctx, address)
	if err != nil {
		c.metrics.Add(connectsFailed, 1)
		c.complete(attempt, lifecycle.AttemptResult{Status: statusWithoutResponse(ctx, notExecuted)})
		return
	}
	// The server may have started to drain, or the client may have disconnected, while the session was being opened. The
	// authorization is therefore checked when the session is open.
	remainingMs, denial := attempt.Authorize(c.clock)
	if denial != permission.Allowed {
		c.sessions.release(session)
		c.complete(attempt, lifecycle.AttemptResult{Status: statusOfDenial(denial)})
		return
	}
	// Closing the connection is the only way to end a blocked read or write.
	stopCloser := context.AfterFunc(ctx, func() { session.Close() })
	outcome := session.execute(attempt, remainingMs)
	c.complete(attempt, c.result(ctx, outcome))
	// The handle is closed after the result is reported, so that the client does not wait for the CLOSE.
	err = outcome.err
	if err == nil && outcome.handle != nil {
		err = session.closeHandle(outcome.handle)
	}
	if !stopCloser() || err != nil {
		c.sessions.discard(session)
		return
	}
	c.sessions.release(session)
}

// result converts the outcome of a command to the result of its attempt.
func (c *Client) result(ctx context.Context, outcome commandOutcome) lifecycle.AttemptResult {
	reply := outcome.reply
	switch {
	case errors.Is(outcome.err, errMalformed):
		c.metrics.Add(responsesMalformed, 1)
		return lifecycle.AttemptResult{Status: scheduler.StatusError}
	case outcome.err != nil:
		return lifecycle.AttemptResult{Status: statusWithoutResponse(ctx, outcome.execution)}
	case reply.Code == sftpwire.StatusFailure && strings.HasPrefix(reply.Message, sftpwire.UnprocessedPrefix):
		return lifecycle.AttemptResult{Status: scheduler.StatusOverloaded}
	case reply.Code == sftpwire.StatusFailure || reply.Code == sftpwire.StatusBadMessage:
		return lifecycle.AttemptResult{Status: scheduler.StatusError}
	}
	// With any other code, such as StatusNoSuchFile, the server has executed the command.
	return lifecycle.AttemptResult{Status: scheduler.StatusOK, Body: reply}
}

// statusOfDenial returns the status of an attempt that was not authorized to start.
func statusOfDenial(denial permission.Denial) scheduler.Status {
	switch {
	case denial == permission.ClientCanceled:
		return scheduler.StatusCanceled
	case denial.IsIndependentOfServer():
		return scheduler.StatusNotSent
	}
	return scheduler.StatusOverloaded
}

// statusWithoutResponse returns the status of an attempt that got no response. ctx is the context of the attempt.
func statusWithoutResponse(ctx context.Context, execution executionState) scheduler.Status {
	cause := context.Cause(ctx)
	switch {
	case execution == notExecuted:
		return scheduler.StatusOverloaded
	case errors.Is(cause, context.DeadlineExceeded):
		return scheduler.StatusTimedOut
	case cause != nil:
		return scheduler.StatusCanceled
	}
	return scheduler.StatusConnectionReset
}
