// Package config reads and validates the configuration of a gateway, and converts it to typed settings. The platform's
// configuration consists of the JSON file whose path is in ROUTER_CONFIG, and of the other ROUTER_ variables, which override
// the file. The operator's file is optional: it configures further frontends, communication between gateways and BGP
// announcements.
//
// The text of an error is one line that names the invalid value. The package runs no goroutine, and does not modify what
// it has returned.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// Environment variables that the platform sets.
const (
	variableConfig    = "ROUTER_CONFIG" // path of the configuration file
	variableName      = "ROUTER_NAME"
	variableListen    = "ROUTER_LISTEN"
	variableDiscovery = "ROUTER_DISCOVERY"
)

// Defaults of limits that the platform does not set. Without the timeouts, package net would wait for a connection forever
// and would never close an idle one.
const (
	defaultIdleConnTimeoutMs = 30_000
	defaultConnectTimeoutMs  = 1_000
	defaultMaxSockets        = 1024
)

// Config is the platform's configuration of one gateway.
type Config struct {
	Name, Listen, Discovery string // Listen and Discovery are addresses, host:port
	Seed                    uint64
	Cores, MemoryMB         float64 // limits of the process; 0 means no limit
	MaxSockets              int
	// KnownEndpoints is the last endpoint list that was received before the start.
	KnownEndpoints lifecycle.EndpointUpdate
	// InvalidKnownEntries is the number of invalid entries that were left out of KnownEndpoints.
	InvalidKnownEntries                 int
	Settings                            scheduler.Settings
	GatewayIndex                        int      // index of this gateway in Peers
	PeerListen                          string   // address on which to receive datagrams of other gateways; "" means none
	Peers                               []string // addresses of all gateways, including this one, in the order of their indexes
	IdleConnTimeoutMs, ConnectTimeoutMs float64  // timeouts of connections to servers

	fileDiscovery string // discovery address in the file, without the override by ROUTER_DISCOVERY
}

// Load reads the configuration file that ROUTER_CONFIG names, and overrides its values by the other variables that are
// set. getenv is os.Getenv except in tests.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(variableConfig)
	if path == "" {
		return nil, errors.New(variableConfig + " is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.override(getenv)
	if err := checkAddress("listen", c.Listen); err != nil {
		return nil, err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return nil, err
	}
	return c, nil
}

// override replaces values of the file by the variables that are set.
func (c *Config) override(getenv func(string) string) {
	for variable, field := range map[string]*string{
		variableName: &c.Name, variableListen: &c.Listen, variableDiscovery: &c.Discovery,
	} {
		if value := getenv(variable); value != "" {
			*field = value
		}
	}
}

// Reload reads the configuration again. It does not change c, the configuration in use. The environment dates from the
// start of the program, so a discovery address that has changed in the file overrides ROUTER_DISCOVERY. If the address in the
// file is missing or has not changed, the address in use stays.
func (c *Config) Reload(getenv func(string) string) (*Config, error) {
	next, err := Load(getenv)
	if err != nil {
		return nil, err
	}
	if next.fileDiscovery == "" || next.fileDiscovery == c.fileDiscovery {
		next.Discovery = c.Discovery
		return next, nil
	}
	if err := checkAddress("discovery", next.fileDiscovery); err != nil {
		return nil, err
	}
	next.Discovery = next.fileDiscovery
	return next, nil
}

// checkAddress returns an error unless the address has the form host:port.
func checkAddress(name, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s address %q: not host:port", name, address)
	}
	return nil
}

// RestartRequired returns the names of the parts that differ between c and next and take effect only after a restart.
func (c *Config) RestartRequired(next *Config) (names []string) {
	for _, part := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"limits", c.Cores == next.Cores && c.MemoryMB == next.MemoryMB && c.MaxSockets == next.MaxSockets},
		{"settings", reflect.DeepEqual(c.Settings, next.Settings) &&
			c.IdleConnTimeoutMs == next.IdleConnTimeoutMs && c.ConnectTimeoutMs == next.ConnectTimeoutMs},
	} {
		if !part.same {
			names = append(names, part.name)
		}
	}
	return names
}
