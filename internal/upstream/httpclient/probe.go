package httpclient

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

const (
	probeTimeout   = time.Second
	healthPath     = "/health"
	loadReportPath = "/status/load"
)

// Probe requests the load report of a server, or its health if Options.LoadReportFields is empty. It does not block; the result
// goes to the ResultHandler.
func (c *Client) Probe(server *lifecycle.Server) {
	path := healthPath
	if len(c.options.LoadReportFields) > 0 {
		path = loadReportPath
	}
	go func() {
		startMs := c.clock.NowMs()
		status, report := c.probe(server, path)
		c.results.ProbeEnded(server, c.clock.NowMs()-startMs, status, report)
	}()
}

// probe sends a probe and waits for its response. The report is nil if the response has no valid one.
func (c *Client) probe(server *lifecycle.Server, path string) (status scheduler.Status, report []float64) {
	if server.Closed() {
		return scheduler.StatusConnectFailed, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(withoutAttempt(ctx), http.MethodGet, "http://"+server.Addr+path, nil)
	if err != nil {
		return scheduler.StatusConnectFailed, nil
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return scheduler.StatusConnectFailed, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, httpmessage.MaxBodyBytes))
	switch {
	case err != nil:
		return scheduler.StatusConnectionReset, nil
	case response.StatusCode != http.StatusOK:
		return scheduler.StatusError, nil
	}
	if len(c.options.LoadReportFields) > 0 {
		report = c.parseLoadReport(string(body))
	}
	return scheduler.StatusOK, report
}

// withoutAttempt returns a context for a request that belongs to no attempt. The connection that the transport chooses may have carried
// an attempt, and forgets it.
func withoutAttempt(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*conn).attempt.Store(nil) },
	})
}
