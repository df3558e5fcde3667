// Package frontend holds what the frontends of all protocols share, so that each term has one name and each limit one value:
// the event loop as they use it, counters and times.
//
// The package has no state and starts no goroutine.
package frontend

import "gaugerelay/internal/lifecycle"

// Loop is the part of the event loop that all frontends use. Its methods do not block and may be called from any goroutine.
type Loop interface {
	// Submit hands over a request. It returns false, having done nothing, if the inbox is too full or closed; Respond is not
	// called then.
	Submit(*lifecycle.Request) bool
	// Cancel reports that the client no longer waits for the response to a request.
	Cancel(*lifecycle.Request)
	// ResponseWritten reports that the response to a request with an exchange was written completely.
	ResponseWritten(*lifecycle.Request, lifecycle.LinkSample)
}

// Names of counters that several frontends increment.
const (
	// RequestsMalformed counts requests that could not be parsed and were never submitted.
	RequestsMalformed = "requests_malformed"
	// RequestsInboxFull counts requests that Loop.Submit did not accept.
	RequestsInboxFull = "requests_inbox_full"
	// AnswersByGuard counts requests that a frontend failed by itself because the event loop did not respond in time. It
	// must stay 0.
	AnswersByGuard = "answers_by_guard"
)

const (
	// ResponseGraceMs is how long after a request's deadline a frontend waits for the event loop before it fails the request
	// by itself. The protocol allows 50 ms.
	ResponseGraceMs = 25
	// InboxFullRetryAfterMs is the Retry-After of a request that Loop.Submit did not accept, or the most it may be.
	InboxFullRetryAfterMs = 250
)
