// Package logevent defines the names of the events that the program logs and the keys of their fields, so that all records
// of an event have the same message and can be searched for. It also sets up the program's logger.
//
// The package has no state and runs no goroutine.
package logevent

import (
	"io"
	"log"
	"log/slog"
	"strings"
)

// Names of events, which are the messages of log records. Operators search for them, so they are part of the program's
// interface.
const (
	ListenerStarted = "listener_started"
	ShutdownStarted = "shutdown_started"

	ReloadDone            = "reload_done"
	ReloadFailed          = "reload_failed"
	ReloadRestartRequired = "reload_restart_required"

	DiscoveryCall       = "discovery_call"
	DiscoveryAnswered   = "discovery_answered"
	DiscoveryCallFailed = "discovery_call_failed"
	DiscoveryUpdate     = "discovery_update"

	DiscoveryAgentUnavailable = "discovery_agent_unavailable"
	DiscoveryAgentRecovered   = "discovery_agent_recovered"

	ClientConnectionClosed = "client_connection_closed"
	MemoryHigh             = "memory_high"
	ProcessorStarved       = "processor_starved"

	RequestAccepted  = "request_accepted"
	RequestCompleted = "request_completed"
	RequestCanceled  = "request_canceled"
	AttemptStarted   = "attempt_started"
	AttemptEnded     = "attempt_ended"

	SFTPClientError      = "sftp_client_error"
	SFTPWriteRejoined    = "sftp_write_rejoined"
	SFTPWriteNotRejoined = "sftp_write_not_rejoined"
	DeviceError          = "device_error"

	FleetMemberChanged    = "fleet_member_changed"
	FleetIdentityConflict = "fleet_identity_conflict"

	BGPSession   = "bgp_session"
	BGPAnnounced = "bgp_announced"

	HTTPServerMessage = "http_server_message"
	SchedulerMessage  = "scheduler_message"
)

// Keys of the fields of log records. The comment on a key describes the field's value. Times are in milliseconds.
const (
	Address        = "addr"
	AgeMs          = "age_ms"       // time since the first transmission of a WRITE
	ClientBytes    = "client_bytes" // memory that clients' unanswered data takes
	LimitBytes     = "limit_bytes"
	UsedBytes      = "used_bytes" // memory that the runtime has obtained and not returned
	Announced      = "announced"  // true if the BGP prefixes are announced, false if they are withdrawn
	Attempt        = "attempt"
	BusiestClients = "busiest_clients" // connections that caused the most work in about the last second, with its estimate
	BusiestHosts   = "busiest_hosts"   // the same by host
	Changed        = "changed"         // names of the changed parts of the configuration that require a restart
	Client         = "client"
	Discovery      = "discovery" // address of the discovery service in use after a reload
	Error          = "error"
	Name           = "name"   // name of the gateway
	Offset         = "offset" // start of the range of a WRITE in bytes
	PacketType     = "type"   // type of an SFTP packet
	Path           = "path"   // path of a file
	Peer           = "peer"   // address of a BGP peer
	Purpose        = "for"    // purpose of a listener, such as clients or file commands
	Reason         = "reason"
	Request        = "request"
	RetryWithinMs  = "retry_within_ms"
	Server         = "server"
	LongestWaitMs  = "longest_wait_ms" // lower bound of the longest sampled wait for a processor
	LongWaits      = "long_waits"      // number of sampled waits for a processor that were long
	Member         = "member"          // index of a gateway in the fleet
	Incarnation    = "incarnation"
	State          = "state" // state of a BGP session or of a gateway in the fleet
	Status         = "status"
	Text           = "text"       // text of an unstructured message
	Suppressed     = "suppressed" // number of earlier events with the same reason that were not logged
	TookMs         = "took_ms"
	Unanswered     = "unanswered" // true if an accepted request has got no response
	UploadKey      = "upload_key"
	Version        = "version"
)

// Setup sets the default logger to one that writes records of the given level and above to out as text. Output of the
// standard library's log package goes through it as well, at level INFO and with its text as the message.
func Setup(out io.Writer, level slog.Level) {
	slog.SetDefault(slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level})))
}

// HTTPServerLog returns a logger for http.Server.ErrorLog. It passes each message of the server to the default logger as an
// HTTPServerMessage event at level INFO.
func HTTPServerLog() *log.Logger { return log.New(httpServerWriter{}, "", 0) }

// httpServerWriter logs each Write as one event.
type httpServerWriter struct{}

func (httpServerWriter) Write(message []byte) (int, error) {
	slog.Info(HTTPServerMessage, Text, strings.TrimSuffix(string(message), "\n"))
	return len(message), nil
}
