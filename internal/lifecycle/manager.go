package lifecycle

import (
	"fmt"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/endpointlease"
	"gaugerelay/internal/scheduler"
)

// Options configure a Manager. Scheduler and Environment are required.
type Options struct {
	Scheduler   Scheduler
	Environment Environment
	// Deduplicator handles device requests. If it is nil, they are handled like all other requests.
	Deduplicator Deduplicator
	// Peers coordinates with the other gateways. nil means that there are none.
	Peers Peers
	// EndpointLease limits how long the endpoint list is used while it cannot be refreshed. nil means that there is no limit.
	EndpointLease *endpointlease.Lease
	// Authorizer authorizes the first byte of each attempt. nil means NewAuthorizer(AuthorizerOptions{}).
	Authorizer *Authorizer
	// Classes are the classes of requests in the settings.
	Classes []scheduler.Class
	// TraceRequests enables Environment.Trace.
	TraceRequests bool
}

// Manager owns the open requests and the endpoint list of one gateway. Create one with New. Its methods must be called from
// one goroutine. They queue events, which Step passes to the scheduler. nowMs is the current time in milliseconds.
type Manager struct {
	scheduler    Scheduler
	environment  Environment
	deduplicator Deduplicator
	peers        Peers
	authorizer   *Authorizer
	// endpointLease is nil if the endpoint list may be used without a time limit.
	endpointLease *endpointlease.Lease
	traceRequests bool

	// pendingEvents are the events since the last step.
	pendingEvents []scheduler.Event

	requests map[scheduler.RequestID]*requestState
	// requestsByClientID holds the states of the requests that have a ClientID, by ClientID.
	requestsByClientID map[string]*requestState
	lastRequestID      scheduler.RequestID
	executed           *executedRequests

	servers      map[scheduler.ServerID]*Server
	serverIDs    map[string]scheduler.ServerID
	lastServerID scheduler.ServerID
	// hasEndpoints reports that a usable endpoint list has been received.
	hasEndpoints bool
	// endpointsChanged and removedServers are the changes since the last call of Peers.EndpointsChanged.
	endpointsChanged bool
	removedServers   []*Server

	// timerAt is the time of the last timer that the scheduler asked for.
	timerAt time.Duration
	// timerFired reports that a timer has fired since the last step.
	timerFired bool
}

// New returns a Manager without requests and servers.
func New(options Options) *Manager {
	authorizer := options.Authorizer
	if authorizer == nil {
		authorizer = NewAuthorizer(AuthorizerOptions{})
	}
	return &Manager{
		scheduler:          options.Scheduler,
		environment:        options.Environment,
		deduplicator:       options.Deduplicator,
		peers:              options.Peers,
		authorizer:         authorizer,
		endpointLease:      options.EndpointLease,
		traceRequests:      options.TraceRequests,
		requests:           map[scheduler.RequestID]*requestState{},
		requestsByClientID: map[string]*requestState{},
		executed:           newExecutedRequests(options.Classes),
		servers:            map[scheduler.ServerID]*Server{},
		serverIDs:          map[string]scheduler.ServerID{},
	}
}

// OpenRequests returns the number of accepted requests that have neither been responded to nor canceled.
func (m *Manager) OpenRequests() (count int) {
	for _, state := range m.requests {
		if !state.done {
			count++
		}
	}
	return count
}

// Submit accepts a client's request. A request that is already canceled is ignored and not counted. A device request goes to the
// Deduplicator, which submits a request for each execution that is needed.
func (m *Manager) Submit(nowMs float64, request *Request) {
	if request.canceled.Load() {
		return
	}
	if request.Device != nil && m.deduplicator != nil {
		m.deduplicator.Submit(nowMs, request)
		return
	}
	// Servers identify requests by ClientID, so a server could take this request for an open one. The client of the open request must get
	// the response to its own request only. And a request that has ended must not be executed a second time.
	isOpen := request.ClientID != "" && m.requestsByClientID[request.ClientID] != nil
	admitted, ok := m.executed.admit(nowMs, request)
	if isOpen || !ok {
		m.environment.Count(counterRequestsDuplicate)
		request.Respond(Response{Kind: DuplicateID})
		return
	}
	m.accept(nowMs, request, admitted)
}

// accept opens a request under a new id and reports it to the scheduler.
func (m *Manager) accept(nowMs float64, request *Request, admitted admission) {
	request.id = m.nextRequestID()
	state := &requestState{request: request, deadlineMs: nowMs + admitted.remainingMs}
	m.requests[request.id] = state
	if request.ClientID != "" {
		m.requestsByClientID[request.ClientID] = state
	}
	m.executed.begin(state)
	m.environment.Count(counterRequestsAccepted)
	m.traceAccepted(request)
	m.pendingEvents = append(m.pendingEvents, scheduler.RequestArrived{
		ID:             request.id,
		Class:          request.Class,
		Plan:           request.Plan,
		Volume:         scheduler.VolumeID(request.Volume),
		Key:            request.Key,
		Remaining:      clock.Duration(admitted.remainingMs),
		ClientDelay:    clock.Duration(request.ClientDelayMs),
		Units:          request.Units,
		Shard:          admitted.shard,
		Gateways:       request.Gateways,
		IsRetry:        request.IsRetry,
		IsFirstAttempt: request.IsFirstAttempt,
	})
}

// nextRequestID returns an id that is not in use. Ids wrap around after 2^32 requests.
func (m *Manager) nextRequestID() scheduler.RequestID {
	m.lastRequestID++
	for m.requests[m.lastRequestID] != nil {
		m.lastRequestID++
	}
	return m.lastRequestID
}

// Cancel ends a request whose client no longer waits for the response. The request gets no response. Cancel has no effect on a
// request that is done.
func (m *Manager) Cancel(nowMs float64, request *Request) {
	request.Cancel()
	if request.Device != nil && m.deduplicator != nil {
		m.deduplicator.Cancel(nowMs, request)
		return
	}
	state := m.stateOf(request)
	if state == nil || state.done {
		return
	}
	state.done = true
	m.environment.Count(counterRequestsCanceled)
	m.traceCanceled(request)
	m.pendingEvents = append(m.pendingEvents, scheduler.RequestCanceled{ID: request.id})
	m.releaseIfDone(nowMs, state)
}

// BeginShutdown reports that the gateway is shutting down and must respond to every open request by deadlineMs. The deadline also
// applies to requests from before the shutdown, whose own deadlines may be later than the exit of the program.
func (m *Manager) BeginShutdown(deadlineMs float64) {
	m.pendingEvents = append(m.pendingEvents, scheduler.ShutdownStarted{Deadline: clock.Duration(deadlineMs)})
}

// Step passes the events since the last step to the scheduler and executes the actions that it returns, in order.
func (m *Manager) Step(nowMs float64) {
	if m.peers != nil {
		m.stepPeers(nowMs)
	}
	if len(m.pendingEvents) == 0 {
		return
	}
	events := m.pendingEvents
	m.pendingEvents = nil
	for _, action := range m.scheduler.Step(m.stepTime(nowMs), events) {
		m.execute(nowMs, action)
	}
}

// execute executes one action of the scheduler.
func (m *Manager) execute(nowMs float64, action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.Send:
		m.startAttempt(nowMs, action)
	case scheduler.Reject:
		m.finish(nowMs, action.ID, Response{Kind: Rejected, RetryAfterMs: clock.Ms(action.RetryAfter), Reason: action.Reason})
	case scheduler.Fail:
		m.finish(nowMs, action.ID, Response{Kind: Failed, Reason: action.Reason})
	case scheduler.CancelAttempt:
		m.cancelAttempt(action)
	case scheduler.WatchEndpoints:
		m.environment.WatchEndpoints()
	case scheduler.ProbeServer:
		if server := m.servers[action.Server]; server != nil {
			m.environment.ProbeServer(server)
		}
	case scheduler.QuotaDemand:
		if m.peers != nil {
			m.peers.ReportDemand(nowMs, action)
		}
	case scheduler.SetTimer:
		m.setTimer(action.At)
	case scheduler.Log:
		m.environment.Log(action.Text)
	default:
		m.environment.Log(fmt.Sprintf("ignoring a scheduler action of unknown type %T", action))
	}
}
