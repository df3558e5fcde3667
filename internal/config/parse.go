package config

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/discovery"
	"gaugerelay/internal/platformsettings"
	"gaugerelay/internal/scheduler"
)

// Parse parses the text of the platform's configuration file. It ignores unknown keys.
func Parse(text []byte) (*Config, error) {
	object, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	reader := &valueReader{}
	c := &Config{
		Name:       reader.text(object, "name"),
		Listen:     reader.text(object, "listen"),
		Discovery:  reader.text(object, "discovery"),
		Cores:      reader.number(object, "limits", "cores"),
		MemoryMB:   reader.number(object, "limits", "memory_mb"),
		MaxSockets: reader.count(object, "limits", "sockets"),
	}
	c.fileDiscovery = c.Discovery
	if seed := reader.text(object, "seed"); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed %q: not 64 bits in hex", seed)
		}
	}
	c.readKnownEndpoints(object.Get("known"))
	settings := object.Get("settings")
	if settings == nil || settings.Type() != fastjson.TypeObject {
		return nil, errors.New("settings is missing")
	}
	c.IdleConnTimeoutMs = min(reader.number(settings, "Limits", "ConnIdleMs"), maxMs)
	c.ConnectTimeoutMs = min(reader.number(settings, "Limits", "ConnectTimeoutMs"), maxMs)
	c.Settings = platformsettings.Read(jsonSettings{reader, settings})
	c.GatewayIndex = reader.count(settings, "SelfIndex")
	c.PeerListen = reader.text(object, "peer_listen")
	for _, peer := range object.GetArray("peers") {
		c.Peers = append(c.Peers, string(peer.GetStringBytes()))
	}
	c.setDefaults()
	return c, reader.err
}

// readKnownEndpoints reads the last known endpoint list, if there is one. Invalid entries are counted and left out: the list
// comes from discovery and is out of date anyway, so it must not prevent a start.
func (c *Config) readKnownEndpoints(known *fastjson.Value) {
	if known != nil && known.Type() == fastjson.TypeObject {
		c.KnownEndpoints, c.InvalidKnownEntries = discovery.Decode(known)
	}
	c.KnownEndpoints.Kind = scheduler.CachedSnapshot // the list may be out of date, so the kind in the file is ignored
}

// setDefaults sets the limits that the file omits to their defaults.
func (c *Config) setDefaults() {
	if c.IdleConnTimeoutMs == 0 {
		c.IdleConnTimeoutMs = defaultIdleConnTimeoutMs
	}
	if c.ConnectTimeoutMs == 0 {
		c.ConnectTimeoutMs = defaultConnectTimeoutMs
	}
	if c.MaxSockets == 0 {
		c.MaxSockets = defaultMaxSockets
	}
}
