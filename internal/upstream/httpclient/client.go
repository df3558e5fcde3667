// Package httpclient sends attempts to storage servers over HTTP/1.1 and reports how each of them ended.
//
// A Client owns an http.Transport and the connections that the transport uses. The transport pools the connections. The type
// conn wraps each connection to guarantee what the transport does not:
//
//   - An attempt starts only if it is still authorized when its first byte can be written.
//   - An attempt is one request on the wire. The transport never resends it. A request is sent on another connection only if
//     no byte of it was written to the first one.
//   - An attempt whose request was not written completely has not executed.
//   - A response belongs to the request that awaits it. A connection on which anything else arrives is not used again.
//
// Each attempt and each probe runs on its own goroutine. An attempt ends at the latest at its deadline or when it is canceled, a
// probe after probeTimeout.
package httpclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/upstream"
)

// Names of the metrics.
const (
	connectionsOpened      = "connections_opened"
	connectionsCapped      = "connections_capped"
	connectionsStale       = "connections_stale"
	connectionsUnfinished  = "connections_unfinished"
	serverResponsesInvalid = "server_responses_invalid"
	serverHeadersInvalid   = "server_headers_invalid"
	serverDataUnsolicited  = "server_data_unsolicited"
	ruleViolationsPrefix   = "rule_violations_"
)

// maxHeadBytes bounds the size of the head of a response plus the heads of the interim responses before it.
const maxHeadBytes = 16 << 10

var errTooManyConns = errors.New("httpclient: the maximum number of connections is open")

// Options are the limits of a Client. Times are in milliseconds.
type Options struct {
	// ConnectTimeoutMs bounds the time to connect. It has no effect if Dial is set.
	ConnectTimeoutMs float64
	// ConnIdleTimeoutMs is the time after which the network drops an idle connection.
	ConnIdleTimeoutMs float64
	// MaxConns bounds the connections that are open at the same time, summed over all servers.
	MaxConns int
	// LoadReportFields names the fields of a load report in the order of lifecycle.AttemptResult.LoadReport. If it is
	// empty, probes request the server's health and no load report.
	LoadReportFields []string
	// ReuseDelayMs is the minimum time between the end of a response and the next request on the same connection. It is longer for
	// servers that have recently sent unsolicited data.
	ReuseDelayMs float64
	// Memory bounds the memory of responses together with that of clients' requests. nil means that there is no bound.
	Memory *memorybudget.Budget
	// Dial opens connections. If it is nil, the network of this machine is used.
	Dial upstream.DialFunc
}

// ResultHandler receives the results of attempts and probes. Its methods are called on the goroutine of the attempt or probe.
type ResultHandler interface {
	// Complete reports the end of an attempt. It is called once for each attempt.
	Complete(lifecycle.Attempt, lifecycle.AttemptResult)
	// ProbeEnded reports the end of a probe: its latency in milliseconds, its status and the load report. The report is nil if
	// the response has no valid one.
	ProbeEnded(server *lifecycle.Server, latencyMs float64, status scheduler.Status, report []float64)
}

// Client sends attempts through an http.Transport. Its methods may be called from any goroutine.
type Client struct {
	options   Options
	clock     clock.Clock
	metrics   *metrics.Registry
	results   ResultHandler
	transport *http.Transport
	openConns atomic.Int64

	unsolicited unsolicitedSenders
}

// New returns a Client that reports to results.
func New(options Options, clk clock.Clock, registry *metrics.Registry, results ResultHandler) *Client {
	c := &Client{options: options, clock: clk, metrics: registry, results: results}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true, // the body must be forwarded unchanged
		MaxIdleConnsPerHost:    max(options.MaxConns, 1),
		IdleConnTimeout:        clock.Duration(options.ConnIdleTimeoutMs * upstream.IdleTimeoutFraction),
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return c
}

// Close closes the idle connections. It does not wait for attempts and probes.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Start implements lifecycle.Upstream. It sends an attempt whose payload is an *httpmessage.Request, and does not block.
func (c *Client) Start(attempt lifecycle.Attempt) (cancel func()) {
	ctx, cancelCause := clock.WithDeadline(c.clock, attempt.DeadlineMs)
	go func() {
		defer cancelCause(nil) // this cancels no read, because run returns only after it has read the whole response body
		c.results.Complete(attempt, c.run(ctx, attempt))
	}()
	return func() { cancelCause(context.Canceled) }
}

// dial opens a connection for the transport. It returns errTooManyConns if MaxConns are open.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if c.openConns.Add(1) > int64(c.options.MaxConns) {
		c.openConns.Add(-1)
		c.metrics.Add(connectionsCapped, 1)
		return nil, errTooManyConns
	}
	dial := c.options.Dial.OrDefault(c.options.ConnectTimeoutMs)
	netConn, err := dial(ctx, network, addr)
	if err != nil {
		c.openConns.Add(-1)
		return nil, err
	}
	c.metrics.Add(connectionsOpened, 1)
	return &conn{Conn: netConn, client: c, addr: addr}, nil
}
