package chaos

import (
	"gaugerelay/internal/testbed/loopback"
	"gaugerelay/internal/testbed/process"
)

// edgeAddresses are the addresses of the frontends for file commands and devices of a gateway.
type edgeAddresses struct {
	files, coap, http string
}

// newEdgeAddresses returns free addresses for a gateway.
func newEdgeAddresses(index int) (*edgeAddresses, error) {
	var addresses edgeAddresses
	for _, address := range []*string{&addresses.files, &addresses.coap, &addresses.http} {
		free, err := loopback.FreeTCPAddr(loopback.Host(loopbackBlock, index))
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return &addresses, nil
}

// config returns the operator's file of a gateway, or nil if it has none. The gateway determines the names of the keys.
func (a *edgeAddresses) config() *process.EdgeConfig {
	if a == nil {
		return nil
	}
	return &process.EdgeConfig{
		SFTP: map[string]any{"listen": a.files, "max_connections": 128, "unit_bytes": 16384, "read_class": "pull", "write_class": "push",
			"roots": []any{map[string]any{"path": "/files", "volume": "0000000000000099", "plan": "basic"}}, "backend_port": 1},
		Devices: map[string]any{"coap": a.coap, "http": a.http, "max_connections": 256, "max_open": 8, "max_message_bytes": 33792,
			"first_ms": 10000, "idle_ms": 300000, "hold_off_ms": 5000, "max_exchanges": 4096, "max_exchanges_per_device": 16,
			"max_devices": 4096, "max_held_bytes": 8388608, "keep_ms": 60000, "upload_idle_ms": 30000, "least_run_ms": 20, "max_wait_ms": 5000,
			"least_dead_ms": 2000, "most_dead_ms": 15000, "least_block_bytes": 64, "most_block_bytes": 16384, "block_ms": 500},
	}
}
