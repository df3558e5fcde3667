package sftpserver

import (
	"io"
	"net"
	"testing"
	"time"
)

// timed is a connection that tells of the time that each Read is given.
type timed struct {
	net.Conn
	in    []string // what comes, read by read
	given time.Time
}

func (t *timed) SetReadDeadline(at time.Time) error { t.given = at; return nil }

func (t *timed) Read(p []byte) (int, error) {
	if len(t.in) == 0 {
		return 0, io.EOF
	}
	n := copy(p, t.in[0])
	t.in = t.in[1:]
	return n, nil
}

// Each phase of a connection has a bound of its own. The first packet's counts from the connecting, so that a client
// that says nothing, or sends a byte now and then, holds its place no longer than one that is silent.
func TestTimesOfAConnection(t *testing.T) {
	nc := &timed{in: []string{"\x00\x00", "\x00\x05\x01\x00\x00\x00\x03", "\x00\x00\x00", "\x02\x07\x00"}}
	c := newConn(nc, func() {})
	c.acceptedAt = c.acceptedAt.Add(-time.Second) // it has been open for a while
	for i, want := range []time.Duration{-1, -1, idleTimeout, packetTimeout, idleTimeout} {
		before := time.Now()
		c.Read(make([]byte, 64))
		if want < 0 && !nc.given.Equal(c.acceptedAt.Add(firstPacketTimeout)) {
			t.Errorf("read %d: until %v after the connecting", i, nc.given.Sub(c.acceptedAt))
		}
		if want >= 0 && (nc.given.Before(before.Add(want)) || nc.given.After(time.Now().Add(want))) {
			t.Errorf("read %d: %v, want %v", i, nc.given.Sub(before), want)
		}
	}
}
