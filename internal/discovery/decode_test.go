package discovery

import (
	"fmt"
	"testing"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/scheduler"
)

// entryFormat is the entry of a server, with a formatting verb in place of its state.
const entryFormat = `{"id":"s-1","addr":"127.0.0.1:7070","zone":"a","kind":"m2","cell":3,"state":"%s","weight":1.5,"started_ms":12}`

// entry returns the entry of a server in a state.
func entry(state string) string { return fmt.Sprintf(entryFormat, state) }

// FuzzDecode checks that Decode returns only valid servers, and counts every other entry, for any JSON value.
func FuzzDecode(f *testing.F) {
	f.Add(`{"version":41,"full":true,"servers":[` + entry("Ready") + `,{"id":"x"}]}`)
	f.Add(`{"version":-1,"full":3,"servers":{"id":"x"}}`)
	f.Add(`{"servers":[[],null,3,{"id":"a","addr":"b","cell":-1},{"id":"a","addr":"h:1","started_ms":1e300}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		value, err := fastjson.Parse(text)
		if err != nil {
			return
		}
		update, invalid := Decode(value)
		if entries := len(value.GetArray("servers")); len(update.Servers)+invalid != entries {
			t.Errorf("decoded %d servers and %d invalid entries, want %d entries in total", len(update.Servers), invalid, entries)
		}
		for _, server := range update.Servers {
			if server.Name == "" || server.Shard < 0 || server.Addr == "" && server.State != scheduler.Removed {
				t.Errorf("accepted an invalid server: name %q, address %q, shard %d", server.Name, server.Addr, server.Shard)
			}
		}
	})
}

// TestDecode checks each field of an entry, and that an unknown state is read as draining.
func TestDecode(t *testing.T) {
	for state, want := range map[string]scheduler.ServerState{
		"Ready":       scheduler.Ready,
		"Terminating": scheduler.Draining,
		"Gone":        scheduler.Removed,
		"Paused":      scheduler.Draining,
	} {
		t.Run(state, func(t *testing.T) {
			update, invalid := Decode(fastjson.MustParse(`{"version":7,"servers":[` + entry(state) + `]}`))
			if invalid != 0 || update.Version != 7 || update.Kind != scheduler.Delta {
				t.Errorf("%d invalid entries and update %+v, want none and a delta with version 7", invalid, update)
			}
			server := update.Servers[0]
			if server.State != want || server.Shard != 3 || server.Addr != "127.0.0.1:7070" || server.Size != 1.5 ||
				server.StartedMs != 12 || server.Kind != "m2" || server.Zone != "a" {
				t.Errorf("%+v", server)
			}
		})
	}
}
