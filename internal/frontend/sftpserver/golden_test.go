package sftpserver_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/frontend/sftpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/sftpwire"
	"gaugerelay/internal/testbed"
)

// cannedLoop gives the same response to each request at once. A test changes its fields only while no packet is being handled.
type cannedLoop struct {
	full     bool // whether the inbox is full, so that Submit returns false
	response lifecycle.Response
}

func (l *cannedLoop) Submit(r *lifecycle.Request) bool {
	if l.full {
		return false
	}
	r.Respond(l.response)
	return true
}

func (*cannedLoop) Cancel(*lifecycle.Request)                                {}
func (*cannedLoop) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}

// rawSession is a client's connection whose responses are recorded.
type rawSession struct {
	t      *testing.T
	loop   *cannedLoop
	conn   rawConn
	lastID uint32
	text   strings.Builder
}

func newRawSession(t *testing.T) *rawSession {
	t.Helper()
	loop, listener := &cannedLoop{}, testbed.Listen(t)
	serve(t, &sftpserver.Server{Loop: loop, Clock: clock.NewManual(startMs), Metrics: metrics.New(),
		Options: serverOptions(testbed.Settings(1))}, listener)
	s := &rawSession{t: t, loop: loop, conn: rawConn{t, dial(t, listener.Addr().String())}}
	s.sendPacket("init", packetInit, binary.BigEndian.AppendUint32(nil, 3))
	return s
}

// send sends a packet with the next id and records the response.
func (s *rawSession) send(name string, packetType byte, fields ...any) {
	s.t.Helper()
	s.lastID++
	body := binary.BigEndian.AppendUint32(nil, s.lastID)
	for _, field := range fields {
		switch v := field.(type) {
		case uint32:
			body = binary.BigEndian.AppendUint32(body, v)
		case uint64:
			body = binary.BigEndian.AppendUint64(body, v)
		case string:
			body = appendString(body, v)
		}
	}
	s.sendPacket(name, packetType, body)
}

// sendPacket sends a packet and records the response.
func (s *rawSession) sendPacket(name string, packetType byte, body []byte) {
	s.t.Helper()
	s.conn.send(packetType, body)
	response := make([]byte, 4)
	if _, err := io.ReadFull(s.conn, response); err != nil {
		s.t.Fatal(err)
	}
	rest := make([]byte, binary.BigEndian.Uint32(response))
	if _, err := io.ReadFull(s.conn, rest); err != nil {
		s.t.Fatal(err)
	}
	fmt.Fprintf(&s.text, "%s:\n%x\n", name, append(response, rest...))
}

// open opens a file for reading and writing.
func (s *rawSession) open() {
	s.t.Helper()
	s.loop.response = lifecycle.Response{Body: &sftpwire.Reply{}}
	s.send("open", packetOpen, "/layers/a", uint32(sftpwire.FlagRead|sftpwire.FlagWrite|sftpwire.FlagCreate), uint32(0))
}

// TestGoldenSession checks that the bytes of successful responses do not change.
func TestGoldenSession(t *testing.T) {
	s := newRawSession(t)
	s.open()
	s.loop.response = lifecycle.Response{Body: &sftpwire.Reply{Data: []byte("0123456789")}}
	s.send("read", packetRead, "1", uint64(3), uint32(10))
	s.send("short read", packetRead, "1", uint64(3), uint32(20))
	s.loop.response = lifecycle.Response{Body: &sftpwire.Reply{Attrs: sftpwire.Attrs{Size: 5003, Mode: 0o100644, Mtime: 1700000000}}}
	s.send("write", packetWrite, "1", uint64(3), "data\x00\xff")
	s.send("stat", packetStat, "/layers/a")
	s.send("lstat", packetLstat, "/layers/a")
	s.send("close", packetClose, "1")
	s.send("close again", packetClose, "1")
	testbed.CompareGolden(t, "session", s.text.String())
}

// TestGoldenStatuses checks that the status code and the text that a client gets for each kind of response do not change.
func TestGoldenStatuses(t *testing.T) {
	reply := func(code sftpwire.StatusCode) lifecycle.Response {
		return lifecycle.Response{Body: &sftpwire.Reply{Code: code, Message: "message of the storage server"}}
	}
	for name, response := range map[string]lifecycle.Response{
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
			s.loop.response = response
			s.send("read", packetRead, "1", uint64(0), uint32(10))
			s.send("write", packetWrite, "1", uint64(0), "data")
			s.send("stat", packetStat, "/layers/a")
			s.send("second open", packetOpen, "/layers/b", uint32(sftpwire.FlagRead), uint32(0))
			testbed.CompareGolden(t, "status-"+name, s.text.String())
		})
	}
}

func TestGoldenFullInbox(t *testing.T) {
	s := newRawSession(t)
	s.loop.full = true
	s.send("open", packetOpen, "/layers/a", uint32(sftpwire.FlagRead), uint32(0))
	s.send("stat", packetStat, "/layers/a")
	testbed.CompareGolden(t, "full-inbox", s.text.String())
}

func TestGoldenRejectedCommands(t *testing.T) {
	const appendFlag = 4
	s := newRawSession(t)
	s.loop.response = lifecycle.Response{Body: &sftpwire.Reply{}}
	s.send("open under no root", packetOpen, "/other/a", uint32(sftpwire.FlagRead), uint32(0))
	s.send("open to append", packetOpen, "/layers/a", uint32(sftpwire.FlagWrite|appendFlag), uint32(0))
	s.send("stat with a NUL", packetStat, "/layers/a\x00b")
	s.send("remove", packetRemove, "/layers/a")
	s.send("open to read", packetOpen, "/layers/a", uint32(sftpwire.FlagRead), uint32(0))
	s.send("write to it", packetWrite, "3", uint64(0), "data")
	s.send("read of an unknown handle", packetRead, "9", uint64(0), uint32(10))
	testbed.CompareGolden(t, "rejected", s.text.String())
}
