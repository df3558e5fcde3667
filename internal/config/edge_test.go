package config

import (
	"os"
	"strings"
	"testing"

	"gaugerelay/internal/testbed"
)

const edgeExamplePath = "../../deploy/edge.example.jsonc"

func TestEdgeExample(t *testing.T) {
	settings := testbed.Settings(4)
	edge, err := LoadEdge(edgeExamplePath, &settings)
	if err != nil {
		t.Fatal(err)
	}
	sftp := edge.SFTP
	if sftp == nil || sftp.ReadClass.Name != "pull" || sftp.WriteClass.Name != "push" || len(sftp.Roots) != 2 ||
		sftp.Roots[0].Volume != 0x3b4d60021 || sftp.Roots[1].Gateways != 1 {
		t.Errorf("%+v", sftp)
	}
	if b := edge.BGP; b == nil || b.LocalAS != 65001 || b.HoldTimeMs != 90000 || len(b.Prefixes) != 1 || b.NextHop.IsValid() {
		t.Errorf("%+v", b)
	}
	// The example shows the defaults, so a devices part that has only the addresses must equal the example's.
	defaults, err := ParseEdge([]byte(`{"devices":{"coap":"127.0.0.1:5683","http":"127.0.0.1:8081"}}`), &settings)
	if err != nil || edge.Devices == nil || *defaults.Devices != *edge.Devices {
		t.Errorf("devices of the example are %+v, with defaults %+v, error %v; want equal devices", edge.Devices, defaults, err)
	}
	for _, c := range []struct{ server, serverAddr, want string }{
		{"s-5be2a07c", "127.0.0.3:7070", "127.0.0.1:2201"},
		{"s-2", "127.0.0.3:7070", "127.0.0.3:2222"},
	} {
		if addr, ok := sftp.BackendAddress(c.server, c.serverAddr); !ok || addr != c.want {
			t.Errorf("server %s has the address %s for file commands, want the address of this case", c.server, addr)
		}
	}
}

// The error of an invalid file must be a single line.
func TestParseEdgeReportsInvalidFileInOneLine(t *testing.T) {
	settings := testbed.Settings(4)
	text, err := os.ReadFile(edgeExamplePath)
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]struct{ old, new string }{
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
		t.Run(name, func(t *testing.T) {
			_, err := ParseEdge([]byte(strings.Replace(string(text), change.old, change.new, 1)), &settings)
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("ParseEdge returned the error %v, want an error of one line", err)
			}
		})
	}
}

func TestParseEmptyEdge(t *testing.T) {
	settings := testbed.Settings(4)
	edge, err := ParseEdge([]byte("{}"), &settings)
	if err != nil || edge.SFTP != nil || edge.BGP != nil || edge.Devices != nil {
		t.Errorf("an empty file gives %+v, error %v; want all parts disabled", edge, err)
	}
}
