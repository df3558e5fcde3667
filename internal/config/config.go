// Package config reads what the platform tells a gateway (the ROUTER_ variables and the JSON file that
// ROUTER_CONFIG names) into typed settings.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"reflect"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/discovery"
	"gaugerelay/internal/lifecycle"
)

// What holds where the platform does not say: net's own defaults would wait and keep without end.
const (
	defaultIdleConnTimeoutMs = 30_000
	defaultConnectTimeoutMs  = 1_000
	defaultMaxSockets        = 1024
)

// What is as large as it can be. A time beyond 30 years is one that never ends; a count beyond a million would be
// memory that no machine has.
const (
	maxMs    = 1e12
	maxCount = 1 << 20
)

// Config is all that the program needs to know.
type Config struct {
	Name, Listen, Discovery             string
	Seed                                uint64
	Cores, MemoryMB                     float64
	MaxSockets                          int
	KnownEndpoints                      lifecycle.EndpointUpdate
	InvalidKnownEntries                 int // entries of it that could not be read
	Settings                            scheduler.Settings
	GatewayIndex                        int      // this gateway's number
	PeerListen                          string   // where it is reached by others; "": nowhere
	Peers                               []string // where it reaches the gateways, itself included, in the order of their numbers
	IdleConnTimeoutMs, ConnectTimeoutMs float64

	fileDiscovery string // Discovery as the file has it
}

// Load reads the configuration; getenv is os.Getenv but for tests.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, at := range map[string]*string{"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen,
		"ROUTER_DISCOVERY": &c.Discovery} {
		if v := getenv(name); v != "" {
			*at = v
		}
	}
	for what, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s address %q: not host:port", what, addr)
		}
	}
	return c, nil
}

// Reload reads the configuration anew for a program that runs with c. The variables are as old as the program,
// so a discovery address that has changed in the file comes before the one among them.
func (c *Config) Reload(getenv func(string) string) (*Config, error) {
	next, err := Load(getenv)
	if err != nil {
		return nil, err
	}
	if next.fileDiscovery == "" || next.fileDiscovery == c.fileDiscovery {
		next.Discovery = c.Discovery
		return next, nil
	}
	if _, _, err := net.SplitHostPort(next.fileDiscovery); err != nil {
		return nil, fmt.Errorf("discovery address %q: not host:port", next.fileDiscovery)
	}
	next.Discovery = next.fileDiscovery
	return next, nil
}

// RestartRequired names what differs between two configurations and is read at the start only.
func (c *Config) RestartRequired(next *Config) (names []string) {
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen},
		{"limits", c.Cores == next.Cores && c.MemoryMB == next.MemoryMB && c.MaxSockets == next.MaxSockets},
		{"settings", reflect.DeepEqual(c.Settings, next.Settings) && c.IdleConnTimeoutMs == next.IdleConnTimeoutMs && c.ConnectTimeoutMs == next.ConnectTimeoutMs},
	} {
		if !f.same {
			names = append(names, f.name)
		}
	}
	return names
}

// Parse reads the JSON text.
func Parse(text []byte) (*Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	r := &valueReader{}
	c := &Config{
		Name: r.text(v, "name"), Listen: r.text(v, "listen"), Discovery: r.text(v, "discovery"),
		Cores: r.number(v, "limits", "cores"), MemoryMB: r.number(v, "limits", "memory_mb"),
		MaxSockets: r.count(v, "limits", "sockets"),
	}
	c.fileDiscovery = c.Discovery
	if seed := r.text(v, "seed"); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed %q: not 64 bits in hex", seed)
		}
	}
	if known := v.Get("known"); known != nil && known.Type() == fastjson.TypeObject {
		c.KnownEndpoints, c.InvalidKnownEntries = discovery.Decode(known) // discovery's data, and old: not worth not starting for
	}
	c.KnownEndpoints.Kind = scheduler.CachedSnapshot // whatever it says of itself, it is as last seen
	s := v.Get("settings")
	if s == nil || s.Type() != fastjson.TypeObject {
		return nil, errors.New("settings is missing")
	}
	c.IdleConnTimeoutMs, c.ConnectTimeoutMs = min(r.number(s, "Limits", "ConnIdleMs"), maxMs), min(r.number(s, "Limits", "ConnectTimeoutMs"), maxMs)
	if c.IdleConnTimeoutMs == 0 {
		c.IdleConnTimeoutMs = defaultIdleConnTimeoutMs
	}
	if c.ConnectTimeoutMs == 0 {
		c.ConnectTimeoutMs = defaultConnectTimeoutMs
	}
	if c.MaxSockets == 0 {
		c.MaxSockets = defaultMaxSockets
	}
	c.Settings = r.settings(s)
	c.GatewayIndex, c.PeerListen = r.count(s, "SelfIndex"), r.text(v, "peer_listen")
	for _, p := range v.GetArray("peers") {
		c.Peers = append(c.Peers, string(p.GetStringBytes()))
	}
	return c, r.err
}

// valueReader keeps the first bad value in err.
type valueReader struct{ err error }

func (r *valueReader) fail(path []string, want string) {
	if r.err == nil {
		r.err = fmt.Errorf("%q is not %s", path, want)
	}
}

// number reads a number; an absent one is 0.
func (r *valueReader) number(v *fastjson.Value, path ...string) float64 {
	x := v.Get(path...)
	if x == nil || x.Type() == fastjson.TypeNull {
		return 0
	}
	f, err := x.Float64()
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		r.fail(path, "a number from 0 up")
		return 0
	}
	return f
}

func (r *valueReader) text(v *fastjson.Value, path ...string) string {
	x := v.Get(path...)
	if x == nil || x.Type() == fastjson.TypeNull {
		return ""
	}
	b, err := x.StringBytes()
	if err != nil {
		r.fail(path, "a text")
	}
	return string(b)
}

func (r *valueReader) bool(v *fastjson.Value, path ...string) bool {
	x := v.Get(path...)
	if x == nil || x.Type() == fastjson.TypeNull {
		return false
	}
	b, err := x.Bool()
	if err != nil {
		r.fail(path, "true or false")
	}
	return b
}

// ms reads a time; as good as for ever is the longest that a time.Duration can be added to.
func (r *valueReader) ms(v *fastjson.Value, path ...string) time.Duration {
	path[len(path)-1] += "Ms"
	return clock.Duration(min(r.number(v, path...), maxMs))
}

// count reads a whole number of things that there are.
func (r *valueReader) count(v *fastjson.Value, path ...string) int {
	n := r.number(v, path...)
	if n > maxCount || n != math.Trunc(n) {
		r.fail(path, fmt.Sprintf("a whole number up to %d", int(maxCount)))
		return 0
	}
	return int(n)
}

var idempotencies = map[string]scheduler.Idempotency{
	"repeatable": scheduler.Idempotent, "by_key": scheduler.IdempotentWithKey, "once": scheduler.NotIdempotent,
}

var dedupScopes = map[string]scheduler.DedupScope{
	"all": scheduler.DedupAll, "zone": scheduler.DedupZone, "cell": scheduler.DedupCell,
}

// settings reads the object that an instance of the simulator gets in its first message. Unknown keys are
// skipped, an unknown effect or group is read as the strictest.
func (r *valueReader) settings(v *fastjson.Value) (s scheduler.Settings) {
	writes := v.GetArray("FamilyInfo", "ClassWrites")
	for i, l := range v.GetArray("Lanes") {
		c := scheduler.Class{
			Name: r.text(l, "Name"), LatencyObjective: r.ms(l, "Promise"), ObjectiveStretch: r.number(l, "AimStretch"),
			Deadline: r.ms(l, "Deadline"), DedupWindow: r.ms(l, "DedupWindow"),
			OrderedByKey: r.bool(l, "InTurn"), Stream: r.bool(l, "Stream"),
			PriorityWeight: r.number(l, "Worth"), LateFraction: r.number(l, "LateValue"),
			Write: i < len(writes) && writes[i].Type() == fastjson.TypeTrue,
		}
		var ok bool
		if c.Idempotency, ok = idempotencies[r.text(l, "Idempotency")]; !ok {
			c.Idempotency = scheduler.NotIdempotent
		}
		if c.DedupScope, ok = dedupScopes[r.text(l, "KeyScope")]; !ok {
			c.DedupScope = scheduler.DedupCell
		}
		s.Classes = append(s.Classes, c)
	}
	for _, p := range v.GetArray("Plans") {
		s.Plans = append(s.Plans, scheduler.Plan{
			Name: r.text(p, "Name"), Rate: r.number(p, "UsualRate"), Reserve: r.number(p, "Reservation"),
			Weight: r.number(p, "Shares"), PriorityFactor: r.number(p, "Pays"), Limit: r.number(p, "CeilingRate"),
			LimitBurst: r.number(p, "CapDepth"), LimitOverdraft: r.number(p, "CapSlack"),
		})
	}
	s.Gateways, s.Shards = r.count(v, "Siblings"), r.count(v, "FamilyInfo", "NShards")
	s.MeanUnits, s.MaxUnits = r.number(v, "FamilyInfo", "MeanUnits"), r.number(v, "FamilyInfo", "MostUnits")
	s.FairShareWeight, s.SurplusWeight = r.number(v, "FamilyInfo", "FairWorth"), r.number(v, "FamilyInfo", "IdleWorth")
	s.PollEndpoints = r.text(v, "Discovery") == "ask"
	s.MaxPollInterval = r.ms(v, "Invariants", "AskWithin")
	s.MaxAttempts = r.count(v, "Limits", "AttemptsCap")
	s.AllowHedging, s.AllowCancel = r.bool(v, "Limits", "MayDuplicate"), r.bool(v, "Limits", "Cancel")
	s.AllowProbes = r.bool(v, "Limits", "Probing")
	if r.bool(v, "Limits", "RetryAfter") {
		s.MaxRetryAfter = r.ms(v, "Limits", "MaxRetryAfter")
	}
	s.ResponseGrace, s.DrainGrace = r.ms(v, "Invariants", "GraceToAnswer"), r.ms(v, "Invariants", "DrainGrace")
	s.InitialCapacity, s.SlowStartDuration = r.number(v, "Invariants", "StartCapacity"), r.ms(v, "Invariants", "RampTime")
	s.OverloadMultiple, s.OverloadWindow = r.number(v, "Invariants", "FallMultiple"), r.ms(v, "Invariants", "Fall")
	s.SlowStartUnits, s.KeyCooldown = r.number(v, "FamilyInfo", "ColdBears"), r.ms(v, "Invariants", "KeyRest")
	s.RetryBudgetMin, s.RetryBudgetRatio = r.number(v, "Invariants", "ExtraFloor"), r.number(v, "Invariants", "ExtraRatio")
	s.RetryBudgetWindow, s.UsagePeriod = r.ms(v, "Invariants", "CountedOver"), r.ms(v, "FamilyInfo", "UsePeriod")
	s.ReportsForeignUnits = r.bool(v, "FamilyInfo", "TellsElsewhere")
	for _, f := range v.GetArray("Report", "Fields") {
		name, _ := f.StringBytes()
		s.LoadReportFields = append(s.LoadReportFields, string(name))
	}
	s.MinStepInterval = r.ms(v, "Tick")
	return s
}
