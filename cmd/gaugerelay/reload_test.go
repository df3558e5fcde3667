package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
)

// startDiscovery starts a discovery service and returns its address. For each watch it sends "name query" to watches, where
// query is the query of the request's URL.
func startDiscovery(t *testing.T, name string, watches chan<- string) (addr string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"version":9,"full":true,"servers":[]}`+"\n")
		w.(http.Flusher).Flush()
		watches <- fmt.Sprint(name, " ", r.URL.RawQuery)
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// SIGHUP moves the watch to the discovery address in the changed file. An invalid file changes nothing. The gateway stays
// ready. SIGTERM ends the program without an error, even if another SIGHUP precedes or follows it. The first watch asks for
// the updates after version 1, which the gateway has from the configuration file. A watch at another address asks for a
// snapshot: after=0.
func TestReload(t *testing.T) {
	watches := make(chan string, 4)
	first, second := startDiscovery(t, "first", watches), startDiscovery(t, "second", watches)
	text := strings.Replace(settingsFor(unusedServer), `"Siblings"`, `"Discovery":"ask","Siblings"`, 1)
	withDiscovery := func(addr string) string { return strings.Replace(text, "127.0.0.1:1", addr, 1) }

	p := startProgram(t, withDiscovery(first))
	addr := p.waitForAddr("for=clients")
	reload := func(text string) {
		if err := os.WriteFile(p.configFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p.signal(syscall.SIGHUP)
	}
	wantWatch := func(want string) {
		t.Helper()
		if got := <-watches; got != want {
			t.Errorf("the gateway opened the watch %q, want %q", got, want)
		}
		wantReady(t, addr, http.StatusOK)
	}
	wantWatch("first watch=1&after=1")
	reload(`{"listen":`)
	p.waitForLog("msg=reload_failed")
	// Without the key Lanes the file has no classes: it is valid JSON, but the scheduler rejects the settings.
	reload(strings.Replace(text, `"Lanes"`, `"Gone"`, 1))
	p.waitForLog("msg=reload_failed")
	reload(withDiscovery(second))
	p.waitForLog("msg=reload_done discovery=" + second)
	wantWatch("second watch=1&after=0")
	reload(withDiscovery(first))
	wantWatch("first watch=1&after=0")

	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)
	p.waitForLog("msg=shutdown_started")
	p.signal(syscall.SIGHUP)
	p.wantExit()
}
