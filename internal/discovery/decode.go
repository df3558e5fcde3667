package discovery

import (
	"math"
	"net"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// maxStartedMs bounds the absolute value of a start time, in milliseconds. Entries that exceed it are invalid.
const maxStartedMs = 1e15

// serverStates maps the states of the wire protocol to those of the scheduler. The keys id and cell of the protocol are the
// name and the shard of a server in this program.
var serverStates = map[string]scheduler.ServerState{
	"Ready":       scheduler.Ready,
	"Terminating": scheduler.Draining,
	"Gone":        scheduler.Removed,
}

// Decode decodes a snapshot or a delta of the endpoint list. It omits invalid entries and returns their number. An unknown
// state, which a later version of the protocol may add, is read as draining: the server is listed, but gets no requests.
func Decode(value *fastjson.Value) (update lifecycle.EndpointUpdate, invalidEntries int) {
	update.Version, update.Kind = value.GetUint64("version"), scheduler.Delta
	if value.GetBool("full") {
		update.Kind = scheduler.Snapshot
	}
	for _, entry := range value.GetArray("servers") {
		server := decodeServer(entry)
		if !isValid(server) {
			invalidEntries++
			continue
		}
		update.Servers = append(update.Servers, server)
	}
	return update, invalidEntries
}

// decodeServer decodes one entry. A missing state is read as draining, and any other missing field as its zero value.
func decodeServer(entry *fastjson.Value) *lifecycle.Server {
	state, known := serverStates[string(entry.GetStringBytes("state"))]
	if !known {
		state = scheduler.Draining
	}
	return &lifecycle.Server{
		Name:      string(entry.GetStringBytes("id")),
		Addr:      string(entry.GetStringBytes("addr")),
		Zone:      string(entry.GetStringBytes("zone")),
		Kind:      string(entry.GetStringBytes("kind")),
		Shard:     entry.GetInt("cell"),
		Size:      entry.GetFloat64("weight"),
		StartedMs: entry.GetFloat64("started_ms"),
		State:     state,
	}
}

// isValid reports whether the entry of a server is valid. The entry of a removed server may lack an address.
func isValid(server *lifecycle.Server) bool {
	if server.Name == "" || server.Shard < 0 || math.Abs(server.StartedMs) > maxStartedMs {
		return false
	}
	_, _, err := net.SplitHostPort(server.Addr)
	return err == nil || server.State == scheduler.Removed
}

// watchMessage is one object of a watch.
type watchMessage struct {
	update         lifecycle.EndpointUpdate
	versioned      bool // whether the object contains a version
	invalidEntries int
}

// decodeMessage decodes one object of a watch. A snapshot without an array of servers is an error: if it were read as an
// empty snapshot, all servers would be removed.
func decodeMessage(parser *fastjson.Parser, object []byte) (watchMessage, error) {
	value, err := parser.ParseBytes(object)
	if err != nil || value.Type() != fastjson.TypeObject {
		return watchMessage{}, errInvalidMessage
	}
	if value.GetBool("full") && !isArray(value.Get("servers")) {
		return watchMessage{}, errInvalidMessage
	}
	update, invalidEntries := Decode(value)
	return watchMessage{update: update, versioned: value.Exists("version"), invalidEntries: invalidEntries}, nil
}

// isArray reports whether a value is present and an array.
func isArray(value *fastjson.Value) bool {
	return value != nil && value.Type() == fastjson.TypeArray
}
