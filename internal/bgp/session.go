package bgp

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/osrg/gobgp/v3/pkg/packet/bgp"
)

// State is a state of RFC 4271's machine. Connect and Active are the Speaker's affair, not the session's.
type State uint8

// The states of a session.
const (
	Idle State = iota // not begun, or ended
	OpenSent
	OpenConfirm
	Established
)

// Options are what is announced, and to whom.
type Options struct {
	PeerAddress string // host:port
	LocalAS     uint32
	PeerAS      uint32
	RouterID    netip.Addr
	HoldTimeMs  float64 // offered; 0: none
	NextHop     netip.Addr
	Prefixes    []netip.Prefix // of the service, IPv4
}

const (
	largeHoldMs = 240_000 // until the peer's OPEN has come
	localPref   = 100
)

// session is one session from its OPEN to its end. It does no I/O: what is to be sent gathers in out.
type session struct {
	opt       *Options
	state     State
	want      bool // the addresses are to be announced
	announced bool
	wide      bool // the peer takes four-octet AS numbers
	holdMs    float64
	holdAt    float64
	keepAt    float64
	out       []*bgp.BGPMessage
	why       error // with Idle: why it ended
}

// begin sends the OPEN.
func (s *session) begin(now float64) {
	as := uint16(s.opt.LocalAS)
	if s.opt.LocalAS > 0xffff {
		as = bgp.AS_TRANS
	}
	s.send(bgp.NewBGPOpenMessage(as, uint16(s.opt.HoldTimeMs/1000), s.opt.RouterID.String(),
		[]bgp.OptionParameterInterface{bgp.NewOptionParameterCapability([]bgp.ParameterCapabilityInterface{
			bgp.NewCapMultiProtocol(bgp.RF_IPv4_UC), bgp.NewCapFourOctetASNumber(s.opt.LocalAS)})}))
	s.state, s.holdAt = OpenSent, now+largeHoldMs
}

func (s *session) send(m *bgp.BGPMessage) { s.out = append(s.out, m) }

// end ends the session; code 0 sends no NOTIFICATION.
func (s *session) end(why error, code, sub uint8, data []byte) {
	if s.state == Idle {
		return
	}
	if code != 0 {
		s.send(bgp.NewBGPNotificationMessage(code, sub, data))
	}
	s.state, s.why, s.holdAt, s.keepAt = Idle, why, 0, 0
}

// fail ends the session because of what the peer did.
func (s *session) fail(err error) {
	var e *bgp.MessageError
	if errors.As(err, &e) && e.TypeCode != 0 {
		s.end(err, e.TypeCode, e.SubTypeCode, e.Data)
		return
	}
	s.end(err, 0, 0, nil) // the connection is gone
}

// setReady tells whether the addresses are to be announced.
func (s *session) setReady(ready bool) {
	s.want = ready
	if s.state != Established || s.want == s.announced {
		return
	}
	s.announced = s.want
	var routes []*bgp.IPAddrPrefix
	for _, p := range s.opt.Prefixes {
		routes = append(routes, bgp.NewIPAddrPrefix(uint8(p.Bits()), p.Addr().String()))
	}
	if !ready {
		s.send(bgp.NewBGPUpdateMessage(routes, nil, nil))
		return
	}
	attrs := []bgp.PathAttributeInterface{bgp.NewPathAttributeOrigin(bgp.BGP_ORIGIN_ATTR_TYPE_IGP)}
	as4 := []*bgp.As4PathParam{bgp.NewAs4PathParam(bgp.BGP_ASPATH_ATTR_TYPE_SEQ, []uint32{s.opt.LocalAS})}
	nextHop := bgp.NewPathAttributeNextHop(s.opt.NextHop.String())
	switch internal := s.opt.LocalAS == s.opt.PeerAS; {
	case internal:
		attrs = append(attrs, bgp.NewPathAttributeAsPath(nil), nextHop, bgp.NewPathAttributeLocalPref(localPref))
	case s.wide:
		attrs = append(attrs, bgp.NewPathAttributeAsPath([]bgp.AsPathParamInterface{as4[0]}), nextHop)
	default:
		short := uint16(s.opt.LocalAS)
		if s.opt.LocalAS > 0xffff {
			short = bgp.AS_TRANS
		}
		attrs = append(attrs, bgp.NewPathAttributeAsPath([]bgp.AsPathParamInterface{
			bgp.NewAsPathParam(bgp.BGP_ASPATH_ATTR_TYPE_SEQ, []uint16{short})}), nextHop)
		if s.opt.LocalAS > 0xffff { // RFC 6793: an old peer passes the true path on
			attrs = append(attrs, bgp.NewPathAttributeAs4Path(as4))
		}
	}
	s.send(bgp.NewBGPUpdateMessage(nil, attrs, routes))
}

// message takes one message of the peer.
func (s *session) message(now float64, typ uint8, body []byte) {
	if s.state == Idle {
		return
	}
	m, err := bgp.ParseBGPBody(&bgp.BGPHeader{Type: typ, Len: uint16(len(body) + headerSize)}, body)
	var e *bgp.MessageError
	if typ == bgp.BGP_MSG_UPDATE && s.state == Established && errors.As(err, &e) &&
		e.ErrorHandling != bgp.ERROR_HANDLING_SESSION_RESET && e.ErrorHandling != bgp.ERROR_HANDLING_NONE {
		err = nil // RFC 7606; and no route is kept here
	}
	if err != nil && typ != bgp.BGP_MSG_NOTIFICATION {
		s.fail(err)
		return
	}
	switch {
	case typ == bgp.BGP_MSG_NOTIFICATION:
		why := errors.New("the peer sent a NOTIFICATION")
		if n, ok := body, len(body) >= 2; ok {
			why = fmt.Errorf("the peer sent NOTIFICATION %d/%d", n[0], n[1])
		}
		s.end(why, 0, 0, nil)
	case s.state == OpenSent && typ == bgp.BGP_MSG_OPEN:
		s.opened(now, m.Body.(*bgp.BGPOpen))
	case s.state == OpenConfirm && typ == bgp.BGP_MSG_KEEPALIVE:
		s.state = Established
		s.heard(now)
		s.setReady(s.want)
	case s.state == Established && (typ == bgp.BGP_MSG_KEEPALIVE || typ == bgp.BGP_MSG_UPDATE):
		s.heard(now)
	default:
		s.end(fmt.Errorf("message of type %d in state %d", typ, s.state), bgp.BGP_ERROR_FSM_ERROR, uint8(s.state), nil)
	}
}

// opened judges the peer's OPEN.
func (s *session) opened(now float64, o *bgp.BGPOpen) {
	if _, err := bgp.ValidateOpenMsg(o, s.opt.PeerAS, s.opt.LocalAS, net.IP(s.opt.RouterID.AsSlice())); err != nil {
		var data []byte
		if o.Version != 4 { // the largest version spoken here
			data = []byte{0, 4}
		}
		var e *bgp.MessageError
		if errors.As(err, &e) {
			e.Data = data
		}
		s.fail(err)
		return
	}
	for _, p := range o.OptParams {
		if p, ok := p.(*bgp.OptionParameterCapability); ok {
			for _, c := range p.Capability {
				s.wide = s.wide || c.Code() == bgp.BGP_CAP_FOUR_OCTET_AS_NUMBER
			}
		}
	}
	s.holdMs = min(s.opt.HoldTimeMs, float64(o.HoldTime)*1000)
	s.state = OpenConfirm
	s.send(bgp.NewBGPKeepAliveMessage())
	s.keep(now)
	s.heard(now)
}

// heard restarts the hold timer, keep the keepalive timer, by the RFC with jitter.
func (s *session) heard(now float64) {
	if s.holdAt = 0; s.holdMs > 0 {
		s.holdAt = now + s.holdMs
	}
}

func (s *session) keep(now float64) {
	if s.keepAt = 0; s.holdMs > 0 {
		s.keepAt = now + s.holdMs/3*(0.75+0.25*rand.Float64())
	}
}

// tick runs the timers that are due.
func (s *session) tick(now float64) {
	if s.holdAt > 0 && now >= s.holdAt {
		s.end(errors.New("hold timer expired"), bgp.BGP_ERROR_HOLD_TIMER_EXPIRED, 0, nil)
	}
	if s.keepAt > 0 && now >= s.keepAt {
		s.send(bgp.NewBGPKeepAliveMessage())
		s.keep(now)
	}
}

// next is when tick is due; 0: never.
func (s *session) next() float64 {
	if s.keepAt > 0 && s.keepAt < s.holdAt {
		return s.keepAt
	}
	return s.holdAt
}

const headerSize = 19

// least are the least lengths of messages, by type.
var least = map[uint8]int{bgp.BGP_MSG_OPEN: 29, bgp.BGP_MSG_UPDATE: 23, bgp.BGP_MSG_NOTIFICATION: 21, bgp.BGP_MSG_KEEPALIVE: headerSize}

// readMessage reads one message and checks its header.
func readMessage(r io.Reader) (typ uint8, body []byte, err error) {
	head := make([]byte, headerSize)
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	bad := func(sub uint8, data []byte) (uint8, []byte, error) {
		return 0, nil, bgp.NewMessageError(bgp.BGP_ERROR_MESSAGE_HEADER_ERROR, sub, data, fmt.Sprintf("bad header %x", head))
	}
	n := int(binary.BigEndian.Uint16(head[16:]))
	typ = head[18]
	min, known := least[typ]
	switch {
	case !bytes.Equal(head[:16], bytes.Repeat([]byte{0xff}, 16)):
		return bad(bgp.BGP_ERROR_SUB_CONNECTION_NOT_SYNCHRONIZED, nil)
	case n < headerSize || n > bgp.BGP_MAX_MESSAGE_LENGTH:
		return bad(bgp.BGP_ERROR_SUB_BAD_MESSAGE_LENGTH, head[16:18])
	case !known: // ROUTE-REFRESH too: it was not offered
		return bad(bgp.BGP_ERROR_SUB_BAD_MESSAGE_TYPE, head[18:])
	case n < min || typ == bgp.BGP_MSG_KEEPALIVE && n != min:
		return bad(bgp.BGP_ERROR_SUB_BAD_MESSAGE_LENGTH, head[16:18])
	}
	body = make([]byte, n-headerSize)
	_, err = io.ReadFull(r, body)
	return typ, body, err
}
