//go:build chaos

package main

import (
	"os"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/gateway"
	"gaugerelay/internal/testbed/faultnet"
)

// faultsVariable is the environment variable that lists the faults to inject, in the format of faultnet.ParseOptions. If it
// is not set, no faults are injected.
const faultsVariable = "GAUGERELAY_FAULTS"

// environment returns a clock whose wall time has an offset, and a network whose system calls fail at random. It exists only
// in programs that are built for fault injection, with the tag chaos.
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
