package sftpserver_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend/sftpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/testbed"
)

// The packet types of SFTP version 3 that the sessions send.
const (
	packetInit   = 1
	packetOpen   = 3
	packetClose  = 4
	packetRead   = 5
	packetWrite  = 6
	packetLstat  = 7
	packetRemove = 13
	packetStat   = 17
)

// compareGolden compares the text with the golden file of that name.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "golden", name+".txt"))
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs from its golden file\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

// cannedLoop answers each request at once. The answer is changed only between packets.
type cannedLoop struct {
	full   bool
	answer lifecycle.Response
}

func (l *cannedLoop) Submit(r *lifecycle.Request) bool {
	if l.full {
		return false
	}
	r.Respond(l.answer)
	return true
}

func (*cannedLoop) Cancel(*lifecycle.Request)                                {}
func (*cannedLoop) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}

// rawSession is a client's connection whose packets are recorded.
type rawSession struct {
	t    *testing.T
	loop *cannedLoop
	nc   net.Conn
	id   uint32
	text strings.Builder
}

func newRawSession(t *testing.T) *rawSession {
	set := testbed.Settings(1)
	s := &rawSession{t: t, loop: &cannedLoop{}}
	front := &sftpserver.Server{Loop: s.loop, Clock: clock.NewManual(start), Metrics: metrics.New(),
		Options: sftpserver.Options{MaxConns: 4, UnitBytes: 1024, ReadClass: set.Classes[0], WriteClass: set.Classes[1], Shards: 1,
			MaxUnits: set.MaxUnits, Roots: []sftpserver.Root{{Path: "/layers", Plan: "business", Volume: 7, Hosts: 1}}}}
	ln := testbed.Listen(t)
	go front.Serve(ln)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	s.nc = nc
	s.exchange("init", packetInit, binary.BigEndian.AppendUint32(nil, 3))
	return s
}

// send writes a packet whose id, if its type has one, is the next, and notes the packet that answers it.
func (s *rawSession) send(name string, typ byte, parts ...any) {
	s.t.Helper()
	s.id++
	body := binary.BigEndian.AppendUint32(nil, s.id)
	for _, part := range parts {
		switch v := part.(type) {
		case uint32:
			body = binary.BigEndian.AppendUint32(body, v)
		case uint64:
			body = binary.BigEndian.AppendUint64(body, v)
		case string:
			body = binary.BigEndian.AppendUint32(body, uint32(len(v)))
			body = append(body, v...)
		}
	}
	s.exchange(name, typ, body)
}

func (s *rawSession) exchange(name string, typ byte, body []byte) {
	s.t.Helper()
	packet := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
	packet = append(append(packet, typ), body...)
	if _, err := s.nc.Write(packet); err != nil {
		s.t.Fatal(err)
	}
	response := make([]byte, 4)
	if _, err := io.ReadFull(s.nc, response); err != nil {
		s.t.Fatal(err)
	}
	rest := make([]byte, binary.BigEndian.Uint32(response))
	if _, err := io.ReadFull(s.nc, rest); err != nil {
		s.t.Fatal(err)
	}
	fmt.Fprintf(&s.text, "%s:\n%x\n", name, append(response, rest...))
}

// open opens a file for reading and writing.
func (s *rawSession) open() {
	s.t.Helper()
	s.loop.answer = lifecycle.Response{Result: &sftpwire.Reply{}}
	s.send("open", packetOpen, "/layers/a", uint32(sftpwire.FlagRead|sftpwire.FlagWrite|sftpwire.FlagCreate), uint32(0))
}

func TestGoldenSession(t *testing.T) {
	s := newRawSession(t)
	s.open()
	s.loop.answer = lifecycle.Response{Result: &sftpwire.Reply{Data: []byte("0123456789")}}
	s.send("read", packetRead, "1", uint64(3), uint32(10))
	s.send("short read", packetRead, "1", uint64(3), uint32(20))
	s.loop.answer = lifecycle.Response{Result: &sftpwire.Reply{Attrs: sftpwire.Attrs{Size: 5003, Mode: 0o100644, Mtime: 1700000000}}}
	s.send("write", packetWrite, "1", uint64(3), "data\x00\xff")
	s.send("stat", packetStat, "/layers/a")
	s.send("lstat", packetLstat, "/layers/a")
	s.send("close", packetClose, "1")
	s.send("close again", packetClose, "1")
	compareGolden(t, "session", s.text.String())
}

func TestGoldenStatuses(t *testing.T) {
	reply := func(code sftpwire.StatusCode) lifecycle.Response {
		return lifecycle.Response{Result: &sftpwire.Reply{Code: code, Message: "the node's own words"}}
	}
	for name, a := range map[string]lifecycle.Response{
		"end-of-file":   reply(sftpwire.StatusEOF),
		"no-such-file":  reply(sftpwire.StatusNoSuchFile),
		"denied":        reply(sftpwire.StatusPermissionDenied),
		"failure":       reply(sftpwire.StatusFailure),
		"bad-message":   reply(sftpwire.StatusBadMessage),
		"unsupported":   reply(sftpwire.StatusUnsupported),
		"unknown-code":  reply(99),
		"refused":       {Kind: lifecycle.Rejected, RetryAfterMs: 90},
		"refused-now":   {Kind: lifecycle.Rejected},
		"failed":        {Kind: lifecycle.Failed},
		"duplicate-id":  {Kind: lifecycle.DuplicateID},
		"exchange-kept": {Kind: lifecycle.Conflict},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawSession(t)
			s.open()
			s.loop.answer = a
			s.send("read", packetRead, "1", uint64(0), uint32(10))
			s.send("write", packetWrite, "1", uint64(0), "data")
			s.send("stat", packetStat, "/layers/a")
			s.send("second open", packetOpen, "/layers/b", uint32(sftpwire.FlagRead), uint32(0))
			compareGolden(t, "status-"+name, s.text.String())
		})
	}
}

func TestGoldenFullInbox(t *testing.T) {
	s := newRawSession(t)
	s.loop.full = true
	s.send("open", packetOpen, "/layers/a", uint32(sftpwire.FlagRead), uint32(0))
	s.send("stat", packetStat, "/layers/a")
	compareGolden(t, "full-inbox", s.text.String())
}

func TestGoldenRejectedCommands(t *testing.T) {
	const appendFlag = 4
	s := newRawSession(t)
	s.loop.answer = lifecycle.Response{Result: &sftpwire.Reply{}}
	s.send("open under no root", packetOpen, "/other/a", uint32(sftpwire.FlagRead), uint32(0))
	s.send("open to append", packetOpen, "/layers/a", uint32(sftpwire.FlagWrite|appendFlag), uint32(0))
	s.send("stat with a NUL", packetStat, "/layers/a\x00b")
	s.send("remove", packetRemove, "/layers/a")
	s.send("open to read", packetOpen, "/layers/a", uint32(sftpwire.FlagRead), uint32(0))
	s.send("write to it", packetWrite, "3", uint64(0), "data")
	s.send("read of an unknown handle", packetRead, "9", uint64(0), uint32(10))
	compareGolden(t, "rejected", s.text.String())
}
