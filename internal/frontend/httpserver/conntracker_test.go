package httpserver

import (
	"net"
	"net/http"
	"slices"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// addConn gives a tracker a connection in a state. The other end of its pipe is returned, too.
func addConn(tracker *ConnTracker, state http.ConnState) (conn *clientConn, peer net.Conn) {
	ours, theirs := net.Pipe()
	conn = &clientConn{Conn: ours, tracker: tracker}
	tracker.ConnState(conn, http.StateNew)
	if state != http.StateNew {
		tracker.ConnState(conn, state)
	}
	return conn, theirs
}

// writeInBackground writes to a pipe, where a write waits for its reader. It fails if the connection is shed instead.
func writeInBackground(peer net.Conn, text string) {
	go testbed.TryWrite(peer, text)
}

// When draining, idle connections are closed at once, busy ones after their responses.
func TestConnTrackerDrain(t *testing.T) {
	tracker := &ConnTracker{MaxOpen: 9, Clock: clock.NewManual(0), Metrics: metrics.New()}
	oldestNew, _ := addConn(tracker, http.StateNew)
	idle, _ := addConn(tracker, http.StateIdle)
	busy, _ := addConn(tracker, http.StateActive)
	drained := tracker.Drain()
	if !oldestNew.isShed || !idle.isShed || busy.isShed {
		t.Errorf("shed %v %v %v", oldestNew.isShed, idle.isShed, busy.isShed)
	}
	select {
	case <-drained:
		t.Error("drained with a request open")
	default:
	}
	tracker.ConnState(busy, http.StateIdle)
	<-drained
	if !busy.isShed {
		t.Error("kept after its response")
	}
}

// connModel is a connection and the state that it must be in.
type connModel struct {
	conn  *clientConn
	peer  net.Conn
	state http.ConnState
}

// trackerModel is a tracker with all its connections.
type trackerModel struct {
	t       *testing.T
	now     *clock.Manual
	tracker *ConnTracker
	conns   []*connModel
}

// FuzzConnTracker compares random steps with a model of each connection: silent, busy, idle or closed. Over the limit the
// connections that have been silent or idle longest are shed; one from which a request has been read never is.
func FuzzConnTracker(f *testing.F) {
	f.Add([]byte{0, 0, 0, 9, 2, 10, 6, 0, 0})
	f.Add([]byte{0, 1, 2, 0, 9, 10, 7, 0, 7, 0, 3, 11, 0, 7})
	f.Add([]byte{0, 0, 0, 0, 1, 9, 17, 25, 0, 0, 2, 10, 7, 7, 7, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		now := clock.NewManual(1e12)
		m := &trackerModel{t: t, now: now, tracker: &ConnTracker{MaxOpen: 3, Clock: now, Metrics: metrics.New()}}
		defer func() {
			for _, c := range m.conns {
				c.conn.Conn.Close()
			}
		}()
		for i, step := range steps[:min(len(steps), 60)] {
			m.step(i, step)
			m.check(i)
		}
	})
}

// step takes one step: its lower three bits are what happens, the others choose the connection.
func (m *trackerModel) step(i int, step byte) {
	if step%8 == 0 || len(m.conns) == 0 {
		conn, peer := addConn(m.tracker, http.StateNew)
		m.conns = append(m.conns, &connModel{conn, peer, http.StateNew})
		return
	}
	c := m.conns[int(step>>3)%len(m.conns)]
	switch step % 8 {
	case 1, 5:
		m.clientSends(i, c)
	case 2: // the response is written
		if c.state == http.StateActive {
			m.tracker.ConnState(c.conn, http.StateActive)
			m.tracker.ConnState(c.conn, http.StateIdle)
			c.state = http.StateIdle
		}
	case 3: // the connection ends
		if c.state != http.StateClosed {
			m.tracker.ConnState(c.conn, http.StateClosed)
			c.state = http.StateClosed
		}
	default:
		m.now.Advance(400)
	}
}

// clientSends reads a byte from a silent or idle connection.
func (m *trackerModel) clientSends(i int, c *connModel) {
	if c.state != http.StateNew && c.state != http.StateIdle {
		return
	}
	writeInBackground(c.peer, "x")
	n, err := c.conn.Read(make([]byte, 1))
	if (n == 1) == c.conn.isShed {
		m.t.Fatalf("step %d: read %d, %v; shed: %v", i, n, err, c.conn.isShed)
	}
	if n == 1 {
		c.state = http.StateActive // in the model: the server has yet to notice
	}
}

// check compares the tracker with the model.
func (m *trackerModel) check(i int) {
	open, sheddable := 0, 0
	for j, c := range m.conns {
		if c.conn.isShed && c.state == http.StateActive {
			m.t.Fatalf("step %d: connection %d was shed with a request", i, j)
		}
		if !c.conn.isShed && c.state != http.StateClosed {
			open++
			if c.state != http.StateActive {
				sheddable++
			}
		}
	}
	if open != m.tracker.open || open > m.tracker.MaxOpen && sheddable > 0 {
		m.t.Fatalf("step %d: %d open, counted as %d, %d could be shed", i, open, m.tracker.open, sheddable)
	}
}

// A request read from a connection that is shed in that moment is not accepted: its client sends it again.
func TestReadWhileShedding(t *testing.T) {
	tracker := &ConnTracker{MaxOpen: 1, Clock: clock.NewManual(0), Metrics: metrics.New()}
	ours, theirs := net.Pipe()
	conn := &clientConn{tracker: tracker}
	conn.Conn = hookedConn{ours, func() { tracker.shed(conn) }}
	tracker.ConnState(conn, http.StateNew)
	writeInBackground(theirs, "GET")
	if n, err := conn.Read(make([]byte, 3)); n != 0 || err == nil {
		t.Errorf("read %d, %v", n, err)
	}
}

// hookedConn is a connection that calls a function after each read.
type hookedConn struct {
	net.Conn
	afterRead func()
}

func (c hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.afterRead()
	return n, err
}

// Idle connections are shed after the platform's two seconds while more than half of MaxOpen are open; a silent one is shed
// before them only if it has had time to send something.
func TestIdleAndSilentConnections(t *testing.T) {
	now := clock.NewManual(0)
	tracker := &ConnTracker{MaxOpen: 4, Clock: now, Metrics: metrics.New()}
	var conns []*clientConn
	add := func(state http.ConnState) {
		conn, _ := addConn(tracker, state)
		conns = append(conns, conn)
	}
	checkShed := func(when string, want ...int) {
		t.Helper()
		for i, conn := range conns {
			if conn.isShed != slices.Contains(want, i) {
				t.Errorf("%s: connection %d shed: %v", when, i, conn.isShed)
			}
		}
	}
	add(http.StateIdle)
	add(http.StateIdle)
	now.Advance(60_000)
	checkShed("half taken")
	add(http.StateIdle)
	checkShed("over half", 0)
	add(http.StateIdle)
	checkShed("over half again", 0, 1)
	add(http.StateNew)
	now.Advance(1999)
	checkShed("just before", 0, 1)
	now.Advance(1)
	checkShed("after two seconds", 0, 1, 2)
	add(http.StateNew)
	tracker.MaxOpen = 1
	tracker.ConnState(conns[5], http.StateActive)
	checkShed("a silent one first", 0, 1, 2, 3, 4)
}
