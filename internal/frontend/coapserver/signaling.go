package coapserver

import (
	"errors"
	"log/slog"
	"math"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
)

// minPeerMessageSize is the smallest Max-Message-Size that a device may announce, in bytes.
const minPeerMessageSize = 64

// Signaling errors. All except errAborted are sent to devices in an Abort message, so their texts have no package prefix.
var (
	errCriticalSignalOption = errors.New("a critical option in a signaling message")
	errBadMaxMessageSize    = errors.New("a Max-Message-Size that nothing fits into")
	errAborted              = errors.New("aborted by the device")
)

// handleSignal handles signaling messages (RFC 8323, 5). If it returns an error, the caller ends the connection.
func (c *conn) handleSignal(m *message.Message, now time.Time) error {
	for _, option := range m.Options {
		if isCritical(option.ID) { // this server supports no critical signaling option
			return errCriticalSignalOption
		}
	}
	switch m.Code {
	case codes.CSM:
		return c.handleCSM(m, now)
	case codes.Ping:
		c.awaitQueueSpace(m.Token)
		c.sendPong(m)
	case codes.Pong:
		c.handlePong(now)
	case codes.Release:
		c.closeWhenIdle()
	case codes.Abort:
		return errAborted
	}
	return nil
}

// handleCSM applies a CSM of the device. After the first one it measures the round trip with a Ping.
func (c *conn) handleCSM(m *message.Message, now time.Time) error {
	first := !c.csmReceived
	c.csmReceived = true
	err := c.applyCSM(m.Options)
	if first {
		// The remaining time of a request counts from when the device sent it. The gateway needs the round trip to estimate by when
		// it must send the response, so the round trip is measured before the first response.
		c.ping(now)
	}
	return err
}

// applyCSM stores those options of a CSM that the server uses: Max-Message-Size and Block-Wise-Transfer.
func (c *conn) applyCSM(options message.Options) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, option := range options {
		switch option.ID {
		case message.TCPMaxMessageSize:
			size, ok := coapwire.DecodeUint(option.Value)
			if !ok || size < minPeerMessageSize {
				return errBadMaxMessageSize
			}
			c.peerMaxMessageSize = int(min(size, math.MaxInt32))
		case message.TCPBlockWiseTransfer:
			c.peerBlockwise = true
		}
	}
	return nil
}

// ping sends a Ping, which checks that the device is reachable and measures the round trip. It does nothing while an earlier
// Ping is unanswered.
func (c *conn) ping(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pingSentAt.IsZero() {
		c.pingSentAt = now
		c.enqueue(outgoingMessage{encoded: coapwire.Encode(message.Message{Code: codes.Ping})})
	}
}

// sendPong answers a Ping. The Pong has the Custody option if the Ping has it (RFC 8323, 5.4.1).
func (c *conn) sendPong(ping *message.Message) {
	pong := message.Message{Code: codes.Pong, Token: ping.Token}
	if ping.Options.HasOption(message.TCPCustody) {
		pong.Options = message.Options{{ID: message.TCPCustody}}
	}
	c.send(pong)
}

// handlePong records the round trip of the unanswered Ping. A Pong without such a Ping is ignored.
func (c *conn) handlePong(now time.Time) {
	c.mu.Lock()
	sentAt := c.pingSentAt
	c.pingSentAt = time.Time{}
	c.mu.Unlock()
	if sentAt.IsZero() {
		return
	}
	c.earliestSendTime = sentAt
	roundTripMs := clock.Ms(now.Sub(sentAt))
	if c.device == "" {
		c.linkSample.RoundTripMs = roundTripMs // reported with the first request, which names the device
		return
	}
	// The round trip is reported at once, since a longer one may require that pending requests are answered earlier.
	c.server.Loop.LinkMeasured(c.device, lifecycle.LinkSample{RoundTripMs: roundTripMs})
}

// abort ends the connection because of a protocol error. It sends an Abort with the reason and waits until the Abort has been
// written or the connection is lost. An Abort from the device is counted but not answered.
func (c *conn) abort(err error) {
	if errors.Is(err, errAborted) {
		c.server.Metrics.Add(abortsReceived, 1)
		return
	}
	c.server.Metrics.Add(abortsSent, 1)
	slog.Info(logevent.DeviceError, logevent.Client, c.netConn.RemoteAddr().String(), logevent.Error, err)
	c.sendAndClose(message.Message{Code: codes.Abort, Payload: []byte(err.Error())})
	c.mu.Lock()
	for !c.closed {
		c.queueShrunk.Wait()
	}
	c.mu.Unlock()
}

// isCritical reports whether a receiver that does not know the option must reject the message that carries it (RFC 7252, 5.4.1).
func isCritical(id message.OptionID) bool { return id%2 == 1 }
