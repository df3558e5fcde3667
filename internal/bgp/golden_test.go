// Golden tests of the speaker: the bytes that it writes to a router must not change.
package bgp_test

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gaugerelay/internal/bgp"
	"gaugerelay/internal/clock"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// Message types (RFC 4271, 4.1).
const (
	typeOpen         = 1
	typeUpdate       = 2
	typeNotification = 3
	typeKeepalive    = 4
)

const (
	headerSize  = 19
	readTimeout = 10 * time.Second
	localAS     = 65001
	largeAS     = 4200000001 // AS number that needs four octets
	routerAS    = 65000
	holdTimeMs  = 90_000
	startMs     = 1e12 // initial time of the clock, which only Advance moves
)

func options(as uint32) bgp.Options {
	return bgp.Options{LocalAS: as, PeerAS: routerAS, RouterID: netip.MustParseAddr("192.0.2.1"), HoldTimeMs: holdTimeMs,
		NextHop:  netip.MustParseAddr("192.0.2.2"),
		Prefixes: []netip.Prefix{netip.MustParsePrefix("192.0.2.7/32"), netip.MustParsePrefix("198.51.100.0/24")}}
}

// frame returns an encoded message: the header and the given body.
func frame(messageType byte, body ...byte) []byte {
	encoded := []byte(strings.Repeat("\xff", 16))
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(headerSize+len(body)))
	return append(append(encoded, messageType), body...)
}

// openFrame returns the router's OPEN with the given optional parameters. lastOctet is the last octet of
// the router's BGP identifier.
func openFrame(version byte, as, holdSeconds uint16, lastOctet byte, parameters ...byte) []byte {
	body := binary.BigEndian.AppendUint16([]byte{version}, as)
	body = binary.BigEndian.AppendUint16(body, holdSeconds)
	body = append(body, 192, 0, 2, lastOctet, byte(len(parameters)))
	return frame(typeOpen, append(body, parameters...)...)
}

// fourOctetOpen returns the OPEN of a router that supports four-octet AS numbers.
func fourOctetOpen() []byte {
	return openFrame(4, routerAS, 90, 9, 2, 6, 65, 4, 0, 0, routerAS>>8, routerAS&0xff)
}

// router is the peer of a running speaker. It records the messages that the speaker writes.
type router struct {
	t       *testing.T
	conn    net.Conn
	speaker *bgp.Speaker
	clock   *armingClock
	stop    context.CancelFunc
	record  strings.Builder
}

// armingClock is a manual clock that sends to the channel armed when a timer is set. NowMs blocks while Advance runs. The
// speaker, which runs in another goroutine, therefore reads the time at the end of an advance, and never a time in between.
type armingClock struct {
	*clock.Manual
	advancing sync.RWMutex
	armed     chan struct{}
}

// NowMs implements clock.Clock.
func (c *armingClock) NowMs() float64 {
	c.advancing.RLock()
	defer c.advancing.RUnlock()
	return c.Manual.NowMs()
}

// Advance moves the clock forward by ms and runs the callbacks that become due. A callback must not read the clock, since
// NowMs would block.
func (c *armingClock) Advance(ms float64) {
	c.advancing.Lock()
	defer c.advancing.Unlock()
	c.Manual.Advance(ms)
}

// AfterFunc implements clock.Clock.
func (c *armingClock) AfterFunc(ms float64, f func()) (stop func()) {
	stop = c.Manual.AfterFunc(ms, f)
	c.armed <- struct{}{}
	return stop
}

// connect starts a speaker and accepts the connection that it opens.
func connect(t *testing.T, o bgp.Options) *router {
	t.Helper()
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	o.PeerAddress = listener.Addr().String()
	r := &router{t: t, clock: &armingClock{Manual: clock.NewManual(startMs), armed: make(chan struct{}, 64)}}
	r.speaker = bgp.New(o, r.clock, metrics.New())
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go r.speaker.Run(ctx)
	t.Cleanup(func() { cancel(); r.speaker.Wait() })
	if r.conn, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.conn.Close() })
	r.conn.SetReadDeadline(time.Now().Add(readTimeout))
	return r
}

// read records the speaker's next message.
func (r *router) read() {
	r.t.Helper()
	message := make([]byte, headerSize)
	if _, err := io.ReadFull(r.conn, message); err != nil {
		r.t.Fatal(err)
	}
	message = append(message, make([]byte, max(0, int(binary.BigEndian.Uint16(message[16:]))-headerSize))...)
	if _, err := io.ReadFull(r.conn, message[headerSize:]); err != nil {
		r.t.Fatal(err)
	}
	fmt.Fprintf(&r.record, "%s\n", hex.EncodeToString(message))
}

// readEnd fails the test unless the speaker closes the connection without writing more.
func (r *router) readEnd() {
	r.t.Helper()
	if rest, err := io.ReadAll(r.conn); err != nil || len(rest) != 0 {
		r.t.Errorf("after the last message the speaker wrote %x, error %v; want the end of the connection", rest, err)
	}
}

func (r *router) write(message []byte) {
	r.t.Helper()
	if _, err := r.conn.Write(message); err != nil {
		r.t.Fatal(err)
	}
}

// Records the speaker's messages in a whole session: OPEN, KEEPALIVE, an UPDATE that announces the prefixes, an UPDATE that
// withdraws them, and NOTIFICATION.
func TestGoldenSessions(t *testing.T) {
	for _, c := range []struct {
		golden  string
		options bgp.Options
		open    []byte
	}{
		{"external", options(localAS), fourOctetOpen()},
		{"external-two-octet-router", options(localAS), openFrame(4, routerAS, 90, 9)},
		{"wide-as", options(largeAS), fourOctetOpen()},
		{"wide-as-two-octet-router", options(largeAS), openFrame(4, routerAS, 90, 9)},
		{"internal", options(routerAS), fourOctetOpen()},
	} {
		t.Run(c.golden, func(t *testing.T) {
			r := connect(t, c.options)
			r.read()
			r.write(c.open)
			r.read()
			r.write(frame(typeKeepalive))
			r.speaker.SetReady(true)
			r.read()
			r.speaker.SetReady(false)
			r.read()
			r.stop()
			r.read()
			r.readEnd()
			testbed.CompareGolden(t, c.golden, r.record.String())
		})
	}
}

// Records the speaker's messages to a silent router: KEEPALIVEs when the keepalive timer expires, and a NOTIFICATION when the
// hold timer expires.
func TestGoldenTimers(t *testing.T) {
	r := connect(t, options(localAS))
	r.read()
	<-r.clock.armed // waits until the speaker has set its timer: the clock must not advance while the speaker computes it
	r.write(fourOctetOpen())
	r.read()
	// Each advance is as long as the keepalive interval without jitter. Jitter shortens the interval, so the keepalive timer
	// expires before the advance ends. The speaker reads the time at the end of the advance. After the third advance both
	// timers have expired, and the speaker handles the hold timer first.
	for range 2 {
		<-r.clock.armed
		r.clock.Advance(holdTimeMs / 3)
		r.read()
	}
	<-r.clock.armed
	r.clock.Advance(holdTimeMs / 3)
	r.read()
	r.readEnd()
	testbed.CompareGolden(t, "timers", r.record.String())
}

// Records the speaker's NOTIFICATION to a router that violates the protocol. The violation is either the router's first
// message, which follows the speaker's OPEN, or a message in an established session.
func TestGoldenNotifications(t *testing.T) {
	badMarker := frame(typeKeepalive)
	badMarker[0] = 0
	bodyMissing := frame(typeKeepalive, 1)[:headerSize]
	for _, c := range []struct {
		name        string
		options     bgp.Options
		established bool
		message     []byte
	}{
		{"connection not synchronized", options(localAS), false, badMarker},
		{"length below the header", options(localAS), false, append([]byte(strings.Repeat("\xff", 16)), 0, 18, typeOpen)},
		{"length above the maximum", options(localAS), false, append([]byte(strings.Repeat("\xff", 16)), 0xff, 0xff, typeOpen)},
		{"KEEPALIVE with a body", options(localAS), false, bodyMissing},
		{"unknown type", options(localAS), false, frame(9)},
		{"unsupported version", options(localAS), false, openFrame(3, routerAS, 90, 9)},
		{"bad peer AS", options(localAS), false, openFrame(4, routerAS+1, 90, 9)},
		{"identifier of the speaker inside its AS", options(routerAS), false, openFrame(4, routerAS, 90, 1)},
		{"unacceptable hold time", options(localAS), false, openFrame(4, routerAS, 1, 9)},
		{"KEEPALIVE before OPEN", options(localAS), false, frame(typeKeepalive)},
		{"UPDATE before OPEN", options(localAS), false, frame(typeUpdate, 0, 0, 0, 0)},
		{"second OPEN", options(localAS), true, fourOctetOpen()},
		{"malformed UPDATE", options(localAS), true, frame(typeUpdate, 0, 9, 0, 0)},
		{"NOTIFICATION gets no answer", options(localAS), true, frame(typeNotification, 6, 2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := connect(t, c.options)
			r.read()
			if c.established {
				r.write(fourOctetOpen())
				r.read()
				r.write(frame(typeKeepalive))
			}
			r.write(c.message)
			rest, err := io.ReadAll(r.conn)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&r.record, "%s\n", hex.EncodeToString(rest))
			testbed.CompareGolden(t, "notification-"+strings.ReplaceAll(c.name, " ", "-"), r.record.String())
		})
	}
}
