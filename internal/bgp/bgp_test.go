package bgp

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/osrg/gobgp/v3/pkg/packet/bgp"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/metrics"
)

func options() Options {
	return Options{LocalAS: 65001, PeerAS: 65000, RouterID: netip.MustParseAddr("127.0.0.2"), HoldTimeMs: 90000,
		Prefixes: []netip.Prefix{netip.MustParsePrefix("192.0.2.7/32"), netip.MustParsePrefix("192.0.2.8/32")}}
}

func open(as uint16, hold uint16, id string, caps ...bgp.ParameterCapabilityInterface) *bgp.BGPMessage {
	return bgp.NewBGPOpenMessage(as, hold, id, []bgp.OptionParameterInterface{bgp.NewOptionParameterCapability(caps)})
}

func body(t testing.TB, m *bgp.BGPMessage) []byte {
	b, err := m.Serialize()
	if err != nil {
		t.Fatal(err)
	}
	return b[headerSize:]
}

// FuzzSession checks random messages, times and changes of readiness against a model of RFC 4271's states: what
// is sent in each, and that the addresses are announced exactly while established and wanted.
func FuzzSession(f *testing.F) {
	f.Add([]byte{0, 1, 4, 1, 5, 2, 1})
	f.Add([]byte{4, 0, 1, 5, 4, 5, 6, 1, 7})
	f.Add([]byte{0, 1, 6, 6, 6, 1, 3})
	f.Add([]byte{1, 0})
	f.Add([]byte{0, 0})
	f.Add([]byte{0, 2, 4})
	f.Fuzz(func(t *testing.T, steps []byte) {
		opt := options()
		opt.NextHop = netip.MustParseAddr("127.0.0.2")
		s, now := &session{opt: &opt}, 1e12
		s.begin(now)
		state, want, told, heard, hold := OpenSent, false, false, now, float64(largeHoldMs)
		for i, x := range steps {
			s.out = nil
			var expect []uint8 // types of messages
			note := func() { expect, state = []uint8{bgp.BGP_MSG_NOTIFICATION}, Idle }
			update := func() {
				if state == Established && want != told {
					told = want
					expect = append(expect, bgp.BGP_MSG_UPDATE)
				}
			}
			switch x % 8 {
			case 0: // OPEN
				s.message(now, bgp.BGP_MSG_OPEN, body(t, open(65000, 30, "127.0.0.3", bgp.NewCapFourOctetASNumber(65000))))
				if state == OpenSent {
					state, heard, hold, expect = OpenConfirm, now, 30000, []uint8{bgp.BGP_MSG_KEEPALIVE}
				} else if state != Idle {
					note()
				}
			case 1: // KEEPALIVE
				s.message(now, bgp.BGP_MSG_KEEPALIVE, nil)
				switch state {
				case OpenSent:
					note()
				case OpenConfirm:
					state, heard = Established, now
					update()
				case Established:
					heard = now
				}
			case 2: // UPDATE
				s.message(now, bgp.BGP_MSG_UPDATE, []byte{0, 0, 0, 0})
				if state == Established {
					heard = now
				} else if state != Idle {
					note()
				}
			case 3:
				s.message(now, bgp.BGP_MSG_NOTIFICATION, []byte{6, 2})
				state = Idle
			case 4, 5:
				want = x%8 == 4
				s.setReady(want)
				update()
			case 6: // time, short of the keepalive's least interval or past it
				now += float64(x>>3) * 400
				s.tick(now)
				if state != Idle && now >= heard+hold {
					note()
				} else if state > OpenSent {
					for _, m := range s.out {
						if m.Header.Type != bgp.BGP_MSG_KEEPALIVE {
							t.Fatalf("step %d: a timer sent type %d", i, m.Header.Type)
						}
					}
					if s.keepAt <= now || s.keepAt > now+hold/3 {
						t.Fatalf("step %d: the next KEEPALIVE is due in %v ms", i, s.keepAt-now)
					}
					continue
				}
			case 7: // an UPDATE whose lengths do not add up
				s.message(now, bgp.BGP_MSG_UPDATE, []byte{0, 9, 0, 0})
				if state != Idle {
					note()
				}
			}
			var sent []uint8
			for _, m := range s.out {
				sent = append(sent, m.Header.Type)
			}
			if s.state != state || !bytes.Equal(sent, expect) || s.announced != told {
				t.Fatalf("step %d (%d): state %d, sent %v, announced %v; want %d, %v, %v", i, x, s.state, sent, s.announced, state, expect, told)
			}
			if state == Idle && s.next() != 0 {
				t.Fatalf("step %d: an ended session has a timer", i)
			}
		}
	})
}

// What is wrong with an OPEN is told with the code that RFC 4271 gives it.
func TestBadOpens(t *testing.T) {
	old := open(65000, 90, "127.0.0.3")
	old.Body.(*bgp.BGPOpen).Version = 3
	for name, c := range map[string]struct {
		m   *bgp.BGPMessage
		sub uint8
	}{
		"version":       {old, bgp.BGP_ERROR_SUB_UNSUPPORTED_VERSION_NUMBER},
		"AS":            {open(65009, 90, "127.0.0.3"), bgp.BGP_ERROR_SUB_BAD_PEER_AS},
		"identifier":    {open(65000, 90, "0.0.0.0"), bgp.BGP_ERROR_SUB_BAD_BGP_IDENTIFIER},
		"hold time":     {open(65000, 2, "127.0.0.3"), bgp.BGP_ERROR_SUB_UNACCEPTABLE_HOLD_TIME},
		"four-octet AS": {open(65000, 90, "127.0.0.3", bgp.NewCapFourOctetASNumber(70000)), bgp.BGP_ERROR_SUB_BAD_PEER_AS},
	} {
		opt := options()
		s := &session{opt: &opt}
		s.begin(0)
		s.out = nil
		s.message(0, bgp.BGP_MSG_OPEN, body(t, c.m))
		if len(s.out) != 1 || s.state != Idle {
			t.Errorf("%s: %d messages, state %d", name, len(s.out), s.state)
			continue
		}
		if n := s.out[0].Body.(*bgp.BGPNotification); n.ErrorCode != bgp.BGP_ERROR_OPEN_MESSAGE_ERROR || n.ErrorSubcode != c.sub {
			t.Errorf("%s: NOTIFICATION %d/%d", name, n.ErrorCode, n.ErrorSubcode)
		}
	}
}

// The path names this AS to an external peer, in the width it takes, and nobody to an internal one.
func TestPathAttributes(t *testing.T) {
	for name, c := range map[string]struct {
		local, peer uint32
		wide        bool
		path        string
		as4, pref   bool
	}{
		"external": {65001, 65000, true, "65001", false, false},
		"old peer": {70001, 65000, false, "23456", true, false},
		"internal": {65000, 65000, true, "", false, true},
	} {
		opt := options()
		opt.LocalAS, opt.PeerAS, opt.NextHop = c.local, c.peer, netip.MustParseAddr("127.0.0.2")
		s := &session{opt: &opt, state: Established, wide: c.wide}
		s.setReady(true)
		b := body(t, s.out[0])
		m, err := bgp.ParseBGPBody(&bgp.BGPHeader{Type: bgp.BGP_MSG_UPDATE, Len: uint16(len(b) + headerSize)}, b)
		if err != nil {
			t.Fatal(err)
		}
		u := m.Body.(*bgp.BGPUpdate)
		seen := map[bgp.BGPAttrType]string{}
		for _, a := range u.PathAttributes {
			seen[a.GetType()] = a.String()
		}
		_, as4 := seen[bgp.BGP_ATTR_TYPE_AS4_PATH]
		_, pref := seen[bgp.BGP_ATTR_TYPE_LOCAL_PREF]
		if len(u.NLRI) != 2 || !strings.Contains(seen[bgp.BGP_ATTR_TYPE_NEXT_HOP], "127.0.0.2") || as4 != c.as4 || pref != c.pref ||
			!strings.Contains(seen[bgp.BGP_ATTR_TYPE_AS_PATH], c.path) {
			t.Errorf("%s: %v, %v", name, seen, u.NLRI)
		}
	}
}

// FuzzReadMessage: no bytes of a peer break the reader, and what it lets through has a header that holds.
func FuzzReadMessage(f *testing.F) {
	good, _ := bgp.NewBGPKeepAliveMessage().Serialize()
	f.Add(good)
	f.Add(append(bytes.Repeat([]byte{0xff}, 16), 0, 18, 4))
	f.Add(append(bytes.Repeat([]byte{0xff}, 16), 0x20, 0, 2))
	f.Add(append(bytes.Repeat([]byte{0xff}, 16), 0, 23, 5, 0, 1, 0, 1))
	f.Fuzz(func(t *testing.T, in []byte) {
		typ, b, err := readMessage(bytes.NewReader(in))
		if err != nil {
			return
		}
		if int(binary.BigEndian.Uint16(in[16:])) != len(b)+headerSize || least[typ] > len(b)+headerSize {
			t.Errorf("type %d with %d bytes out of %x", typ, len(b), in[:headerSize])
		}
		opt := options()
		for _, st := range []State{OpenSent, OpenConfirm, Established} {
			s := &session{opt: &opt, state: st}
			s.message(0, typ, b)
		}
	})
}

// peer is a stand-in router.
type peer struct {
	t *testing.T
	net.Conn
}

func (p peer) read(typ uint8) *bgp.BGPMessage {
	p.t.Helper()
	got, b, err := readMessage(p)
	if err != nil || got != typ {
		p.t.Fatalf("type %d: %v; want type %d", got, err, typ)
	}
	m, err := bgp.ParseBGPBody(&bgp.BGPHeader{Type: got, Len: uint16(len(b) + headerSize)}, b)
	if err != nil {
		p.t.Fatal(err)
	}
	return m
}

func (p peer) send(m *bgp.BGPMessage) {
	b, _ := m.Serialize()
	if _, err := p.Write(b); err != nil {
		p.t.Fatal(err)
	}
}

// handshake is the passive side's.
func (p peer) handshake() {
	p.t.Helper()
	if o := p.read(bgp.BGP_MSG_OPEN).Body.(*bgp.BGPOpen); o.MyAS != 65001 || o.HoldTime != 90 || o.ID.String() != "127.0.0.2" {
		p.t.Errorf("OPEN %+v", o)
	}
	p.send(open(65000, 90, "127.0.0.3", bgp.NewCapFourOctetASNumber(65000)))
	p.read(bgp.BGP_MSG_KEEPALIVE)
	p.send(bgp.NewBGPKeepAliveMessage())
}

// routes reads an UPDATE.
func (p peer) routes(announced, withdrawn int) {
	p.t.Helper()
	u := p.read(bgp.BGP_MSG_UPDATE).Body.(*bgp.BGPUpdate)
	if len(u.NLRI) != announced || len(u.WithdrawnRoutes) != withdrawn {
		p.t.Errorf("%d announced, %d withdrawn; want %d, %d", len(u.NLRI), len(u.WithdrawnRoutes), announced, withdrawn)
	}
}

// cease reads the end of a session.
func (p peer) cease() {
	p.t.Helper()
	if n := p.read(bgp.BGP_MSG_NOTIFICATION).Body.(*bgp.BGPNotification); n.ErrorCode != bgp.BGP_ERROR_CEASE {
		p.t.Errorf("NOTIFICATION %d/%d", n.ErrorCode, n.ErrorSubcode)
	}
	if _, err := p.Read(make([]byte, 1)); err != io.EOF {
		p.t.Errorf("after the Cease: %v", err)
	}
}

// Over TCP, against a stand-in router: announced once ready, withdrawn on a drain, ended with a Cease.
func TestSpeakerOverTCP(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	opt := options()
	opt.PeerAddress = ln.Addr().String()
	s := New(opt, clock.NewSystem(), metrics.New())
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	p := peer{t, c}
	p.handshake()
	s.SetReady(true)
	p.routes(2, 0)
	s.SetReady(true) // nothing new to tell
	s.SetReady(false)
	p.routes(0, 2)
	cancel()
	p.cease()
	s.Wait()
}

// Over hours of a clock of its own: kept alive, given up when the router falls silent, and announced anew.
func TestSpeakerOverTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opt := options()
		opt.NextHop = netip.MustParseAddr("127.0.0.2")
		now, m := clock.NewSystem(), metrics.New()
		s := New(opt, now, m)
		conns := make(chan net.Conn)
		var refuse atomic.Bool
		s.dial = func(context.Context) (net.Conn, error) {
			if refuse.Load() {
				return nil, errors.New("refused")
			}
			a, b := net.Pipe()
			conns <- b
			return a, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		go s.Run(ctx)
		s.SetReady(true)
		p := peer{t, <-conns}
		p.handshake()
		p.routes(2, 0)
		for range 100 { // far longer than the hold time
			before := now.NowMs()
			p.read(bgp.BGP_MSG_KEEPALIVE)
			if took := now.NowMs() - before; took < 22_499 || took > 30_001 {
				t.Fatalf("a KEEPALIVE after %v ms", took)
			}
			p.send(bgp.NewBGPKeepAliveMessage())
		}
		silent, kept := now.NowMs(), 0
		typ, b, err := readMessage(p)
		for ; err == nil && typ == bgp.BGP_MSG_KEEPALIVE; typ, b, err = readMessage(p) {
			kept++
		}
		if typ != bgp.BGP_MSG_NOTIFICATION || b[0] != bgp.BGP_ERROR_HOLD_TIMER_EXPIRED || kept < 2 || kept > 4 {
			t.Fatalf("type %d: %x, %v, after %d KEEPALIVEs", typ, b, err, kept)
		}
		if took := now.NowMs() - silent; took < 89_999 || took > 90_001 {
			t.Errorf("held for %v ms", took)
		}
		refuse.Store(true)
		synctest.Wait()
		time.Sleep(10 * time.Minute) // of the bubble's clock
		refuse.Store(false)
		if n := m.Get("bgp_sessions_ended"); n < 10 || n > 25 {
			t.Errorf("%d ends in ten minutes: the pauses should grow to a minute", n)
		}
		p = peer{t, <-conns}
		p.handshake()
		p.routes(2, 0)
		cancel()
		p.cease()
		s.Wait()
	})
}
