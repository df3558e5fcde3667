package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"gaugerelay/internal/frontend/responsebuffer"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/memorybudget"
	"gaugerelay/internal/testbed"
)

// Guards against responses to devices that belong to no account (review/10): one without memory is dropped, its read executed again when there
// is memory, and its memory released when it has been written.
func TestDroppedResponseToDeviceIsFetchedAgain(t *testing.T) {
	body := bytes.Repeat([]byte("b"), 50<<10)
	const limit = 200 << 10
	var budget *memorybudget.Budget
	s := startServer(t, func(s *testServer, ln net.Listener) net.Listener {
		budget = memorybudget.New(limit, s.handler.Metrics)
		s.tracker.Budget, s.handler.ServesDevices = budget, true
		s.handler.Responses = responsebuffer.NewSet(budget, "gw", s.handler.Metrics)
		return ln
	})
	other := budget.NewAccount()
	other.Force(limit / 2)
	client := s.dial(t)
	testbed.Write(t, client, strings.Replace(rawGet(1), "X-Plan:", "X-Device-Id: d\r\nIdempotency-Key: k\r\nX-Plan:", 1))
	first := receive(t, "the read", s.submitted)
	response := lifecycle.Response{Body: body, ETag: xxhash.Sum64(body)}
	first.Respond(response)
	for s.handler.Metrics.Get("response_bodies_dropped") == 0 {
		time.Sleep(time.Millisecond)
	}
	other.Close()
	again := receive(t, "the repeated read", s.submitted)
	if again.Device != nil || again.ClientID == "" || again.Class != first.Class || again.Key != first.Key || again.RemainingMs > first.RemainingMs {
		t.Errorf("the repeated read is %+v, want one of the same object without an exchange", again)
	}
	again.Respond(lifecycle.Response{Body: body})
	got, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer got.Body.Close()
	if read, err := io.ReadAll(got.Body); err != nil || got.StatusCode != http.StatusOK || !bytes.Equal(read, body) {
		t.Errorf("got status %d, %d bytes and error %v, want the body", got.StatusCode, len(read), err)
	}
	for budget.Used() > ConnBytes { // the handler may not have ended yet
		time.Sleep(time.Millisecond)
	}
}
