//go:build !chaos

package main

import (
	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/gateway"
)

// environment returns the system clock and the network of the operating system.
func environment(*config.Config) (clock.Clock, gateway.Network, error) {
	return clock.NewSystem(), gateway.SystemNetwork(), nil
}
