//go:build chaos

package main

import (
	"os"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/gateway"
	"gaugerelay/internal/testbed/faultnet"
)

// faultsVariable names the faults to inject, in faultnet's form. Without it nothing is injected.
const faultsVariable = "GAUGERELAY_FAULTS"

// environment returns a clock that is wrong and a network whose system calls fail. It is part of the program for tests
// alone.
func environment(cfg *config.Config) (clock.Clock, gateway.Network, error) {
	text := os.Getenv(faultsVariable)
	if text == "" {
		return clock.NewSystem(), gateway.SystemNetwork(), nil
	}
	options, err := faultnet.ParseOptions(text)
	if err != nil {
		return nil, gateway.Network{}, err
	}
	network := faultnet.New(options)
	dial := network.Dial(clock.Duration(cfg.ConnectTimeoutMs))
	return clock.NewSystemWithOffset(options.WallClockOffset), gateway.Network{Listen: network.Listen, Dial: dial}, nil
}
