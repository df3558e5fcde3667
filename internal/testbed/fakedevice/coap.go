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
	BlockSize      int // of uploads: a power of two up to 1024, or a multiple of 1024 for BERT; 0: bodies are sent whole
	MaxMessageSize int // the option that is announced

	conn            net.Conn
	link            Link
	received        []byte // bytes that are not decoded yet
	lastToken       uint32
	gatewayName     string         // as the gateway has last named itself
	uploaded        map[string]int // bytes of an upload that the gateway has acknowledged, by key and body
	bytesSent       int            // of the present copy
	responseStarted bool           // of the present copy
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
func (t *CoAP) send(ctx context.Context, c *requestCopy) (result, error) {
	t.bytesSent, t.responseStarted = 0, false
	res, err := t.exchange(ctx, c)
	res.bytesSent, res.responseStarted = t.bytesSent, t.responseStarted
	return res, err
}

// exchange sends a copy and receives its response, with the further messages of block-wise transfers.
func (t *CoAP) exchange(ctx context.Context, c *requestCopy) (res result, err error) {
	if err := t.connect(ctx); err != nil {
		return res, err
	}
	var response *message.Message
	if c.Write && t.BlockSize > 0 && len(c.Body) > t.BlockSize {
		response, err = t.upload(ctx, c, &res)
	} else {
		res.sentCompletely, res.sentAt = true, time.Now() // As far as the device knows.
		response, err = t.request(ctx, c, resumeOptions(c, &res), c.Body)
	}
	if err != nil {
		return res, ErrNoResponse
	}
	if response.Code == codes.Content && response.Options.HasOption(message.Block2) {
		return t.download(ctx, c, response, res)
	}
	interpretResponse(response, &res)
	return res, nil
}

// connect opens a connection if there is none, and announces its capabilities.
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

// request sends one message and waits for its response.
func (t *CoAP) request(ctx context.Context, c *requestCopy, blockOptions message.Options, payload []byte) (*message.Message, error) {
	t.lastToken++
	token := binary.BigEndian.AppendUint32(nil, t.lastToken)
	code := codes.GET
	if c.Write {
		code = codes.PUT
	}
	m := message.Message{Code: code, Token: token, Options: t.requestOptions(c, blockOptions), Payload: payload}
	if err := t.writeMessage(ctx, m); err != nil {
		return nil, err
	}
	return t.readResponse(ctx, token)
}

// requestOptions returns the options of a message of a copy.
func (t *CoAP) requestOptions(c *requestCopy, blockOptions message.Options) message.Options {
	timeLeft := c.timeLeft
	if untilDeadline := time.Until(c.Deadline); untilDeadline > 0 {
		timeLeft = min(timeLeft, untilDeadline)
	}
	options := message.Options{{ID: message.URIPath, Value: []byte(c.Class)}, {ID: message.URIPath, Value: []byte(c.Object)}}
	if !c.Write {
		options = options.Add(message.Option{ID: message.URIQuery, Value: fmt.Appendf(nil, "n=%d", c.Size)})
	}
	for _, option := range append(blockOptions,
		message.Option{ID: coapwire.OptDevice, Value: []byte(t.Device)},
		coapwire.UintOption(coapwire.OptTimeLeft, uint32(max(1, timeLeft.Milliseconds()))),
		message.Option{ID: coapwire.OptIdempotencyKey, Value: []byte(c.Key)},
		message.Option{ID: coapwire.OptPlan, Value: []byte("basic")},
		message.Option{ID: coapwire.OptIO, Value: fmt.Appendf(nil, "volume=%s,units=1,shard=%d,hosts=1", c.Object, c.Shard)}) {
		options = options.Add(option)
	}
	if !c.isRetry {
		c.firstGateway = t.gatewayName
		return options
	}
	options = options.Add(message.Option{ID: coapwire.OptPreviousGateway, Value: []byte(c.firstGateway)})
	options = options.Add(message.Option{ID: coapwire.OptRetry})
	return options.Add(coapwire.UintOption(coapwire.OptAge, uint32(time.Since(c.firstSentAt).Milliseconds())))
}

// writeMessage writes a message by the deadline of ctx.
func (t *CoAP) writeMessage(ctx context.Context, m message.Message) error {
	if deadline, ok := ctx.Deadline(); ok {
		t.conn.SetWriteDeadline(deadline)
	}
	n, err := t.conn.Write(coapwire.Encode(m))
	t.bytesSent += n
	return err
}

// readResponse reads messages up to the response to a token and answers pings in between.
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
		case codes.Release: // The connection stays until the response has arrived; the next request opens another one.
		case codes.Abort:
			return nil, fmt.Errorf("fakedevice: aborted: %s", m.Payload)
		default:
			if string(m.Token) != string(token) {
				return nil, fmt.Errorf("fakedevice: a response to no request: %v", m)
			}
			return m, nil
		}
	}
}

// readMessage reads the next message by the deadline of ctx.
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

// interpretResponse sets the outcome by a final response.
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
