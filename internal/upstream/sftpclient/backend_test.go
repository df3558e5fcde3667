package sftpclient

import (
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/sftpwire"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// The acts of a stand-in file port on the packet that carries the command, or on the OPEN before it.
const (
	serve = iota
	status
	turnAway
	breakOff
	garbage
	wrongID
	tooLong
	acts
)

// port answers each packet as the next byte of its script says: OPENs on the upper bit's half.
type port struct {
	addr     string
	acts     chan byte
	commands atomic.Int32 // whole READs and WRITEs
}

func newPort(t testing.TB) *port {
	p := &port{acts: make(chan byte, 2)}
	p.addr = testbed.Serve(t, p.connection)
	return p
}

func (p *port) connection(c net.Conn) {
	for {
		typ, body, err := readPacket(c)
		if err != nil {
			return
		}
		var id uint32
		if len(body) >= 4 {
			id = binary.BigEndian.Uint32(body)
		}
		act := byte(serve)
		if typ == typeOpen || typ == typeRead || typ == typeWrite {
			act = <-p.acts
		}
		if typ == typeRead || typ == typeWrite {
			p.commands.Add(1)
		}
		out := newPacket(typeStatus, id).u32(sftpwire.StatusOK).text("").text("")
		switch {
		case act == breakOff:
			return
		case act == garbage:
			out = newPacket(99, id)
		case act == wrongID:
			out = newPacket(typeStatus, id+1).u32(sftpwire.StatusOK).text("").text("")
		case act == tooLong:
			io.WriteString(c, "\xff\xff\xff\xff\x67")
			return
		case act == status:
			out = newPacket(typeStatus, id).u32(sftpwire.StatusFailure).text("disk").text("")
		case act == turnAway:
			out = newPacket(typeStatus, id).u32(sftpwire.StatusFailure).text(sftpwire.UnprocessedPrefix + ": queue full").text("")
		case typ == typeInit:
			out = newPacket(typeVersion, version)
		case typ == typeOpen:
			out = newPacket(typeHandle, id).text("h1")
		case typ == typeRead:
			out = newPacket(typeData, id).text("data")
		}
		c.Write(out.done())
	}
}

// FuzzSession checks random acts of a file port against a model of the session: the command's packet goes out at
// most once, and the attempt ends as never run unless that packet was written whole.
func FuzzSession(f *testing.F) {
	f.Add([]byte{serve, serve, breakOff, 16 + serve, serve})
	f.Add([]byte{16 * breakOff, 128 + serve, breakOff, 128 + breakOff, serve})
	f.Add([]byte{16 * garbage, garbage, wrongID, 16 * tooLong, tooLong, 128 + serve})
	f.Add([]byte{16 * status, status, 16 * turnAway, turnAway, serve, 128 + turnAway})
	f.Fuzz(func(t *testing.T, script []byte) {
		p, now, ends := newPort(t), clock.NewManual(1e12), make(chan lifecycle.AttemptResult, 1)
		// Sessions come back only once their handle is closed, after the answer: there must be enough of them.
		b := New(Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxSessions: 100,
			Address: func(*lifecycle.Server) (string, bool) { return p.addr, true }}, now, metrics.New(),
			func(_ lifecycle.Attempt, r lifecycle.AttemptResult) { ends <- r })
		defer b.Close()
		commands := int32(0)
		for i, x := range script[:min(len(script), 12)] {
			onOpen, onCommand, write := x>>4&7%acts, x&15%acts, x >= 128
			want := [acts]scheduler.Status{scheduler.StatusOK, scheduler.StatusError, scheduler.StatusOverloaded, scheduler.StatusConnectionReset, scheduler.StatusError, scheduler.StatusError, scheduler.StatusError}
			cmd := &sftpwire.Command{Op: sftpwire.OpRead, Path: "/a", Length: 10}
			if write {
				cmd = &sftpwire.Command{Op: sftpwire.OpWrite, Path: "/a", Data: []byte("data"), UploadKey: "k"}
			}
			p.acts <- onOpen
			end := want[onOpen]
			if onOpen == serve {
				p.acts <- onCommand
				end = want[onCommand]
				commands++
			} else if onOpen == breakOff {
				end = scheduler.StatusOverloaded // the command itself never went out
			}
			b.Start(lifecycle.Attempt{Request: &lifecycle.Request{Payload: cmd}, Server: &lifecycle.Server{}, DeadlineMs: now.NowMs() + 1000})
			if res := <-ends; res.Status != end || p.commands.Load() != commands {
				t.Fatalf("attempt %d (%d, %d): status %d, want %d; %d commands, want %d", i, onOpen, onCommand, res.Status, end,
					p.commands.Load(), commands)
			}
		}
	})
}

// FuzzReply: no answer of a node breaks the codec.
func FuzzReply(f *testing.F) {
	f.Add(byte(typeStatus), []byte{0, 0, 0, 2, 0, 0, 0, 1, 'x'})
	f.Add(byte(typeAttrs), []byte{0, 0, 0, 15, 0, 0, 0, 0, 0, 0, 0, 9})
	f.Add(byte(typeData), []byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, typ byte, body []byte) {
		if r, err := reply(typ, &fields{b: body}); err == nil && len(r.Data)+len(r.Message) > len(body) {
			t.Errorf("%+v out of %d bytes", r, len(body))
		}
	})
}

// A session that has stood idle too long is not used any more, and over the cap attempts are turned away unrun.
func TestSessionsAgeAndAreCapped(t *testing.T) {
	p, now, ends, m := newPort(t), clock.NewManual(1e12), make(chan lifecycle.AttemptResult, 1), metrics.New()
	b := New(Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxSessions: 1,
		Address: func(*lifecycle.Server) (string, bool) { return p.addr, true }}, now, m, func(_ lifecycle.Attempt, r lifecycle.AttemptResult) { ends <- r })
	defer b.Close()
	a := lifecycle.Attempt{Request: &lifecycle.Request{Payload: &sftpwire.Command{Op: sftpwire.OpRead, Path: "/a", Length: 4}}, Server: &lifecycle.Server{}, DeadlineMs: 2e12}
	idle := func() *session {
		for {
			b.mu.Lock()
			list := b.idle[p.addr]
			b.mu.Unlock()
			if len(list) > 0 {
				return list[0]
			}
			runtime.Gosched()
		}
	}
	p.acts <- serve
	p.acts <- serve
	b.Start(a)
	if r := <-ends; r.Status != scheduler.StatusOK {
		t.Fatalf("status %d", r.Status)
	}
	first := idle()
	now.Advance(18001)
	p.acts <- serve
	b.Start(a) // its READ is held: no act for it yet
	for len(p.acts) > 0 {
		runtime.Gosched()
	}
	b.Start(a)
	if r := <-ends; r.Status != scheduler.StatusOverloaded {
		t.Errorf("over the cap: status %d", r.Status)
	}
	p.acts <- serve
	if r := <-ends; r.Status != scheduler.StatusOK || idle() == first {
		t.Errorf("status %d, the old session in use: %v", r.Status, idle() == first)
	}
}

// A WRITE that the node cuts off before its last byte has not run, and ends once.
func TestWriteCutOffByTheNode(t *testing.T) {
	addr := testbed.Serve(t, func(c net.Conn) {
		readPacket(c) // INIT
		c.Write(newPacket(typeVersion, version).done())
		_, body, _ := readPacket(c) // OPEN
		c.Write(newPacket(typeHandle, binary.BigEndian.Uint32(body)).text("h").done())
		c.Read(make([]byte, 10))
	})
	now, ends, m := clock.NewManual(1e12), make(chan lifecycle.AttemptResult, 2), metrics.New()
	b := New(Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxSessions: 1,
		Address: func(*lifecycle.Server) (string, bool) { return addr, true }}, now, m, func(_ lifecycle.Attempt, r lifecycle.AttemptResult) { ends <- r })
	cmd := &sftpwire.Command{Op: sftpwire.OpWrite, Path: "/a", UploadKey: "k", Data: make([]byte, 32<<20)} // more than the sockets take in
	b.Start(lifecycle.Attempt{Request: &lifecycle.Request{Payload: cmd}, Server: &lifecycle.Server{}, DeadlineMs: 2e12})
	if r := <-ends; r.Status != scheduler.StatusOverloaded {
		t.Errorf("status %d", r.Status)
	}
	for free := false; !free; { // the session is given back, so nothing of the attempt is left
		b.mu.Lock()
		free = b.count == 0
		b.mu.Unlock()
	}
	if len(ends) != 0 {
		t.Error("a second end")
	}
}

// What has become of an attempt while its session was opened counts before its first packet, whatever the command: none
// goes to a node that drains by then, nor for a client that has left. The session is kept for others.
func TestNothingIsWrittenTooLate(t *testing.T) {
	for name, c := range map[string]struct {
		up   func(left, over *atomic.Bool)
		want scheduler.Status
	}{
		"away":        {func(left, _ *atomic.Bool) { left.Store(true) }, scheduler.StatusCanceled},
		"window over": {func(_, over *atomic.Bool) { over.Store(true) }, scheduler.StatusOverloaded},
	} {
		for _, op := range []sftpwire.Op{sftpwire.OpOpen, sftpwire.OpRead, sftpwire.OpWrite, sftpwire.OpStat} {
			var left, over atomic.Bool
			read := make(chan int, 1)
			addr := testbed.Serve(t, func(nc net.Conn) {
				readPacket(nc) // INIT
				c.up(&left, &over)
				nc.Write(newPacket(typeVersion, version).done())
				n, _ := nc.Read(make([]byte, 1))
				read <- n
			})
			now, ends := clock.NewManual(1e12), make(chan lifecycle.AttemptResult, 2)
			b := New(Options{ConnectTimeoutMs: 5000, ConnIdleTimeoutMs: 30000, MaxSessions: 1, Address: func(*lifecycle.Server) (string, bool) { return addr, true }},
				passing{now, &over}, metrics.New(), func(_ lifecycle.Attempt, r lifecycle.AttemptResult) { ends <- r })
			b.Start(lifecycle.Attempt{Request: &lifecycle.Request{Payload: &sftpwire.Command{Op: op, Path: "/a", UploadKey: "k"}, ClientDisconnected: left.Load}, Server: &lifecycle.Server{},
				DeadlineMs: 2e12, StartDeadlineMs: 1.5e12})
			if r := <-ends; r.Status != c.want {
				t.Errorf("%s, %d: ended as %v", name, op, r.Status)
			}
			b.Close()
			if n := <-read; n != 0 {
				t.Errorf("%s, %d: the node got something", name, op)
			}
		}
	}
}

// passing is a clock that is past the begin of attempts once that is told.
type passing struct {
	*clock.Manual
	over *atomic.Bool
}

func (p passing) NowMs() float64 {
	if p.over.Load() {
		return 1.5e12
	}
	return p.Manual.NowMs()
}
