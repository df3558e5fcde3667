package simwire

import (
	"fmt"

	"gaugerelay/internal/scheduler"
)

// Names of the lines that begin an item of a batch.
const (
	lineInstanceOpened  = "OPEN_INSTANCE"
	lineInstanceKilled  = "KILL"
	lineEndpointUpdate  = "BACKENDS_CHANGED"
	lineEndpoint        = "ITEM" // describes one server; these lines follow the lineEndpointUpdate to which they belong
	lineRequestArrived  = "NEW_REQUEST"
	lineTimerFired      = "REMINDER"
	lineResponseStarted = "STREAMING"
	lineRequestCanceled = "DROPPED"
	lineProbeEnded      = "STATUS_BACK"
	lineAttemptEnded    = "CLOSED_ATTEMPT"
)

// statuses maps the status codes of the wire to statuses of the scheduler.
var statuses = map[uint64]scheduler.Status{
	10: scheduler.StatusOK, 20: scheduler.StatusError, 30: scheduler.StatusOverloaded, 40: scheduler.StatusTimedOut,
	50: scheduler.StatusConnectFailed, 60: scheduler.StatusConnectionReset, 70: scheduler.StatusCanceled, 80: scheduler.StatusNotSent,
}

// updateKinds maps the wire's scopes of endpoint lists to kinds of endpoint updates.
var updateKinds = map[string]scheduler.UpdateKind{
	"patch": scheduler.Delta, "whole": scheduler.Snapshot, "stale_copy": scheduler.CachedSnapshot, "broken": scheduler.WatchFailed,
}

// serverStates maps the wire's names of server states to states of the scheduler.
var serverStates = map[string]scheduler.ServerState{
	"live": scheduler.Ready, "quiescing": scheduler.Draining, "dead": scheduler.Removed,
}

// retryOption is the bit in the options of NEW_REQUEST that marks a retry by the client.
const retryOption = 2

// parseItem parses the item that begins with the given line, and reads the further lines that belong to the item. known is false
// if the item is of an unknown type.
func (r *Reader) parseItem(line *fieldParser) (item Item, known bool, err error) {
	switch line.name {
	case lineInstanceOpened:
		item.Kind = InstanceOpened
		item.Seed = line.integer("Prng", wordBits)
		item.Settings = parseSettings(line)
	case lineInstanceKilled:
		item.Kind = InstanceKilled
	case lineEndpointUpdate:
		item.Event, err = r.parseEndpointUpdate(line)
	case lineRequestArrived:
		item.Event = parseRequestArrived(line)
	case lineTimerFired:
		line.integer("KeyBack", optionsBits)
		item.Event = scheduler.TimerFired{}
	case lineResponseStarted:
		item.Event = parseResponseStarted(line)
	case lineRequestCanceled:
		item.Event = scheduler.RequestCanceled{ID: parseRequestID(line)}
	case lineProbeEnded:
		item.Event = parseProbeEnded(line)
	case lineAttemptEnded:
		item.Event = parseAttemptEnded(line)
	default:
		return item, false, nil
	}
	return item, true, err
}

// parseRequestArrived parses the values of lineRequestArrived.
func parseRequestArrived(line *fieldParser) scheduler.RequestArrived {
	request := scheduler.RequestArrived{ID: parseRequestID(line), Class: line.text("TierClass"), Plan: line.optionalText(),
		Key: scheduler.NoKey}
	if key := line.optionalText(); key != "" {
		line.err = nil // if a key is present, errors in the values before it are discarded; this behavior of the wire must not change
		request.Key = line.parseInteger("Region", key, wordBits)
	}
	request.Remaining = line.ms("TtlMs")
	request.Volume = scheduler.VolumeID(line.optionalInteger("StoreUser", wordBits))
	request.Units = line.optionalNumber("QuotaUnits")
	request.Shard = parseShard(line)
	request.Gateways = int(line.optionalNumber("NHosts"))
	request.IsRetry = line.optionalInteger("Opts", optionsBits)&retryOption != 0
	return request
}

// parseShard parses the shard of a request. It returns -1 if the request has none.
func parseShard(line *fieldParser) int {
	shard := line.optionalText()
	if shard == "" {
		return -1
	}
	return int(line.parseNumber("Shard", shard))
}

// parseResponseStarted parses the values of lineResponseStarted.
func parseResponseStarted(line *fieldParser) scheduler.ResponseStarted {
	started := scheduler.ResponseStarted{ID: parseRequestID(line)}
	started.Latency = line.optionalMs("LagMs")
	started.Server = parseServerID(line)
	started.Attempt = int(line.integer("Shot", countBits))
	return started
}

// parseProbeEnded parses the values of lineProbeEnded.
func parseProbeEnded(line *fieldParser) scheduler.ProbeEnded {
	probe := scheduler.ProbeEnded{Latency: line.optionalMs("LagMs")}
	probe.Status = parseStatus(line)
	probe.Server = parseServerID(line)
	probe.LoadReport = line.numberList("ServerStats")
	return probe
}

// parseAttemptEnded parses the values of lineAttemptEnded.
func parseAttemptEnded(line *fieldParser) scheduler.AttemptEnded {
	attempt := scheduler.AttemptEnded{ID: parseRequestID(line)}
	attempt.Latency = line.optionalMs("LagMs")
	if usage := line.optionalNumber("VolumeUse"); usage > 0 { // percentage plus 1; 0 means that the usage is absent
		attempt.VolumeUsage, attempt.HasVolumeUsage = (usage-1)/100, true
	}
	attempt.RequestDone = line.optionalText() == "1"
	attempt.Status = parseStatus(line)
	attempt.ForeignUnits = line.optionalNumber("ForeignUnits")
	attempt.Server = parseServerID(line)
	attempt.Attempt = int(line.integer("Shot", countBits))
	attempt.LoadReport = line.numberList("ServerStats")
	return attempt
}

func parseRequestID(line *fieldParser) scheduler.RequestID {
	return scheduler.RequestID(line.integer("Ref", idBits))
}

func parseServerID(line *fieldParser) scheduler.ServerID {
	return scheduler.ServerID(line.integer("Store", idBits))
}

// parseStatus parses the status of an attempt or a probe.
func parseStatus(line *fieldParser) scheduler.Status {
	code := line.integer("Status", idBits)
	status, ok := statuses[code]
	if !ok {
		line.fail(fmt.Errorf("%s: unknown status %d", line.name, code))
	}
	return status
}

// parseEndpointUpdate parses the values of lineEndpointUpdate, and reads the lines of its servers, which follow it.
func (r *Reader) parseEndpointUpdate(line *fieldParser) (scheduler.Event, error) {
	update := scheduler.EndpointUpdate{Version: line.optionalInteger("Epoch", wordBits)}
	scope := line.text("Scope")
	kind, ok := updateKinds[scope]
	if !ok {
		line.fail(fmt.Errorf("%s: unknown scope %q", line.name, scope))
	}
	update.Kind = kind
	count := line.optionalInteger("NodesList", countBits)
	for i := uint64(0); i < count && line.err == nil; i++ {
		entry, err := r.readLine()
		if err != nil || entry.name != lineEndpoint {
			return nil, r.atLine(fmt.Errorf("%d of %d %s lines came", i, count, lineEndpoint))
		}
		update.Servers = append(update.Servers, parseServer(entry))
		line.err = entry.err
	}
	return update, nil
}

// parseServer parses the values of lineEndpoint.
func parseServer(line *fieldParser) scheduler.Server {
	server := scheduler.Server{Size: line.optionalNumber("Share")}
	state, ok := serverStates[line.text("Readiness")]
	if !ok {
		state = scheduler.Draining // the state belongs to a later version of the protocol; a draining server gets no new requests
	}
	server.State = state
	server.Kind = line.optionalText()
	server.StartedAt = line.optionalMs("CameUpMs")
	server.Shard = int(line.optionalNumber("Block"))
	server.ID = parseServerID(line)
	server.Zone = line.optionalText()
	return server
}
