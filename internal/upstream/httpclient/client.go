// Package httpclient sends attempts to storage servers over HTTP/1.1 and reports how each of them ended.
//
// A Client owns an http.Transport and the connections below it. The transport pools connections; the package's conn guards
// what the transport does not:
//
//   - An attempt starts only if it is still authorized when its first byte can be written.
//   - An attempt is one request on the wire. The transport never resends it; only a request of which no byte was written is
//     sent on another connection.
//   - An attempt whose last byte was not written has not executed.
//   - A response belongs to the request that awaits it. A connection on which anything else arrives is not used again.
//
// Each attempt and each probe has a goroutine of its own that ends with it: an attempt at its deadline or when it is
// canceled, a probe after probeTimeout.
package httpclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
)

// Names of counters.
const (
	connectionsOpened     = "connections_opened"
	connectionsCapped     = "connections_capped"
	connectionsStale      = "connections_stale"
	serverResponsesBad    = "server_responses_invalid"
	serverHeadersBad      = "server_headers_invalid"
	serverDataUnsolicited = "server_data_unsolicited"
	ruleViolationsPrefix  = "rule_violations_"
)

const (
	// idleTimeoutFraction keeps the transport's idle timeout below that of the network: a request that is written to a
	// connection which the network has dropped ends as a reset.
	idleTimeoutFraction = 0.6
	// maxHeadBytes bounds the head of a response, including the heads of the interim responses before it.
	maxHeadBytes = 16 << 10
)

var errTooManyConns = errors.New("httpclient: connection limit reached")

// Options are the limits of a Client. Times are in milliseconds.
type Options struct {
	// ConnectTimeoutMs bounds the time to connect. A Dial that is set ignores it.
	ConnectTimeoutMs float64
	// ConnIdleTimeoutMs is the time after which the network drops an idle connection.
	ConnIdleTimeoutMs float64
	// MaxConns bounds the connections that are open at once, to all servers together.
	MaxConns int
	// LoadReportFields names the fields of a load report in the order of lifecycle.AttemptResult.LoadReport. If it is
	// empty, probes ask for the server's health only.
	LoadReportFields []string
	// ReuseDelayMs is the time from the end of a response to the next request on its connection.
	ReuseDelayMs float64
	// Dial opens connections; nil uses the network of this machine.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// ResultHandler receives the results of attempts and probes, each on the goroutine of that attempt or probe.
type ResultHandler interface {
	// Complete reports the end of an attempt. It is called once for each attempt.
	Complete(lifecycle.Attempt, lifecycle.AttemptResult)
	// ProbeEnded reports the end of a probe: its latency in milliseconds, its status, and the load report, which is nil if
	// there is none.
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
}

// New returns a Client that reports to results.
func New(options Options, clk clock.Clock, registry *metrics.Registry, results ResultHandler) *Client {
	c := &Client{options: options, clock: clk, metrics: registry, results: results}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true, // the body must pass unchanged
		MaxIdleConnsPerHost:    max(options.MaxConns, 1),
		IdleConnTimeout:        clock.Duration(options.ConnIdleTimeoutMs * idleTimeoutFraction),
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return c
}

// Close closes the idle connections. It does not wait for attempts and probes.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Start sends an attempt whose payload is an *httpmessage.Request. It does not block and implements lifecycle.Upstream.
func (c *Client) Start(a lifecycle.Attempt) (cancel func()) {
	ctx, cancelCause := clock.WithDeadline(c.clock, a.DeadlineMs)
	go func() {
		defer cancelCause(nil) // the response body has been read by then
		c.results.Complete(a, c.run(ctx, a))
	}()
	return func() { cancelCause(context.Canceled) }
}

// dial opens a connection for the transport, or returns errTooManyConns.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if c.openConns.Add(1) > int64(c.options.MaxConns) {
		c.openConns.Add(-1)
		c.metrics.Add(connectionsCapped, 1)
		return nil, errTooManyConns
	}
	dial := c.options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: clock.Duration(c.options.ConnectTimeoutMs), KeepAlive: -1}).DialContext
	}
	netConn, err := dial(ctx, network, addr)
	if err != nil {
		c.openConns.Add(-1)
		return nil, err
	}
	c.metrics.Add(connectionsOpened, 1)
	return &conn{Conn: netConn, client: c}, nil
}
