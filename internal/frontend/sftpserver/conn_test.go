package sftpserver

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gaugerelay/internal/sftpwire"
)

// deadlineRecorder is a fake connection that returns prepared reads and records the latest read deadline.
type deadlineRecorder struct {
	net.Conn
	reads    []string // data that the next reads return
	deadline time.Time
}

func (r *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	r.deadline = deadline
	return nil
}

func (r *deadlineRecorder) Read(data []byte) (int, error) {
	if len(r.reads) == 0 {
		return 0, io.EOF
	}
	n := copy(data, r.reads[0])
	r.reads = r.reads[1:]
	return n, nil
}

// TestReadTimeouts checks the timeout of each phase of a connection. The timeout of the first packet starts when the connection is
// accepted, so a client that sends single bytes cannot keep its connection open longer than one that sends nothing.
func TestReadTimeouts(t *testing.T) {
	const sinceConnecting = -1 // marks reads whose deadline is firstPacketTimeout after the connection was accepted
	recorder := &deadlineRecorder{reads: []string{"\x00\x00", "\x00\x05\x01\x00\x00\x00\x03", "\x00\x00\x00", "\x02\x07\x00"}}
	c := newConn(recorder, func() {})
	c.acceptedAt = c.acceptedAt.Add(-time.Second)
	for i, want := range []time.Duration{sinceConnecting, sinceConnecting, idleTimeout, packetTimeout, idleTimeout} {
		before := time.Now()
		if _, err := c.Read(make([]byte, 64)); err != nil && !errors.Is(err, io.EOF) {
			t.Fatal(err)
		}
		if want == sinceConnecting {
			if !recorder.deadline.Equal(c.acceptedAt.Add(firstPacketTimeout)) {
				t.Errorf("read %d: deadline is %v after the connection was accepted, want firstPacketTimeout",
					i, recorder.deadline.Sub(c.acceptedAt))
			}
			continue
		}
		if recorder.deadline.Before(before.Add(want)) || recorder.deadline.After(time.Now().Add(want)) {
			t.Errorf("read %d: deadline is %v after the read began, want %v", i, recorder.deadline.Sub(before), want)
		}
	}
}

// TestPacketTrackerLimitsLength checks that a packet without a type or above sftpwire.MaxPacket is an error as soon as its header has
// arrived.
func TestPacketTrackerLimitsLength(t *testing.T) {
	for name, c := range map[string]struct {
		length uint32
		want   error
	}{
		"empty":      {0, errPacketLength},
		"type alone": {1, nil},
		"limit":      {sftpwire.MaxPacket, nil},
		"over limit": {sftpwire.MaxPacket + 1, errPacketLength},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker packetTracker
			header := append(binary.BigEndian.AppendUint32(nil, c.length), 6)
			if err := tracker.advance(header); !errors.Is(err, c.want) {
				t.Errorf("length %d: got error %v, want %v", c.length, err, c.want)
			}
		})
	}
}
