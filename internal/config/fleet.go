package config

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/peer"
)

// Fleet sets up how gateways agree with each other. What is left out comes from the platform's configuration.
type Fleet struct {
	Listen string
	Self   int // below zero: the platform's
	Peers  []string
	Opt    peer.Options // without Self, Peers, Life and Seed
}

func fleetOf(v *fastjson.Value) (*Fleet, error) {
	r := &reader{}
	f := &Fleet{Listen: r.str(v, "listen"), Self: -1, Opt: peer.Options{Key: []byte(r.str(v, "key")), ProbePeriodMs: 500, LeaseMs: 2000,
		ClockDrift: 0.01, MaxGrantedFraction: 0.5, MaxVolumes: 4096}}
	if v.Exists("self") {
		f.Self = r.count(v, "self")
	}
	for _, p := range v.GetArray("peers") {
		f.Peers = append(f.Peers, string(p.GetStringBytes()))
	}
	for name, at := range map[string]*float64{"period_ms": &f.Opt.ProbePeriodMs, "lease_ms": &f.Opt.LeaseMs, "clock_drift": &f.Opt.ClockDrift,
		"lends": &f.Opt.MaxGrantedFraction} {
		if v.Exists(name) {
			*at = r.num(v, name)
		}
	}
	if v.Exists("max_volumes") {
		f.Opt.MaxVolumes = r.count(v, "max_volumes")
	}
	f.Opt.ProbeTimeoutMs = f.Opt.ProbePeriodMs * 0.3
	errs := []error{r.err}
	if f.Listen != "" {
		errs = append(errs, hostPort("listen", f.Listen))
	}
	if f.Opt.ProbePeriodMs < 10 || f.Opt.ProbePeriodMs > 60_000 || f.Opt.LeaseMs < 100 || f.Opt.LeaseMs > 60_000 {
		errs = append(errs, errors.New("period_ms is not from 10 to 60000, or lease_ms not from 100 to 60000"))
	}
	if f.Opt.ClockDrift > 0.2 || f.Opt.MaxGrantedFraction > 0.5 {
		// Each gateway's even part of a limit's store holds two of the largest requests; with less than half of it the
		// largest could never go.
		errs = append(errs, errors.New("clock_drift is over 0.2, or lends over 0.5"))
	}
	if f.Opt.MaxVolumes < 1 {
		errs = append(errs, errors.New("max_volumes is below 1"))
	}
	return f, first(errs)
}

// With fills in what the platform tells, and makes the options of this gateway's side.
func (f *Fleet) With(c *Config) (listen string, o peer.Options, err error) {
	listen, self, peers := f.Listen, f.Self, f.Peers
	if listen == "" {
		listen = c.PeerListen
	}
	if len(peers) == 0 {
		peers = c.Peers
	}
	if self < 0 {
		self = c.Self
	}
	o = f.Opt
	if o.Peers, err = peer.ParseAddrs(peers); err != nil {
		return "", o, fmt.Errorf("fleet: %w", err)
	}
	if self >= len(o.Peers) || len(o.Peers) > 1<<16 {
		return "", o, fmt.Errorf("fleet: number %d of %d peers", self, len(o.Peers))
	}
	o.Self = uint16(self)
	return listen, o, first([]error{hostPort("fleet: listen", listen)})
}
