package discovery

import (
	"math"
	"net"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// maxStartedMs bounds the absolute value of a start time. Entries beyond it are invalid.
const maxStartedMs = 1e15

// serverStates are the states of the wire protocol. Its keys for servers are id and cell, where this program says name and
// shard.
var serverStates = map[string]scheduler.ServerState{
	"Ready":       scheduler.Ready,
	"Terminating": scheduler.Draining,
	"Gone":        scheduler.Removed,
}

// Decode reads a snapshot or a delta of the endpoint list. Invalid entries are left out, and their number is returned. A
// state that is unknown, as of a later protocol, is read as draining: the server is listed, and no request is sent to it.
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

// decodeServer reads one entry, in which missing fields count as zero.
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

// isValid reports whether the entry of a server can be used. A removed server needs no address.
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
	versioned      bool // it names its version
	invalidEntries int
}

// decodeMessage reads one object of a watch. A snapshot without a list of servers is an error: taken for an empty one, it
// would empty the list.
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
