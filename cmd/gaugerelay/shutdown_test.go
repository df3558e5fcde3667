package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"gaugerelay/internal/testbed"
)

// On SIGTERM the program completes the requests that it has accepted, and exits without an error.
func TestShutdownCompletesAcceptedRequests(t *testing.T) {
	reached, release := make(chan struct{}, 1), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reached <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "layer")
	}))
	defer server.Close()
	p := startProgram(t, settingsFor(server.Listener.Addr().String()))
	addr := p.waitForAddr("for=clients")
	response := make(chan string, 1)
	go func() { response <- pull(t.Context(), addr) }()
	<-reached
	p.signal(syscall.SIGTERM)
	p.waitForLog("msg=shutdown_started")
	close(release)
	if got := <-response; got != "200 layer" {
		t.Errorf("the response is %q, want status 200 and the server's body", got)
	}
	p.waitForLog("answers_served 1")
	p.wantExit()
}

// pull sends a request of the class pull and returns the status and the body of its response, or the error.
func pull(ctx context.Context, addr string) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/pull/00000000000000aa", nil)
	if err != nil {
		return err.Error()
	}
	for name, value := range map[string]string{"X-Correlation-Id": "1", "X-Service-Class": "pull", "X-Plan": "basic",
		"X-Time-Left-Ms": "60000", "X-IO": "volume=1,units=1,shard=0,hosts=1"} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return fmt.Sprint(response.StatusCode, " ", string(body))
}

// A gateway that is not ready exits without an error on SIGTERM, even if further signals arrive before and after SIGTERM. The
// gateway does not become ready, since its configuration has no known servers and discovery sends nothing.
func TestSignalsBeforeReady(t *testing.T) {
	unresponsiveDiscovery := testbed.Listen(t) // accepts connections and sends nothing
	text := settingsFor(unusedServer)
	for _, change := range []struct{ old, new string }{
		{`"known":{"version":1,"servers":[{"id":"s-1","addr":"127.0.0.1:1","cell":0,"state":"Ready"}]},`, ""},
		{`"Lanes":[{"Name":"pull","PromiseMs":60000,"DeadlineMs":60000`, `"Lanes":[{"Name":"pull","PromiseMs":50,"DeadlineMs":50`},
		{`"PromiseMs":60000,"DeadlineMs":60000,"DedupWindowMs"`, `"PromiseMs":50,"DeadlineMs":50,"DedupWindowMs"`},
		{`"discovery":"127.0.0.1:1"`, `"discovery":"` + unresponsiveDiscovery.Addr().String() + `"`},
	} {
		text = strings.Replace(text, change.old, change.new, 1)
	}
	p := startProgram(t, text)
	wantReady(t, p.waitForAddr("for=clients"), http.StatusServiceUnavailable)
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		p.signal(signal)
	}
	p.waitForLog("msg=shutdown_started")
	p.wantExit()
}
