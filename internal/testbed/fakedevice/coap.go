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

// CoAP is the CoAP wire of a device.
type CoAP struct {
	Device         string
	Dial           Dialer
	BlockSize      int // of uploads: a power of two up to 1024, or more for BERT; 0: bodies go whole
	MaxMessageSize int // the Max-Message-Size that it tells

	nc    net.Conn
	buf   []byte
	token uint32
	link  Link
	heard bool
	name  string         // of the gateway, as last heard
	held  map[string]int // bytes of an upload that the gateway has acknowledged, by key
	sent  int
}

// Close implements Wire.
func (w *CoAP) Close() {
	if w.nc != nil {
		w.nc.Close()
		w.nc, w.buf = nil, nil
	}
}

// Link implements Wire.
func (w *CoAP) Link() Link { return w.link }

func (w *CoAP) connect(ctx context.Context) error {
	if w.nc != nil {
		return nil
	}
	nc, link, err := w.Dial(ctx)
	if err != nil {
		return err
	}
	w.nc, w.link, w.buf = nc, link, nil
	csm := message.Message{Code: codes.CSM, Options: message.Options{
		coapwire.UintOption(message.TCPMaxMessageSize, uint32(w.MaxMessageSize)), {ID: message.TCPBlockWiseTransfer}}}
	return w.put(ctx, csm)
}

func (w *CoAP) put(ctx context.Context, m message.Message) error {
	if by, ok := ctx.Deadline(); ok {
		w.nc.SetWriteDeadline(by)
	}
	raw := coapwire.Encode(m)
	n, err := w.nc.Write(raw)
	w.sent += n
	return err
}

// get reads messages up to the answer to a token.
func (w *CoAP) get(ctx context.Context, token message.Token) (*message.Message, error) {
	for {
		n, err := coapwire.FrameLength(w.buf)
		if err != nil {
			return nil, err
		}
		if n == 0 || n > len(w.buf) {
			if by, ok := ctx.Deadline(); ok {
				w.nc.SetReadDeadline(by)
			}
			chunk := make([]byte, 4096)
			k, err := w.nc.Read(chunk)
			w.buf = append(w.buf, chunk[:k]...)
			if err != nil {
				w.heard = w.heard || len(w.buf) > 0 // an answer was coming in
				return nil, err
			}
			continue
		}
		m, err := coapwire.Decode(append([]byte(nil), w.buf[:n]...))
		if err != nil {
			return nil, err
		}
		w.buf = w.buf[n:]
		w.heard = w.heard || m.Code < codes.CSM
		switch m.Code {
		case codes.CSM:
			w.name, _ = m.Options.GetString(coapwire.OptGatewayName)
		case codes.Pong:
		case codes.Ping:
			if err := w.put(ctx, message.Message{Code: codes.Pong, Token: m.Token}); err != nil {
				return nil, err
			}
		case codes.Release: // it stays until its answer is there; the next request opens another
		case codes.Abort:
			return nil, fmt.Errorf("aborted: %s", m.Payload)
		default:
			if string(m.Token) != string(token) {
				return nil, fmt.Errorf("an answer to no request: %v", m)
			}
			return m, nil
		}
	}
}

// ask sends one message and waits for its answer.
func (w *CoAP) ask(ctx context.Context, c *copied, more message.Options, payload []byte) (*message.Message, error) {
	w.token++
	token := binary.BigEndian.AppendUint32(nil, w.token)
	left := c.left
	if by := time.Until(c.Deadline); by > 0 {
		left = min(left, by)
	}
	code := codes.GET
	opts := message.Options{{ID: message.URIPath, Value: []byte(c.Class)}, {ID: message.URIPath, Value: []byte(c.Object)}}
	if c.Write {
		code = codes.PUT
	} else {
		opts = opts.Add(message.Option{ID: message.URIQuery, Value: fmt.Appendf(nil, "n=%d", c.Size)})
	}
	for _, o := range append(more,
		message.Option{ID: coapwire.OptDevice, Value: []byte(w.Device)},
		coapwire.UintOption(coapwire.OptTimeLeft, uint32(max(1, left.Milliseconds()))),
		message.Option{ID: coapwire.OptIdempotencyKey, Value: []byte(c.Key)},
		message.Option{ID: coapwire.OptPlan, Value: []byte("basic")},
		message.Option{ID: coapwire.OptIO, Value: fmt.Appendf(nil, "volume=%s,units=1,shard=%d,hosts=1", c.Object, c.Shard)}) {
		opts = opts.Add(o)
	}
	if !c.repeat {
		c.sentTo = w.name
	} else {
		opts = opts.Add(message.Option{ID: coapwire.OptPreviousGateway, Value: []byte(c.sentTo)})
		opts = opts.Add(message.Option{ID: coapwire.OptRetry})
		opts = opts.Add(coapwire.UintOption(coapwire.OptAge, uint32(time.Since(c.began).Milliseconds())))
	}
	if err := w.put(ctx, message.Message{Code: code, Token: token, Options: opts, Payload: payload}); err != nil {
		return nil, err
	}
	return w.get(ctx, token)
}

// send implements Wire.
func (w *CoAP) send(ctx context.Context, c *copied) (res result, err error) {
	w.sent, w.heard = 0, false
	defer func() { res.bytes, res.heard = w.sent, w.heard }()
	if err := w.connect(ctx); err != nil {
		return res, err
	}
	var m *message.Message
	if c.Write && w.BlockSize > 0 && len(c.Body) > w.BlockSize {
		m, err = w.upload(ctx, c, &res)
	} else {
		res.sent, res.sentAt = true, time.Now() // as far as the device knows
		var from message.Options
		if len(c.have) >= 1024 { // it asks for what it lacks
			res.have, res.etag = c.have, c.etag
			from = message.Options{coapwire.Block{Offset: len(c.have) / 1024 * 1024, Size: 1024}.Option(message.Block2)}
		}
		m, err = w.ask(ctx, c, from, c.Body)
	}
	if err != nil {
		return res, ErrLost
	}
	if m.Code == codes.Content && m.Options.HasOption(message.Block2) {
		return w.download(ctx, c, m, res)
	}
	w.judge(m, &res)
	return res, nil
}

// judge reads a final answer.
func (w *CoAP) judge(m *message.Message, res *result) {
	res.note = fmt.Sprint(m.Code, " ", string(m.Payload[:min(len(m.Payload), 40)]))
	switch m.Code {
	case codes.Content, codes.Changed:
		res.outcome, res.content = invariants.Served, content(m.Payload)
	case codes.ServiceUnavailable, codes.TooManyRequests:
		res.outcome = invariants.Rejected
		if s, err := m.Options.GetUint32(message.MaxAge); err == nil {
			res.after = time.Duration(s) * time.Second
		}
	case codes.Conflict:
		res.outcome = invariants.Conflict
	default:
		res.outcome = invariants.Failed
	}
}

// upload sends a body by blocks, from where the gateway has it.
func (w *CoAP) upload(ctx context.Context, c *copied, res *result) (*message.Message, error) {
	if w.held == nil {
		w.held = map[string]int{}
	}
	name := c.Key + content(c.Body)
	size := w.BlockSize
	for restarts := 0; ; {
		at := w.held[name]
		end := min(at+size, len(c.Body))
		p := coapwire.Block{Offset: at, Size: min(size, 1024), BERT: size > 1024, More: end < len(c.Body)}
		if !p.More {
			res.sent, res.sentAt, w.heard = true, time.Now(), false
		}
		opts := message.Options{p.Option(message.Block1), coapwire.UintOption(message.Size1, uint32(len(c.Body))),
			{ID: message.RequestTag, Value: []byte(content(c.Body))[:8]}}
		m, err := w.ask(ctx, c, opts, c.Body[at:end])
		if err != nil {
			return nil, err
		}
		switch m.Code {
		case codes.Continue:
			w.held[name] = end
			if b, err := m.Options.GetBytes(message.Block1); err == nil {
				if q, ok := coapwire.DecodeBlock(b); ok && !q.BERT && q.Size < size && end%q.Size == 0 {
					size = q.Size
				}
			}
		case codes.RequestEntityIncomplete:
			if restarts++; restarts > 3 {
				return m, nil
			}
			w.held[name] = 0
			if have, err := m.Options.GetUint32(coapwire.OptBufferedBytes); err == nil && int(have)%size == 0 && int(have) < len(c.Body) {
				w.held[name] = int(have)
			}
		default:
			return m, nil
		}
	}
}

// download asks for the blocks of an answer; it goes on from those that an earlier copy has brought.
func (w *CoAP) download(ctx context.Context, c *copied, m *message.Message, res result) (result, error) {
	var got []byte
	if len(c.have) > 0 {
		got = c.have
	}
	for {
		b, _ := m.Options.GetBytes(message.Block2)
		p, ok := coapwire.DecodeBlock(b)
		etag, _ := m.Options.GetBytes(message.ETag)
		if !ok || m.Code != codes.Content {
			if m.Code != codes.Content {
				w.judge(m, &res)
				return res, nil
			}
			return res, ErrLost
		}
		if string(etag) != res.etag && res.etag != "" || c.etag != "" && c.etag != string(etag) {
			got = nil // another answer: what was there is worth nothing
			c.etag = ""
		}
		res.etag = string(etag)
		if p.Offset <= len(got) {
			got = append(append([]byte(nil), got[:p.Offset]...), m.Payload...)
		}
		if !p.More && p.Offset+len(m.Payload) == len(got) {
			res.outcome, res.content = invariants.Served, content(got)
			return res, nil
		}
		res.have = got
		next := coapwire.Block{Offset: len(got) / p.Size * p.Size, Size: p.Size, BERT: p.BERT}
		var err error
		if m, err = w.ask(ctx, c, message.Options{next.Option(message.Block2)}, nil); err != nil {
			return res, ErrLost
		}
	}
}
