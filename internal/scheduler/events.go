package scheduler

import "time"

// ServerID identifies a storage server. A server keeps its ID when its process restarts.
type ServerID uint32

// RequestID identifies a client request. IDs are never reused.
type RequestID uint32

// NoKey is the value of RequestArrived.Key for a request that has no key.
const NoKey = ^uint64(0)

// ServerState is the state of a server in the endpoint list.
type ServerState uint8

// States of a server in the endpoint list.
const (
	Ready    ServerState = iota // the server accepts requests
	Draining                    // the server completes the requests it has accepted; no more may be sent to it
	Removed                     // the server is no longer in the list
)

// String returns the state in lower case, or "unknown".
func (s ServerState) String() string { return enumName(s, "ready", "draining", "removed") }

// Server is an entry of the endpoint list.
type Server struct {
	ID        ServerID
	State     ServerState
	Shard     int           // shard (called "cell" in the endpoint list) that the server holds
	StartedAt time.Duration // clock time of the server's last start; 0: so long ago that slow start is over
	Kind      string
	Zone      string
	Size      float64 // relative size according to the endpoint list
}

// UpdateKind distinguishes the messages and the changes of state of a watch.
type UpdateKind uint8

// Kinds of endpoint updates. Only Delta, Snapshot and CachedSnapshot carry entries.
const (
	Delta          UpdateKind = iota // the changed entries only
	Snapshot                         // the complete list; servers that are not in it are removed
	CachedSnapshot                   // the complete list as last seen before the gateway started
	WatchFailed                      // a watch could not be opened, or it ended before it had provided a list
	WatchIdle                        // an established watch no longer sends entries or heartbeats
	WatchClosed                      // a watch ended after it had sent entries or had been open for some time
	Heartbeat                        // the watch reports that nothing has changed
)

// String returns the kind in lower case, or "unknown".
func (k UpdateKind) String() string {
	return enumName(k, "delta", "snapshot", "cached snapshot", "watch failed", "watch idle", "watch closed", "heartbeat")
}

// Event is an input of Scheduler.Step: something that happened at the gateway.
type Event interface{ event() }

// EndpointUpdate is a message or a change of state of the watch of the endpoint list.
type EndpointUpdate struct {
	Version    uint64
	Kind       UpdateKind
	Servers    []Server
	ValidUntil time.Duration // clock time until which the endpoint list may be used after this update; 0: no limit
}

// RequestArrived is a client request that the gateway has accepted.
type RequestArrived struct {
	ID             RequestID
	Class          string // Class.Name
	Plan           string // Plan.Name; ignored if the settings have a single plan
	Volume         VolumeID
	Key            uint64        // key of the data, used only if Class.OrderedByKey is set; NoKey if there is none
	Remaining      time.Duration // time left until the client's deadline; positive
	ClientDelay    time.Duration // time that the request took from the client to the gateway; 0: unknown
	Units          float64       // size of the request
	Shard          int           // shard that holds the data; -1: a new object, which any shard may take
	Gateways       int           // number of gateways that receive requests of the volume; 0: all gateways
	IsRetry        bool          // whether the client has marked the request as a retry; not used by the scheduler
	IsFirstAttempt bool          // whether this is known to be a first attempt; if false, a short Remaining is taken as the sign of a retry
}

// Status is the result of an attempt.
type Status uint8

// Results of an attempt.
const (
	StatusOK              Status = iota // the server responded with success
	StatusError                         // the server responded with an error
	StatusOverloaded                    // the server rejected the attempt without executing it
	StatusTimedOut                      // no response came in time
	StatusConnectFailed                 // no connection was established
	StatusConnectionReset               // the connection broke before the response was complete
	StatusCanceled                      // the gateway abandoned the attempt
	StatusNotSent                       // the gateway did not send the first byte of the attempt
)

// String returns the name of the status in counters and traces, or "unknown".
func (s Status) String() string {
	return enumName(s, "ok", "error", "overloaded", "timed_out", "connect_failed", "connection_reset", "canceled", "not_sent")
}

// ProvesNotExecuted reports whether the status proves that the server has not executed the attempt.
func (s Status) ProvesNotExecuted() bool {
	return s == StatusOverloaded || s == StatusConnectFailed || s == StatusNotSent
}

// AttemptEnded reports the end of an attempt. The gateway reports exactly one for each Send.
type AttemptEnded struct {
	ID             RequestID
	Attempt        int // index of the attempt among the request's Sends, counted from 0
	Server         ServerID
	Status         Status
	Latency        time.Duration // time from the send to the end of the attempt
	RequestDone    bool          // whether the request needs no further attempt, because it was responded to or canceled
	VolumeUsage    float64       // units per second that all servers served in the last Settings.UsagePeriod, as a fraction of Plan.Rate
	HasVolumeUsage bool          // whether VolumeUsage is present
	ForeignUnits   float64       // units of the volume that the server served to other gateways since its last response to this gateway
	LoadReport     []float64     // values in the order of Settings.LoadReportFields
}

// ResponseStarted reports that a streamed response has begun. From then on the request has no deadline.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Latency time.Duration
}

// RequestCanceled reports that the client no longer waits for a request. It may name a request that has already ended.
type RequestCanceled struct{ ID RequestID }

// ProbeEnded reports the result of a ProbeServer. The scheduler ignores it.
type ProbeEnded struct {
	Server     ServerID
	Status     Status
	Latency    time.Duration
	LoadReport []float64
}

// ShutdownStarted reports that the gateway is shutting down. Every request whose response has not started
// ends by Deadline, a clock time.
type ShutdownStarted struct{ Deadline time.Duration }

// QuotaShare sets the share of a volume's limit that this gateway may use from now on.
type QuotaShare struct {
	Volume VolumeID
	Share  float64 // fraction of the volume's whole limit
}

// EjectServer limits a server to one request per MinInterval, because several gateways find that it fails, or because it is known
// to be draining or removed. The event is repeated while the reason lasts.
type EjectServer struct {
	Server      ServerID
	MinInterval time.Duration
}

// PeerLatency reports a recent latency of a server as measured by other gateways. The scheduler uses it like the
// latency of one response to this gateway.
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
