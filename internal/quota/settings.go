package quota

import (
	"errors"
	"fmt"
	"math"
)

// ErrInvalidSettings is wrapped by the errors of New.
var ErrInvalidSettings = errors.New("quota: invalid settings")

// maxClockDrift is the value below which ClockDrift must be. At this drift, GrantHoldMs would be three times LeaseMs.
const maxClockDrift = 0.5

// Settings configure an Allocator.
type Settings struct {
	// Self is the index of this gateway in the fleet.
	Self uint16
	// Incarnation distinguishes this process from earlier processes with the same index.
	Incarnation uint32
	// LeaseMs is the time for which a borrower may use a grant, counted from the request for it.
	LeaseMs float64
	// ClockDrift is the largest fraction by which a gateway's clock is faster or slower than true time.
	ClockDrift float64
	// MaxGrantedFraction is the largest fraction of its own share that a gateway lends.
	MaxGrantedFraction float64
	// RequestIntervalMs is the minimum time between two rounds of messages that this gateway initiates for one pool.
	RequestIntervalMs float64
	// IdleTimeoutMs is the time after the last demand for a pool during which this gateway still lends its share of the
	// pool. The set of gateways that receive a pool's traffic must not change faster than that: otherwise a gateway that
	// has left the set would lend a share that its successor already owns.
	IdleTimeoutMs float64
	// MaxPools bounds the number of pools with state.
	MaxPools int
	// MaxPeers bounds the number of borrowers of each pool, and the number of its known lenders.
	MaxPeers int
}

// GrantHoldMs returns the time, on the lender's clock, for which a lender counts a fraction as lent after it has received the
// request. The borrower uses the fraction for LeaseMs of its own clock from the time at which it sent the request. A
// borrower's clock that is slow by ClockDrift reaches LeaseMs after a true time of LeaseMs/(1-ClockDrift). In that time, a
// lender's clock that is fast by ClockDrift advances by 1+ClockDrift times as much.
func (s Settings) GrantHoldMs() float64 { return s.LeaseMs * (1 + s.ClockDrift) / (1 - s.ClockDrift) }

// LenderSearchBoundMs returns the longest time until a gateway that lacks quota has sent a request to every other gateway of a
// fleet of the given size, if no message is lost. A gateway that finds all lenders earlier stops the search.
func (s Settings) LenderSearchBoundMs(gateways int) float64 {
	return math.Ceil(float64(gateways-1)/lenderProbesPerRound) * s.RequestIntervalMs
}

// validate returns an error that wraps ErrInvalidSettings if the settings cannot be used. The conditions are written so
// that NaN fails them.
func (s Settings) validate() error {
	switch {
	case !(s.LeaseMs > 0):
		return fmt.Errorf("%w: lease duration is %v ms, want more than 0", ErrInvalidSettings, s.LeaseMs)
	case !(s.ClockDrift >= 0 && s.ClockDrift < maxClockDrift):
		return fmt.Errorf("%w: clock drift is %v, want at least 0 and less than 0.5", ErrInvalidSettings, s.ClockDrift)
	case !(s.MaxGrantedFraction >= 0 && s.MaxGrantedFraction < 1):
		return fmt.Errorf("%w: maximum granted fraction is %v, want at least 0 and less than 1", ErrInvalidSettings,
			s.MaxGrantedFraction)
	case !(s.RequestIntervalMs > 0):
		return fmt.Errorf("%w: request interval is %v ms, want more than 0", ErrInvalidSettings, s.RequestIntervalMs)
	case s.MaxPools < 1 || s.MaxPeers < 1:
		return fmt.Errorf("%w: maximum is %d pools and %d peers, want at least 1 of each", ErrInvalidSettings, s.MaxPools, s.MaxPeers)
	case s.RequestIntervalMs >= s.LeaseMs/2:
		return fmt.Errorf("%w: lease duration of %v ms is too short for renewal: want more than twice the request interval of %v ms",
			ErrInvalidSettings, s.LeaseMs, s.RequestIntervalMs)
	case !(s.IdleTimeoutMs >= demandTimeoutMs):
		return fmt.Errorf("%w: idle timeout is %v ms, want at least the demand timeout of 1000 ms", ErrInvalidSettings, s.IdleTimeoutMs)
	}
	return nil
}
