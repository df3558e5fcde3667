package sftpserver

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
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

// TestShutdownWritesAllResponses guards against a connection that hangs during a shutdown, since the library drops responses that it
// has not written when reading ends. The client sends commands, and receives only after reading has ended.
func TestShutdownWritesAllResponses(t *testing.T) {
	const commands = 6 // the library holds up to 8 responses while its writer is blocked
	synctest.Test(t, func(t *testing.T) {
		loop := &recordingLoop{response: lifecycle.Response{Body: &sftpwire.Reply{}}}
		server := &Server{Loop: loop, Clock: clock.NewManual(1e6), Metrics: metrics.New(),
			Options: Options{UnitBytes: 1024, Shards: 1, MaxUnits: 6, Roots: []Root{{Path: "/", Plan: "basic"}}}}
		client, accepted := net.Pipe()
		server.serving.Add(1)
		go server.serveConn(accepted)
		packets := []byte{0, 0, 0, 5, 1, 0, 0, 0, 3} // INIT of version 3
		for range commands {
			packets = append(packets, 0, 0, 0, 11, 17, 0, 0, 0, 9, 0, 0, 0, 2, '/', 'f') // STAT of /f
		}
		if _, err := client.Write(packets); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		ended := make(chan struct{})
		go func() {
			server.Shutdown()
			close(ended)
		}()
		synctest.Wait()
		received := packetTracker{}
		buffer := make([]byte, 1024)
		for received.completePackets < 1+commands {
			_ = client.SetReadDeadline(time.Now().Add(time.Minute))
			n, err := client.Read(buffer)
			if err != nil {
				t.Errorf("received %d responses, then error %v; want VERSION and %d responses", received.completePackets, err, commands)
				break
			}
			if err := received.advance(buffer[:n]); err != nil {
				t.Fatal(err)
			}
		}
		client.Close()
		server.Close()
		<-ended
	})
}
