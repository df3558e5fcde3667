// Package testbed provides what tests use in place of the platform: settings, loopback servers and connections to them. Its
// folders hold fakes of the platform's services and the simulations.
//
// The goroutines of its servers end when the test closes their listeners, or with the connection that they handle.
package testbed

import (
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed/testsettings"
)

// Settings returns settings like the platform's, for one gateway and the given number of shards.
func Settings(shards int) scheduler.Settings { return testsettings.Settings(shards) }
