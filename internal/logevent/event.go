// Package logevent names the events that the program logs, so that all records of one kind have the same message and the
// same fields and can be searched for. It also sets up the program's logger.
//
// It holds no state of its own and runs no goroutine.
package logevent

import (
	"io"
	"log"
	"log/slog"
	"strings"
)

// Names of events. They are the messages of log records; operators search for them, so a change of a value is a change of
// the program's interface.
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

	RequestAccepted  = "request_accepted"
	RequestCompleted = "request_completed"
	RequestCanceled  = "request_canceled"
	AttemptStarted   = "attempt_started"
	AttemptEnded     = "attempt_ended"

	SFTPClientError = "sftp_client_error"
	DeviceError     = "device_error"

	FleetMemberChanged    = "fleet_member_changed"
	FleetIdentityConflict = "fleet_identity_conflict"

	BGPSession   = "bgp_session"
	BGPAnnounced = "bgp_announced"

	HTTPServerMessage = "http_server_message"
	SchedulerMessage  = "scheduler_message"
)

// Keys of fields. Times are in milliseconds.
const (
	Address       = "addr"
	Announced     = "announced" // of a BGPAnnounced event: whether the prefixes are announced or withdrawn
	Attempt       = "attempt"
	Changed       = "changed" // the parts of the configuration that want a restart
	Client        = "client"
	Discovery     = "discovery" // discovery's address
	Error         = "error"
	Name          = "name" // the gateway's name
	PacketType    = "type" // of an SFTP packet
	Peer          = "peer" // a BGP peer's address
	Purpose       = "for"  // whom a listener serves
	Reason        = "reason"
	Request       = "request"
	RetryWithinMs = "retry_within_ms"
	Server        = "server"
	Member        = "member" // of the fleet, by its number
	Incarnation   = "incarnation"
	State         = "state" // of a BGP session or a member of the fleet
	Status        = "status"
	Text          = "text" // of a message that is not structured
	TookMs        = "took_ms"
	Version       = "version"
)

// Setup makes the default logger one that writes text records of a level and above to out. Records of the standard
// library's log package go through it too, at level INFO and with their text as the message.
func Setup(out io.Writer, level slog.Level) {
	slog.SetDefault(slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level})))
}

// HTTPServerLog returns a logger for http.Server.ErrorLog. It logs each message of the server as an HTTPServerMessage
// event at level INFO with the default logger.
func HTTPServerLog() *log.Logger { return log.New(httpServerWriter{}, "", 0) }

// httpServerWriter logs each Write as one event.
type httpServerWriter struct{}

func (httpServerWriter) Write(message []byte) (int, error) {
	slog.Info(HTTPServerMessage, Text, strings.TrimSuffix(string(message), "\n"))
	return len(message), nil
}
