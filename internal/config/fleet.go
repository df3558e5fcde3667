package config

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/peer"
)

// Defaults and bounds of the exchange between gateways.
const (
	defaultProbePeriodMs      = 500
	defaultLeaseMs            = 2000
	defaultClockDrift         = 0.01
	defaultMaxGrantedFraction = 0.5
	defaultMaxVolumes         = 4096

	minProbePeriodMs, maxProbePeriodMs = 10, 60_000
	minLeaseMs, maxLeaseMs             = 100, 60_000
	maxClockDrift                      = 0.2
	// maxGrantedFraction leaves a gateway half of its even share of a limit: that share's bucket holds two requests of the
	// largest size, and with less than half of it the largest could never be sent.
	maxGrantedFraction = 0.5

	// probeTimeoutFraction is the part of a probe period after which a probe has timed out.
	probeTimeoutFraction = 0.3
	// maxPeers is how many gateways have a number.
	maxPeers = 1 << 16
)

// platformIndex as a Fleet's GatewayIndex stands for the number in the platform's configuration.
const platformIndex = -1

// Fleet sets up the exchange between gateways. Values that are left out come from the platform's configuration.
type Fleet struct {
	Listen       string // "": the platform's
	GatewayIndex int    // below zero: the platform's
	Peers        []string
	Options      peer.Options // without Self, Peers, Incarnation and Seed
}

// parseFleet parses and validates the key "fleet" of the operator's file.
func parseFleet(object *fastjson.Value) (*Fleet, error) {
	r := &valueReader{}
	f := &Fleet{Listen: r.text(object, "listen"), GatewayIndex: platformIndex}
	f.Options.Key = []byte(r.text(object, "key"))
	if object.Exists("self") {
		f.GatewayIndex = r.count(object, "self")
	}
	for _, address := range object.GetArray("peers") {
		f.Peers = append(f.Peers, string(address.GetStringBytes()))
	}
	f.Options.ProbePeriodMs = r.numberOr(defaultProbePeriodMs, object, "period_ms")
	f.Options.LeaseMs = r.numberOr(defaultLeaseMs, object, "lease_ms")
	f.Options.ClockDrift = r.numberOr(defaultClockDrift, object, "clock_drift")
	f.Options.MaxGrantedFraction = r.numberOr(defaultMaxGrantedFraction, object, "lends")
	f.Options.MaxVolumes = defaultMaxVolumes
	if object.Exists("max_volumes") {
		f.Options.MaxVolumes = r.count(object, "max_volumes")
	}
	f.Options.ProbeTimeoutMs = f.Options.ProbePeriodMs * probeTimeoutFraction
	return f, firstError([]error{r.err, f.check()})
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

// Resolve fills in what comes from the platform's configuration. It returns the address to listen on for other gateways,
// and the options of this gateway's side, of which Incarnation and Seed are still to be set.
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
		return "", options, fmt.Errorf("fleet: number %d of %d peers", index, len(options.Peers))
	}
	options.Self = uint16(index)
	return listen, options, checkHostPort("fleet: listen", listen)
}
