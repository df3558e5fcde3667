package chaos

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Options are the parameters of a run.
type Options struct {
	Binary          string // path of the gateway program
	Gateways        int    // number of processes
	FleetSize       int    // number of gateways according to the settings; 0: same as Gateways
	Shards          int
	Duration        time.Duration
	Seed            uint64
	PushDiscovery   bool     // whether an agent on each gateway's machine pushes endpoint lists; otherwise the gateways poll
	RequestRate     float64  // requests per second to each gateway
	FailSystemCalls bool     // whether system calls of the gateways fail at random; requires a Binary built with the tag chaos
	DebugLog        bool     // whether gateways log each request
	Faults          []string // names of the faults to inject; empty: all faults
	MemoryMB        int      // memory limit of each gateway; 0: drawn for each
	MaxSockets      int      // limit on the descriptors of each gateway; 0: drawn for each
	Cores           float64  // cores of each gateway; 0: drawn for each. A gateway with less than one is throttled
	EdgeFrontends   bool     // whether gateways have the frontends for file commands and devices
	Overload        bool     // whether crowds, floods and leaving clients overload the gateways
	// LogOutput receives the merged log of all processes if an invariant was violated. It may be nil.
	LogOutput io.Writer
}

func (o *Options) fleetSize() int {
	if o.FleetSize > 0 {
		return o.FleetSize
	}
	return o.Gateways
}

// ParseFaults parses names of faults that are separated by commas. For an empty text it returns nil, which means all faults.
func ParseFaults(text string) ([]string, error) {
	if text == "" {
		return nil, nil
	}
	names := strings.Split(text, ",")
	for _, name := range names {
		if !isFault(name) {
			return nil, fmt.Errorf("chaos: unknown fault %q", name)
		}
	}
	return names, nil
}
