// Package upstream holds what the clients of storage servers have in common for all protocols: how they connect, and how long
// they keep an idle connection.
//
// The package has no state and starts no goroutine.
package upstream

import (
	"context"
	"net"

	"gaugerelay/internal/clock"
)

// IdleTimeoutFraction is how long a client keeps an idle connection, as a fraction of the idle timeout of the network or the
// server. It is below 1, so that the client closes the connection before the other side drops it: a request on a dropped connection
// fails with a connection reset.
const IdleTimeoutFraction = 0.6

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// OrDefault returns dial. If dial is nil, it returns a DialFunc that uses the network of this machine and gives up after
// connectTimeoutMs.
func (dial DialFunc) OrDefault(connectTimeoutMs float64) DialFunc {
	if dial != nil {
		return dial
	}
	return (&net.Dialer{Timeout: clock.Duration(connectTimeoutMs), KeepAlive: -1}).DialContext
}
