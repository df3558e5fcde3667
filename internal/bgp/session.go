package bgp

import (
	"errors"
	"fmt"
	"net"

	"github.com/osrg/gobgp/v3/pkg/packet/bgp"
)

// sessionState is a state of the finite state machine of RFC 4271. Its values are also the subcodes of the NOTIFICATION
// about an unexpected message (RFC 6608). There are no states Connect and Active, because Speaker opens the connection
// before a session starts.
type sessionState uint8

// The states of a session.
const (
	stateIdle sessionState = iota // the session has not started or has ended
	stateOpenSent
	stateOpenConfirm
	stateEstablished
)

// String returns the name of the state in RFC 4271.
func (s sessionState) String() string {
	switch s {
	case stateIdle:
		return "Idle"
	case stateOpenSent:
		return "OpenSent"
	case stateOpenConfirm:
		return "OpenConfirm"
	case stateEstablished:
		return "Established"
	}
	return fmt.Sprintf("sessionState(%d)", uint8(s))
}

const (
	bgpVersion = 4

	// initialHoldTimeMs is the hold time until the peer's OPEN arrives (RFC 4271, 8.2.2).
	initialHoldTimeMs = 240_000
	// keepalivesPerHoldTime is the ratio of the hold time to the keepalive interval (RFC 4271, 4.4).
	keepalivesPerHoldTime = 3
)

// Reasons for the end of a session. They are logged.
var (
	errHoldTimerExpired     = errors.New("hold timer expired")
	errNotificationReceived = errors.New("the peer sent a NOTIFICATION")
)

// session is the state machine of one session. It does no I/O and reads no clock: it appends the messages to send to
// outgoing, and callers pass the current time in milliseconds.
type session struct {
	options          *Options
	state            sessionState
	ready            bool    // whether the prefixes should be announced while the session is established
	announced        bool    // whether the prefixes are announced
	peerFourOctetAS  bool    // whether the peer supports four-octet AS numbers (RFC 6793)
	holdTimeMs       float64 // negotiated hold time; 0 disables the hold timer and keepalives
	holdTimerMs      float64 // time at which the hold timer expires; 0 means that it is stopped
	keepaliveTimerMs float64 // time at which the keepalive timer expires; 0 means that it is stopped
	outgoing         []*bgp.BGPMessage
	endReason        error // reason for the end of the session; nil until it ends
}

// start sends the OPEN and starts the hold timer.
func (s *session) start(nowMs float64) {
	capabilities := bgp.NewOptionParameterCapability([]bgp.ParameterCapabilityInterface{
		bgp.NewCapMultiProtocol(bgp.RF_IPv4_UC),
		bgp.NewCapFourOctetASNumber(s.options.LocalAS),
	})
	holdTimeSeconds := uint16(s.options.HoldTimeMs / 1000)
	s.send(bgp.NewBGPOpenMessage(twoOctetAS(s.options.LocalAS), holdTimeSeconds, s.options.RouterID.String(),
		[]bgp.OptionParameterInterface{capabilities}))
	s.state = stateOpenSent
	s.holdTimerMs = nowMs + initialHoldTimeMs
}

func (s *session) send(message *bgp.BGPMessage) { s.outgoing = append(s.outgoing, message) }

// end ends the session without a NOTIFICATION, because the connection has failed or the peer has ended the session.
func (s *session) end(reason error) {
	if s.state == stateIdle {
		return
	}
	s.state, s.endReason = stateIdle, reason
	s.holdTimerMs, s.keepaliveTimerMs = 0, 0
}

// endWithNotification ends the session with a NOTIFICATION to the peer.
func (s *session) endWithNotification(reason error, code, subcode uint8, data []byte) {
	if s.state == stateIdle {
		return
	}
	s.send(bgp.NewBGPNotificationMessage(code, subcode, data))
	s.end(reason)
}

// fail ends the session because of a read error or an invalid message. It sends a NOTIFICATION if err is a
// *bgp.MessageError with an error code.
func (s *session) fail(err error) {
	var messageError *bgp.MessageError
	if errors.As(err, &messageError) && messageError.TypeCode != 0 {
		s.endWithNotification(err, messageError.TypeCode, messageError.SubTypeCode, messageError.Data)
		return
	}
	s.end(err)
}

// handleMessage handles a message from the peer, given as the type in its header and its body.
func (s *session) handleMessage(nowMs float64, messageType uint8, body []byte) {
	if s.state == stateIdle {
		return
	}
	if messageType == bgp.BGP_MSG_NOTIFICATION {
		s.end(notificationError(body))
		return
	}
	parsed, err := parseMessage(messageType, body)
	if err != nil && !s.isRecoverable(messageType, err) {
		s.fail(err)
		return
	}
	switch {
	case s.state == stateOpenSent && messageType == bgp.BGP_MSG_OPEN:
		s.handleOpen(nowMs, parsed.Body.(*bgp.BGPOpen))
	case s.state == stateOpenConfirm && messageType == bgp.BGP_MSG_KEEPALIVE:
		s.state = stateEstablished
		s.restartHoldTimer(nowMs)
		s.setReady(s.ready)
	case s.state == stateEstablished && (messageType == bgp.BGP_MSG_KEEPALIVE || messageType == bgp.BGP_MSG_UPDATE):
		s.restartHoldTimer(nowMs)
	default:
		reason := fmt.Errorf("unexpected message of type %d in state %d", messageType, uint8(s.state))
		s.endWithNotification(reason, bgp.BGP_ERROR_FSM_ERROR, uint8(s.state), nil)
	}
}

// isRecoverable reports whether the session continues after an error in an UPDATE (RFC 7606). The error needs no handling,
// since routes of the peer are not stored.
func (s *session) isRecoverable(messageType uint8, err error) bool {
	var messageError *bgp.MessageError
	if messageType != bgp.BGP_MSG_UPDATE || s.state != stateEstablished || !errors.As(err, &messageError) {
		return false
	}
	return messageError.ErrorHandling != bgp.ERROR_HANDLING_SESSION_RESET &&
		messageError.ErrorHandling != bgp.ERROR_HANDLING_NONE
}

// notificationError returns the reason for the end of a session that the peer has ended with a NOTIFICATION: an error that
// names the code and the subcode in body.
func notificationError(body []byte) error {
	if len(body) < 2 {
		return errNotificationReceived
	}
	return fmt.Errorf("the peer sent NOTIFICATION %d/%d", body[0], body[1])
}

// handleOpen validates the peer's OPEN. It confirms a valid one with a KEEPALIVE, and ends the session otherwise.
func (s *session) handleOpen(nowMs float64, open *bgp.BGPOpen) {
	routerID := net.IP(s.options.RouterID.AsSlice())
	if _, err := bgp.ValidateOpenMsg(open, s.options.PeerAS, s.options.LocalAS, routerID); err != nil {
		setOpenErrorData(err, open)
		s.fail(err)
		return
	}
	s.peerFourOctetAS = s.peerFourOctetAS || supportsFourOctetAS(open)
	s.holdTimeMs = min(s.options.HoldTimeMs, float64(open.HoldTime)*1000)
	s.state = stateOpenConfirm
	s.send(bgp.NewBGPKeepAliveMessage())
	s.restartKeepaliveTimer(nowMs)
	s.restartHoldTimer(nowMs)
}

// setOpenErrorData sets the data of the NOTIFICATION about an invalid OPEN: the supported version if the peer's version is
// not supported, and no data otherwise.
func setOpenErrorData(err error, open *bgp.BGPOpen) {
	var messageError *bgp.MessageError
	if !errors.As(err, &messageError) {
		return
	}
	messageError.Data = nil
	if open.Version != bgpVersion {
		messageError.Data = []byte{0, bgpVersion}
	}
}

// supportsFourOctetAS reports whether an OPEN advertises support for four-octet AS numbers (RFC 6793).
func supportsFourOctetAS(open *bgp.BGPOpen) bool {
	for _, parameter := range open.OptParams {
		capabilities, ok := parameter.(*bgp.OptionParameterCapability)
		if !ok {
			continue
		}
		for _, capability := range capabilities.Capability {
			if capability.Code() == bgp.BGP_CAP_FOUR_OCTET_AS_NUMBER {
				return true
			}
		}
	}
	return false
}

// restartHoldTimer restarts the hold timer after a message from the peer. A hold time of 0 stops it.
func (s *session) restartHoldTimer(nowMs float64) {
	s.holdTimerMs = 0
	if s.holdTimeMs > 0 {
		s.holdTimerMs = nowMs + s.holdTimeMs
	}
}

// restartKeepaliveTimer restarts the keepalive timer. A hold time of 0 stops it.
func (s *session) restartKeepaliveTimer(nowMs float64) {
	s.keepaliveTimerMs = 0
	if s.holdTimeMs > 0 {
		s.keepaliveTimerMs = nowMs + withJitter(s.holdTimeMs/keepalivesPerHoldTime)
	}
}

// handleTimers handles the timers that have expired at nowMs.
func (s *session) handleTimers(nowMs float64) {
	if s.holdTimerMs > 0 && nowMs >= s.holdTimerMs {
		s.endWithNotification(errHoldTimerExpired, bgp.BGP_ERROR_HOLD_TIMER_EXPIRED, 0, nil)
	}
	if s.keepaliveTimerMs > 0 && nowMs >= s.keepaliveTimerMs {
		s.send(bgp.NewBGPKeepAliveMessage())
		s.restartKeepaliveTimer(nowMs)
	}
}

// nextTimerMs returns the time at which handleTimers must be called next, or 0 if no timer runs.
func (s *session) nextTimerMs() float64 {
	if s.keepaliveTimerMs > 0 && s.keepaliveTimerMs < s.holdTimerMs {
		return s.keepaliveTimerMs
	}
	return s.holdTimerMs
}
