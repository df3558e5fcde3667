package sftpserver

import (
	"errors"
	"strings"
	"testing"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/sftpwire"
)

// fileLoop executes commands on one file. Like an exchange store or a server with deduplication, it does not execute a WRITE whose
// upload key it has seen before.
type fileLoop struct {
	content   string
	maxRead   int // largest number of bytes that a READ returns
	readKind  lifecycle.ResponseKind
	keys      map[string]bool
	writes    int // executed WRITEs
	reads     int
	deadlines []float64 // remaining time of each command in milliseconds
}

func (l *fileLoop) Submit(r *lifecycle.Request) bool {
	l.deadlines = append(l.deadlines, r.RemainingMs)
	command := r.Payload.(*sftpwire.Command)
	if command.Op == sftpwire.OpRead {
		l.reads++
		r.Respond(lifecycle.Response{Kind: l.readKind, Body: l.read(int(command.Offset), int(command.Length))})
		return true
	}
	if !l.keys[command.UploadKey] {
		l.keys[command.UploadKey] = true
		l.writes++
		end := int(command.Offset) + len(command.Data)
		content := l.content + strings.Repeat("\x00", max(0, end-len(l.content)))
		l.content = content[:command.Offset] + string(command.Data) + content[end:]
	}
	r.Respond(lifecycle.Response{Body: &sftpwire.Reply{}})
	return true
}

func (l *fileLoop) read(offset, length int) *sftpwire.Reply {
	if offset >= len(l.content) {
		return &sftpwire.Reply{Code: sftpwire.StatusEOF}
	}
	return &sftpwire.Reply{Data: []byte(l.content[offset:min(len(l.content), offset+length, offset+l.maxRead)])}
}

func (l *fileLoop) Cancel(*lifecycle.Request)                                {}
func (l *fileLoop) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}

// TestRetransmissionAfterChangeThroughOtherGateway guards against a WRITE that is answered and not executed although another gateway has
// changed its range since an equal WRITE. Where the file still has the data, the WRITE must not be executed again.
func TestRetransmissionAfterChangeThroughOtherGateway(t *testing.T) {
	for name, c := range map[string]struct {
		gateways    int
		changed     string // content of the file when the WRITE comes again
		maxRead     int
		readKind    lifecycle.ResponseKind
		wantWrites  int
		wantReads   int
		wantContent string
		wantErr     error
	}{
		"unchanged":                {2, "abcd", 64, lifecycle.Served, 1, 1, "abcd", nil},
		"unchanged, short reads":   {2, "abcd", 1, lifecycle.Served, 1, 3, "abcd", nil},
		"changed elsewhere":        {2, "aXcd", 64, lifecycle.Served, 2, 1, "abcd", nil},
		"changed, short reads":     {2, "abcX", 1, lifecycle.Served, 2, 3, "abcd", nil},
		"emptied elsewhere":        {2, "", 64, lifecycle.Served, 2, 1, "\x00bcd", nil},
		"cut short elsewhere":      {2, "abc", 64, lifecycle.Served, 2, 2, "abcd", nil},
		"READ fails":               {2, "abcd", 64, lifecycle.Failed, 1, 1, "abcd", errMayHaveExecuted},
		"READ is rejected":         {2, "aXcd", 64, lifecycle.Rejected, 1, 1, "aXcd", errMayHaveExecuted},
		"no other gateway":         {1, "abcd", 64, lifecycle.Served, 1, 0, "abcd", nil},
		"number of gateways unset": {0, "abcd", 64, lifecycle.Served, 1, 0, "abcd", nil},
	} {
		t.Run(name, func(t *testing.T) {
			clients := newWriteClients(false)
			loop := &fileLoop{content: "abcd", maxRead: c.maxRead, readKind: c.readKind, keys: map[string]bool{}}
			clients.server.Loop = loop
			clients.server.Roots[0].Gateways = c.gateways
			if _, err := clients.handle(1).WriteAt([]byte("bcd"), 1); err != nil {
				t.Fatal(err)
			}
			loop.content = c.changed
			clients.run(t, drops(1))
			_, err := clients.handle(2).WriteAt([]byte("bcd"), 1)
			if !errors.Is(err, c.wantErr) || loop.writes != c.wantWrites || loop.reads != c.wantReads || loop.content != c.wantContent {
				t.Errorf("resent WRITE: error %v, %d WRITEs executed, %d READs, content %q; want %v, %d, %d, %q",
					err, loop.writes, loop.reads, loop.content, c.wantErr, c.wantWrites, c.wantReads, c.wantContent)
			}
		})
	}
}

// TestFailedWriteAfterChangeThroughOtherGateway guards against a failed WRITE that is sent again on its handle and dropped by the server
// because of its key, although another gateway has changed its range in between. It also checks that all commands together have no more
// time than the class of the WRITE.
func TestFailedWriteAfterChangeThroughOtherGateway(t *testing.T) {
	clients := newWriteClients(false)
	clients.server.Roots[0].Gateways = 2
	file := clients.handle(1)
	clients.loop.response.Kind = lifecycle.Failed
	if _, err := file.WriteAt([]byte("bcd"), 1); err == nil {
		t.Fatal("the first WRITE did not fail")
	}
	failedKey := clients.loop.requests[0].Payload.(*sftpwire.Command).UploadKey
	loop := &fileLoop{content: "aXcd", maxRead: 64, keys: map[string]bool{failedKey: true}}
	clients.server.Loop = loop
	clients.clock.Advance(1000)
	if _, err := file.WriteAt([]byte("bcd"), 1); err != nil || loop.content != "abcd" || loop.writes != 1 {
		t.Errorf("WRITE sent again: error %v, content %q, %d WRITEs executed; want none, abcd and 1", err, loop.content, loop.writes)
	}
	for i, remainingMs := range loop.deadlines {
		if remainingMs > 3000 {
			t.Errorf("command %d has %v ms, want no more than the 3000 ms of the WRITE", i, remainingMs)
		}
	}
}
