package bgp

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"

	"github.com/osrg/gobgp/v3/pkg/packet/bgp"
)

func testOptions() Options {
	return Options{
		LocalAS:    65001,
		PeerAS:     65000,
		RouterID:   netip.MustParseAddr("127.0.0.2"),
		HoldTimeMs: 90000,
		Prefixes:   []netip.Prefix{netip.MustParsePrefix("192.0.2.7/32"), netip.MustParsePrefix("192.0.2.8/32")},
	}
}

// newOpen returns an OPEN of the router.
func newOpen(as uint16, holdTimeSeconds uint16, routerID string, capabilities ...bgp.ParameterCapabilityInterface) *bgp.BGPMessage {
	parameters := []bgp.OptionParameterInterface{bgp.NewOptionParameterCapability(capabilities)}
	return bgp.NewBGPOpenMessage(as, holdTimeSeconds, routerID, parameters)
}

// bodyOf returns the encoded body of a message.
func bodyOf(t testing.TB, message *bgp.BGPMessage) []byte {
	t.Helper()
	encoded, err := message.Serialize()
	if err != nil {
		t.Fatal(err)
	}
	return encoded[headerSize:]
}

// FuzzSession compares a session with a model of the states of RFC 4271, under random messages, delays and changes of
// readiness. It checks the state, the types of the messages that are sent, and that the prefixes are announced if and only
// if the session is established and ready.
func FuzzSession(f *testing.F) {
	f.Add([]byte{0, 1, 4, 1, 5, 2, 1})
	f.Add([]byte{4, 0, 1, 5, 4, 5, 6, 1, 7})
	f.Add([]byte{0, 1, 6, 6, 6, 1, 3})
	f.Add([]byte{1, 0})
	f.Add([]byte{0, 0})
	f.Add([]byte{0, 2, 4})
	f.Fuzz(func(t *testing.T, steps []byte) {
		options := testOptions()
		options.NextHop = netip.MustParseAddr("127.0.0.2")
		const startMs = 1e12
		run := &modelRun{
			t:       t,
			session: &session{options: &options},
			model:   sessionModel{state: stateOpenSent, lastMessageMs: startMs, holdTimeMs: initialHoldTimeMs},
			nowMs:   startMs,
		}
		run.session.start(run.nowMs)
		for i, step := range steps {
			run.session.outgoing, run.model.sent = nil, nil
			run.apply(step)
			if t.Failed() {
				t.Fatalf("the session differs from the model after step %d (%d)", i, step)
			}
		}
	})
}

// sessionModel holds the expected state of a session.
type sessionModel struct {
	state            sessionState
	ready, announced bool
	lastMessageMs    float64
	holdTimeMs       float64
	sent             []uint8 // types of the messages that the current step must send
}

func (m *sessionModel) endWithNotification() {
	if m.state != stateIdle {
		m.state, m.sent = stateIdle, []uint8{bgp.BGP_MSG_NOTIFICATION}
	}
}

func (m *sessionModel) announceIfDue() {
	if m.state == stateEstablished && m.ready != m.announced {
		m.announced = m.ready
		m.sent = append(m.sent, bgp.BGP_MSG_UPDATE)
	}
}

func (m *sessionModel) receiveOpen(nowMs float64) {
	if m.state != stateOpenSent {
		m.endWithNotification()
		return
	}
	m.state, m.lastMessageMs, m.holdTimeMs = stateOpenConfirm, nowMs, 30000
	m.sent = []uint8{bgp.BGP_MSG_KEEPALIVE}
}

func (m *sessionModel) receiveKeepalive(nowMs float64) {
	switch m.state {
	case stateOpenSent:
		m.endWithNotification()
	case stateOpenConfirm:
		m.state, m.lastMessageMs = stateEstablished, nowMs
		m.announceIfDue()
	case stateEstablished:
		m.lastMessageMs = nowMs
	}
}

func (m *sessionModel) receiveUpdate(nowMs float64) {
	if m.state == stateEstablished {
		m.lastMessageMs = nowMs
		return
	}
	m.endWithNotification()
}

// modelRun applies each step to a session and its model.
type modelRun struct {
	t       *testing.T
	session *session
	model   sessionModel
	nowMs   float64
}

// apply applies one step and compares the session with the model.
func (r *modelRun) apply(step byte) {
	r.t.Helper()
	switch step % 8 {
	case 0:
		open := newOpen(65000, 30, "127.0.0.3", bgp.NewCapFourOctetASNumber(65000))
		r.session.handleMessage(r.nowMs, bgp.BGP_MSG_OPEN, bodyOf(r.t, open))
		r.model.receiveOpen(r.nowMs)
	case 1:
		r.session.handleMessage(r.nowMs, bgp.BGP_MSG_KEEPALIVE, nil)
		r.model.receiveKeepalive(r.nowMs)
	case 2:
		r.session.handleMessage(r.nowMs, bgp.BGP_MSG_UPDATE, []byte{0, 0, 0, 0})
		r.model.receiveUpdate(r.nowMs)
	case 3:
		r.session.handleMessage(r.nowMs, bgp.BGP_MSG_NOTIFICATION, []byte{6, 2})
		r.model.state = stateIdle
	case 4, 5:
		ready := step%8 == 4
		r.session.setReady(ready)
		r.model.ready = ready
		r.model.announceIfDue()
	case 6: // up to 12.4 s; the keepalive interval is 7.5 s to 10 s, a third of the hold time of 30 s with jitter
		r.advance(float64(step>>3) * 400)
		return
	case 7: // an UPDATE whose length of withdrawn routes exceeds its body
		r.session.handleMessage(r.nowMs, bgp.BGP_MSG_UPDATE, []byte{0, 9, 0, 0})
		r.model.endWithNotification()
	}
	r.compare()
}

// advance moves the time forward and handles the timers. The model does not predict KEEPALIVEs, because their interval is
// random. While a session may send them, its messages are therefore not compared with the model.
func (r *modelRun) advance(ms float64) {
	r.t.Helper()
	r.nowMs += ms
	r.session.handleTimers(r.nowMs)
	if r.nowMs >= r.model.lastMessageMs+r.model.holdTimeMs {
		r.model.endWithNotification()
		r.compare()
		return
	}
	if r.model.state <= stateOpenSent {
		r.compare()
		return
	}
	for _, message := range r.session.outgoing {
		if message.Header.Type != bgp.BGP_MSG_KEEPALIVE {
			r.t.Errorf("a timer sent a message of type %d, want a KEEPALIVE", message.Header.Type)
		}
	}
	if next := r.session.keepaliveTimerMs; next <= r.nowMs || next > r.nowMs+r.model.holdTimeMs/3 {
		r.t.Errorf("the next KEEPALIVE is due in %v ms, want more than 0 and at most a third of the hold time", next-r.nowMs)
	}
}

// compare reports differences between the session and the model.
func (r *modelRun) compare() {
	r.t.Helper()
	var sent []uint8
	for _, message := range r.session.outgoing {
		sent = append(sent, message.Header.Type)
	}
	if r.session.state != r.model.state || !bytes.Equal(sent, r.model.sent) || r.session.announced != r.model.announced {
		r.t.Errorf("state %v, sent %v, announced %v; want %v, %v, %v",
			r.session.state, sent, r.session.announced, r.model.state, r.model.sent, r.model.announced)
	}
	if r.model.state == stateIdle && r.session.nextTimerMs() != 0 {
		r.t.Error("a timer is running in a session that has ended")
	}
}

// The response to an invalid OPEN must be the NOTIFICATION that RFC 4271, 6.2 specifies.
func TestInvalidOpen(t *testing.T) {
	oldVersion := newOpen(65000, 90, "127.0.0.3")
	oldVersion.Body.(*bgp.BGPOpen).Version = 3
	for name, c := range map[string]struct {
		open    *bgp.BGPMessage
		subcode uint8
	}{
		"version":       {oldVersion, bgp.BGP_ERROR_SUB_UNSUPPORTED_VERSION_NUMBER},
		"AS":            {newOpen(65009, 90, "127.0.0.3"), bgp.BGP_ERROR_SUB_BAD_PEER_AS},
		"identifier":    {newOpen(65000, 90, "0.0.0.0"), bgp.BGP_ERROR_SUB_BAD_BGP_IDENTIFIER},
		"hold time":     {newOpen(65000, 2, "127.0.0.3"), bgp.BGP_ERROR_SUB_UNACCEPTABLE_HOLD_TIME},
		"four-octet AS": {newOpen(65000, 90, "127.0.0.3", bgp.NewCapFourOctetASNumber(70000)), bgp.BGP_ERROR_SUB_BAD_PEER_AS},
	} {
		t.Run(name, func(t *testing.T) {
			options := testOptions()
			s := &session{options: &options}
			s.start(0)
			s.outgoing = nil
			s.handleMessage(0, bgp.BGP_MSG_OPEN, bodyOf(t, c.open))
			if len(s.outgoing) != 1 || s.state != stateIdle {
				t.Fatalf("the session sent %d messages and is in state %v, want one message and Idle", len(s.outgoing), s.state)
			}
			sent := s.outgoing[0].Body.(*bgp.BGPNotification)
			if sent.ErrorCode != bgp.BGP_ERROR_OPEN_MESSAGE_ERROR || sent.ErrorSubcode != c.subcode {
				t.Errorf("the session sent NOTIFICATION %d/%d, want code 2 with the subcode of this case", sent.ErrorCode, sent.ErrorSubcode)
			}
		})
	}
}

// AS_PATH contains the local AS for an external peer, in the number of octets that the peer supports, and is empty for an
// internal peer.
func TestPathAttributes(t *testing.T) {
	for name, c := range map[string]struct {
		localAS, peerAS     uint32
		peerFourOctetAS     bool
		path                string
		hasAS4Path, hasPref bool
	}{
		"external":               {65001, 65000, true, "65001", false, false},
		"peer with two-octet AS": {70001, 65000, false, "23456", true, false},
		"internal":               {65000, 65000, true, "", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			options := testOptions()
			options.LocalAS, options.PeerAS, options.NextHop = c.localAS, c.peerAS, netip.MustParseAddr("127.0.0.2")
			s := &session{options: &options, state: stateEstablished, peerFourOctetAS: c.peerFourOctetAS}
			s.setReady(true)
			parsed, err := parseMessage(bgp.BGP_MSG_UPDATE, bodyOf(t, s.outgoing[0]))
			if err != nil {
				t.Fatal(err)
			}
			update := parsed.Body.(*bgp.BGPUpdate)
			attributes := map[bgp.BGPAttrType]string{}
			for _, attribute := range update.PathAttributes {
				attributes[attribute.GetType()] = attribute.String()
			}
			_, hasAS4Path := attributes[bgp.BGP_ATTR_TYPE_AS4_PATH]
			_, hasPref := attributes[bgp.BGP_ATTR_TYPE_LOCAL_PREF]
			if len(update.NLRI) != 2 || hasAS4Path != c.hasAS4Path || hasPref != c.hasPref ||
				!strings.Contains(attributes[bgp.BGP_ATTR_TYPE_NEXT_HOP], "127.0.0.2") ||
				!strings.Contains(attributes[bgp.BGP_ATTR_TYPE_AS_PATH], c.path) {
				t.Errorf("got path attributes %v and routes %v, want the attributes of this case and 2 routes", attributes, update.NLRI)
			}
		})
	}
}
