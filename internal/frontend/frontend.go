// Package frontend defines what the frontends of all protocols share: the interface of the event loop, the names of common
// counters, and time limits.
//
// The package has no state and starts no goroutine.
package frontend

import "gaugerelay/internal/lifecycle"

// Loop is the part of the event loop that all frontends use. Its methods do not block and may be called from any goroutine.
type Loop interface {
	// Submit passes a request to the event loop. It returns false, without any effect, if the inbox is too full or closed; the
	// request's Respond is then never called.
	Submit(*lifecycle.Request) bool
	// Cancel reports that the frontend no longer waits for the response to a request, or that the response could not be written
	// completely.
	Cancel(*lifecycle.Request)
	// ResponseWritten reports that the response to a device's request was written completely.
	ResponseWritten(*lifecycle.Request, lifecycle.LinkSample)
}

// Names of counters that several frontends increment.
const (
	// RequestsMalformed counts requests that could not be parsed and were never submitted.
	RequestsMalformed = "requests_malformed"
	// RequestsInboxFull counts requests for which Loop.Submit returned false.
	RequestsInboxFull = "requests_inbox_full"
	// ResponsesByGuard counts requests that a frontend's response guard failed because the event loop did not respond in time.
	// It must stay 0.
	ResponsesByGuard = "answers_by_guard"
)

const (
	// ResponseGraceMs is how long, in milliseconds after a request's deadline, a frontend waits for the event loop before the
	// response guard fails the request. The protocol allows a response until 50 ms after the deadline.
	ResponseGraceMs = 25
	// InboxFullRetryAfterMs is the retry delay, in milliseconds, that the response to a request states if Loop.Submit returned
	// false for it. The HTTP frontend lowers it to the setting MaxRetryAfter.
	InboxFullRetryAfterMs = 250
)
