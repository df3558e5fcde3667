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

	"github.com/pkg/sftp"

	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/fakefileserver"
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
 "settings":{"Siblings":1,"Lanes":[{"Name":"pull","PromiseMs":60000,"DeadlineMs":60000,"Idempotency":"repeatable","Worth":2},
  {"Name":"push","PromiseMs":60000,"DeadlineMs":60000,"DedupWindowMs":3000,"Idempotency":"by_key","KeyScope":"cell","Worth":2}],
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

// started starts the program; until reads its log up to a line with a text.
func started(t *testing.T, text string, args ...string) (cmd *exec.Cmd, until func(text string) (line string)) {
	t.Helper()
	cmd = program(t, text, args...)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = w
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	t.Cleanup(func() { cmd.Process.Kill(); r.Close() })
	lines := bufio.NewScanner(r)
	return cmd, func(text string) string {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return lines.Text()
			}
		}
		t.Fatalf("no line with %q", text)
		return ""
	}
}

// after is the value of a record's last field.
func after(line string) string { return line[strings.LastIndex(line, "=")+1:] }

// The operator's file turns on file commands, which reach a node's file port, and announcements, which are
// withdrawn before the program ends.
func TestOperatorsFile(t *testing.T) {
	files := fakefileserver.New(t)
	files.Put("/layers/a", []byte("layer"))
	router := testbed.Listen(t)
	edge := filepath.Join(t.TempDir(), "edge.jsonc")
	if err := os.WriteFile(edge, fmt.Appendf(nil, `// an operator's
	{"sftp":{"listen":"127.0.0.1:0","read_class":"pull","write_class":"push","backends":{"s-1":"%s"},
	  "roots":[{"path":"/layers","volume":"1","plan":"basic"}]},
	 "bgp":{"peer":"%s","local_as":65001,"peer_as":65001,"router_id":"127.0.0.1","announce":["192.0.2.7/32"]}}`,
		files.Addr, router.Addr()), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, until := started(t, fmt.Sprintf(settings, "127.0.0.1:0", "127.0.0.1:1"), "-edge", edge)
	addr := after(until(`for="file commands"`)) // before the session, whose lines come in their order after this one
	r, err := router.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	// The peer's OPEN mirrors the speaker's but for the identifier.
	open := make([]byte, 64)
	n, err := r.Read(open)
	if err != nil || n < 29 {
		t.Fatalf("OPEN of %d bytes: %v", n, err)
	}
	open[27]++ // the identifier's last byte
	r.Write(open[:n])
	r.Write(append(bytes.Repeat([]byte{0xff}, 16), 0, 19, 4)) // KEEPALIVE
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	client, err := sftp.NewClientPipe(c, c)
	if err != nil {
		t.Fatal(err)
	}
	f, err := client.OpenFile("/layers/a", os.O_RDWR)
	if err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 5)
	if _, err := f.ReadAt(got, 0); err != nil || string(got) != "layer" {
		t.Errorf("read %q: %v", got, err)
	}
	if _, err := f.WriteAt([]byte("L"), 0); err != nil || string(files.File("/layers/a")) != "Layer" {
		t.Errorf("written %q: %v", files.File("/layers/a"), err)
	}
	until("announced=true")
	cmd.Process.Signal(syscall.SIGTERM)
	until("announced=false")
	until("answers_served 3")
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	said, err := io.ReadAll(r) // KEEPALIVE, the routes, their withdrawal, and a Cease at the very end
	if err != nil || !bytes.HasSuffix(said, []byte{0, 21, 3, 6, 2}) {
		t.Errorf("%v: %x", err, said)
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
	cmd, until := started(t, fmt.Sprintf(settings, "127.0.0.1:0", node.Listener.Addr()))
	addr := after(until("for=clients"))
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
	until("msg=shutdown_started")
	close(release)
	if a := <-answer; a != "200 layer" {
		t.Errorf("answer %q", a)
	}
	until("answers_served 1")
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// SIGHUP moves the watch to the file's new address; with a bad file all stays; serving goes on through both, and
// SIGTERM still ends the program well.
func TestReload(t *testing.T) {
	watched := make(chan string, 4)
	var discoveries [2]string
	for i := range discoveries {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, `{"version":9,"full":true,"servers":[]}`+"\n")
			w.(http.Flusher).Flush()
			watched <- fmt.Sprint(i, " ", r.URL.RawQuery)
			<-r.Context().Done()
		}))
		defer srv.Close()
		discoveries[i] = srv.Listener.Addr().String()
	}
	text := strings.Replace(fmt.Sprintf(settings, "127.0.0.1:0", "127.0.0.1:1"), `"Siblings"`, `"Discovery":"ask","Siblings"`, 1)
	at := func(i int) string { return strings.Replace(text, "127.0.0.1:1", discoveries[i], 1) }
	cmd, until := started(t, at(0))
	addr := after(until("for=clients"))
	file := configFile(cmd)
	reload := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
	}
	want := func(what string) {
		t.Helper()
		if got := <-watched; got != what {
			t.Errorf("watched %q, want %q", got, what)
		}
		resp, err := http.Get("http://" + addr + "/ready")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("ready: %v %v", resp, err)
		}
	}
	want("0 watch=1&after=1")
	reload(`{"listen":`)
	until("msg=reload_failed")
	reload(strings.Replace(text, `"Lanes"`, `"Gone"`, 1)) // readable, but the module cannot use it
	until("msg=reload_failed")
	reload(at(1))
	until("msg=reload_done discovery=" + discoveries[1])
	want("1 watch=1&after=0")
	reload(at(0))
	want("0 watch=1&after=0")
	cmd.Process.Signal(syscall.SIGHUP)
	cmd.Process.Signal(syscall.SIGTERM)
	until("msg=shutdown_started")
	cmd.Process.Signal(syscall.SIGHUP)
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// Signals at bad moments: a gateway that is not ready yet, and never will be, ends well on the first SIGTERM, and neither
// a second one nor a reload that comes with it changes that.
func TestSignalsBeforeReady(t *testing.T) {
	silent := testbed.Listen(t) // a discovery that takes calls and says nothing
	text := strings.Replace(fmt.Sprintf(settings, "127.0.0.1:0", "127.0.0.1:1"), `"known":{"version":1,"servers":[{"id":"s-1","addr":"127.0.0.1:1","cell":0,"state":"Ready"}]},`, "", 1)
	text = strings.Replace(text, `"Lanes":[{"Name":"pull","PromiseMs":60000,"DeadlineMs":60000`, `"Lanes":[{"Name":"pull","PromiseMs":50,"DeadlineMs":50`, 1)
	text = strings.Replace(text, `"PromiseMs":60000,"DeadlineMs":60000,"DedupWindowMs"`, `"PromiseMs":50,"DeadlineMs":50,"DedupWindowMs"`, 1)
	cmd, until := started(t, strings.Replace(text, `"discovery":"127.0.0.1:1"`, `"discovery":"`+silent.Addr().String()+`"`, 1))
	addr := after(until("for=clients"))
	resp, err := http.Get("http://" + addr + "/ready")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("ready: %v %v", resp, err)
	}
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		cmd.Process.Signal(s)
	}
	until("msg=shutdown_started")
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// configFile is the file that a program was started with.
func configFile(cmd *exec.Cmd) string {
	return strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "ROUTER_CONFIG=")
}

// A gateway in a fleet shows what it knows of it; one in none says so, and off means that nothing listens.
func TestFleetShow(t *testing.T) {
	edge := filepath.Join(t.TempDir(), "edge.jsonc")
	if err := os.WriteFile(edge, []byte(`{"fleet":{"listen":"127.0.0.1:0","self":0,"peers":["127.0.0.1:9","127.0.0.1:10"]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	show := func(addr string) (string, error) {
		out, err := program(t, "", "fleet", "show", addr).Output()
		return string(out), err
	}
	_, until := started(t, fmt.Sprintf(settings, "127.0.0.1:0", "127.0.0.1:1"), "--edge", edge)
	until("for=fleet")
	text, err := show(after(until("for=clients")))
	if err != nil || !strings.Contains(text, "member 1 127.0.0.1:10 alive") || !strings.Contains(text, "bound part_back_ms 2040") {
		t.Errorf("%q, %v", text, err)
	}
	_, until = started(t, fmt.Sprintf(settings, "127.0.0.1:0", "127.0.0.1:1"))
	if text, err := show(after(until("for=clients"))); err == nil {
		t.Errorf("a gateway in no fleet shows %q", text)
	}
}
