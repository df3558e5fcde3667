package config

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/peer"
)

// Fleet sets up how gateways agree with each other. What is left out comes from the platform's configuration.
type Fleet struct {
	Listen       string
	GatewayIndex int // below zero: the platform's
	Peers        []string
	Options      peer.Options // without Self, Peers, Life and Seed
}

func parseFleet(v *fastjson.Value) (*Fleet, error) {
	r := &valueReader{}
	f := &Fleet{Listen: r.text(v, "listen"), GatewayIndex: -1, Options: peer.Options{Key: []byte(r.text(v, "key")), ProbePeriodMs: 500, LeaseMs: 2000,
		ClockDrift: 0.01, MaxGrantedFraction: 0.5, MaxVolumes: 4096}}
	if v.Exists("self") {
		f.GatewayIndex = r.count(v, "self")
	}
	for _, p := range v.GetArray("peers") {
		f.Peers = append(f.Peers, string(p.GetStringBytes()))
	}
	for name, at := range map[string]*float64{"period_ms": &f.Options.ProbePeriodMs, "lease_ms": &f.Options.LeaseMs, "clock_drift": &f.Options.ClockDrift,
		"lends": &f.Options.MaxGrantedFraction} {
		if v.Exists(name) {
			*at = r.number(v, name)
		}
	}
	if v.Exists("max_volumes") {
		f.Options.MaxVolumes = r.count(v, "max_volumes")
	}
	f.Options.ProbeTimeoutMs = f.Options.ProbePeriodMs * 0.3
	errs := []error{r.err}
	if f.Listen != "" {
		errs = append(errs, checkHostPort("listen", f.Listen))
	}
	if f.Options.ProbePeriodMs < 10 || f.Options.ProbePeriodMs > 60_000 || f.Options.LeaseMs < 100 || f.Options.LeaseMs > 60_000 {
		errs = append(errs, errors.New("period_ms is not from 10 to 60000, or lease_ms not from 100 to 60000"))
	}
	if f.Options.ClockDrift > 0.2 || f.Options.MaxGrantedFraction > 0.5 {
		// Each gateway's even part of a limit's store holds two of the largest requests; with less than half of it the
		// largest could never go.
		errs = append(errs, errors.New("clock_drift is over 0.2, or lends over 0.5"))
	}
	if f.Options.MaxVolumes < 1 {
		errs = append(errs, errors.New("max_volumes is below 1"))
	}
	return f, firstError(errs)
}

// Resolve fills in what the platform tells, and makes the options of this gateway's side.
func (f *Fleet) Resolve(c *Config) (listen string, o peer.Options, err error) {
	listen, self, peers := f.Listen, f.GatewayIndex, f.Peers
	if listen == "" {
		listen = c.PeerListen
	}
	if len(peers) == 0 {
		peers = c.Peers
	}
	if self < 0 {
		self = c.GatewayIndex
	}
	o = f.Options
	if o.Peers, err = peer.ParseAddrs(peers); err != nil {
		return "", o, fmt.Errorf("fleet: %w", err)
	}
	if self >= len(o.Peers) || len(o.Peers) > 1<<16 {
		return "", o, fmt.Errorf("fleet: number %d of %d peers", self, len(o.Peers))
	}
	o.Self = uint16(self)
	return listen, o, firstError([]error{checkHostPort("fleet: listen", listen)})
}
