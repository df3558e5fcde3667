package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// mainVariable is an environment variable. If it is set, the test binary runs the program instead of the tests.
const mainVariable = "GAUGERELAY_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// settings is the format of a configuration file. Its arguments are the address to listen on and the address of the only
// server.
const settings = `{"name":"n0","listen":"%s","discovery":"127.0.0.1:1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"version":1,"servers":[{"id":"s-1","addr":"%s","cell":0,"state":"Ready"}]},
 "settings":{"Siblings":1,"Lanes":[{"Name":"pull","PromiseMs":60000,"DeadlineMs":60000,"Idempotency":"repeatable","Worth":2},
  {"Name":"push","PromiseMs":60000,"DeadlineMs":60000,"DedupWindowMs":3000,"Idempotency":"by_key","KeyScope":"cell","Worth":2}],
 "Plans":[{"Name":"basic","Shares":1,"Pays":1}],"FamilyInfo":{"NShards":1,"MeanUnits":2,"MostUnits":6},
 "Limits":{"AttemptsCap":3,"ConnIdleMs":30000,"ConnectTimeoutMs":5000},"TickMs":2}}`

// unusedServer is the address of the server in tests that send it no requests.
const unusedServer = "127.0.0.1:1"

// settingsFor returns a configuration file with the given server. The gateway listens on any free port.
func settingsFor(server string) string { return fmt.Sprintf(settings, "127.0.0.1:0", server) }

// writeFile writes a file into a new directory and returns its path.
func writeFile(t *testing.T, name, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// newCommand returns a command that runs the program with a configuration file. The program is killed when ctx is done.
func newCommand(ctx context.Context, configFile string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), mainVariable+"=1", "ROUTER_CONFIG="+configFile)
	return cmd
}

// program is a running gateway process.
type program struct {
	t          *testing.T
	cmd        *exec.Cmd
	configFile string
	log        *bufio.Scanner // lines of the program's standard error
}

// startProgram starts the program with a configuration file that contains config. The program is killed at the end of the
// test.
func startProgram(t *testing.T, config string, args ...string) *program {
	t.Helper()
	configFile := writeFile(t, "config.json", config)
	cmd := newCommand(t.Context(), configFile, args...)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = w
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	t.Cleanup(func() { r.Close() })
	return &program{t, cmd, configFile, bufio.NewScanner(r)}
}

// waitForLog reads the log up to the first line that contains a text, and returns that line.
func (p *program) waitForLog(text string) (line string) {
	p.t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			return p.log.Text()
		}
	}
	p.t.Fatalf("the log ended without a line that contains %q", text)
	return ""
}

// waitForAddr reads the log up to the first record that contains a text. It returns the value of the record's last field,
// which is an address.
func (p *program) waitForAddr(text string) string {
	p.t.Helper()
	line := p.waitForLog(text)
	return line[strings.LastIndex(line, "=")+1:]
}

// signal sends a signal. It is no error if the program has exited already.
func (p *program) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Error(err)
	}
}

// wantExit waits for the program to exit without an error.
func (p *program) wantExit() {
	p.t.Helper()
	if err := p.cmd.Wait(); err != nil {
		p.t.Errorf("the program exited with the error %v", err)
	}
}

// wantReady checks the status of GET /ready.
func wantReady(t *testing.T, addr string, status int) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/ready", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Errorf("GET /ready: %v", err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != status {
		t.Errorf("GET /ready returned status %d, want %d", response.StatusCode, status)
	}
}

// With an invalid configuration the program prints one line and exits with an error status.
func TestInvalidConfigExitsWithOneLine(t *testing.T) {
	for name, c := range map[string]struct {
		config string
		args   []string
	}{
		"empty":           {"", nil},
		"no classes":      {`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"Siblings":1}}`, nil},
		"no edge file":    {settingsFor(unusedServer), []string{"-edge", "/none"}},
		"no such address": {fmt.Sprintf(settings, "256.0.0.1:1", unusedServer), nil},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			cmd := newCommand(t.Context(), writeFile(t, "config.json", c.config), c.args...)
			cmd.Stderr = &log
			err := cmd.Run()
			var exitError *exec.ExitError
			if !errors.As(err, &exitError) || strings.Count(log.String(), "\n") != 1 || !strings.HasPrefix(log.String(), "gaugerelay: ") {
				t.Errorf("the program returned error %v and printed %q, want an error status and one line", err, log.String())
			}
		})
	}
}
