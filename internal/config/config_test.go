package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/testbed"
)

const good = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peers":["127.0.0.1:7946"],
 "known":{"version":41,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.3:7070","cell":3,"state":"Ready"}]},
 "settings":{"Siblings":3,"Discovery":"ask","New":{"key":1},
  "Lanes":[{"Name":"pull","PromiseMs":300,"DeadlineMs":1500,"Idempotency":"repeatable","KeyScope":"all","Worth":2,"LateValue":0.1},
   {"Name":"push","PromiseMs":400,"DeadlineMs":3000,"DedupWindowMs":3000,"Idempotency":"by_key","KeyScope":"cell","Worth":2},
   {"Name":"odd","PromiseMs":400,"DeadlineMs":3000,"Idempotency":"sometimes","KeyScope":"rack","Worth":1}],
  "Plans":[{"Name":"basic","UsualRate":4.1,"Reservation":2,"Shares":1,"Pays":0.96,"CeilingRate":33,"CapDepth":53,"CapSlack":6}],
  "FamilyInfo":{"NShards":10,"MeanUnits":2.06,"MostUnits":6,"ClassWrites":[false,true,false],"TellsElsewhere":true,"UsePeriodMs":1000},
  "Limits":{"AttemptsCap":3,"RetryAfter":true,"MaxRetryAfterMs":500,"ConnIdleMs":30000,"ConnectTimeoutMs":250,"MayDuplicate":true},
  "Invariants":{"AskWithinMs":10000,"DrainGraceMs":1000,"FallMs":3000,"RampTimeMs":15000},
  "Report":{"Fields":["queue"]},"TickMs":2}}`

func TestParse(t *testing.T) {
	c, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 1024 || c.MemoryMB != 192 || c.ConnIdleMs != 30000 ||
		c.ConnectMs != 250 || c.Known.Version != 41 || c.Known.Kind != scheduler.CachedSnapshot || c.Known.Servers[0].Shard != 3 {
		t.Errorf("%+v", c)
	}
	push := scheduler.Class{Name: "push", LatencyObjective: 400 * time.Millisecond, Deadline: 3 * time.Second, Idempotency: scheduler.IdempotentWithKey,
		DedupScope: scheduler.DedupCell, DedupWindow: 3 * time.Second, Write: true, PriorityWeight: 2}
	basic := scheduler.Plan{Name: "basic", Rate: 4.1, Reserve: 2, Weight: 1, PriorityFactor: 0.96, Limit: 33, LimitBurst: 53, LimitOverdraft: 6}
	if len(s.Classes) != 3 || s.Classes[1] != push || s.Classes[0].Idempotency != scheduler.Idempotent || s.Plans[0] != basic {
		t.Errorf("%+v", s)
	}
	if odd := s.Classes[2]; odd.Idempotency != scheduler.NotIdempotent || odd.DedupScope != scheduler.DedupCell {
		t.Errorf("an unknown effect is not read as the strictest: %+v", odd)
	}
	if s.Gateways != 3 || !s.PollEndpoints || s.Shards != 10 || !s.ReportsForeignUnits || s.MaxAttempts != 3 || s.LoadReportFields[0] != "queue" ||
		s.MaxRetryAfter != 500*time.Millisecond || s.MaxPollInterval != 10*time.Second || s.OverloadWindow != 3*time.Second || s.MinStepInterval != 2*time.Millisecond {
		t.Errorf("%+v", s)
	}
}

// What cannot be used is told in one plain line.
func TestBadConfig(t *testing.T) {
	for name, change := range map[string][2]string{
		"not JSON":     {`"name":`, `name`},
		"no settings":  {`"settings":`, `"sittings":`},
		"bad seed":     {`8c1f30d27a5be964`, `xyz`},
		"bad listen":   {`127.0.0.1:7070`, `nowhere`},
		"bad number":   {`"Siblings":3`, `"Siblings":"three"`},
		"negative":     {`"memory_mb":192`, `"memory_mb":-1`},
		"bad text":     {`"name":"n3"`, `"name":3`},
		"bad switch":   {`"MayDuplicate":true`, `"MayDuplicate":"yes"`},
		"bad duration": {`"TickMs":2`, `"TickMs":[]`},
	} {
		file := filepath.Join(t.TempDir(), "config.json")
		os.WriteFile(file, []byte(strings.Replace(good, change[0], change[1], 1)), 0o600)
		_, err := Load(func(k string) string { return map[string]string{"ROUTER_CONFIG": file}[k] })
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil {
		t.Error("no ROUTER_CONFIG")
	}
}

// Times may be as good as for ever; a count that no machine could hold is told in one line.
func TestFiguresAsLargeAsTheyCanBe(t *testing.T) {
	for _, c := range []struct{ old, new, wrong string }{
		{`"DedupWindowMs":3000`, `"DedupWindowMs":1e300`, ""},
		{`"AskWithinMs":10000`, `"AskWithinMs":1e40`, ""},
		{`"ConnIdleMs":30000`, `"ConnIdleMs":1e30`, ""},
		{`"Siblings":3`, `"Siblings":1e300`, "Siblings"},
		{`"NShards":10`, `"NShards":1e7`, "NShards"},
		{`"AttemptsCap":3`, `"AttemptsCap":2.5`, "AttemptsCap"},
		{`"sockets":1024`, `"sockets":1e18`, "sockets"},
	} {
		cfg, err := Parse([]byte(strings.Replace(good, c.old, c.new, 1)))
		if c.wrong != "" {
			if err == nil || !strings.Contains(err.Error(), c.wrong) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %v", c.new, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", c.new, err)
			continue
		}
		s := cfg.Settings
		if s.Classes[1].DedupWindow <= 0 || s.MaxPollInterval <= 0 || cfg.ConnIdleMs > mostMs ||
			time.Duration(2e18)+s.Classes[1].DedupWindow+s.MaxPollInterval < time.Duration(2e18) {
			t.Errorf("%s: %+v", c.new, s)
		}
	}
}

func TestKnownWithABadEntry(t *testing.T) {
	c, err := Parse([]byte(strings.Replace(good, `"servers":[`, `"servers":[{"id":"x","cell":-3},`, 1)))
	if err != nil || c.KnownBad != 1 || len(c.Known.Servers) != 1 {
		t.Errorf("%+v, %v", c, err)
	}
}

// Limits that are not told do not mean none.
func TestDefaults(t *testing.T) {
	c, err := Parse([]byte(`{"settings":{}}`))
	if err != nil || c.ConnectMs != defaultConnectMs || c.ConnIdleMs != defaultIdleMs || c.Sockets != defaultSockets {
		t.Errorf("%+v, %v", c, err)
	}
}

func TestVariablesComeFirst(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	os.WriteFile(file, []byte(good), 0o600)
	c, err := Load(func(k string) string {
		return map[string]string{"ROUTER_CONFIG": file, "ROUTER_LISTEN": "127.0.0.9:1", "ROUTER_NAME": "n9"}[k]
	})
	if err != nil || c.Listen != "127.0.0.9:1" || c.Name != "n9" || c.Discovery != "127.0.0.2:8500" {
		t.Errorf("%+v, %v", c, err)
	}
}

func TestEdgeExample(t *testing.T) {
	set := testbed.Settings(4)
	e, err := LoadEdge("../../deploy/edge.example.jsonc", &set)
	if err != nil {
		t.Fatal(err)
	}
	f := e.Files
	if f == nil || f.Read.Name != "pull" || f.Write.Name != "push" || len(f.Roots) != 2 || f.Roots[0].Volume != 0x3b4d60021 || f.Roots[1].Hosts != 1 {
		t.Errorf("%+v", f)
	}
	if b := e.BGP; b == nil || b.LocalAS != 65001 || b.HoldTimeMs != 90000 || len(b.Prefixes) != 1 || b.NextHop.IsValid() {
		t.Errorf("%+v", b)
	}
	// The example tells the defaults: with its addresses alone a part is the same.
	d, err := ParseEdge([]byte(`{"devices":{"coap":"127.0.0.1:5683","http":"127.0.0.1:8081"}}`), &set)
	if err != nil || e.Devices == nil || *d.Devices != *e.Devices {
		t.Errorf("%+v, %+v, %v", e.Devices, d, err)
	}
	for _, c := range [][3]string{{"s-5be2a07c", "127.0.0.3:7070", "127.0.0.1:2201"}, {"s-2", "127.0.0.3:7070", "127.0.0.3:2222"}} {
		if addr, ok := f.Address(c[0], c[1]); !ok || addr != c[2] {
			t.Errorf("%s: %s", c[0], addr)
		}
	}
}

func TestBadEdge(t *testing.T) {
	set := testbed.Settings(4)
	text, err := os.ReadFile("../../deploy/edge.example.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][2]string{
		"listen":     {`127.0.0.1:2022`, `2022`},
		"class":      {`"pull"`, `"fetch"`},
		"free write": {`"write_class": "push"`, `"write_class": "pull"`},
		"plan":       {`"basic"`, `"none"`},
		"path":       {`"/layers/releases"`, `"/layers/../releases"`},
		"volume":     {`00000003b4d60022`, `v1`},
		"backend":    {`127.0.0.1:2201`, `there`},
		"number":     {`16384`, `"many"`},
		"port":       {`2222`, `99999`},
		"brace":      {`{`, ``},
		"peer":       {`127.0.0.1:1179`, `router`},
		"AS":         {`65001`, `0`},
		"identifier": {`"127.0.0.1",`, `"::1",`},
		"hold":       {`90000`, `1000`},
		"prefix":     {`192.0.2.7/32`, `192.0.2.7/24`},
		"no prefix":  {`["192.0.2.7/32"]`, `[]`},
		"coap":       {`127.0.0.1:5683`, `coap`},
		"held":       {`8388608`, `1000`},
		"blocks":     {`"least_block_bytes": 64`, `"least_block_bytes": 65`},
		"block":      {`"most_block_bytes": 16384`, `"most_block_bytes": 32`},
		"dead":       {`"most_dead_ms": 15000`, `"most_dead_ms": 10`},
		"exchanges":  {`"max_exchanges": 4096`, `"max_exchanges": 0`},
		"keep":       {`"keep_ms": 60000`, `"keep_ms": 0`},
		"message":    {`33792`, `10`},
		"neither":    {`"coap": "127.0.0.1:5683",` + "\n" + `    "http": "127.0.0.1:8081",`, ``},
	} {
		_, err := ParseEdge([]byte(strings.Replace(string(text), change[0], change[1], 1)), &set)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if e, err := ParseEdge([]byte("{}"), &set); err != nil || e.Files != nil || e.BGP != nil || e.Devices != nil {
		t.Errorf("an empty file turns something on: %+v, %v", e, err)
	}
}

// A reload prefers a discovery address that has changed in the file to the variable of the start, and names what
// only a new start takes in; a bad file is an error.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	env := map[string]string{"ROUTER_CONFIG": path, "ROUTER_DISCOVERY": "127.0.0.9:1"}
	getenv := func(name string) string { return env[name] }
	write(good)
	c, err := Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct{ old, new, discovery, restart string }{
		{"", "", "127.0.0.9:1", ""},
		{"127.0.0.2:8500", "127.0.0.4:8500", "127.0.0.4:8500", ""},
		{"127.0.0.2:8500", "127.0.0.4:8500", "127.0.0.4:8500", ""},
		{`"Shares":1`, `"Shares":3`, "127.0.0.2:8500", "settings"},
		{`"sockets":1024`, `"sockets":512`, "127.0.0.2:8500", "limits,settings"}, // against the step before
	} {
		write(strings.Replace(good, step.old, step.new, 1))
		next, err := c.Reload(getenv)
		if err != nil {
			t.Fatal(err)
		}
		if names := strings.Join(c.Restart(next), ","); next.Discovery != step.discovery || names != step.restart {
			t.Errorf("%q: discovery %s, restart for %q", step.new, next.Discovery, names)
		}
		c = next
	}
	for _, text := range []string{"", "{", strings.Replace(good, "127.0.0.2:8500", "nowhere", 1)} {
		write(text)
		if next, err := c.Reload(getenv); err == nil {
			t.Errorf("%.20q: %+v", text, next)
		}
	}
}
