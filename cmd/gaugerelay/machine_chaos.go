//go:build chaos

package main

import (
	"os"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/config"
	"gaugerelay/internal/gateway"
	"gaugerelay/internal/testbed/faultnet"
)

// faultsVariable names what fails of the machine, in faultnet's form.
const faultsVariable = "GAUGERELAY_FAULTS"

// machine is a clock that is off and a network whose system calls fail. It is in the test program alone.
func machine(cfg *config.Config) (clock.Clock, gateway.Network, error) {
	text := os.Getenv(faultsVariable)
	if text == "" {
		return clock.NewSystem(), gateway.Machine(), nil
	}
	o, err := faultnet.ParseOptions(text)
	if err != nil {
		return nil, gateway.Network{}, err
	}
	n := faultnet.New(o)
	return clock.NewSystemWithOffset(o.WallClockOffset), gateway.Network{Listen: n.Listen, Dial: n.Dial(clock.Duration(cfg.ConnectTimeoutMs))}, nil
}
