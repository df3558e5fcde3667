package chaos

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Options describe a run.
type Options struct {
	Binary          string // path of the gateway program
	Gateways        int    // number of processes
	FleetSize       int    // number of gateways that the settings name; 0: Gateways
	Shards          int
	Duration        time.Duration
	Seed            uint64
	PushDiscovery   bool     // endpoint lists are pushed by an agent; otherwise the gateways poll for them
	RequestRate     float64  // requests per second to each gateway
	FailSystemCalls bool     // the program has the build tag chaos, and its system calls fail at random
	DebugLog        bool     // gateways log each request
	Faults          []string // names of the faults to inject; empty: all
	// LogOutput receives the merged log of all processes if an invariant was violated. It may be nil.
	LogOutput io.Writer
}

func (o *Options) fleetSize() int {
	if o.FleetSize > 0 {
		return o.FleetSize
	}
	return o.Gateways
}

// ParseFaults reads names of faults, separated by commas. An empty text stands for all faults and returns nil.
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
