// Golden tests of the configuration: the values that are loaded and the error texts must not change.
package config_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strings"
	"testing"
	"time"

	"gaugerelay/internal/config"
	"gaugerelay/internal/testbed"
)

const (
	fullConfig  = "testdata/golden/full.json"
	edgeExample = "../../deploy/edge.example.jsonc"
)

// dump returns one line for each value that is reachable from root, in the order of declaration. A line has the path of
// the value, made of field indexes, and the value with its kind. It has no names of fields and types, so that renaming them
// does not change the golden files. Unexported fields are skipped.
func dump(root any) string {
	var out strings.Builder
	walk(&out, "", reflect.ValueOf(root))
	return out.String()
}

func walk(out *strings.Builder, path string, v reflect.Value) {
	if text, ok := leaf(v); ok {
		fmt.Fprintf(out, "%s = %s\n", path, text)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		walk(out, path, v.Elem())
	case reflect.Struct:
		walkStruct(out, path, v)
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(out, "%s = %d elements\n", path, v.Len())
		for i := range v.Len() {
			walk(out, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		walkMap(out, path, v)
	default:
		panic(fmt.Sprintf("%s: no dump of kind %s", path, v.Kind()))
	}
}

func walkStruct(out *strings.Builder, path string, v reflect.Value) {
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			walk(out, strings.TrimPrefix(fmt.Sprintf("%s.%d", path, i), "."), v.Field(i))
		}
	}
}

func walkMap(out *strings.Builder, path string, v reflect.Value) {
	keys := v.MapKeys()
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	fmt.Fprintf(out, "%s = %d entries\n", path, len(keys))
	for _, key := range keys {
		walk(out, fmt.Sprintf("%s[%q]", path, key.String()), v.MapIndex(key))
	}
}

// leaf returns the text of a value that is printed on one line. ok is false for a value whose parts are printed instead.
func leaf(v reflect.Value) (text string, ok bool) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface, reflect.Func:
		if v.IsNil() {
			return "nil", true
		}
		return "func", v.Kind() == reflect.Func
	case reflect.Bool, reflect.Float64:
		return fmt.Sprintf("%s %v", v.Kind(), v.Interface()), true
	case reflect.String:
		return fmt.Sprintf("%s %q", v.Kind(), v.String()), true
	}
	switch value := v.Interface().(type) {
	case time.Duration, netip.Addr, netip.AddrPort, netip.Prefix:
		return fmt.Sprint(value), true
	case []byte:
		return fmt.Sprintf("bytes %q", value), true
	}
	switch {
	case v.CanInt():
		return fmt.Sprintf("%s %d", v.Kind(), v.Int()), true
	case v.CanUint():
		return fmt.Sprintf("%s %d", v.Kind(), v.Uint()), true
	}
	return "", false
}

// environment returns a function that looks up variables, for use in place of os.Getenv.
func environment(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// load returns the configuration that is loaded from the file fullConfig.
func load(t *testing.T) *config.Config {
	t.Helper()
	c, err := config.Load(environment(map[string]string{"ROUTER_CONFIG": fullConfig}))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestGoldenLoad(t *testing.T) {
	testbed.CompareGolden(t, "full", dump(load(t)))
}

func TestGoldenLoadWithVariables(t *testing.T) {
	c, err := config.Load(environment(map[string]string{"ROUTER_CONFIG": fullConfig, "ROUTER_NAME": "gateway-z",
		"ROUTER_LISTEN": "127.0.0.9:1", "ROUTER_DISCOVERY": "127.0.0.9:2"}))
	if err != nil {
		t.Fatal(err)
	}
	testbed.CompareGolden(t, "variables", dump([]string{c.Name, c.Listen, c.Discovery}))
}

func TestGoldenDefaults(t *testing.T) {
	c, err := config.Parse([]byte(`{"settings":{"Limits":{"MaxRetryAfterMs":450}}}`))
	if err != nil {
		t.Fatal(err)
	}
	testbed.CompareGolden(t, "defaults", dump(c))
}

func TestGoldenEdge(t *testing.T) {
	for _, c := range []struct{ golden, text string }{
		{"edge-example", readFile(t, edgeExample)},
		{"edge-empty", `{}`},
		{"edge-defaults", `{"sftp":{"listen":":1","read_class":"pull","write_class":"push","backend_port":22,
			"roots":[{"path":"/a","volume":"ff","plan":"basic"}]},
			"devices":{"coap":":5683","http":":8081"}, "fleet":{},
			"bgp":{"peer":":179","local_as":1,"peer_as":2,"router_id":"192.0.2.1","next_hop":"192.0.2.2","announce":["192.0.2.0/24"]}}`},
	} {
		t.Run(c.golden, func(t *testing.T) {
			edge, err := config.ParseEdge([]byte(c.text), &load(t).Settings)
			if err != nil {
				t.Fatal(err)
			}
			testbed.CompareGolden(t, c.golden, dump(edge))
		})
	}
}

// The options of the fleet come from the operator's file, or from the platform's configuration if the file omits them.
func TestGoldenFleetOptions(t *testing.T) {
	platform := load(t)
	for _, c := range []struct{ golden, text string }{
		{"fleet-example", readFile(t, edgeExample)},
		{"fleet-platform", `{"fleet":{}}`},
	} {
		t.Run(c.golden, func(t *testing.T) {
			edge, err := config.ParseEdge([]byte(c.text), &platform.Settings)
			if err != nil {
				t.Fatal(err)
			}
			listen, options, err := edge.Fleet.Resolve(platform)
			if err != nil {
				t.Fatal(err)
			}
			testbed.CompareGolden(t, c.golden, dump([]any{listen, options}))
		})
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// replaced returns text with the first occurrence of old replaced by new. It fails the test if text does not
// contain old.
func replaced(t *testing.T, text, old, new string) string {
	t.Helper()
	if !strings.Contains(text, old) {
		t.Fatalf("the text to change does not contain %q", old)
	}
	return strings.Replace(text, old, new, 1)
}

func TestGoldenLoadErrors(t *testing.T) {
	text := readFile(t, fullConfig)
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := environment(map[string]string{"ROUTER_CONFIG": path})
	var out strings.Builder
	for _, c := range []struct{ old, new string }{
		{`"name":`, `name`},
		{`"settings":`, `"sittings":`},
		{`0123456789abcdef`, `xyz`},
		{`127.0.0.1:7171`, `nowhere`},
		{`127.0.0.2:8600`, `nowhere`},
		{`"Siblings":2`, `"Siblings":"three"`},
		{`"Siblings":2`, `"Siblings":1e300`},
		{`"NShards":4`, `"NShards":2.5`},
		{`"memory_mb":320`, `"memory_mb":-1`},
		{`"sockets":700`, `"sockets":1e18`},
		{`"name":"gateway-a"`, `"name":3`},
		{`"MayDuplicate":true`, `"MayDuplicate":"yes"`},
		{`"TickMs":2.5`, `"TickMs":[]`},
		{`"RampTimeMs":14000`, `"RampTimeMs":"long"`},
		{`"SelfIndex":1`, `"SelfIndex":-1`},
	} {
		if err := os.WriteFile(path, []byte(replaced(t, text, c.old, c.new)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := config.Load(getenv)
		fmt.Fprintf(&out, "%s => %s: %v\n", c.old, c.new, err)
	}
	_, err := config.Load(environment(nil))
	fmt.Fprintf(&out, "no variable: %v\n", err)
	_, err = config.Load(environment(map[string]string{"ROUTER_CONFIG": "testdata/golden/absent.json"}))
	fmt.Fprintf(&out, "no file: %v\n", err)
	testbed.CompareGolden(t, "load-errors", strings.ReplaceAll(out.String(), path, "config.json"))
}

// The files of a site configure the simulator and not a gateway, so Load must reject them.
func TestGoldenSiteFiles(t *testing.T) {
	var out strings.Builder
	for _, site := range []string{"lists-asked", "lists-pushed"} {
		for _, name := range []string{"real.json", "wire.json"} {
			path := "../../deploy/sites/" + site + "/" + name
			_, err := config.Load(environment(map[string]string{"ROUTER_CONFIG": path}))
			fmt.Fprintln(&out, err)
		}
	}
	testbed.CompareGolden(t, "site-files", out.String())
}

func TestGoldenEdgeErrors(t *testing.T) {
	settings := load(t).Settings
	text := readFile(t, edgeExample)
	var out strings.Builder
	for _, c := range []struct{ old, new string }{
		{`{`, ``},
		{`127.0.0.1:2022`, `2022`},
		{`"read_class": "pull"`, `"read_class": "fetch"`},
		{`"write_class": "push"`, `"write_class": "pull"`},
		{`"basic"`, `"none"`},
		{`"/layers/releases"`, `"/layers/../releases"`},
		{`00000003b4d60022`, `v1`},
		{`127.0.0.1:2201`, `there`},
		{`"unit_bytes": 16384`, `"unit_bytes": "many"`},
		{`2222`, `99999`},
		{`127.0.0.1:5683`, `coap`},
		{`8388608`, `1000`},
		{`"least_block_bytes": 64`, `"least_block_bytes": 65`},
		{`"most_block_bytes": 16384`, `"most_block_bytes": 32`},
		{`"most_dead_ms": 15000`, `"most_dead_ms": 10`},
		{`"max_exchanges": 4096`, `"max_exchanges": 0`},
		{`"keep_ms": 60000`, `"keep_ms": 0`},
		{`33792`, `10`},
		{`"listen": "127.0.0.1:7946"`, `"listen": "here"`},
		{`"period_ms": 500`, `"period_ms": 5`},
		{`"lease_ms": 2000`, `"lease_ms": 90000`},
		{`"clock_drift": 0.01`, `"clock_drift": 0.3`},
		{`"lends": 0.5`, `"lends": 0.6`},
		{`"max_volumes": 4096`, `"max_volumes": 0`},
		{`"self": 0`, `"self": 0.5`},
		{`127.0.0.1:1179`, `router`},
		{`65001`, `0`},
		{`"router_id": "127.0.0.1"`, `"router_id": "::1"`},
		{`90000`, `1000`},
		{`192.0.2.7/32`, `192.0.2.7/24`},
		{`["192.0.2.7/32"]`, `[]`},
	} {
		_, err := config.ParseEdge([]byte(replaced(t, text, c.old, c.new)), &settings)
		fmt.Fprintf(&out, "%s => %s: %v\n", c.old, c.new, err)
	}
	testbed.CompareGolden(t, "edge-errors", out.String())
}
