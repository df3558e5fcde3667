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

// addConn adds a connection in the given state to a tracker. It returns the connection and the client's end of it.
func addConn(tracker *ConnTracker, state http.ConnState) (conn *clientConn, client net.Conn) {
	serverSide, clientSide := net.Pipe()
	conn = &clientConn{Conn: serverSide, tracker: tracker}
	tracker.ConnState(conn, http.StateNew)
	if state != http.StateNew {
		tracker.ConnState(conn, state)
	}
	return conn, clientSide
}

// writeInBackground writes to a pipe, where a write blocks until the other end reads. Errors are ignored, because the connection
// may be shed before the text is read.
func writeInBackground(client net.Conn, text string) {
	go testbed.TryWrite(client, text)
}

// Drain must shed new and idle connections at once, and busy connections only after their responses.
func TestConnTrackerDrain(t *testing.T) {
	tracker := &ConnTracker{SheddingThreshold: 9, Clock: clock.NewManual(0), Metrics: metrics.New()}
	oldestNew, _ := addConn(tracker, http.StateNew)
	idle, _ := addConn(tracker, http.StateIdle)
	busy, _ := addConn(tracker, http.StateActive)
	drained := tracker.Drain()
	if !oldestNew.isShed || !idle.isShed || busy.isShed {
		t.Errorf("shed: new %v, idle %v, busy %v; want true, true, false", oldestNew.isShed, idle.isShed, busy.isShed)
	}
	select {
	case <-drained:
		t.Error("the tracker reported the end of draining while a request was open")
	default:
	}
	tracker.ConnState(busy, http.StateIdle)
	<-drained
	if !busy.isShed {
		t.Error("the busy connection was not shed after its response")
	}
}

// connModel is a connection and its expected state.
type connModel struct {
	conn    *clientConn
	client  net.Conn
	state   http.ConnState
	sinceMs float64 // time of the connect, or of the first byte of the current request
	taken   bool    // whether the current request has been read completely
}

// trackerModel is a tracker and the models of all its connections.
type trackerModel struct {
	t           *testing.T
	manualClock *clock.Manual
	tracker     *ConnTracker
	conns       []*connModel
}

// FuzzConnTracker compares a tracker with a model after each of a list of random steps. While the number of open connections is above
// SheddingThreshold, the tracker must shed the idle ones and the new ones that have been silent for firstByteTimeoutMs, and must reject
// the requests that have been read for slowRequestMs. It must never shed a connection from which a part of a request has been read, and
// never reject a request earlier, or one that has been read completely.
func FuzzConnTracker(f *testing.F) {
	f.Add([]byte{0, 0, 0, 9, 2, 10, 6, 0, 0})
	f.Add([]byte{0, 1, 2, 0, 9, 10, 7, 0, 7, 0, 3, 11, 0, 7})
	f.Add([]byte{0, 0, 0, 0, 1, 9, 17, 25, 0, 0, 2, 10, 7, 7, 7, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		manualClock := clock.NewManual(1e12)
		m := &trackerModel{t: t, manualClock: manualClock,
			tracker: &ConnTracker{SheddingThreshold: 3, Clock: manualClock, Metrics: metrics.New()}}
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

// step runs one step: the lower three bits of the byte select the event, the others select the connection.
func (m *trackerModel) step(i int, step byte) {
	if step%8 == 0 || len(m.conns) == 0 {
		conn, client := addConn(m.tracker, http.StateNew)
		m.conns = append(m.conns, &connModel{conn: conn, client: client, state: http.StateNew, sinceMs: m.manualClock.NowMs()})
		return
	}
	c := m.conns[int(step>>3)%len(m.conns)]
	switch step % 8 {
	case 1, 5:
		m.clientSends(i, c)
	case 2: // the response is written
		if c.state == http.StateActive && c.taken {
			m.tracker.ConnState(c.conn, http.StateIdle)
			c.state = http.StateIdle
		}
	case 4: // the request has been read completely
		if c.state == http.StateActive && !c.taken {
			m.tracker.ConnState(c.conn, http.StateActive)
			c.taken = c.conn.take()
		}
	case 3: // the connection is closed
		if c.state != http.StateClosed {
			m.tracker.ConnState(c.conn, http.StateClosed)
			c.state = http.StateClosed
		}
	default:
		m.manualClock.Advance(400)
	}
}

// clientSends makes the client of a new or idle connection send a byte, and reads the byte from the server's end.
func (m *trackerModel) clientSends(i int, c *connModel) {
	if c.state != http.StateNew && c.state != http.StateIdle {
		return
	}
	writeInBackground(c.client, "x")
	n, err := c.conn.Read(make([]byte, 1))
	if (n == 1) == c.conn.isShed {
		m.t.Fatalf("step %d: Read returned %d, %v although isShed is %v, want no bytes exactly if the connection was shed",
			i, n, err, c.conn.isShed)
	}
	if n == 1 {
		c.sinceMs, c.taken = m.manualClock.NowMs(), false
		c.state = http.StateActive // the server would report this state to the tracker only after the whole head has arrived
	}
}

// mayEnd reports whether the tracker may close a connection, or reject its request, while there are too many connections.
func (m *trackerModel) mayEnd(c *connModel) bool {
	ageMs := m.manualClock.NowMs() - c.sinceMs
	switch c.state {
	case http.StateIdle:
		return true
	case http.StateNew:
		return ageMs >= firstByteTimeoutMs
	case http.StateActive:
		return !c.taken && ageMs >= slowRequestMs
	default:
		return false
	}
}

// check compares the tracker with the model.
func (m *trackerModel) check(i int) {
	open, sheddable := 0, 0
	for j, c := range m.conns {
		if c.conn.isShed && c.state == http.StateActive {
			m.t.Fatalf("step %d: connection %d was shed although a request has been read from it", i, j)
		}
		evicted := c.conn.evictedFor != closeUnspecified
		if evicted && (c.taken || c.state == http.StateIdle || c.state == http.StateNew) {
			m.t.Fatalf("step %d: connection %d was ended although no request was being read from it", i, j)
		}
		if !c.conn.isShed && !evicted && c.state != http.StateClosed {
			open++
			if m.mayEnd(c) {
				sheddable++
			}
		}
	}
	if open != m.tracker.open || open > m.tracker.SheddingThreshold && sheddable > 0 {
		m.t.Fatalf("step %d: %d connections are open, the tracker counts %d; %d could have been ended, want 0 above SheddingThreshold",
			i, open, m.tracker.open, sheddable)
	}
}

// If a connection is shed while a request is being read from it, Read must return no part of the request, because the client
// sends the request again.
func TestReadWhileShedding(t *testing.T) {
	tracker := &ConnTracker{SheddingThreshold: 1, Clock: clock.NewManual(0), Metrics: metrics.New()}
	serverSide, clientSide := net.Pipe()
	conn := &clientConn{tracker: tracker}
	conn.Conn = hookedConn{serverSide, func() { tracker.shed(conn, closeIdleShed) }}
	tracker.ConnState(conn, http.StateNew)
	writeInBackground(clientSide, "GET")
	if n, err := conn.Read(make([]byte, 3)); n != 0 || err == nil {
		t.Errorf("Read returned %d, %v, want no bytes and an error", n, err)
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

// Idle connections must be shed after idleTimeoutMs while the number of open connections is above half of SheddingThreshold.
// Above SheddingThreshold, a new connection must be shed before an idle one only if it has sent nothing for firstByteTimeoutMs.
func TestShedIdleAndNewConnections(t *testing.T) {
	manualClock := clock.NewManual(0)
	tracker := &ConnTracker{SheddingThreshold: 4, Clock: manualClock, Metrics: metrics.New()}
	var conns []*clientConn
	add := func(state http.ConnState) {
		conn, _ := addConn(tracker, state)
		conns = append(conns, conn)
	}
	checkShed := func(when string, want ...int) {
		t.Helper()
		for i, conn := range conns {
			if conn.isShed != slices.Contains(want, i) {
				t.Errorf("%s: isShed of connection %d is %v, want the opposite", when, i, conn.isShed)
			}
		}
	}
	add(http.StateIdle)
	add(http.StateIdle)
	manualClock.Advance(60_000)
	checkShed("at half of SheddingThreshold")
	add(http.StateIdle)
	checkShed("more than half are open", 0)
	add(http.StateIdle)
	checkShed("more than half are open again", 0, 1)
	add(http.StateNew)
	manualClock.Advance(1999)
	checkShed("1 ms before the idle timeout", 0, 1)
	manualClock.Advance(1)
	checkShed("at the idle timeout", 0, 1, 2)
	add(http.StateNew)
	tracker.SheddingThreshold = 1
	tracker.ConnState(conns[5], http.StateActive)
	checkShed("above SheddingThreshold with a silent new connection", 0, 1, 2, 3, 4)
}
