// Package event names what the program logs, so that every record of one kind carries the same message and the same
// fields and can be searched for. It sets up the program's logger.
package logevent

import (
	"io"
	"log/slog"
)

// Names of events. They are the messages of log records and do not change between versions.
const (
	ListenerStarted = "listener_started"
	ShutdownStarted = "stopping"

	ReloadDone            = "reload_done"
	ReloadFailed          = "reload_failed"
	ReloadRestartRequired = "reload_restart_required"

	DiscoveryCall       = "discovery_call"
	DiscoveryAnswered   = "discovery_answered"
	DiscoveryCallFailed = "discovery_call_failed"
	DiscoveryUpdate     = "discovery_update"

	DiscoveryAgentUnavailable = "discovery_agent_unavailable"
	DiscoveryAgentRecovered   = "discovery_agent_recovered"

	RequestAccepted  = "request_taken"
	RequestCompleted = "request_answered"
	RequestCanceled  = "request_dropped"
	AttemptStarted   = "attempt_started"
	AttemptEnded     = "attempt_ended"

	SFTPClientError = "file_client_error"
	DeviceError     = "device_error"

	FleetMemberChanged    = "fleet_member_changed"
	FleetIdentityConflict = "fleet_identity_conflict"

	BGPSession   = "bgp_session"
	BGPAnnounced = "bgp_announced"

	SchedulerMessage = "scheduler_note"
)

// Keys of fields.
const (
	Address = "addr"
	Client  = "client"
	Error   = "error"
	Reason  = "reason"
	Request = "request"
	Attempt = "attempt"
	Server  = "server"
	Status  = "status"
	TookMs  = "took_ms"
	AgeMs   = "age_ms"
	Version = "version"
)

// Setup makes a text logger that writes records of a level and above the default one. Records of the standard
// library's log package, of which net/http writes some, go through it at level INFO.
func Setup(out io.Writer, level slog.Level) {
	slog.SetDefault(slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level})))
}
