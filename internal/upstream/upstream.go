// Package upstream holds what the clients of storage servers share, whatever their protocol: how they connect, and how long they
// keep a connection.
//
// The package has no state and starts no goroutine.
package upstream

import (
	"context"
	"net"

	"gaugerelay/internal/clock"
)

// IdleTimeoutFraction is the fraction of the network's or the server's idle timeout for which a client keeps an idle connection.
// It is below 1 because a request that is written to a connection which the other side has dropped ends as a reset.
const IdleTimeoutFraction = 0.6

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// OrDefault returns dial, or for nil a DialFunc that uses the network of this machine and connects within connectTimeoutMs.
func (dial DialFunc) OrDefault(connectTimeoutMs float64) DialFunc {
	if dial != nil {
		return dial
	}
	return (&net.Dialer{Timeout: clock.Duration(connectTimeoutMs), KeepAlive: -1}).DialContext
}
