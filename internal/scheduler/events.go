package scheduler

import "time"

// ServerID identifies a storage server. A server keeps its ID when its process restarts.
type ServerID uint32

// RequestID identifies a client request. IDs are never reused.
type RequestID uint32

// NoKey is the key of a request without one.
const NoKey = ^uint64(0)

// ServerState is the state of a server in the endpoint list.
type ServerState uint8

// The states of a server.
const (
	Ready    ServerState = iota // requests may be sent to it
	Draining                    // it ends what it has accepted and gets nothing more
	Removed                     // it has left the list
)

// String returns the state in lower case, or "unknown".
func (s ServerState) String() string { return nameOf(s, "ready", "draining", "removed") }

// Server is an entry of the endpoint list.
type Server struct {
	ID        ServerID
	State     ServerState
	Shard     int           // the shard (cell) that it serves
	StartedAt time.Duration // clock time of its last start; 0: long ago
	Kind      string
	Zone      string
	Size      float64 // relative size as listed
}

// UpdateKind is how an EndpointUpdate relates to the endpoint list already held.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	Delta          UpdateKind = iota // the changed entries only
	Snapshot                         // the complete list; servers that are not in it are removed
	CachedSnapshot                   // the complete list as last seen before the gateway started
	WatchFailed                      // opening a watch failed, or it broke; no entries
	WatchIdle                        // an established watch sends neither entries nor heartbeats any more; no entries
	WatchClosed                      // an established watch has ended after it had sent entries; no entries
	Heartbeat                        // the watch reports that nothing has changed; no entries
)

// String returns the kind in lower case, or "unknown".
func (k UpdateKind) String() string {
	return nameOf(k, "delta", "snapshot", "cached snapshot", "watch failed", "watch idle", "watch closed", "heartbeat")
}

// Event is something that happened at the gateway.
type Event interface{ event() }

// EndpointUpdate is a message or a change of state of the watch of the endpoint list.
type EndpointUpdate struct {
	Version    uint64
	Kind       UpdateKind
	Servers    []Server
	ValidUntil time.Duration // clock time until which the list now held may be used; 0: unbounded
}

// RequestArrived is a client request that the gateway has accepted.
type RequestArrived struct {
	ID             RequestID
	Class          string // Class.Name
	Plan           string // Plan.Name; ignored where the settings have a single plan
	Volume         VolumeID
	Key            uint64        // key of the data, for Class.OrderedByKey; NoKey for none
	Remaining      time.Duration // time left until the client's deadline; positive
	ClientDelay    time.Duration // how long the request was on its way to the gateway; 0: unknown
	Units          float64       // size of the request
	Shard          int           // shard that holds the data; -1: a new object that any shard may take
	Gateways       int           // gateways through which the volume's requests come; 0: all
	IsRetry        bool          // the client has marked it as a retry
	IsFirstAttempt bool          // the gateway knows it to be the client's first attempt, whatever time remains
}

// Status is how an attempt ended.
type Status uint8

// The ways in which an attempt ends.
const (
	StatusOK              Status = iota // the server responded with success
	StatusError                         // the server responded with an error
	StatusOverloaded                    // the server rejected the attempt without executing it
	StatusTimedOut                      // no response came in time
	StatusConnectFailed                 // no connection was established
	StatusConnectionReset               // the connection broke before the response was complete
	StatusCanceled                      // the gateway abandoned the attempt
	StatusNotSent                       // the gateway did not send its first byte
)

// String returns the status as counters and traces name it, or "unknown".
func (s Status) String() string {
	return nameOf(s, "ok", "error", "overloaded", "timed_out", "connect_failed", "connection_reset", "canceled", "not_sent")
}

// ProvesNotExecuted reports whether an attempt that ended with the status was certainly not executed.
func (s Status) ProvesNotExecuted() bool {
	return s == StatusOverloaded || s == StatusConnectFailed || s == StatusNotSent
}

// AttemptEnded is the end of an attempt. Each Send has exactly one.
type AttemptEnded struct {
	ID             RequestID
	Attempt        int // counted from 0 in the order of the request's Sends
	Server         ServerID
	Status         Status
	Latency        time.Duration // from the send to the end
	RequestDone    bool          // the client has its response; the request needs nothing more
	VolumeUsage    float64       // units that all servers served the volume in a finished period, as a fraction of Plan.Rate
	HasVolumeUsage bool          // VolumeUsage is present
	ForeignUnits   float64       // units that the server served the volume through other gateways since its last response here
	LoadReport     []float64     // values in the order of Settings.LoadReportFields
}

// ResponseStarted reports that a streamed response has begun. The request has no deadline from then on.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Latency time.Duration
}

// RequestCanceled reports that the client no longer waits for a request. It may name a request that has already ended.
type RequestCanceled struct{ ID RequestID }

// ProbeEnded is the result of a ProbeServer. The scheduler ignores it.
type ProbeEnded struct {
	Server     ServerID
	Status     Status
	Latency    time.Duration
	LoadReport []float64
}

// ShutdownStarted reports that the gateway shuts down. Every request ends by the deadline, which is a clock time.
type ShutdownStarted struct{ Deadline time.Duration }

// QuotaShare sets the part of a volume's limit that is in force at this gateway from now on.
type QuotaShare struct {
	Volume VolumeID
	Share  float64 // fraction of the whole limit over all gateways
}

// EjectServer reports that several gateways find a server failing, or that it is known to drain or to be removed. Requests
// to it are then sent one at a time with MinInterval between them. It is repeated for as long as it applies.
type EjectServer struct {
	Server      ServerID
	MinInterval time.Duration
}

// PeerLatency is a recent latency of a server as measured by other gateways. It counts as one response.
type PeerLatency struct {
	Server  ServerID
	Latency time.Duration
}

// TimerFired reports that the time of a SetTimer has come.
type TimerFired struct{}

func (EndpointUpdate) event()  {}
func (RequestArrived) event()  {}
func (AttemptEnded) event()    {}
func (ResponseStarted) event() {}
func (RequestCanceled) event() {}
func (ProbeEnded) event()      {}
func (ShutdownStarted) event() {}
func (QuotaShare) event()      {}
func (EjectServer) event()     {}
func (PeerLatency) event()     {}
func (TimerFired) event()      {}
