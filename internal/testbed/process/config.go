package process

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Names of the files in a gateway's directory.
const (
	configFile = "config.json"
	edgeFile   = "edge.json"
)

// Config is the content of a gateway's configuration file. The gateway determines the JSON names of the fields.
type Config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"` // seed of the gateway's random numbers, as 16 hexadecimal digits
	Known     EndpointList   `json:"known"`
	Limits    Limits         `json:"limits"`
	Settings  map[string]any `json:"settings"`
}

// Limits are the resources that a gateway may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// EndpointList is a snapshot or a delta of the endpoint list, as discovery sends it.
type EndpointList struct {
	Version  int        `json:"version"`
	Snapshot bool       `json:"full"`
	Servers  []Endpoint `json:"servers"`
}

// JSON returns the list as discovery sends it, without the trailing newline.
func (l EndpointList) JSON() []byte {
	line, err := json.Marshal(l)
	if err != nil {
		panic(err) // cannot happen: the lists of the fakes hold no values that JSON cannot express
	}
	return line
}

// Endpoint is one server of an endpoint list.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Shard     int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"` // start of the server as Unix time in milliseconds; 0: long ago
}

// States of an endpoint, as discovery names them.
const (
	EndpointReady    = "Ready"
	EndpointDraining = "Terminating"
	EndpointRemoved  = "Gone"
)

// EdgeConfig is the content of the operator's file, which a gateway reads if it is started with -edge.
type EdgeConfig struct {
	Fleet   *FleetConfig   `json:"fleet,omitempty"`
	SFTP    map[string]any `json:"sftp,omitempty"`    // frontend for file commands
	Devices map[string]any `json:"devices,omitempty"` // frontends for devices
}

// FleetConfig names the peers of a gateway in the operator's file.
type FleetConfig struct {
	Listen   string   `json:"listen"`
	Self     int      `json:"self"`
	Peers    []string `json:"peers"`
	Key      string   `json:"key"`
	PeriodMs int      `json:"period_ms"`
	LeaseMs  float64  `json:"lease_ms"`
}

// WriteConfig creates a directory, writes the files that the process reads into it, and sets Env and Args so that the
// process finds them. If edge is nil, no operator's file is written. A running process rereads the configuration file on SIGHUP.
func (p *Process) WriteConfig(dir string, config Config, edge *EdgeConfig) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("process: create the directory of %s: %w", p.Name, err)
	}
	configPath := filepath.Join(dir, configFile)
	if err := writeJSON(configPath, config); err != nil {
		return err
	}
	p.Env = []string{"ROUTER_CONFIG=" + configPath, "ROUTER_NAME=" + p.Name, "ROUTER_LISTEN=" + p.ListenAddr}
	if edge == nil {
		return nil
	}
	edgePath := filepath.Join(dir, edgeFile)
	p.Args = []string{"-edge", edgePath}
	return writeJSON(edgePath, edge)
}

// RewriteConfig overwrites the configuration file in a directory that WriteConfig has created and changes nothing else.
func RewriteConfig(dir string, config Config) error {
	return writeJSON(filepath.Join(dir, configFile), config)
}

func writeJSON(path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("process: encode %s: %w", path, err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("process: write a configuration file: %w", err)
	}
	return nil
}
