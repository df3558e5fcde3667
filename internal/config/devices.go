package config

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/dedup/exchange"
)

// Limits of the exchange store that operators cannot configure.
const (
	// maxWaitingTransmissions bounds the transmissions of one exchange that wait for its response.
	maxWaitingTransmissions = 4
	maxBodyBytes            = 64 << 10
	maxUploadBlocks         = 1024
)

// Devices configures the frontends for devices on poor links. A frontend whose address is empty is disabled.
type Devices struct {
	CoAP, HTTP string // addresses to listen on, host:port
	// MaxConns bounds the connections of each frontend, MaxOpenRequests the open requests of one connection, and
	// MaxMessageBytes the size of a CoAP message.
	MaxConns, MaxOpenRequests, MaxMessageBytes int
	// FirstMessageTimeout bounds the time until the first message of a connection. A connection that is idle for IdleTimeout
	// is pinged. HoldOff is how long a device must wait before it connects again after CoAP's Release (RFC 8323, 5.5).
	FirstMessageTimeout, IdleTimeout, HoldOff time.Duration
	Exchanges                                 exchange.Settings
}

// parseDevices parses and validates the key "devices" of the operator's file.
func parseDevices(object *fastjson.Value) (*Devices, error) {
	reader := &valueReader{}
	devices := readDevices(reader, object)
	errs := []error{reader.err}
	if devices.CoAP == "" && devices.HTTP == "" {
		errs = append(errs, errors.New("coap and http are both empty: at least one must be an address"))
	}
	if devices.CoAP != "" {
		errs = append(errs, checkHostPort("coap", devices.CoAP))
	}
	if devices.HTTP != "" {
		errs = append(errs, checkHostPort("http", devices.HTTP))
	}
	errs = append(errs, devices.checkRanges())
	if size := devices.Exchanges.Link.MinBlockSize; size&(size-1) != 0 {
		errs = append(errs, errors.New("least_block_bytes is not a power of two"))
	}
	if _, err := exchange.New(devices.Exchanges); err != nil {
		errs = append(errs, err)
	}
	return devices, firstError(errs)
}

// readDevices reads the values without validating them. Absent values get the defaults that the example file shows.
func readDevices(reader *valueReader, object *fastjson.Value) *Devices {
	number := func(name string, defaultValue float64) float64 { return reader.numberOr(defaultValue, object, name) }
	integer := func(name string, defaultValue float64) int { return int(number(name, defaultValue)) }
	duration := func(name string, defaultValue float64) time.Duration {
		return clock.Duration(number(name, defaultValue))
	}
	return &Devices{
		CoAP:                reader.text(object, "coap"),
		HTTP:                reader.text(object, "http"),
		MaxConns:            integer("max_connections", 256),
		MaxOpenRequests:     integer("max_open", 8),
		MaxMessageBytes:     integer("max_message_bytes", 33<<10),
		FirstMessageTimeout: duration("first_ms", 10_000),
		IdleTimeout:         duration("idle_ms", 300_000),
		HoldOff:             duration("hold_off_ms", 5000),
		Exchanges: exchange.Settings{
			MaxExchanges:            integer("max_exchanges", 4096),
			MaxDevices:              integer("max_devices", 4096),
			MaxActivePerDevice:      integer("max_exchanges_per_device", 16),
			MaxWaitingTransmissions: maxWaitingTransmissions,
			MaxStoredBytes:          integer("max_held_bytes", 8<<20),
			MaxBodyBytes:            maxBodyBytes,
			MaxUploadBlocks:         maxUploadBlocks,
			RetentionMs:             number("keep_ms", 60_000),
			UploadIdleTimeoutMs:     number("upload_idle_ms", 30_000),
			MinExecutionMs:          number("least_run_ms", 20),
			MaxRetryAfterMs:         number("max_wait_ms", 5000),
			Link: exchange.LinkSettings{
				MinIdleTimeoutMs:   number("least_dead_ms", 2000),
				MaxIdleTimeoutMs:   number("most_dead_ms", 15_000),
				MinBlockSize:       integer("least_block_bytes", 64),
				MaxBlockSize:       integer("most_block_bytes", 16<<10),
				MaxBlockTransferMs: number("block_ms", 500),
			},
		},
	}
}

// checkRanges returns an error for the first value that is out of range. It omits the values that exchange.New checks more
// strictly.
func (d *Devices) checkRanges() error {
	for _, value := range []struct {
		name     string
		value    float64
		min, max float64
	}{
		{"max_connections", float64(d.MaxConns), 1, 1 << 20},
		{"max_open", float64(d.MaxOpenRequests), 1, 1024},
		{"max_message_bytes", float64(d.MaxMessageBytes), 1152, 1 << 20},
		{"first_ms", clock.Ms(d.FirstMessageTimeout), 1, 1e6},
		{"idle_ms", clock.Ms(d.IdleTimeout), 1000, 1e8},
		{"hold_off_ms", clock.Ms(d.HoldOff), 0, 1e6},
		{"max_exchanges", float64(d.Exchanges.MaxExchanges), 1, 1 << 24},
		{"max_devices", float64(d.Exchanges.MaxDevices), 1, 1 << 24},
		{"max_held_bytes", float64(d.Exchanges.MaxStoredBytes), 128 << 10, 1 << 40},
		{"least_block_bytes", float64(d.Exchanges.Link.MinBlockSize), 16, 1024},
		{"most_block_bytes", float64(d.Exchanges.Link.MaxBlockSize), 16, 64 << 10},
	} {
		if !(value.value >= value.min && value.value <= value.max) {
			return fmt.Errorf("%s is not from %.0f to %.0f", value.name, value.min, value.max)
		}
	}
	return nil
}
