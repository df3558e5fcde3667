package sftpserver

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"

	"github.com/pkg/sftp"

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
	openEmptying
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
	wantKey int                    // index of the WRITE, counted from 0, whose upload key this one must have, or newKey
	ms      float64                // duration in milliseconds for advanceClock
	flags   uint32                 // flags of the OPEN for openEmptying
	result  lifecycle.ResponseKind // response to the OPEN or WRITE
}

func opens(handle int) writeStep  { return writeStep{kind: openHandle, handle: handle} }
func closes(handle int) writeStep { return writeStep{kind: closeHandle, handle: handle} }
func drops(handle int) writeStep  { return writeStep{kind: loseConnection, handle: handle} }
func waits(ms float64) writeStep  { return writeStep{kind: advanceClock, ms: ms} }
func writes(handle int, offset int64, data string, wantKey int) writeStep {
	return writeStep{kind: write, handle: handle, offset: offset, data: data, wantKey: wantKey}
}
func truncates(handle int) writeStep {
	return writeStep{kind: openEmptying, handle: handle, flags: sftpwire.FlagWrite | sftpwire.FlagCreate | sftpwire.FlagTruncate}
}
func createsExclusively(handle int) writeStep {
	return writeStep{kind: openEmptying, handle: handle, flags: sftpwire.FlagWrite | sftpwire.FlagCreate | sftpwire.FlagExclusive}
}

// fails and rejects return the step with another response.
func fails(step writeStep) writeStep {
	step.result = lifecycle.Failed
	return step
}
func rejects(step writeStep) writeStep {
	step.result = lifecycle.Rejected
	return step
}

// writeClients runs writeSteps. Each handle has a separate connection.
type writeClients struct {
	server      *Server
	loop        *recordingLoop
	clock       *clock.Manual
	twoClients  bool // whether the handles with even numbers belong to a second client
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

// handler returns the handler of the connection of the handle with the given number.
func (c *writeClients) handler(number int) *handler {
	host := "a"
	if c.twoClients && number%2 == 0 {
		host = "b"
	}
	if c.connections[number] == nil {
		c.connections[number] = make(chan struct{})
	}
	return &handler{server: c.server, clientHost: host, disconnected: c.connections[number]}
}

// handle returns the handle with the given number. It opens the handle on first use.
func (c *writeClients) handle(number int) *openFile {
	if c.handles[number] == nil {
		c.handles[number] = newOpenFile(c.handler(number), "/f", sftpwire.FlagWrite)
	}
	return c.handles[number]
}

func (c *writeClients) run(t *testing.T, step writeStep) {
	t.Helper()
	c.loop.response.Kind = step.result
	switch step.kind {
	case openHandle:
		c.handle(step.handle)
	case openEmptying:
		c.openEmptying(t, step)
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

// openEmptying sends an OPEN that empties the file. If it succeeds, the step's handle is the one that it opens.
func (c *writeClients) openEmptying(t *testing.T, step writeStep) {
	t.Helper()
	request := sftp.NewRequest("Put", "/f")
	request.Flags = step.flags
	file, err := c.handler(step.handle).open(request)
	if (err == nil) != (step.result == lifecycle.Served) {
		t.Fatalf("OPEN with response %v returned error %v", step.result, err)
	}
	if err == nil {
		c.handles[step.handle] = file
	}
}

// write sends a WRITE and checks its upload key and its request.
func (c *writeClients) write(t *testing.T, step writeStep) {
	t.Helper()
	if _, err := c.handle(step.handle).WriteAt([]byte(step.data), step.offset); (err == nil) != (step.result == lifecycle.Served) {
		t.Fatalf("WRITE with response %v returned error %v", step.result, err)
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

// TestRetransmittedWritesKeepUploadKey checks which WRITEs are recognized as retransmissions, by the rules in filehistory.go. A WRITE
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

// TestWriteIsExecutedAgainAfterChange guards against a WRITE that gets the response to an earlier one, and is never executed, although
// something changed its range in between: an OPEN that empties the file, or a WRITE of any client. A change that had no effect, or
// took effect before the earlier WRITE, must leave the WRITE a retransmission.
func TestWriteIsExecutedAgainAfterChange(t *testing.T) {
	for name, c := range map[string]struct {
		twoClients bool
		steps      []writeStep
	}{
		"emptied in between":                  {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), truncates(2), writes(2, 0, "aa", newKey)}},
		"emptied, then sent twice":            {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), truncates(2), writes(2, 0, "aa", newKey), drops(2), writes(3, 0, "aa", 1)}},
		"emptied on the same connection":      {false, []writeStep{writes(1, 0, "aa", newKey), truncates(2), writes(3, 0, "aa", newKey)}},
		"emptied before":                      {false, []writeStep{truncates(1), writes(1, 0, "aa", newKey), drops(1), writes(2, 0, "aa", 0)}},
		"emptied by another client":           {true, []writeStep{writes(1, 0, "aa", newKey), drops(1), truncates(2), writes(3, 0, "aa", newKey)}},
		"created anew":                        {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), createsExclusively(2), writes(2, 0, "aa", newKey)}},
		"emptying rejected":                   {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), rejects(truncates(2)), writes(3, 0, "aa", 0)}},
		"emptying failed":                     {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), fails(truncates(2)), writes(3, 0, "aa", newKey)}},
		"failed emptying may be late":         {false, []writeStep{fails(truncates(1)), waits(2000), writes(2, 0, "aa", newKey), drops(2), writes(3, 0, "aa", newKey)}},
		"failed emptying before its deadline": {false, []writeStep{fails(truncates(1)), waits(3000), writes(2, 0, "aa", newKey), drops(2), writes(3, 0, "aa", 0)}},
		"overwritten by another client":       {true, []writeStep{writes(1, 0, "aa", newKey), drops(1), writes(2, 1, "bb", newKey), writes(3, 0, "aa", newKey)}},
		"same data by another client":         {true, []writeStep{writes(1, 0, "aa", newKey), drops(1), writes(2, 0, "aa", newKey), writes(3, 0, "aa", 0)}},
		"adjacent write by another client":    {true, []writeStep{writes(1, 0, "aa", newKey), drops(1), writes(2, 2, "bb", newKey), writes(3, 0, "aa", 0)}},
		"overwriting rejected":                {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), rejects(writes(2, 0, "bb", newKey)), writes(3, 0, "aa", 0)}},
		"overwriting failed":                  {false, []writeStep{writes(1, 0, "aa", newKey), drops(1), fails(writes(2, 0, "bb", newKey)), writes(3, 0, "aa", newKey)}},
		"failed, other handle overwrites":     {false, []writeStep{fails(writes(1, 0, "aa", newKey)), writes(2, 1, "bb", newKey), writes(1, 0, "aa", newKey)}},
		"failed, other client overwrites":     {true, []writeStep{fails(writes(1, 0, "aa", newKey)), writes(2, 1, "bb", newKey), writes(1, 0, "aa", newKey)}},
		"failed, emptied on another handle":   {false, []writeStep{fails(writes(1, 0, "aa", newKey)), truncates(2), writes(1, 0, "aa", newKey)}},
		"failed, emptied by another client":   {true, []writeStep{fails(writes(1, 0, "aa", newKey)), truncates(2), writes(1, 0, "aa", newKey)}},
		"rejected":                            {false, []writeStep{rejects(writes(1, 0, "aa", newKey)), drops(1), writes(2, 0, "aa", newKey)}},
	} {
		t.Run(name, func(t *testing.T) {
			clients := newWriteClients(c.twoClients)
			for _, step := range c.steps {
				clients.run(t, step)
			}
		})
	}
}

// TestPendingChangeMayFollowWrite guards against a WRITE that gets the response to an earlier one although a change was pending when the
// earlier one was received, and may have taken effect after it.
func TestPendingChangeMayFollowWrite(t *testing.T) {
	for name, endFirst := range map[string]bool{"change ends before the resent WRITE": true, "change ends after it": false} {
		t.Run(name, func(t *testing.T) {
			history := &fileHistory{}
			periods := retentionPeriods{otherHandleMs: 1000}
			handleOf := func(client string) *openFile { return &openFile{handler: &handler{clientHost: client}, path: "f"} }
			begin := func(client, data string) (*change, retransmission) {
				write := newWrite(handleOf(client), []byte(data), 0, 0, 0)
				_, kind := history.beginWrite(write, periods, 0)
				return write, kind
			}
			overwriting, _ := begin("b", "bb")
			first, _ := begin("a", "aa")
			history.end(first, changeSucceeded, 0)
			if endFirst {
				history.end(overwriting, changeSucceeded, 0)
			}
			if _, kind := begin("a", "aa"); kind != changedSinceEarlier {
				t.Errorf("resent WRITE is of kind %d, want changedSinceEarlier", kind)
			}
		})
	}
}

// TestFileHistoryIsBounded checks that a history holds at most maxRecordedChanges changes that have ended, and that expired changes
// leave no entries in its index.
func TestFileHistoryIsBounded(t *testing.T) {
	history := &fileHistory{}
	fileAt := func(path string) *openFile { return &openFile{handler: &handler{}, path: path} }
	periods := retentionPeriods{otherHandleMs: 1000}
	files := map[int]*openFile{}
	for i := range 100 {
		files[i] = fileAt(fmt.Sprint("p", i))
	}
	for i := range 3 * maxRecordedChanges {
		nowMs := float64(i) / 100 // none expires
		write := newWrite(files[i%100], []byte{1}, int64(i), nowMs, nowMs)
		history.beginWrite(write, periods, nowMs)
		history.end(write, changeSucceeded, nowMs)
	}
	indexed := 0
	for _, elements := range history.byPath {
		indexed += len(elements)
	}
	if indexed != maxRecordedChanges || history.order.Len() != maxRecordedChanges {
		t.Errorf("history holds %d changes by path and %d in order, want maxRecordedChanges", indexed, history.order.Len())
	}
	_, kind := history.beginWrite(newWrite(fileAt("p0"), []byte{1}, 1, 1e9, 1e9), periods, 1e9)
	if kind != notRetransmission || history.order.Len() != 1 || len(history.byPath) != 1 {
		t.Errorf("history holds %d changes after all but one have expired, want one and no match", history.order.Len())
	}
}

// TestEvictedChangeMakesEarlierWritesNew guards against a WRITE that counts as a retransmission although a change of its range was
// removed from the full history.
func TestEvictedChangeMakesEarlierWritesNew(t *testing.T) {
	history := &fileHistory{}
	file := &openFile{handler: &handler{}, path: "f"}
	resending := &openFile{handler: &handler{}, path: "f"}
	periods := retentionPeriods{otherHandleMs: 1000}
	opening := newEmptying("f", 0, 0)
	history.beginNew(opening, periods, 0)
	write := newWrite(file, []byte{1}, 0, 0, 0)
	history.beginWrite(write, periods, 0)
	history.end(opening, changeSucceeded, 0) // while the WRITE is pending, so it may have emptied the file after the WRITE
	for i := range maxRecordedChanges {
		other := newWrite(&openFile{handler: &handler{}, path: "other"}, []byte{1}, int64(i), 0, 0)
		history.beginWrite(other, periods, 0)
		history.end(other, changeSucceeded, 0)
	}
	if len(history.byPath["f"]) != 1 {
		t.Fatalf("history holds %d changes of the file, want the WRITE alone, which is pending", len(history.byPath["f"]))
	}
	if _, kind := history.beginWrite(newWrite(resending, []byte{1}, 0, 0, 0), periods, 0); kind != changedSinceEarlier {
		t.Errorf("resent WRITE is of kind %d, want changedSinceEarlier", kind)
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
