package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gaugerelay/internal/standin"
)

// TestMain lets the test binary stand for the program.
func TestMain(m *testing.M) {
	if os.Getenv("GAUGERELAY_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func program(t *testing.T, text string, args ...string) *exec.Cmd {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "GAUGERELAY_MAIN=1", "ROUTER_CONFIG="+file)
	return cmd
}

const settings = `{"name":"n0","listen":"%s","discovery":"127.0.0.1:1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"version":1,"servers":[{"id":"s-1","addr":"%s","cell":0,"state":"Ready"}]},
 "settings":{"Siblings":1,"Lanes":[{"Name":"pull","PromiseMs":60000,"DeadlineMs":60000,"Idempotency":"repeatable","Worth":2}],
 "Plans":[{"Name":"basic","Shares":1,"Pays":1}],"FamilyInfo":{"NShards":1,"MeanUnits":2,"MostUnits":6},
 "Limits":{"AttemptsCap":3,"ConnIdleMs":30000,"ConnectTimeoutMs":5000},"TickMs":2}}`

// A configuration that cannot be used ends the program with one plain line.
func TestBadConfigEndsTheProgram(t *testing.T) {
	for name, c := range map[string][]string{
		"empty":           {""},
		"no classes":      {`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"Siblings":1}}`},
		"no operator's":   {fmt.Sprintf(settings, "127.0.0.1:0", "127.0.0.1:1"), "-edge", "/none"},
		"no such address": {fmt.Sprintf(settings, "256.0.0.1:1", "127.0.0.1:1")},
	} {
		var log bytes.Buffer
		cmd := program(t, c[0], c[1:]...)
		cmd.Stderr = &log
		err := cmd.Run()
		if _, ok := err.(*exec.ExitError); !ok || strings.Count(log.String(), "\n") != 1 || !strings.HasPrefix(log.String(), "gaugerelay: ") {
			t.Errorf("%s: %v, %q", name, err, log.String())
		}
	}
}

// SIGTERM: what was taken is answered, and the program ends well.
func TestStopAnswersWhatWasTaken(t *testing.T) {
	reached, release := make(chan struct{}, 1), make(chan struct{})
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reached <- struct{}{}
		<-release
		io.WriteString(w, "layer")
	}))
	defer node.Close()
	ln := standin.Listen(t) // a free port, given back
	addr := ln.Addr().String()
	ln.Close()
	cmd := program(t, fmt.Sprintf(settings, addr, node.Listener.Addr()))
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines := bufio.NewScanner(log)
	until := func(text string) {
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Fatalf("no line with %q", text)
	}
	until("listening on")
	answer := make(chan string, 1)
	go func() {
		req, _ := http.NewRequest("GET", "http://"+addr+"/pull/00000000000000aa", nil)
		for k, v := range map[string]string{"X-Correlation-Id": "1", "X-Service-Class": "pull", "X-Plan": "basic",
			"X-Time-Left-Ms": "60000", "X-IO": "volume=1,units=1,shard=0,hosts=1"} {
			req.Header.Set(k, v)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answer <- err.Error()
			return
		}
		body, _ := io.ReadAll(resp.Body)
		answer <- fmt.Sprint(resp.StatusCode, " ", string(body))
	}()
	<-reached
	cmd.Process.Signal(syscall.SIGTERM)
	until("stopping")
	close(release)
	if a := <-answer; a != "200 layer" {
		t.Errorf("answer %q", a)
	}
	until("answers_served 1")
	io.Copy(io.Discard, log)
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// While the program stops, connections are kept at first, then new ones are still taken but each answer closes
// its own; in the end none are taken.
func TestDrainGoesOnAccepting(t *testing.T) {
	ln := standin.Listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })}
	go server.Serve(ln)
	var client http.Client
	var closes []bool
	drain(server, func(float64) {
		resp, err := client.Get("http://" + ln.Addr().String())
		if err != nil {
			t.Error(err)
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		closes = append(closes, resp.Close)
	})
	if len(closes) != 2 || closes[0] || !closes[1] {
		t.Errorf("closing answers: %v", closes)
	}
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		c.Close()
		t.Error("still listening")
	}
}
