package sftpserver_test

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"

	"gaugerelay/internal/sftpwire"
)

// maxFuzzSteps bounds the number of steps that are run for one input.
const maxFuzzSteps = 24

// fuzzStep is a step of FuzzConnection. Its bits choose the command and its arguments.
type fuzzStep byte

// The commands of a fuzzStep.
const (
	stepOpen = iota
	stepClose
	stepWrite
	stepRead
	stepStat
	stepCommandCount
)

func (s fuzzStep) command() int         { return int(s % stepCommandCount) }
func (s fuzzStep) usesOpenHandle() bool { return s&8 == 0 }
func (s fuzzStep) creates() bool        { return s&16 != 0 }
func (s fuzzStep) handleIndex() int     { return int(s >> 4) }
func (s fuzzStep) offset() uint64       { return uint64(s >> 5) }

// Data of each WRITE, and length of each READ in bytes.
const (
	fuzzData       = "xyz"
	fuzzReadLength = 4
)

// connectionModel runs commands on a connection and checks the responses against its own state: the open handles and the content
// of the only file.
type connectionModel struct {
	t            *testing.T
	conn         rawConn
	id           uint32 // id of the last packet
	opens        uint32 // number of OPENs that were sent
	handles      []string
	closedHandle string
	exists       bool
	content      []byte
}

// FuzzConnection checks the responses to random commands of a client against a model of its connection. Each command must get one
// response, and each accepted request must be served.
func FuzzConnection(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4})
	f.Add([]byte{0, 0, 9, 17, 2, 1, 33, 5, 4, 3, 1})
	f.Add([]byte{1, 2, 5, 0, 41, 2, 6, 3, 0, 2, 7, 11})
	f.Fuzz(func(t *testing.T, steps []byte) {
		g := newTestGateway(t)
		g.server.Roots[0].Volume = 1
		model := &connectionModel{t: t, conn: g.dialRaw(), closedHandle: "404"}
		for _, step := range steps[:min(len(steps), maxFuzzSteps)] {
			model.run(fuzzStep(step))
		}
		g.loop.Sync()
		accepted, served := g.counters.Get("requests_accepted"), g.counters.Get("answers_served")
		if served != accepted || g.loop.OpenRequests() != 0 {
			t.Fatalf("%d requests accepted, %d served, %d open; want all served and none open",
				accepted, served, g.loop.OpenRequests())
		}
	})
}

func (m *connectionModel) run(step fuzzStep) {
	m.t.Helper()
	m.id++
	switch step.command() {
	case stepOpen:
		m.open(step)
	case stepClose:
		m.close(step)
	case stepWrite:
		m.write(step)
	case stepRead:
		m.read(step)
	case stepStat:
		m.stat(step)
	}
}

// send sends a packet with the current id.
func (m *connectionModel) send(packetType byte, fields []byte) {
	m.t.Helper()
	m.conn.send(packetType, append(binary.BigEndian.AppendUint32(nil, m.id), fields...))
}

// wantStatus receives the response to the current command, which must be a STATUS with the given code.
func (m *connectionModel) wantStatus(step fuzzStep, want sftpwire.StatusCode) {
	m.t.Helper()
	if got := m.conn.receiveStatus(m.id); got != want {
		m.t.Fatalf("step %d (%d): got status code %d, want %d", m.id, step, got, want)
	}
}

// handle returns the handle that a step uses and whether the handle is open.
func (m *connectionModel) handle(step fuzzStep) (handle string, isOpen bool) {
	if len(m.handles) == 0 || !step.usesOpenHandle() {
		return m.closedHandle, false
	}
	return m.handles[step.handleIndex()%len(m.handles)], true
}

func (m *connectionModel) open(step fuzzStep) {
	m.t.Helper()
	flags := uint32(sftpwire.FlagRead | sftpwire.FlagWrite)
	if step.creates() {
		flags |= sftpwire.FlagCreate
	}
	m.opens++
	fields := binary.BigEndian.AppendUint32(appendString(nil, "/layers/f"), flags)
	m.send(packetOpen, binary.BigEndian.AppendUint32(fields, 0)) // no attributes
	m.exists = m.exists || step.creates()
	if !m.exists {
		m.wantStatus(step, sftpwire.StatusNoSuchFile)
		return
	}
	m.handles = append(m.handles, fmt.Sprint(m.opens))
	m.conn.receive(packetHandle, m.id)
}

func (m *connectionModel) close(step fuzzStep) {
	m.t.Helper()
	handle, isOpen := m.handle(step)
	m.send(packetClose, appendString(nil, handle))
	if !isOpen {
		m.wantStatus(step, sftpwire.StatusFailure)
		return
	}
	m.closedHandle = handle
	m.handles = slices.DeleteFunc(m.handles, func(other string) bool { return other == handle })
	m.wantStatus(step, sftpwire.StatusOK)
}

func (m *connectionModel) write(step fuzzStep) {
	m.t.Helper()
	handle, isOpen := m.handle(step)
	m.send(packetWrite, appendString(binary.BigEndian.AppendUint64(appendString(nil, handle), step.offset()), fuzzData))
	if !isOpen {
		m.wantStatus(step, sftpwire.StatusFailure)
		return
	}
	end := int(step.offset()) + len(fuzzData)
	m.content = append(m.content, make([]byte, max(0, end-len(m.content)))...)
	copy(m.content[step.offset():], fuzzData)
	m.wantStatus(step, sftpwire.StatusOK)
}

func (m *connectionModel) read(step fuzzStep) {
	m.t.Helper()
	handle, isOpen := m.handle(step)
	fields := binary.BigEndian.AppendUint64(appendString(nil, handle), step.offset())
	m.send(packetRead, binary.BigEndian.AppendUint32(fields, fuzzReadLength))
	offset := int(step.offset())
	switch {
	case !isOpen:
		m.wantStatus(step, sftpwire.StatusFailure)
	case offset >= len(m.content):
		m.wantStatus(step, sftpwire.StatusEOF)
	default:
		want := m.content[offset:min(len(m.content), offset+fuzzReadLength)]
		if got := m.conn.receive(packetData, m.id); string(got[4:]) != string(want) {
			m.t.Fatalf("READ returned %q, want %q at offset %d", got[4:], want, offset)
		}
	}
}

func (m *connectionModel) stat(step fuzzStep) {
	m.t.Helper()
	m.send(packetStat, appendString(nil, "/layers/f"))
	if !m.exists {
		m.wantStatus(step, sftpwire.StatusNoSuchFile)
		return
	}
	if got := m.conn.receive(packetAttrs, m.id); binary.BigEndian.Uint64(got[4:]) != uint64(len(m.content)) {
		m.t.Fatalf("STAT returned attributes %x, want size %d", got, len(m.content))
	}
}
