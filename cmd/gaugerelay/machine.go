//go:build !chaos

package main

import (
	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/gateway"
)

// machine is the clock and the network that the program runs on.
func machine(*config.Config) (clock.Clock, gateway.Network, error) {
	return clock.NewSystem(), gateway.SystemNetwork(), nil
}
