package fakedevice

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/testbed/invariants"
)

// CoAP is the transport of a device that uses CoAP over TCP.
type CoAP struct {
	Device         string
	Dial           Dialer
	BlockSize      int // block size of uploads in bytes: a power of two up to 1024, or a multiple of 1024 (BERT, RFC 8323); 0: no blocks
	MaxMessageSize int // value in bytes of the Max-Message-Size option that the device announces

	conn            net.Conn
	link            Link
	received        []byte // received bytes that are not decoded yet
	lastToken       uint32
	gatewayName     string         // latest name that the gateway has announced
	uploaded        map[string]int // number of bytes of an upload that the gateway has acknowledged, by idempotency key and digest of the body
	bytesSent       int            // number of bytes sent in the current transmission
	responseStarted bool           // whether the response to the current transmission has started to arrive
}

// Close implements Transport.
func (t *CoAP) Close() {
	if t.conn != nil {
		t.conn.Close()
		t.conn, t.received = nil, nil
	}
}

// Link implements Transport.
func (t *CoAP) Link() Link { return t.link }

// send implements Transport.
func (t *CoAP) send(ctx context.Context, tx *transmission) (result, error) {
	t.bytesSent, t.responseStarted = 0, false
	res, err := t.transmit(ctx, tx)
	res.bytesSent, res.responseStarted = t.bytesSent, t.responseStarted
	return res, err
}

// transmit sends a transmission and receives the response, including all messages of block-wise transfers.
func (t *CoAP) transmit(ctx context.Context, tx *transmission) (res result, err error) {
	if err := t.connect(ctx); err != nil {
		return res, err
	}
	var response *message.Message
	if tx.Write && t.BlockSize > 0 && len(tx.Body) > t.BlockSize {
		response, err = t.upload(ctx, tx, &res)
	} else {
		res.sentCompletely, res.sentAt = true, time.Now() // The request counts as sent when the write starts.
		response, err = t.request(ctx, tx, resumeOptions(tx, &res), tx.Body)
	}
	if err != nil {
		return res, ErrNoResponse
	}
	if response.Code == codes.Content && response.Options.HasOption(message.Block2) {
		return t.download(ctx, tx, response, res)
	}
	interpretResponse(response, &res)
	return res, nil
}

// connect opens a connection if there is none, and announces the device's capabilities on it.
func (t *CoAP) connect(ctx context.Context) error {
	if t.conn != nil {
		return nil
	}
	conn, link, err := t.Dial(ctx)
	if err != nil {
		return err
	}
	t.conn, t.link, t.received = conn, link, nil
	return t.writeMessage(ctx, message.Message{Code: codes.CSM, Options: message.Options{
		coapwire.UintOption(message.TCPMaxMessageSize, uint32(t.MaxMessageSize)), {ID: message.TCPBlockWiseTransfer}}})
}

// request sends a request message and waits for its response.
func (t *CoAP) request(ctx context.Context, tx *transmission, blockOptions message.Options,
	payload []byte) (*message.Message, error) {
	t.lastToken++
	token := binary.BigEndian.AppendUint32(nil, t.lastToken)
	code := codes.GET
	if tx.Write {
		code = codes.PUT
	}
	m := message.Message{Code: code, Token: token, Options: t.requestOptions(tx, blockOptions), Payload: payload}
	if err := t.writeMessage(ctx, m); err != nil {
		return nil, err
	}
	return t.readResponse(ctx, token)
}

// requestOptions returns the options of a request message of a transmission.
func (t *CoAP) requestOptions(tx *transmission, blockOptions message.Options) message.Options {
	timeLeft := tx.timeLeft
	if untilDeadline := time.Until(tx.Deadline); untilDeadline > 0 {
		timeLeft = min(timeLeft, untilDeadline)
	}
	options := message.Options{{ID: message.URIPath, Value: []byte(tx.Class)}, {ID: message.URIPath, Value: []byte(tx.Object)}}
	if !tx.Write {
		options = options.Add(message.Option{ID: message.URIQuery, Value: fmt.Appendf(nil, "n=%d", tx.Size)})
	}
	for _, option := range append(blockOptions,
		message.Option{ID: coapwire.OptDevice, Value: []byte(t.Device)},
		coapwire.UintOption(coapwire.OptTimeLeft, uint32(max(1, timeLeft.Milliseconds()))),
		message.Option{ID: coapwire.OptIdempotencyKey, Value: []byte(tx.Key)},
		message.Option{ID: coapwire.OptPlan, Value: []byte("basic")},
		message.Option{ID: coapwire.OptIO, Value: fmt.Appendf(nil, "volume=%s,units=1,shard=%d,hosts=1", tx.Object, tx.Shard)}) {
		options = options.Add(option)
	}
	if !tx.isRetry {
		tx.firstGateway = t.gatewayName
		return options
	}
	options = options.Add(message.Option{ID: coapwire.OptPreviousGateway, Value: []byte(tx.firstGateway)})
	options = options.Add(message.Option{ID: coapwire.OptRetry})
	return options.Add(coapwire.UintOption(coapwire.OptAge, uint32(time.Since(tx.firstSentAt).Milliseconds())))
}

// writeMessage writes a message. The write fails if it has not finished by the deadline of ctx.
func (t *CoAP) writeMessage(ctx context.Context, m message.Message) error {
	if deadline, ok := ctx.Deadline(); ok {
		t.conn.SetWriteDeadline(deadline)
	}
	n, err := t.conn.Write(coapwire.Encode(m))
	t.bytesSent += n
	return err
}

// readResponse reads messages until the response with the given token arrives. It responds to pings that arrive before that.
func (t *CoAP) readResponse(ctx context.Context, token message.Token) (*message.Message, error) {
	for {
		m, err := t.readMessage(ctx)
		if err != nil {
			return nil, err
		}
		t.responseStarted = t.responseStarted || m.Code < codes.CSM
		switch m.Code {
		case codes.CSM:
			t.gatewayName, _ = m.Options.GetString(coapwire.OptGatewayName)
		case codes.Pong:
		case codes.Ping:
			if err := t.writeMessage(ctx, message.Message{Code: codes.Pong, Token: m.Token}); err != nil {
				return nil, err
			}
		case codes.Release: // The gateway will close the connection. Until it does, the device uses the connection.
		case codes.Abort:
			return nil, fmt.Errorf("fakedevice: the gateway aborted the connection: %s", m.Payload)
		default:
			if string(m.Token) != string(token) {
				return nil, fmt.Errorf("fakedevice: received a message whose token is not that of the current request: %v", m)
			}
			return m, nil
		}
	}
}

// readMessage reads the next message. The read fails if no complete message has arrived by the deadline of ctx.
func (t *CoAP) readMessage(ctx context.Context) (*message.Message, error) {
	for {
		size, err := coapwire.FrameLength(t.received)
		if err != nil {
			return nil, err
		}
		if size > 0 && size <= len(t.received) {
			m, err := coapwire.Decode(append([]byte(nil), t.received[:size]...))
			if err != nil {
				return nil, err
			}
			t.received = t.received[size:]
			return m, nil
		}
		if deadline, ok := ctx.Deadline(); ok {
			t.conn.SetReadDeadline(deadline)
		}
		chunk := make([]byte, 4096)
		n, err := t.conn.Read(chunk)
		t.received = append(t.received, chunk[:n]...)
		if err != nil {
			t.responseStarted = t.responseStarted || len(t.received) > 0
			return nil, err
		}
	}
}

// interpretResponse sets the outcome of a transmission according to its final response.
func interpretResponse(m *message.Message, res *result) {
	res.note = fmt.Sprint(m.Code, " ", string(m.Payload[:min(len(m.Payload), 40)]))
	switch m.Code {
	case codes.Content, codes.Changed:
		res.outcome, res.content = invariants.Served, digest(m.Payload)
	case codes.ServiceUnavailable, codes.TooManyRequests:
		res.outcome = invariants.Rejected
		if seconds, err := m.Options.GetUint32(message.MaxAge); err == nil {
			res.retryAfter = time.Duration(seconds) * time.Second
		}
	case codes.Conflict:
		res.outcome = invariants.Conflict
	default:
		res.outcome = invariants.Failed
	}
}
