package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validConfig is the text of a valid configuration file. Tests check its values or replace some of them.
const validConfig = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
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

// environment returns a function that looks up variables, for use in place of os.Getenv.
func environment(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// writeConfig writes a configuration file and returns its path.
func writeConfig(t *testing.T, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The error of an invalid configuration must be a single line, since it is printed as one line of output.
func TestLoadReportsInvalidConfigInOneLine(t *testing.T) {
	for name, change := range map[string]struct{ old, new string }{
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
		t.Run(name, func(t *testing.T) {
			path := writeConfig(t, strings.Replace(validConfig, change.old, change.new, 1))
			_, err := Load(environment(map[string]string{variableConfig: path}))
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("Load returned the error %v, want an error of one line", err)
			}
		})
	}
	if _, err := Load(environment(nil)); err == nil {
		t.Errorf("Load returned no error although %s is not set", variableConfig)
	}
}

func TestVariablesOverrideFile(t *testing.T) {
	c, err := Load(environment(map[string]string{variableConfig: writeConfig(t, validConfig),
		variableListen: "127.0.0.9:1", variableName: "n9"}))
	if err != nil || c.Listen != "127.0.0.9:1" || c.Name != "n9" || c.Discovery != "127.0.0.2:8500" {
		t.Errorf("loaded %+v, error %v; want listen and name from the variables, discovery from the file", c, err)
	}
}

// On a reload, a discovery address that has changed in the file overrides ROUTER_DISCOVERY. Without such a change the address
// in use stays. Changes that take effect only after a restart are reported by name. An invalid file is an error. Each step
// replaces a text in validConfig and reloads the file.
func TestReload(t *testing.T) {
	path := writeConfig(t, validConfig)
	rewrite := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	getenv := environment(map[string]string{variableConfig: path, variableDiscovery: "127.0.0.9:1"})
	current, err := Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct{ old, new, discovery, restart string }{
		{"", "", "127.0.0.9:1", ""},
		{"127.0.0.2:8500", "127.0.0.4:8500", "127.0.0.4:8500", ""},
		{"127.0.0.2:8500", "127.0.0.4:8500", "127.0.0.4:8500", ""},
		{`"Shares":1`, `"Shares":3`, "127.0.0.2:8500", "settings"},
		{`"sockets":1024`, `"sockets":512`, "127.0.0.2:8500", "limits,settings"}, // settings change because Shares is 1 again
	} {
		rewrite(strings.Replace(validConfig, step.old, step.new, 1))
		next, err := current.Reload(getenv)
		if err != nil {
			t.Fatal(err)
		}
		restart := strings.Join(current.RestartRequired(next), ",")
		if next.Discovery != step.discovery || restart != step.restart {
			t.Errorf("after the change to %q: discovery address is %s and %q requires a restart, want the address and the parts of this step",
				step.new, next.Discovery, restart)
		}
		current = next
	}
	for _, text := range []string{"", "{", strings.Replace(validConfig, "127.0.0.2:8500", "nowhere", 1)} {
		rewrite(text)
		if next, err := current.Reload(getenv); err == nil {
			t.Errorf("reload of the invalid file %.20q returned %+v, want an error", text, next)
		}
	}
}
