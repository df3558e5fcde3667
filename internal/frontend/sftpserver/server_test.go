package sftpserver_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/testbed/fakefileserver"
)

func TestWriteReadStat(t *testing.T) {
	g := newTestGateway(t)
	client := g.client()
	file, err := client.OpenFile("/layers/a.tar", os.O_RDWR|os.O_CREATE)
	if err != nil {
		t.Fatal(err)
	}
	data := bytes.Repeat([]byte("layer"), 1000)
	if _, err := file.WriteAt(data, 3); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(data))
	if _, err := file.ReadAt(got, 3); err != nil || !bytes.Equal(got, data) {
		t.Fatalf("read back %d bytes: %v", len(got), err)
	}
	if info, err := client.Stat("/layers/a.tar"); err != nil || info.Size() != 5003 {
		t.Errorf("stat: %v %v", info, err)
	}
	accepted, served := g.counters.Get("requests_accepted"), g.counters.Get("answers_served")
	if accepted != 4 || served != 4 {
		t.Errorf("OPEN, WRITE, READ and STAT made %d requests, %d served", accepted, served)
	}
}

// TestTransfer uploads and downloads a large file with the library's client, which pipelines its READs.
func TestTransfer(t *testing.T) {
	g := newTestGateway(t)
	client := g.client()
	data := make([]byte, 700_001)
	for i := range data {
		data[i] = byte(i * i >> 8)
	}
	done := make(chan error, 1)
	go func() {
		file, err := client.Create("/layers/big.tar")
		if err == nil {
			_, err = file.ReadFrom(bytes.NewReader(data))
		}
		done <- err
	}()
	if err := g.advanceUntil(done); err != nil || !bytes.Equal(g.files.File("/layers/big.tar"), data) {
		t.Fatalf("upload: %v, %d bytes stored", err, len(g.files.File("/layers/big.tar")))
	}
	var got bytes.Buffer
	go func() {
		file, err := client.Open("/layers/big.tar")
		if err == nil {
			_, err = file.WriteTo(&got)
		}
		done <- err
	}()
	if err := g.advanceUntil(done); err != nil || !bytes.Equal(got.Bytes(), data) {
		t.Errorf("download: %v, %d bytes", err, got.Len())
	}
	// READs behind the end of the file may still be in flight.
	if n := g.counters.Get("answers_rejected") + g.counters.Get("answers_failed"); n != 0 {
		t.Errorf("%d requests not served", n)
	}
}

func TestUnsupportedCommandsAreNotSubmitted(t *testing.T) {
	g := newTestGateway(t)
	client := g.client()
	for name, c := range map[string]struct {
		err  error
		want sftpwire.StatusCode
	}{
		"no root":             {errorOf(client.Open("/etc/passwd")), sftpwire.StatusNoSuchFile},
		"path escape":         {errorOf(client.Open("/layers/../etc/passwd")), sftpwire.StatusNoSuchFile},
		"relative escape":     {errorOf(client.Open("../../layers/../x")), sftpwire.StatusNoSuchFile},
		"root as name prefix": {errorOf(client.Open("/layers2/x")), sftpwire.StatusNoSuchFile},
		"NUL":                 {errorOf(client.Open("/layers/a\x00b")), sftpwire.StatusBadMessage},
		"append":              {errorOf(client.OpenFile("/layers/a", os.O_WRONLY|os.O_APPEND)), sftpwire.StatusUnsupported},
		"mkdir":               {client.Mkdir("/layers/a"), sftpwire.StatusUnsupported},
		"list":                {errorOf(client.ReadDir("/layers")), sftpwire.StatusUnsupported},
		"rename":              {client.Rename("/layers/a", "/layers/b"), sftpwire.StatusUnsupported},
	} {
		if c.err == nil || statusOf(c.err) != c.want {
			t.Errorf("%s: %v, want code %d", name, c.err, c.want)
		}
	}
	if n := g.counters.Get("requests_accepted"); n != 0 {
		t.Errorf("%d requests were submitted", n)
	}
	if _, err := client.Open("/layers/none"); statusOf(err) != sftpwire.StatusNoSuchFile {
		t.Errorf("a missing file: %v", err)
	}
}

func TestUnknownHandle(t *testing.T) {
	g := newTestGateway(t)
	conn := g.dialRaw()
	body := appendString(binary.BigEndian.AppendUint32(nil, 1), "99")
	conn.send(packetRead, append(body, make([]byte, 12)...))
	if got := conn.receiveStatus(1); got != sftpwire.StatusFailure {
		t.Errorf("code %d", got)
	}
	if n := g.counters.Get("requests_accepted"); n != 0 {
		t.Errorf("%d requests were submitted", n)
	}
}

// TestRetriedWriteKeepsUploadKey checks that the gateway's retry of a WRITE has the upload key of the first attempt, so that
// the server applies it once; and that a client's retry of a failed WRITE has it too, unless the client has overwritten the
// range in between.
func TestRetriedWriteKeepsUploadKey(t *testing.T) {
	g := newTestGateway(t)
	g.files.Put("/layers/a", nil)
	var failures atomic.Int32
	g.files.AfterEffect = func(command fakefileserver.Command) error {
		if command.Op == "write" && failures.Add(-1) >= 0 {
			return errors.New("response lost")
		}
		return nil
	}
	file, err := g.client().OpenFile("/layers/a", os.O_WRONLY)
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string, failing int32) error {
		failures.Store(failing)
		done := make(chan error, 1)
		go func() { done <- errorOf(file.WriteAt([]byte(text), 0)) }()
		return g.advanceUntil(done) // retries are delayed
	}
	if err := write("A", 1); err != nil {
		t.Fatal(err)
	}
	if keys := writeKeys(g.files); len(keys) != 2 || keys[0] == "" || keys[0] != keys[1] {
		t.Fatalf("retry of the gateway: keys %q", keys)
	}
	if err := write("B", 3); err == nil || !strings.Contains(err.Error(), "may have taken effect") {
		t.Fatalf("three failures: %v", err)
	}
	before := len(writeKeys(g.files))
	if err := write("B", 0); err != nil {
		t.Fatal(err)
	}
	if keys := writeKeys(g.files); keys[before] != keys[before-1] || string(g.files.File("/layers/a")) != "B" {
		t.Errorf("retry of the client: keys %q, file %q", keys, g.files.File("/layers/a"))
	}
	if err := write("A", 0); err != nil || string(g.files.File("/layers/a")) != "A" {
		t.Errorf("written again after B: %q, %v", g.files.File("/layers/a"), err)
	}
}

// writeKeys returns the upload keys of the WRITEs that a file server has received.
func writeKeys(files *fakefileserver.Server) (keys []string) {
	for _, command := range files.Commands() {
		if command.Op == "write" {
			keys = append(keys, command.UploadKey)
		}
	}
	return keys
}

// TestRejectionWhileServerDrains checks that a rejection has a delay for the retry, and that a draining server gets nothing.
func TestRejectionWhileServerDrains(t *testing.T) {
	g := newTestGateway(t)
	g.setServerState(scheduler.Draining)
	client := g.client()
	done := make(chan error, 1)
	go func() { done <- errorOf(client.Open("/layers/a")) }()
	g.waitCountedOnce("requests_accepted")
	err := g.advanceUntil(done)
	if statusOf(err) != sftpwire.StatusFailure || !strings.Contains(err.Error(), "retry after ") {
		t.Errorf("%v", err)
	}
	if commands := g.files.Commands(); len(commands) != 0 {
		t.Errorf("the server received %v", commands)
	}
}

// TestDeadline checks that a WRITE fails at its deadline if the server does not respond, and that the client learns that it
// may have taken effect.
func TestDeadline(t *testing.T) {
	g := newTestGateway(t)
	g.files.Put("/layers/a", nil)
	file, err := g.client().OpenFile("/layers/a", os.O_WRONLY)
	if err != nil {
		t.Fatal(err)
	}
	reached, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	var once sync.Once
	g.files.BeforeEffect = func(command fakefileserver.Command) error {
		if command.Op == "write" {
			once.Do(func() { close(reached) })
			<-release
		}
		return nil
	}
	done := make(chan error, 1)
	go func() { done <- errorOf(file.WriteAt([]byte("x"), 0)) }()
	<-reached
	g.clock.Advance(3100)
	if err := <-done; statusOf(err) != sftpwire.StatusFailure || !strings.Contains(err.Error(), "may have taken effect") {
		t.Errorf("%v", err)
	}
	g.waitCountedOnce("attempts_timed_out")
}

// TestLibraryClientSendsASecondRead checks that the library's client sends a second READ after a short one. This is why
// sftpclient does not use it.
func TestLibraryClientSendsASecondRead(t *testing.T) {
	files := fakefileserver.New(t)
	files.Put("/a", []byte("1234"))
	file, err := newClient(t, dial(t, files.Addr)).Open("/a")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = file.ReadAt(make([]byte, 10), 0) // the file is shorter
	reads := 0
	for _, command := range files.Commands() {
		if command.Op == "read" {
			reads++
		}
	}
	if reads != 2 {
		t.Errorf("%d READs: the library's client may be used", reads)
	}
}
