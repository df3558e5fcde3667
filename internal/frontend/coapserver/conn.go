package coapserver

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/frontend/gracefulclose"
	"gaugerelay/internal/frontend/requestparse"
	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
)

const (
	smallBuffer = 512     // of an idle connection
	mostQueued  = 16      // messages that wait to be written before no more are read
	chunk       = 4 << 10 // bytes that each get the time of a dead link to be taken
	largeHead   = 64      // what a served message holds beside its payload, at the most
	mostDevice  = 64      // bytes of a device's name
)

// outgoing is a message that waits to be written: one made already, or an answer to a request.
type outgoing struct {
	raw    []byte
	p      *pending
	answer lifecycle.Response
	last   bool // the connection ends behind it
}

// pending is a request that is open on a connection.
type pending struct {
	token message.Token
	in    *request
	req   *lifecycle.Request
	stop  func() // the guard
}

// conn is a device's connection. Its first goroutine reads; a second one lives while there is something to write.
type conn struct {
	f  *Server
	nc net.Conn

	// The reader's.
	buf     []byte
	n       int // bytes in buf
	began   time.Time
	device  string
	greeted bool
	sample  lifecycle.LinkSample
	after   time.Time // whatever comes now was sent after this: the connecting, or a ping that has been answered

	mu       sync.Mutex
	room     sync.Cond // the queue has shrunk
	heard    time.Time // the last byte that came
	queue    []outgoing
	writing  bool
	closed   bool
	released bool
	ending   bool
	open     map[string]*pending
	pingAt   time.Time // of the ping that is out; zero: none is
	peerMost int
	peerBlk  bool
	dead     time.Duration
	block    int
}

func newConn(f *Server, nc net.Conn) *conn {
	now := time.Now()
	c := &conn{f: f, nc: nc, buf: make([]byte, smallBuffer), heard: now, began: now, after: now, open: map[string]*pending{},
		peerMost: coapwire.DefaultMaxMessageSize, dead: f.MaxIdleTimeout}
	c.room.L = &c.mu
	return c
}

// hello is the first message of each side (RFC 8323, 5.3).
func (c *conn) hello() {
	c.send(message.Message{Code: codes.CSM, Options: message.Options{
		coapwire.UintOption(message.TCPMaxMessageSize, uint32(c.f.MaxMessageSize)), {ID: message.TCPBlockWiseTransfer},
		{ID: coapwire.OptGatewayName, Value: []byte(c.f.GatewayName)}}}, false)
}

// release asks the device to go elsewhere once its requests are answered.
func (c *conn) release() {
	c.mu.Lock()
	was := c.released
	c.released = true
	c.mu.Unlock()
	if !was {
		c.send(message.Message{Code: codes.Release, Options: message.Options{
			coapwire.UintOption(message.TCPHoldOff, uint32(c.f.HoldOff/time.Second))}}, false)
	}
}

// end closes the connection once nothing is open on it.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.endIfIdle()
}

func (c *conn) endIfIdle() {
	if c.ending && len(c.open) == 0 && len(c.queue) == 0 && !c.writing {
		go c.close()
	}
}

// idleSince tells since when nothing is open, if so.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard, len(c.open) == 0 && len(c.queue) == 0 && !c.closed
}

// close ends the connection's sending, and reading is left to end it. What is open goes on without it.
func (c *conn) close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	open := c.open
	c.open = map[string]*pending{}
	for _, o := range c.queue { // answers that no one will read
		if o.p != nil {
			open[string(o.p.token)] = o.p
		}
	}
	c.queue = nil
	c.room.Broadcast()
	if !gracefulclose.CloseWrite(c.nc) {
		c.nc.Close()
	}
	c.nc.SetReadDeadline(time.Now().Add(gracefulclose.TimeoutMs * time.Millisecond))
	c.mu.Unlock()
	for _, p := range open {
		p.stop()
		c.f.Loop.Cancel(p.req)
	}
}

// cut ends the connection at once: to make room, where what is idle has had its answers long ago, and at the end.
func (c *conn) cut() {
	c.close()
	c.nc.Close()
}

// ---- reading ----

// serve reads until the connection ends.
func (c *conn) serve() {
	defer gracefulclose.Close(c.nc) // closed over what has not been read it would be reset, and the last message lost
	defer c.close()
	for c.await() {
		n, err := c.nc.Read(c.buf[c.n:])
		now := time.Now()
		if n > 0 {
			c.arrived(n, now)
			if err := c.frames(now); err != nil {
				c.abort(err)
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			if why := c.quiet(now); why != "" {
				c.f.Metrics.Add(why, 1)
				return
			}
		default:
			if c.n > 0 {
				c.f.Metrics.Add("device_frames_cut_off", 1) // it never became a request
			}
			return
		}
	}
}

// await sets the time until which the next bytes may come. False: the connection has been closed.
func (c *conn) await() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.nc.SetReadDeadline(c.wakeAt())
	}
	return !c.closed
}

// wakeAt is when a silence must be looked at. c.mu is held.
func (c *conn) wakeAt() time.Time {
	switch {
	case !c.greeted:
		return c.began.Add(c.f.FirstMessageTimeout) // from the connecting on, however it dribbles
	case !c.pingAt.IsZero():
		return c.pingAt.Add(c.dead)
	case c.n > 0:
		return c.heard.Add(c.dead)
	case len(c.open) > 0:
		return c.heard.Add(c.dead / 2)
	}
	return c.heard.Add(c.f.KeepaliveTime)
}

// quiet handles a silence: it asks whether the device is there, or tells, by a counter's name, why the connection
// counts as dead. A device that says nothing while it waits is well; one that is cut off in the middle is not.
func (c *conn) quiet(now time.Time) (why string) {
	c.mu.Lock()
	early, asked := now.Before(c.wakeAt()), !c.pingAt.IsZero()
	c.mu.Unlock()
	if early {
		return "" // something has come in the meantime
	}
	if !c.greeted {
		return "device_connections_silent"
	}
	if asked || c.n > 0 {
		return "device_connections_dead"
	}
	c.ping(now)
	return ""
}

// ping asks whether the device is there, and how long its link takes.
func (c *conn) ping(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pingAt.IsZero() {
		c.pingAt = now
		c.push(outgoing{raw: coapwire.Encode(message.Message{Code: codes.Ping})})
	}
}

// arrived notes what has come and how.
func (c *conn) arrived(n int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n > 0 { // in the middle of a frame
		c.sample.GapMs = max(c.sample.GapMs, clock.Ms(now.Sub(c.heard)))
	} else if c.greeted {
		c.began = now
	}
	c.n += n
	c.heard = now
}

// frames handles the whole frames that have come.
func (c *conn) frames(now time.Time) error {
	at := 0
	for at < c.n {
		n, err := coapwire.FrameLength(c.buf[at:c.n])
		if err != nil {
			return err
		}
		if n > c.f.MaxMessageSize {
			return errors.New("a message over the size that this side told")
		}
		if n == 0 || n > c.n-at {
			c.n = copy(c.buf, c.buf[at:c.n])
			c.fit(n)
			if at > 0 {
				c.began = now
			}
			return nil
		}
		m, err := coapwire.Decode(c.buf[at : at+n])
		if err != nil {
			return err
		}
		if n >= smallBuffer {
			c.sample.Bytes, c.sample.BytesMs = n, clock.Ms(now.Sub(c.began))
		}
		if err := c.message(m, now); err != nil {
			return err
		}
		at += n
		c.began = now
	}
	c.n = 0
	c.fit(0)
	return nil
}

// fit makes the buffer large enough for a frame, or small again for an idle connection.
func (c *conn) fit(frame int) {
	want := smallBuffer
	if frame > want {
		want = frame
	} else if c.n == len(c.buf) {
		want = 2 * c.n
	}
	if want > len(c.buf) || len(c.buf) > smallBuffer && c.n == 0 && frame == 0 {
		buf := make([]byte, want)
		copy(buf, c.buf[:c.n])
		c.buf = buf
	}
}

// message handles a message. An error ends the connection by Abort.
func (c *conn) message(m *message.Message, now time.Time) error {
	if !c.greeted && m.Code != codes.CSM {
		return errors.New("the first message must be a CSM")
	}
	switch m.Code {
	case codes.CSM, codes.Ping, codes.Pong, codes.Release, codes.Abort:
		return c.signal(m, now)
	case codes.Empty:
		return nil
	}
	if m.Code >= 32 { // responses: nothing was asked
		return errors.New("a response to no request")
	}
	c.mu.Lock()
	for len(c.queue) >= mostQueued && !c.closed { // it does not read: it shall not ask
		c.room.Wait()
	}
	open, used := len(c.open), c.open[string(m.Token)] != nil
	c.mu.Unlock()
	if used {
		return errors.New("a token that is in use")
	}
	if open >= c.f.MaxPendingRequests {
		c.f.Metrics.Add("device_requests_too_many", 1)
		if m.Code == codes.PUT && m.Options.HasOption(coapwire.OptRetry) { // an earlier copy may have run
			c.reply(m.Token, codes.BadGateway, "failed, it may have been done")
			return nil
		}
		c.reply(m.Token, codes.TooManyRequests, "too many requests are open", coapwire.UintOption(message.MaxAge, 1))
		return nil
	}
	if err := c.request(m, now); err != nil {
		c.f.Metrics.Add("requests_malformed", 1)
		code := codes.BadRequest
		if p := (*problem)(nil); errors.As(err, &p) {
			code = p.code
		}
		c.reply(m.Token, code, err.Error())
	}
	return nil
}

// signal handles the messages of RFC 8323, 5.
func (c *conn) signal(m *message.Message, now time.Time) error {
	for _, o := range m.Options { // none that is critical has been defined but for Abort's
		if o.ID%2 == 1 {
			return errors.New("a critical option in a signaling message")
		}
	}
	switch m.Code {
	case codes.CSM:
		if !c.greeted { // what the link takes must be known before the first answer: its time counts from its sending
			defer c.ping(now)
		}
		c.greeted = true
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, o := range m.Options {
			switch o.ID {
			case message.TCPMaxMessageSize:
				v, ok := coapwire.DecodeUint(o.Value)
				if !ok || v < 64 {
					return errors.New("a Max-Message-Size that nothing fits into")
				}
				c.peerMost = int(min(v, math.MaxInt32))
			case message.TCPBlockWiseTransfer:
				c.peerBlk = true
			}
		}
	case codes.Ping:
		pong := message.Message{Code: codes.Pong, Token: m.Token}
		if m.Options.HasOption(message.TCPCustody) {
			pong.Options = message.Options{{ID: message.TCPCustody}}
		}
		c.send(pong, false)
	case codes.Pong:
		c.mu.Lock()
		asked := c.pingAt
		c.pingAt = time.Time{}
		c.mu.Unlock()
		if asked.IsZero() {
			break
		}
		c.after = asked
		if rtt := clock.Ms(now.Sub(asked)); c.device != "" { // what waits may have to be told sooner for it
			c.f.Loop.LinkMeasured(c.device, lifecycle.LinkSample{RoundTripMs: rtt})
		} else {
			c.sample.RoundTripMs = rtt
		}
	case codes.Release:
		c.end() // what is open is answered
	case codes.Abort:
		return errAborted
	}
	return nil
}

var errAborted = errors.New("aborted by the device")

// abort tells why the connection ends here.
func (c *conn) abort(err error) {
	if errors.Is(err, errAborted) {
		c.f.Metrics.Add("device_aborts_received", 1)
		return
	}
	c.f.Metrics.Add("device_aborts", 1)
	slog.Info(logevent.DeviceError, logevent.Client, c.nc.RemoteAddr().String(), logevent.Error, err)
	c.send(message.Message{Code: codes.Abort, Payload: []byte(err.Error())}, true)
	// The writer closes behind it; whoever does not read it is cut off.
	c.mu.Lock()
	for !c.closed {
		c.room.Wait()
	}
	c.mu.Unlock()
}

// request hands a request in.
func (c *conn) request(m *message.Message, now time.Time) error {
	r, err := read(m)
	if err != nil {
		return err
	}
	if r.device == "" {
		r.device = c.device
	}
	if len(r.device) > mostDevice {
		return bad(codes.BadOption, "the device's name is too long")
	}
	req, class, err := requestparse.Parse(c.f.Settings, r.fields)
	if err != nil {
		return err
	}
	load := &httpmessage.Request{Method: r.fields.Method, Path: r.fields.Path, RawQuery: r.query, Header: http.Header{}}
	if r.contentType != "" {
		load.Header.Set("Content-Type", r.contentType)
	}
	if r.ageMs >= 0 { // told when it was sent; how long it was on its way is known only to be less than this
		r.ageMs += clock.Ms(now.Sub(c.after))
	}
	link := c.sample
	if err := requestparse.MakeDeviceRequest(req, class, r.fields, requestparse.DeviceFields{DeviceID: r.device, ReadID: r.fields.IdempotencyKey, AgeMs: r.ageMs, PreviousGateway: r.sentTo, Link: link}, load); err != nil {
		return err
	}
	c.device = r.device
	c.sample = lifecycle.LinkSample{}
	d := req.Device
	d.Body = bytes.Clone(m.Payload)
	if p := r.block1; p != nil && (p.More || p.Offset > 0) {
		d.Block = &lifecycle.Block{Tag: r.tag, Offset: p.Offset, More: p.More, Total: r.total}
	} else {
		if len(d.Body) > httpmessage.MaxBodyBytes {
			return bad(codes.RequestEntityTooLarge, "the body is over 64 KiB")
		}
		d.BodyDigest = sha256.Sum256(d.Body)
	}
	req.Upstream = c.f.Upstream
	req.ClientDelayMs = clock.Ms(now.Sub(c.began))
	req.RemainingMs -= req.ClientDelayMs
	if end := math.Float64frombits(c.f.endMs.Load()); end != 0 { // the program ends then, and what it leaves open is lost
		req.RemainingMs = min(req.RemainingMs, end-c.f.Clock.NowMs())
	}
	p := &pending{token: m.Token, in: r, req: req}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.open[string(p.token)] = p
	// A copy that took all its time to get here has its answer from the ledger at once. The guard must not race that:
	// a device that was told of its write by an earlier copy would be told now that it failed.
	p.stop = c.f.Clock.AfterFunc(max(0, req.RemainingMs)+clock.Ms(c.f.ResponseGrace), func() { c.late(p) })
	c.mu.Unlock()
	req.Respond = func(a lifecycle.Response) { c.answered(p, a) }
	if !c.f.Loop.Submit(req) {
		c.f.Metrics.Add("requests_inbox_full", 1)
		a := lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 250} // nothing of it has run
		if req.IsRetry && r.fields.Method == http.MethodPut {
			a.Kind = lifecycle.Failed // but an earlier copy may have
		}
		c.answered(p, a)
	}
	return nil
}

// late is the guard against an answer that does not come.
func (c *conn) late(p *pending) {
	c.mu.Lock()
	late := c.open[string(p.token)] == p
	if late {
		delete(c.open, string(p.token))
	}
	c.mu.Unlock()
	if late {
		c.f.Metrics.Add("answers_by_guard", 1)
		c.f.Loop.Cancel(p.req)
		c.reply(p.token, codes.GatewayTimeout, "no answer in time")
	}
}

// ---- writing ----

// answered takes the one answer to a request. It is called on the loop's goroutine and does not wait.
func (c *conn) answered(p *pending, a lifecycle.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.IdleTimeoutMs > 0 {
		c.dead = min(max(clock.Duration(a.IdleTimeoutMs), c.f.MinIdleTimeout), c.f.MaxIdleTimeout)
	}
	if a.BlockSize > 0 {
		c.block = a.BlockSize
	}
	if c.closed || c.open[string(p.token)] != p {
		return // it is too late, and Gone has been told
	}
	delete(c.open, string(p.token))
	p.stop()
	c.push(outgoing{p: p, answer: a, last: a.Kind == lifecycle.Superseded})
}

// reply answers without the loop.
func (c *conn) reply(token message.Token, code codes.Code, text string, opts ...message.Option) {
	c.send(message.Message{Code: code, Token: token, Options: opts, Payload: []byte(text)}, false)
}

func (c *conn) send(m message.Message, last bool) {
	raw := coapwire.Encode(m)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.push(outgoing{raw: raw, last: last})
}

// push queues a message and sees to it that someone writes. c.mu is held.
func (c *conn) push(o outgoing) {
	if c.closed {
		return
	}
	c.queue = append(c.queue, o)
	if !c.writing {
		c.writing = true
		go c.write()
	}
}

// write writes until the queue is empty.
func (c *conn) write() {
	for {
		c.mu.Lock()
		if c.closed || len(c.queue) == 0 {
			c.writing = false
			c.endIfIdle()
			c.mu.Unlock()
			return
		}
		o := c.queue[0]
		c.queue[0] = outgoing{}
		c.queue = c.queue[1:]
		if len(c.queue) == 0 {
			c.queue = nil
		}
		c.room.Broadcast()
		dead := c.dead
		c.mu.Unlock()
		raw, whole := o.raw, false
		if o.p != nil {
			raw, whole = c.compose(o.p, o.answer)
		}
		err := c.put(raw, dead)
		if o.p != nil && o.answer.Kind == lifecycle.Served {
			if err == nil && whole {
				c.f.Loop.ResponseWritten(o.p.req, lifecycle.LinkSample{})
			} else {
				c.f.Loop.Cancel(o.p.req) // the answer is kept, or more of it is asked for
			}
		}
		if err != nil || o.last {
			c.mu.Lock()
			c.writing = false
			c.mu.Unlock()
			c.close()
			return
		}
	}
}

// put writes bytes; the link may be slow, but not silent.
func (c *conn) put(raw []byte, dead time.Duration) error {
	for len(raw) > 0 {
		n := min(len(raw), chunk)
		c.nc.SetWriteDeadline(time.Now().Add(dead))
		if _, err := c.nc.Write(raw[:n]); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.f.Metrics.Add("device_connections_dead", 1)
			}
			return err
		}
		raw = raw[n:]
	}
	return nil
}

// compose makes the message of an answer; whole tells whether the device then has all of it.
func (c *conn) compose(p *pending, a lifecycle.Response) (raw []byte, whole bool) {
	m := message.Message{Token: p.token}
	text := func(code codes.Code, s string, opts ...message.Option) {
		m.Code, m.Payload, m.Options = code, []byte(s), opts
	}
	switch a.Kind {
	case lifecycle.Served:
		whole = c.served(&m, p, a)
	case lifecycle.Rejected:
		text(codes.ServiceUnavailable, "busy, nothing was done", coapwire.UintOption(message.MaxAge, seconds(a.RetryAfterMs)))
	case lifecycle.Conflict:
		text(codes.Conflict, "another content than that of the exchange it names; nothing of it was done")
	case lifecycle.Continue:
		echo := *p.in.block1
		c.mu.Lock()
		if c.block > 0 && c.block < echo.Size { // the link does better with smaller ones
			echo = coapwire.Block{Offset: echo.Offset, Size: c.block, More: echo.More}
		}
		c.mu.Unlock()
		m.Code, m.Options = codes.Continue, message.Options{echo.Option(message.Block1)}
	case lifecycle.Incomplete:
		text(codes.RequestEntityIncomplete, "a block does not fit on", coapwire.UintOption(coapwire.OptBufferedBytes, uint32(a.BufferedBytes)))
	case lifecycle.TooLarge:
		text(codes.RequestEntityTooLarge, "too large", coapwire.UintOption(message.Size1, httpmessage.MaxBodyBytes))
	case lifecycle.Superseded:
		text(codes.Abort, "newer connections wait for the answer")
		m.Token = nil
	default:
		text(codes.BadGateway, "failed, it may have been done")
	}
	return coapwire.Encode(m), whole
}

// served makes the message of a served answer, or of the block of it that was asked for.
func (c *conn) served(m *message.Message, p *pending, a lifecycle.Response) (whole bool) {
	body := a.Result.([]byte)
	etag := binary.BigEndian.AppendUint64(nil, a.ETag)
	m.Code = codes.Content
	if p.in.fields.Method == http.MethodPut {
		m.Code = codes.Changed
	}
	c.mu.Lock()
	most, able, advised := c.peerMost-largeHead, c.peerBlk, c.block
	c.mu.Unlock()
	if bytes.Contains([]byte(p.in.etag), etag) && p.in.block2 == nil && m.Code == codes.Content {
		m.Code, m.Options = codes.Valid, message.Options{{ID: message.ETag, Value: etag}} // the device has it
		return true
	}
	at := p.in.block2
	if at == nil {
		if len(body) <= most && (advised == 0 || len(body) <= advised || !able) {
			m.Options, m.Payload = message.Options{{ID: message.ETag, Value: etag}}, body
			if p.in.block1 != nil {
				m.Options = append(m.Options, p.in.block1.Option(message.Block1))
			}
			return true
		}
		if !able {
			m.Code, m.Payload = codes.InternalServerError, []byte("the answer is larger than your Max-Message-Size")
			return true
		}
		at = &coapwire.Block{Size: coapwire.BERTBlockSize, BERT: c.bert()}
	}
	size := at.Size
	switch {
	case at.BERT && c.bert(): // as many units as are good for the link
		if advised > 0 {
			size = max(advised, coapwire.BERTBlockSize)
		} else {
			size = most
		}
		size = max(1, min(most, size)/coapwire.BERTBlockSize) * coapwire.BERTBlockSize
	case at.BERT:
		at = &coapwire.Block{Offset: at.Offset, Size: coapwire.BERTBlockSize}
	}
	for !at.BERT && size > 16 && (size > most || advised >= 16 && size > advised) && at.Offset%(size/2) == 0 {
		size /= 2
	}
	if !at.BERT {
		at = &coapwire.Block{Offset: at.Offset, Size: size}
	}
	if at.Offset > 0 && at.Offset >= len(body) {
		m.Code, m.Payload = codes.BadOption, []byte("a block behind the end")
		return false
	}
	end := min(at.Offset+size, len(body))
	at = &coapwire.Block{Offset: at.Offset, Size: at.Size, BERT: at.BERT, More: end < len(body)}
	m.Options = message.Options{{ID: message.ETag, Value: etag}, at.Option(message.Block2)}
	if p.in.block1 != nil {
		m.Options = append(m.Options, p.in.block1.Option(message.Block1))
	}
	m.Options = append(m.Options, coapwire.UintOption(message.Size2, uint32(len(body))))
	m.Payload = body[at.Offset:end]
	return !at.More
}

// bert tells whether the device takes blocks of more than 1 KiB (RFC 8323, 6).
func (c *conn) bert() bool { return c.peerBlk && c.peerMost > coapwire.DefaultMaxMessageSize }

// seconds is a Max-Age: whole, and at least one, since zero would be "at once".
func seconds(ms float64) uint32 { return uint32(max(1, math.Ceil(ms/1000))) }
