// Package config reads the configuration of a gateway and validates it once into typed settings: from the platform, the
// ROUTER_ variables with the JSON file that ROUTER_CONFIG names, and from the operator, the file of further frontends.
//
// Errors are one plain line that names the bad value. The package runs no goroutine, and what it returns is not changed
// afterwards.
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

// Variables of the environment that the platform sets.
const (
	variableConfig    = "ROUTER_CONFIG" // the configuration file's path
	variableName      = "ROUTER_NAME"
	variableListen    = "ROUTER_LISTEN"
	variableDiscovery = "ROUTER_DISCOVERY"
)

// Defaults of limits that the platform does not set. Without them package net would wait for and keep connections forever.
const (
	defaultIdleConnTimeoutMs = 30_000
	defaultConnectTimeoutMs  = 1_000
	defaultMaxSockets        = 1024
)

// Config is the platform's configuration of one gateway.
type Config struct {
	Name, Listen, Discovery string // Listen and Discovery are addresses, host:port
	Seed                    uint64
	Cores, MemoryMB         float64 // limits of the process; 0: none
	MaxSockets              int
	// KnownEndpoints is the endpoint list as last seen before the start.
	KnownEndpoints lifecycle.EndpointUpdate
	// InvalidKnownEntries is the number of its entries that could not be read.
	InvalidKnownEntries                 int
	Settings                            scheduler.Settings
	GatewayIndex                        int      // this gateway's number among Peers
	PeerListen                          string   // the address for other gateways; "": none
	Peers                               []string // the addresses of all gateways, this one included, by their numbers
	IdleConnTimeoutMs, ConnectTimeoutMs float64  // of connections to servers

	fileDiscovery string // Discovery as the file has it, without regard to the environment
}

// Load reads the configuration that the environment names; getenv is os.Getenv except in tests. Variables override the
// file.
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

// override applies the variables that are set.
func (c *Config) override(getenv func(string) string) {
	for variable, field := range map[string]*string{
		variableName: &c.Name, variableListen: &c.Listen, variableDiscovery: &c.Discovery,
	} {
		if value := getenv(variable); value != "" {
			*field = value
		}
	}
}

// Reload reads the configuration again for a program that runs with c, which it does not change. The environment is as old
// as the program, so a discovery address that has changed in the file overrides ROUTER_DISCOVERY.
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

// checkAddress returns an error unless the address is host:port.
func checkAddress(name, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s address %q: not host:port", name, address)
	}
	return nil
}

// RestartRequired names the parts that differ in next and that a reload does not apply.
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
