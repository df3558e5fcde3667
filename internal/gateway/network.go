package gateway

import (
	"context"
	"net"
)

// Network opens the listeners and the connections of a gateway.
type Network struct {
	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error) // if Dial is nil, the machine's network is used
}

// SystemNetwork returns the machine's network.
func SystemNetwork() Network {
	var listenConfig net.ListenConfig
	return Network{Listen: func(addr string) (net.Listener, error) {
		return listenConfig.Listen(context.Background(), "tcp", addr)
	}}
}
