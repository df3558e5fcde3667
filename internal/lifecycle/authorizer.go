package lifecycle

import (
	"math"
	"sync/atomic"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/permission"
)

// SendDelayMarginMs is for how long the process may be delayed between an authorization and the byte that it permits.
const SendDelayMarginMs = 150

// The violations that CheckSent reports. They are parts of counters' names.
const (
	violationDrain        = "drain"
	violationDuplicate    = "duplicate"
	violationLateDeadline = "late_deadline"
)

// Authorizer bounds the attempts of all upstreams. It is safe for concurrent use.
type Authorizer struct {
	options               AuthorizerOptions
	endpointsValidUntilMs atomic.Uint64 // bits of the float64
}

// AuthorizerOptions are the hooks of an Authorizer. Each is called from the goroutines of upstreams, and each may be nil.
type AuthorizerOptions struct {
	// WaitForUpdates waits, for a short time at most, until every update of the endpoint list that has reached this machine is
	// applied, and reports whether all are. nil means that there is nothing to wait for.
	WaitForUpdates func() (applied bool)
	// OnDenied is called for each attempt that is denied.
	OnDenied func(attempt *Attempt, denial permission.Denial)
}

// NewAuthorizer returns an Authorizer for an endpoint list that may be used without a bound.
func NewAuthorizer(options AuthorizerOptions) *Authorizer {
	a := &Authorizer{options: options}
	a.SetEndpointsValidUntil(math.Inf(1))
	return a
}

// SetEndpointsValidUntil sets the time in milliseconds from which on the endpoint list must not be used.
func (a *Authorizer) SetEndpointsValidUntil(ms float64) {
	a.endpointsValidUntilMs.Store(math.Float64bits(ms))
}

// EndpointsValidUntilMs returns the time from which on the endpoint list must not be used, +Inf if there is none.
func (a *Authorizer) EndpointsValidUntilMs() float64 {
	return math.Float64frombits(a.endpointsValidUntilMs.Load())
}

// waitForUpdates reports whether every update of the endpoint list is applied. A nil Authorizer has nothing to wait for.
func (a *Authorizer) waitForUpdates() bool {
	return a == nil || a.options.WaitForUpdates == nil || a.options.WaitForUpdates()
}

// notifyDenied calls the hook for denied attempts. A nil Authorizer has none.
func (a *Authorizer) notifyDenied(attempt *Attempt, denial permission.Denial) {
	if a != nil && a.options.OnDenied != nil {
		a.options.OnDenied(attempt, denial)
	}
}

// Authorize decides whether the first byte of the attempt may be sent, after a wait for pending updates of the endpoint list.
// It returns the remaining time to announce to the server, in whole milliseconds, and permission.Allowed or the reason for the
// denial. It may block for a short time, and is called from the goroutine that sends.
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

// Expired reports whether an attempt of which no byte has been sent must not start any more. It does not block.
func (a *Attempt) Expired(nowMs float64) bool {
	return permission.Authorize(a.conditions(nowMs)) != permission.Allowed
}

// CheckSent checks an attempt against the rules right after its first byte was sent. announcedMs is the remaining time that
// was announced to the server. It returns the name of the rule that is violated, or "".
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

// conditions returns what is known of the attempt at a time.
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
