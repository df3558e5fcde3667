package config

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/dedup/exchange"
)

// Devices sets up the fronts for devices on poor links. An empty address is off.
type Devices struct {
	CoAP, HTTP                                 string
	MaxConns, MaxOpenRequests, MaxMessageBytes int
	FirstMessageTimeout, IdleTimeout, HoldOff  time.Duration
	Exchanges                                  exchange.Settings
}

// parseDevices reads the part. What is left out has the default that the example file tells.
func parseDevices(v *fastjson.Value) (*Devices, error) {
	r := &valueReader{}
	num := func(name string, otherwise float64) float64 {
		if !v.Exists(name) {
			return otherwise
		}
		return r.number(v, name)
	}
	d := &Devices{CoAP: r.text(v, "coap"), HTTP: r.text(v, "http"),
		MaxConns: int(num("max_connections", 256)), MaxOpenRequests: int(num("max_open", 8)),
		MaxMessageBytes:     int(num("max_message_bytes", 33<<10)),
		FirstMessageTimeout: clock.Duration(num("first_ms", 10_000)), IdleTimeout: clock.Duration(num("idle_ms", 300_000)),
		HoldOff: clock.Duration(num("hold_off_ms", 5000)),
		Exchanges: exchange.Settings{MaxExchanges: int(num("max_exchanges", 4096)), MaxDevices: int(num("max_devices", 4096)),
			MaxActivePerDevice: int(num("max_exchanges_per_device", 16)), MaxWaitingCopies: 4,
			MaxStoredBytes: int(num("max_held_bytes", 8<<20)), MaxBodyBytes: 64 << 10, MaxUploadBlocks: 1024,
			RetentionMs: num("keep_ms", 60_000), UploadIdleTimeoutMs: num("upload_idle_ms", 30_000),
			MinRunMs: num("least_run_ms", 20), MaxRetryAfterMs: num("max_wait_ms", 5000),
			Link: exchange.LinkSettings{MinIdleTimeoutMs: num("least_dead_ms", 2000), MaxIdleTimeoutMs: num("most_dead_ms", 15_000),
				MinBlockSize: int(num("least_block_bytes", 64)), MaxBlockSize: int(num("most_block_bytes", 16<<10)),
				MaxBlockTransferMs: num("block_ms", 500)}}}
	var errs []error
	if d.CoAP == "" && d.HTTP == "" {
		errs = append(errs, errors.New("neither coap nor http names an address"))
	}
	for name, addr := range map[string]string{"coap": d.CoAP, "http": d.HTTP} {
		if addr != "" {
			errs = append(errs, checkHostPort(name, addr))
		}
	}
	for _, c := range []struct {
		name           string
		v, least, most float64
	}{
		{"max_connections", float64(d.MaxConns), 1, 1 << 20}, {"max_open", float64(d.MaxOpenRequests), 1, 1024},
		{"max_message_bytes", float64(d.MaxMessageBytes), 1152, 1 << 20}, {"first_ms", clock.Ms(d.FirstMessageTimeout), 1, 1e6},
		{"idle_ms", clock.Ms(d.IdleTimeout), 1000, 1e8}, {"hold_off_ms", clock.Ms(d.HoldOff), 0, 1e6},
		{"max_exchanges", float64(d.Exchanges.MaxExchanges), 1, 1 << 24}, {"max_devices", float64(d.Exchanges.MaxDevices), 1, 1 << 24},
		{"max_held_bytes", float64(d.Exchanges.MaxStoredBytes), 128 << 10, 1 << 40},
		{"least_block_bytes", float64(d.Exchanges.Link.MinBlockSize), 16, 1024},
		{"most_block_bytes", float64(d.Exchanges.Link.MaxBlockSize), 16, 64 << 10},
	} {
		if !(c.v >= c.least && c.v <= c.most) {
			errs = append(errs, fmt.Errorf("%s is not from %.0f to %.0f", c.name, c.least, c.most))
		}
	}
	if n := d.Exchanges.Link.MinBlockSize; n&(n-1) != 0 {
		errs = append(errs, errors.New("least_block_bytes is not a power of two"))
	}
	if _, err := exchange.New(d.Exchanges); err != nil {
		errs = append(errs, err)
	}
	return d, firstError(append([]error{r.err}, errs...))
}
