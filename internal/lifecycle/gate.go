package lifecycle

import (
	"math"
	"sync/atomic"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/permission"
)

// Authorizer is what every attempt passes before its first byte: it gathers the facts of that moment for package permission.
// One gate serves all carriers. It is safe for concurrent use.
type Authorizer struct {
	options             AuthorizerOptions
	endpointsValidUntil atomic.Uint64 // bits of the float64
}

// AuthorizerOptions are the hooks of an Authorizer. Each is called from the goroutines of upstreams, and each may be nil.
type AuthorizerOptions struct {
	// WaitForUpdates waits, for a short time at most, until every update of the endpoint list that has reached this machine is
	// applied, and reports whether all are. nil means that there is nothing to wait for.
	WaitForUpdates func() (applied bool)
	// OnDenied is called for each attempt that is denied.
	OnDenied func(attempt *Attempt, denial permission.Denial)
}

// sendDelayMarginMs is how long a process may be held up between a decision and the byte that it lets through.
const sendDelayMarginMs = 150

// CheckSent holds an attempt whose first byte has just gone out against the rules, and tells which of them it broke. told is the
// time that the node was told that the client has left.
func (a *Attempt) CheckSent(nowMs, toldMs float64) (broken string) {
	f := a.conditions(nowMs)
	switch {
	case f.NowMs >= f.LeaseExpiresAtMs+sendDelayMarginMs:
		return "drain"
	case f.StartDeadlineMs != 0 && f.NowMs >= f.StartDeadlineMs+sendDelayMarginMs:
		return "duplicate"
	case toldMs > f.DeadlineMs-f.NowMs+sendDelayMarginMs:
		return "late_deadline"
	}
	return ""
}

// NewAuthorizer returns an Authorizer for an endpoint list that may be used without a bound.
func NewAuthorizer(options AuthorizerOptions) *Authorizer {
	g := &Authorizer{options: options}
	g.SetEndpointsValidUntil(math.Inf(1))
	return g
}

// SetEndpointsValidUntil tells until when the node list may be used.
func (g *Authorizer) SetEndpointsValidUntil(ms float64) {
	g.endpointsValidUntil.Store(math.Float64bits(ms))
}

// EndpointsValidUntilMs is until when the node list may be used.
func (g *Authorizer) EndpointsValidUntilMs() float64 {
	return math.Float64frombits(g.endpointsValidUntil.Load())
}

// conditions are what is known of the attempt at a moment.
func (a *Attempt) conditions(nowMs float64) permission.Conditions {
	f := permission.Conditions{NowMs: nowMs, ClientCanceled: a.Request.Canceled(), ServerUnavailable: a.Server.Closed(),
		LeaseExpiresAtMs: math.Inf(1), StartDeadlineMs: a.StartDeadlineMs, DeadlineMs: a.DeadlineMs}
	if a.Authorizer != nil {
		f.LeaseExpiresAtMs = a.Authorizer.EndpointsValidUntilMs()
	}
	return f
}

// Authorize waits until what has come of the node list counts, decides whether the first byte of the attempt may go out then,
// and tells the time that the node may be told that the client has left, in whole milliseconds.
func (a *Attempt) Authorize(c clock.Clock) (leftMs float64, why permission.Denial) {
	caught := a.Authorizer == nil || a.Authorizer.options.WaitForUpdates == nil || a.Authorizer.options.WaitForUpdates()
	f := a.conditions(c.NowMs())
	f.UpdatePending = !caught
	why = permission.Authorize(f)
	if why != permission.Allowed && a.Authorizer != nil && a.Authorizer.options.OnDenied != nil {
		a.Authorizer.options.OnDenied(a, why)
	}
	return permission.RemainingMs(f), why
}

// Expired tells whether an attempt of which no byte has gone out must not begin any more.
func (a *Attempt) Expired(nowMs float64) bool {
	return permission.Authorize(a.conditions(nowMs)) != permission.Allowed
}
