package lifecycle

import (
	"math"
	"sync/atomic"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/permission"
)

// SendDelayMarginMs is the allowance for a delay of the process between an authorization and the sending of the first byte.
const SendDelayMarginMs = 150

// The violations that CheckSent reports: a limit was exceeded by more than SendDelayMarginMs. They are parts of counter names.
const (
	violationDrain        = "drain"         // the lease on the endpoint list had expired, so the server may have drained
	violationDuplicate    = "duplicate"     // the start deadline had passed, for instance the end of the deduplication window
	violationLateDeadline = "late_deadline" // the announced remaining time ends after the deadline of the attempt
)

// Authorizer holds the hooks that Attempt.Authorize calls, and the time until which the endpoint list may be used. The attempts of
// all upstreams share one Authorizer. It is safe for concurrent use.
type Authorizer struct {
	options               AuthorizerOptions
	endpointsValidUntilMs atomic.Uint64 // a float64, stored as its math.Float64bits
}

// AuthorizerOptions are the hooks of an Authorizer. They are called from the goroutines of upstreams, and each may be nil.
type AuthorizerOptions struct {
	// WaitForUpdates waits, but only for a short time, until every update of the endpoint list that has reached this machine is
	// applied. It reports whether all of them are. nil means that there is nothing to wait for.
	WaitForUpdates func() (applied bool)
	// OnDenied is called for each attempt that is denied.
	OnDenied func(attempt *Attempt, denial permission.Denial)
}

// NewAuthorizer returns an Authorizer that sets no time limit on the use of the endpoint list.
func NewAuthorizer(options AuthorizerOptions) *Authorizer {
	a := &Authorizer{options: options}
	a.SetEndpointsValidUntilMs(math.Inf(1))
	return a
}

// SetEndpointsValidUntilMs sets the time in milliseconds from which on the endpoint list must not be used.
func (a *Authorizer) SetEndpointsValidUntilMs(ms float64) {
	a.endpointsValidUntilMs.Store(math.Float64bits(ms))
}

// EndpointsValidUntilMs returns the time in milliseconds from which on the endpoint list must not be used, or +Inf if the
// use is not limited.
func (a *Authorizer) EndpointsValidUntilMs() float64 {
	return math.Float64frombits(a.endpointsValidUntilMs.Load())
}

// waitForUpdates calls the hook AuthorizerOptions.WaitForUpdates. Without a hook, or on a nil Authorizer, it returns true.
func (a *Authorizer) waitForUpdates() bool {
	return a == nil || a.options.WaitForUpdates == nil || a.options.WaitForUpdates()
}

// notifyDenied calls the hook AuthorizerOptions.OnDenied, if there is one. The Authorizer may be nil.
func (a *Authorizer) notifyDenied(attempt *Attempt, denial permission.Denial) {
	if a != nil && a.options.OnDenied != nil {
		a.options.OnDenied(attempt, denial)
	}
}

// Authorize waits for pending updates of the endpoint list, and then decides whether the first byte of the attempt may be sent.
// It returns the remaining time to announce to the server, in whole milliseconds, and permission.Allowed or the reason for the
// denial. It may block for a short time. It is called from the goroutine that sends the attempt.
func (a *Attempt) Authorize(c clock.Clock) (remainingMs float64, denial permission.Denial) {
	applied := a.Authorizer.waitForUpdates()
	conditions := a.conditions(c.NowMs())
	conditions.UpdatePending = !applied
	denial = permission.Authorize(conditions)
	if denial != permission.Allowed {
		a.Authorizer.notifyDenied(a, denial)
	}
	return permission.RemainingMs(conditions), denial
}

// Expired reports whether an attempt must not start any more, given that no byte of it has been sent. It does not block.
func (a *Attempt) Expired(nowMs float64) bool {
	return permission.Authorize(a.conditions(nowMs)) != permission.Allowed
}

// CheckSent checks, right after the first byte of an attempt was sent, whether it was sent too late by more than
// SendDelayMarginMs. announcedMs is the remaining time that was announced to the server. CheckSent returns the name of the
// violation, or "" if there is none.
func (a *Attempt) CheckSent(nowMs, announcedMs float64) (violation string) {
	conditions := a.conditions(nowMs)
	switch {
	case conditions.NowMs >= conditions.LeaseExpiresAtMs+SendDelayMarginMs:
		return violationDrain
	case conditions.StartDeadlineMs != 0 && conditions.NowMs >= conditions.StartDeadlineMs+SendDelayMarginMs:
		return violationDuplicate
	case announcedMs > conditions.DeadlineMs-conditions.NowMs+SendDelayMarginMs:
		return violationLateDeadline
	}
	return ""
}

// conditions returns the conditions of the attempt at nowMs, except for UpdatePending.
func (a *Attempt) conditions(nowMs float64) permission.Conditions {
	conditions := permission.Conditions{
		NowMs:             nowMs,
		ClientCanceled:    a.Request.Canceled(),
		ServerUnavailable: a.Server.Closed(),
		LeaseExpiresAtMs:  math.Inf(1),
		StartDeadlineMs:   a.StartDeadlineMs,
		DeadlineMs:        a.DeadlineMs,
	}
	if a.Authorizer != nil {
		conditions.LeaseExpiresAtMs = a.Authorizer.EndpointsValidUntilMs()
	}
	return conditions
}
