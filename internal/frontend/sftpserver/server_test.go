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

// TestWriteReadStat checks that OPEN, WRITE, READ and STAT reach the storage server, and that each of them is one request.
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
		t.Fatalf("READ of what was written returned %d bytes and error %v, want the same data", len(got), err)
	}
	if info, err := client.Stat("/layers/a.tar"); err != nil || info.Size() != 5003 {
		t.Errorf("STAT returned %v and error %v, want size 5003", info, err)
	}
	accepted, served := g.counters.Get("requests_accepted"), g.counters.Get("answers_served")
	if accepted != 4 || served != 4 {
		t.Errorf("OPEN, WRITE, READ and STAT caused %d accepted and %d served requests, want 4 of each", accepted, served)
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
		t.Fatalf("upload: error %v, %d bytes stored; want the whole file", err, len(g.files.File("/layers/big.tar")))
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
		t.Errorf("download: error %v, got %d bytes; want the whole file", err, got.Len())
	}
	// The number of served requests is not checked, because READs past the end of the file may still be in flight.
	if n := g.counters.Get("answers_rejected") + g.counters.Get("answers_failed"); n != 0 {
		t.Errorf("%d requests were rejected or failed, want 0", n)
	}
}

// TestUnsupportedCommandsAreNotSubmitted checks that commands that are not supported, or whose path is invalid or below no root, get
// an error and are not submitted. An OPEN of a missing file below a root is submitted.
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
			t.Errorf("%s: got error %v, want status code %d", name, c.err, c.want)
		}
	}
	if n := g.counters.Get("requests_accepted"); n != 0 {
		t.Errorf("%d requests were submitted for unsupported commands, want 0", n)
	}
	if _, err := client.Open("/layers/none"); statusOf(err) != sftpwire.StatusNoSuchFile {
		t.Errorf("OPEN of a missing file: got error %v, want NO_SUCH_FILE", err)
	}
}

// TestUnknownHandle checks that a READ of a handle that was never opened fails and is not submitted.
func TestUnknownHandle(t *testing.T) {
	g := newTestGateway(t)
	conn := g.dialRaw()
	body := appendString(binary.BigEndian.AppendUint32(nil, 1), "99")
	conn.send(packetRead, append(body, make([]byte, 12)...))
	if got := conn.receiveStatus(1); got != sftpwire.StatusFailure {
		t.Errorf("READ of an unknown handle: got status code %d, want FAILURE", got)
	}
	if n := g.counters.Get("requests_accepted"); n != 0 {
		t.Errorf("%d requests were submitted for an unknown handle, want 0", n)
	}
}

// TestRetriedWriteKeepsUploadKey checks that the gateway's retry of a WRITE has the upload key of the first attempt, so that the
// server applies the WRITE once. A client's retry of a failed WRITE must have the upload key of the failed WRITE, unless the client
// has overwritten the range in between.
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
		return g.advanceUntil(done) // the gateway retries after a delay, so the clock must advance
	}
	if err := write("A", 1); err != nil {
		t.Fatal(err)
	}
	if keys := writeKeys(g.files); len(keys) != 2 || keys[0] == "" || keys[0] != keys[1] {
		t.Fatalf("retry of the gateway: got upload keys %q, want the same key twice", keys)
	}
	if err := write("B", 3); err == nil || !strings.Contains(err.Error(), "may have taken effect") {
		t.Fatalf("WRITE with three failed attempts: got error %v, want one that says it may have taken effect", err)
	}
	before := len(writeKeys(g.files))
	if err := write("B", 0); err != nil {
		t.Fatal(err)
	}
	if keys := writeKeys(g.files); keys[before] != keys[before-1] || string(g.files.File("/layers/a")) != "B" {
		t.Errorf("retry of the client: got upload keys %q and file content %q, want the key of the failed WRITE and content B",
			keys, g.files.File("/layers/a"))
	}
	if err := write("A", 0); err != nil || string(g.files.File("/layers/a")) != "A" {
		t.Errorf("WRITE of A again after B: got file content %q and error %v, want A", g.files.File("/layers/a"), err)
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

// TestRejectionWhileServerDrains checks that a rejection states the delay for the retry, and that a draining server receives no
// command.
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
		t.Errorf("draining server received commands %v, want none", commands)
	}
}

// TestDeadline checks that a WRITE fails at its deadline if the server does not respond, and that the error says that the WRITE
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
	g.clock.Advance(3100) // the deadline of the write class is 3 s
	if err := <-done; statusOf(err) != sftpwire.StatusFailure || !strings.Contains(err.Error(), "may have taken effect") {
		t.Errorf("%v", err)
	}
	g.waitCountedOnce("attempts_timed_out")
}

// TestLibraryClientSendsASecondRead checks that the library's client sends a second READ after a short one. sftpclient does not use
// the library's client because of this.
func TestLibraryClientSendsASecondRead(t *testing.T) {
	files := fakefileserver.New(t)
	files.Put("/a", []byte("1234"))
	file, err := newClient(t, dial(t, files.Addr)).Open("/a")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = file.ReadAt(make([]byte, 10), 0) // returns EOF, since the file is shorter
	reads := 0
	for _, command := range files.Commands() {
		if command.Op == "read" {
			reads++
		}
	}
	if reads != 2 {
		t.Errorf("library's client sent %d READs, want 2: if it now sends one, sftpclient may use it", reads)
	}
}
