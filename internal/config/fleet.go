package config

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/peer"
)

// Defaults and bounds of the communication between gateways.
const (
	defaultProbePeriodMs      = 500
	defaultLeaseMs            = 2000
	defaultClockDrift         = 0.01
	defaultMaxGrantedFraction = 0.5
	defaultMaxVolumes         = 4096

	minProbePeriodMs, maxProbePeriodMs = 10, 60_000
	minLeaseMs, maxLeaseMs             = 100, 60_000
	maxClockDrift                      = 0.2
	// maxGrantedFraction is the largest part of its own share of a limit that a gateway may grant to others. The token bucket
	// of a gateway's equal share holds two requests of the largest size. With less than half of the share, the bucket would be
	// too small for even one such request, which could never be sent.
	maxGrantedFraction = 0.5

	// probeTimeoutFraction is the timeout of a probe as a fraction of the probe period.
	probeTimeoutFraction = 0.3
	// maxPeers is the maximum number of gateways, since their indexes have 16 bits.
	maxPeers = 1 << 16
)

// platformIndex is the value of Fleet.GatewayIndex if the operator's file has no index. The index of the platform's
// configuration is then used.
const platformIndex = -1

// Fleet configures the communication between gateways. Resolve fills in omitted values from the platform's configuration.
type Fleet struct {
	Listen       string       // address to listen on; "" means the platform's address
	GatewayIndex int          // index of this gateway in Peers; negative means the platform's index
	Peers        []string     // addresses of all gateways; empty means the platform's addresses
	Options      peer.Options // all options except Self, Peers, Incarnation and Seed
}

// parseFleet parses and validates the key "fleet" of the operator's file.
func parseFleet(object *fastjson.Value) (*Fleet, error) {
	reader := &valueReader{}
	fleet := &Fleet{Listen: reader.text(object, "listen"), GatewayIndex: platformIndex}
	fleet.Options.Key = []byte(reader.text(object, "key"))
	if object.Exists("self") {
		fleet.GatewayIndex = reader.count(object, "self")
	}
	for _, address := range object.GetArray("peers") {
		fleet.Peers = append(fleet.Peers, string(address.GetStringBytes()))
	}
	fleet.Options.ProbePeriodMs = reader.numberOr(defaultProbePeriodMs, object, "period_ms")
	fleet.Options.LeaseMs = reader.numberOr(defaultLeaseMs, object, "lease_ms")
	fleet.Options.ClockDrift = reader.numberOr(defaultClockDrift, object, "clock_drift")
	fleet.Options.MaxGrantedFraction = reader.numberOr(defaultMaxGrantedFraction, object, "lends")
	fleet.Options.MaxVolumes = defaultMaxVolumes
	if object.Exists("max_volumes") {
		fleet.Options.MaxVolumes = reader.count(object, "max_volumes")
	}
	fleet.Options.ProbeTimeoutMs = fleet.Options.ProbePeriodMs * probeTimeoutFraction
	return fleet, firstError([]error{reader.err, fleet.check()})
}

// check returns an error for the first value out of range.
func (f *Fleet) check() error {
	if f.Listen != "" {
		if err := checkHostPort("listen", f.Listen); err != nil {
			return err
		}
	}
	o := &f.Options
	if o.ProbePeriodMs < minProbePeriodMs || o.ProbePeriodMs > maxProbePeriodMs || o.LeaseMs < minLeaseMs || o.LeaseMs > maxLeaseMs {
		return errors.New("period_ms is not from 10 to 60000, or lease_ms not from 100 to 60000")
	}
	if o.ClockDrift > maxClockDrift || o.MaxGrantedFraction > maxGrantedFraction {
		return errors.New("clock_drift is over 0.2, or lends over 0.5")
	}
	if o.MaxVolumes < 1 {
		return errors.New("max_volumes is below 1")
	}
	return nil
}

// Resolve replaces the values that were left out by those of the platform's configuration. It returns the address on which
// to receive datagrams of other gateways, and the options of the peer service. The caller must still set the options
// Incarnation and Seed.
func (f *Fleet) Resolve(platform *Config) (listen string, options peer.Options, err error) {
	listen, index, peers := f.Listen, f.GatewayIndex, f.Peers
	if listen == "" {
		listen = platform.PeerListen
	}
	if len(peers) == 0 {
		peers = platform.Peers
	}
	if index < 0 {
		index = platform.GatewayIndex
	}
	options = f.Options
	if options.Peers, err = peer.ParseAddrs(peers); err != nil {
		return "", options, fmt.Errorf("fleet: %w", err)
	}
	if index >= len(options.Peers) || len(options.Peers) > maxPeers {
		return "", options, fmt.Errorf(
			"fleet: self is %d, but there are %d peers: self must be less than the number of peers, which is at most 65536",
			index, len(options.Peers))
	}
	options.Self = uint16(index)
	return listen, options, checkHostPort("fleet: listen", listen)
}
