package quota

import (
	"errors"
	"fmt"
	"math"
)

// ErrInvalidSettings is wrapped by the errors of New.
var ErrInvalidSettings = errors.New("quota: invalid settings")

// maxClockDrift is the drift from which on GrantHoldMs would be three leases or more.
const maxClockDrift = 0.5

// Settings configure an Allocator.
type Settings struct {
	// Self is the number of this gateway.
	Self uint16
	// Incarnation distinguishes this process from earlier ones with the same number.
	Incarnation uint32
	// LeaseMs is how long a borrower may use a grant, counted from its request.
	LeaseMs float64
	// ClockDrift is the largest relative difference between the rates of two gateways' clocks.
	ClockDrift float64
	// MaxGrantedFraction is the largest fraction of its own share that a gateway lends.
	MaxGrantedFraction float64
	// RequestIntervalMs is the minimum time between two rounds of messages that this gateway initiates for one pool.
	RequestIntervalMs float64
	// IdleTimeoutMs is how long after a pool's last demand on this gateway it still lends of that pool. The set of
	// gateways that receive a pool's traffic must not change faster than that: a gateway that has left the set would
	// otherwise lend a share that its successor already owns.
	IdleTimeoutMs float64
	// MaxPools bounds the number of pools with state.
	MaxPools int
	// MaxPeers bounds the number of borrowers of a pool and of its known lenders.
	MaxPeers int
}

// GrantHoldMs returns how long a lender counts a fraction as lent after it received the request, on the lender's clock.
// The borrower uses it for LeaseMs of its own clock from an earlier moment on. A clock that is slow by ClockDrift shows
// LeaseMs after LeaseMs/(1-ClockDrift); one that is fast by ClockDrift then shows 1+ClockDrift times that.
func (s Settings) GrantHoldMs() float64 { return s.LeaseMs * (1 + s.ClockDrift) / (1 - s.ClockDrift) }

// LenderSearchBoundMs returns the longest time until a gateway has sent a request to every other one of so many gateways,
// if no message is lost.
func (s Settings) LenderSearchBoundMs(gateways int) float64 {
	return math.Ceil(float64(gateways-1)/lenderProbes) * s.RequestIntervalMs
}

// validate returns an error that wraps ErrInvalidSettings if the settings cannot be used. The conditions are written so
// that NaN fails them.
func (s Settings) validate() error {
	switch {
	case !(s.LeaseMs > 0):
		return fmt.Errorf("%w: lease of %v ms", ErrInvalidSettings, s.LeaseMs)
	case !(s.ClockDrift >= 0 && s.ClockDrift < maxClockDrift):
		return fmt.Errorf("%w: clock drift of %v", ErrInvalidSettings, s.ClockDrift)
	case !(s.MaxGrantedFraction >= 0 && s.MaxGrantedFraction < 1):
		return fmt.Errorf("%w: granted fraction of at most %v", ErrInvalidSettings, s.MaxGrantedFraction)
	case !(s.RequestIntervalMs > 0):
		return fmt.Errorf("%w: request interval of %v ms", ErrInvalidSettings, s.RequestIntervalMs)
	case s.MaxPools < 1 || s.MaxPeers < 1:
		return fmt.Errorf("%w: at most %d pools and %d peers", ErrInvalidSettings, s.MaxPools, s.MaxPeers)
	case s.RequestIntervalMs >= s.LeaseMs/2:
		return fmt.Errorf("%w: a lease of %v ms ends before it can be renewed, at intervals of %v ms", ErrInvalidSettings,
			s.LeaseMs, s.RequestIntervalMs)
	case !(s.IdleTimeoutMs >= demandTimeoutMs):
		return fmt.Errorf("%w: idle timeout of %v ms, shorter than a demand counts", ErrInvalidSettings, s.IdleTimeoutMs)
	}
	return nil
}
