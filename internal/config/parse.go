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

// Parse reads the text of the platform's configuration file. Unknown keys are skipped.
func Parse(text []byte) (*Config, error) {
	object, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	r := &valueReader{}
	c := &Config{
		Name:       r.text(object, "name"),
		Listen:     r.text(object, "listen"),
		Discovery:  r.text(object, "discovery"),
		Cores:      r.number(object, "limits", "cores"),
		MemoryMB:   r.number(object, "limits", "memory_mb"),
		MaxSockets: r.count(object, "limits", "sockets"),
	}
	c.fileDiscovery = c.Discovery
	if seed := r.text(object, "seed"); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed %q: not 64 bits in hex", seed)
		}
	}
	c.readKnownEndpoints(object.Get("known"))
	settings := object.Get("settings")
	if settings == nil || settings.Type() != fastjson.TypeObject {
		return nil, errors.New("settings is missing")
	}
	c.IdleConnTimeoutMs = min(r.number(settings, "Limits", "ConnIdleMs"), maxMs)
	c.ConnectTimeoutMs = min(r.number(settings, "Limits", "ConnectTimeoutMs"), maxMs)
	c.Settings = platformsettings.Read(jsonSettings{r, settings})
	c.GatewayIndex = r.count(settings, "SelfIndex")
	c.PeerListen = r.text(object, "peer_listen")
	for _, peer := range object.GetArray("peers") {
		c.Peers = append(c.Peers, string(peer.GetStringBytes()))
	}
	c.setDefaults()
	return c, r.err
}

// readKnownEndpoints reads the endpoint list, if there is one. It is discovery's data and out of date, so entries that
// cannot be read are counted and do not prevent a start.
func (c *Config) readKnownEndpoints(known *fastjson.Value) {
	if known != nil && known.Type() == fastjson.TypeObject {
		c.KnownEndpoints, c.InvalidKnownEntries = discovery.Decode(known)
	}
	c.KnownEndpoints.Kind = scheduler.CachedSnapshot // it is out of date, whatever kind the file gives
}

// setDefaults sets the limits that the file does not give.
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
