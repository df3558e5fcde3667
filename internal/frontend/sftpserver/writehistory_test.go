package sftpserver

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"
)

// recordingLoop records the requests and gives the same response to each at once. It has no exchange store.
type recordingLoop struct {
	requests []*lifecycle.Request
	response lifecycle.Response
}

func (l *recordingLoop) Submit(r *lifecycle.Request) bool {
	l.requests = append(l.requests, r)
	r.Respond(l.response)
	return true
}
func (l *recordingLoop) Cancel(*lifecycle.Request)                                {}
func (l *recordingLoop) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}

// newKey is the wantKey of a WRITE that is not a retransmission and so has a new upload key.
const newKey = -1

// stepKind is the action of a writeStep.
type stepKind int

const (
	openHandle stepKind = iota
	closeHandle
	loseConnection
	advanceClock
	write
)

// writeStep is a step of a retransmission test. The first step that uses a handle opens it.
type writeStep struct {
	kind    stepKind
	handle  int
	offset  int64
	data    string
	wantKey int     // index of the WRITE, counted from 0, whose upload key this one must have, or newKey
	ms      float64 // duration in milliseconds for advanceClock
}

func opens(handle int) writeStep  { return writeStep{kind: openHandle, handle: handle} }
func closes(handle int) writeStep { return writeStep{kind: closeHandle, handle: handle} }
func drops(handle int) writeStep  { return writeStep{kind: loseConnection, handle: handle} }
func waits(ms float64) writeStep  { return writeStep{kind: advanceClock, ms: ms} }
func writes(handle int, offset int64, data string, wantKey int) writeStep {
	return writeStep{kind: write, handle: handle, offset: offset, data: data, wantKey: wantKey}
}

// writeClients runs writeSteps. Each handle has a separate connection.
type writeClients struct {
	server      *Server
	loop        *recordingLoop
	clock       *clock.Manual
	twoClients  bool // whether the handles with numbers above 1 belong to a second client
	handles     map[int]*openFile
	connections map[int]chan struct{} // one channel for each handle number; closed when the connection of the handle is lost
	keys        []string              // exchange keys of the WRITEs in the order of sending; each contains the upload key
}

func newWriteClients(twoClients bool) *writeClients {
	loop := &recordingLoop{response: lifecycle.Response{Body: &sftpwire.Reply{}}}
	now := clock.NewManual(1e6)
	server := &Server{Loop: loop, Clock: now, Metrics: metrics.New(), Options: Options{
		UnitBytes: 1024, Shards: 1, MaxUnits: 6, RetentionMs: 5000,
		WriteClass: scheduler.Class{Name: "push", DedupWindow: 3e9, Deadline: 3e9},
		Roots:      []Root{{Path: "/", Plan: "basic"}}}}
	return &writeClients{server: server, loop: loop, clock: now, twoClients: twoClients,
		handles: map[int]*openFile{}, connections: map[int]chan struct{}{}}
}

// handle returns the handle with the given number. It opens the handle on first use.
func (c *writeClients) handle(number int) *openFile {
	if c.handles[number] == nil {
		host := "a"
		if c.twoClients && number > 1 {
			host = "b"
		}
		c.connections[number] = make(chan struct{})
		h := &handler{server: c.server, clientHost: host, disconnected: c.connections[number]}
		c.handles[number] = newOpenFile(h, "/f", sftpwire.FlagWrite)
	}
	return c.handles[number]
}

func (c *writeClients) run(t *testing.T, step writeStep) {
	t.Helper()
	switch step.kind {
	case openHandle:
		c.handle(step.handle)
	case closeHandle:
		c.close(t, step.handle)
	case loseConnection:
		close(c.connections[step.handle])
		c.close(t, step.handle)
	case advanceClock:
		c.clock.Advance(step.ms)
	case write:
		c.write(t, step)
	}
}

func (c *writeClients) close(t *testing.T, handle int) {
	t.Helper()
	if err := c.handle(handle).Close(); err != nil {
		t.Fatal(err)
	}
}

// write sends a WRITE and checks its upload key and its request.
func (c *writeClients) write(t *testing.T, step writeStep) {
	t.Helper()
	if _, err := c.handle(step.handle).WriteAt([]byte(step.data), step.offset); err != nil {
		t.Fatal(err)
	}
	request := c.loop.requests[len(c.loop.requests)-1]
	device := request.Device
	got := slices.Index(c.keys, device.Key) // -1, which equals newKey, if the key is new
	wantRetry := step.wantKey != newKey
	if got != step.wantKey || request.IsRetry != wantRetry || request.IsRetry != (device.AgeMs >= 0) {
		t.Errorf("write %d has the upload key of write %d, want %d (-1: a new key); request has IsRetry %v and age %v",
			len(c.keys), got, step.wantKey, request.IsRetry, device.AgeMs)
	}
	payload := device.BuildPayload("", device.Body).(*sftpwire.Command)
	if device.BodyDigest != sha256.Sum256([]byte(step.data)) || !bytes.Equal(payload.Data, []byte(step.data)) {
		t.Errorf("write %d was submitted with other data than the client wrote", len(c.keys))
	}
	c.keys = append(c.keys, device.Key)
}

// TestRetransmittedWritesKeepUploadKey checks which WRITEs are recognized as retransmissions, by the rules in writehistory.go. A WRITE
// is recognized until its DedupWindow and RetentionMs have passed, which is 8 s here.
func TestRetransmittedWritesKeepUploadKey(t *testing.T) {
	for name, c := range map[string]struct {
		twoClients bool
		steps      []writeStep
	}{
		"after a lost connection":        {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), writes(2, 0, "aa", 0)}},
		"first connection seems open":    {false, []writeStep{writes(1, 0, "aa", newKey), writes(2, 0, "aa", 0), writes(3, 0, "aa", 0)}},
		"first arrives last":             {false, []writeStep{opens(1), writes(2, 0, "aa", newKey), closes(2), writes(1, 0, "aa", 0)}},
		"opened after an orderly close":  {false, []writeStep{writes(1, 0, "aa", newKey), waits(1), closes(1), waits(1), writes(2, 0, "aa", newKey)}},
		"other data":                     {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), writes(2, 0, "ab", newKey)}},
		"other offset":                   {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), writes(2, 2, "aa", newKey)}},
		"overwritten in between":         {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), writes(2, 1, "bb", newKey), writes(2, 0, "aa", newKey)}},
		"adjacent write in between":      {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), writes(2, 2, "bb", newKey), writes(2, 0, "aa", 0)}},
		"same handle after success":      {false, []writeStep{writes(1, 0, "aa", newKey), writes(1, 0, "aa", newKey)}},
		"other client":                   {true, []writeStep{writes(1, 0, "aa", newKey), drops(1), writes(2, 0, "aa", newKey)}},
		"after the retention":            {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), waits(9000), writes(2, 0, "aa", newKey)}},
		"after the deduplication window": {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), waits(5000), writes(2, 0, "aa", 0)}},
		"latest write counts":            {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), writes(2, 0, "bb", newKey), drops(2), writes(3, 0, "bb", 1), writes(4, 0, "aa", newKey)}},
	} {
		t.Run(name, func(t *testing.T) {
			clients := newWriteClients(c.twoClients)
			for _, step := range c.steps {
				clients.run(t, step)
			}
		})
	}
}

// TestWriteHistoryIsBounded checks that a history holds at most maxRecordedWrites writes, and that expired writes leave no entries in
// its index.
func TestWriteHistoryIsBounded(t *testing.T) {
	history := &writeHistory{}
	fileAt := func(path string) *openFile { return &openFile{handler: &handler{}, path: path} }
	files := map[int]*openFile{}
	for i := range 100 {
		files[i] = fileAt(fmt.Sprint("p", i))
	}
	for i := range 3 * maxRecordedWrites {
		history.add(files[i%100], writeRecord{offset: int64(i), size: 1, firstReceivedMs: float64(i)})
	}
	indexed := 0
	for _, elements := range history.byClientAndPath {
		indexed += len(elements)
	}
	if indexed != maxRecordedWrites || history.order.Len() != maxRecordedWrites {
		t.Errorf("history holds %d writes by client and path and %d in order, want maxRecordedWrites", indexed, history.order.Len())
	}
	_, found := history.find(fileAt("p0"), &writeRecord{offset: 1, size: 1, firstReceivedMs: 1e9}, 1000)
	if found || history.order.Len() != 0 || len(history.byClientAndPath) != 0 {
		t.Errorf("history holds %d writes after all have expired, want an empty history and no match", history.order.Len())
	}
}

// TestFailedWriteOnSameHandle checks that a failed WRITE that is sent again on the same handle keeps its upload key, unless its
// range has been overwritten in between.
func TestFailedWriteOnSameHandle(t *testing.T) {
	for name, c := range map[string]struct {
		offsetBetween int64
		wantSameKey   bool
	}{
		"adjacent write in between": {2, true},
		"overwritten in between":    {1, false},
	} {
		t.Run(name, func(t *testing.T) {
			clients := newWriteClients(false)
			served := clients.loop.response
			file := clients.handle(1)
			clients.loop.response = lifecycle.Response{Kind: lifecycle.Failed}
			if _, err := file.WriteAt([]byte("aa"), 0); err == nil {
				t.Fatal("the first write did not fail")
			}
			clients.loop.response = served
			if _, err := file.WriteAt([]byte("bb"), c.offsetBetween); err != nil {
				t.Fatal(err)
			}
			if _, err := file.WriteAt([]byte("aa"), 0); err != nil {
				t.Fatal(err)
			}
			first, last := clients.loop.requests[0].Device.Key, clients.loop.requests[2].Device.Key
			if (first == last) != c.wantSameKey {
				t.Errorf("first and last WRITE have upload keys %q and %q, want the same key: %v", first, last, c.wantSameKey)
			}
		})
	}
}
