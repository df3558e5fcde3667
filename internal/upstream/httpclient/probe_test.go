package httpclient

import (
	"testing"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// A probe reports the status of its response. A response other than 200 is an error, even if it says that the request was not
// executed.
func TestProbe(t *testing.T) {
	server, c := newFakeServer(t), newTestClient()
	for _, test := range []struct {
		behavior behavior
		want     scheduler.Status
	}{
		{respond, scheduler.StatusOK},
		{rejectUnprocessed, scheduler.StatusError},
		{halfResponse, scheduler.StatusConnectionReset},
	} {
		server.behaviors <- test.behavior
		if c.Probe(&lifecycle.Server{Addr: server.addr}); <-c.results.probes != test.want {
			t.Errorf("probe of a server with behavior %d: the status is not the expected %d", test.behavior, test.want)
		}
	}
}
