package coapserver

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
	"gaugerelay/internal/testbed/testsettings"
)

func TestMain(m *testing.M) {
	logevent.Setup(io.Discard, slog.LevelError)
	os.Exit(m.Run())
}

// fakeLoop takes requests and lets the test answer them.
type fakeLoop struct {
	mu                   sync.Mutex
	full                 bool
	taken, gone, written []*lifecycle.Request
	take                 func(*lifecycle.Request)
}

func (l *fakeLoop) Submit(r *lifecycle.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.full {
		return false
	}
	l.taken = append(l.taken, r)
	if l.take != nil {
		go l.take(r)
	}
	return true
}

func (l *fakeLoop) Cancel(r *lifecycle.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gone = append(l.gone, r)
}

func (l *fakeLoop) ResponseWritten(r *lifecycle.Request, _ lifecycle.LinkSample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written = append(l.written, r)
}

func (l *fakeLoop) LinkMeasured(string, lifecycle.LinkSample) {}

func (l *fakeLoop) counts() (taken, gone, written int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.taken), len(l.gone), len(l.written)
}

func testFront(l *fakeLoop) *Server {
	set := testsettings.Settings(4)
	return &Server{Loop: l, Clock: clock.NewSystem(), Metrics: metrics.New(), Settings: &set, Options: Options{MaxConns: 4,
		MaxPendingRequests: 2, MaxMessageSize: 4096, FirstMessageTimeout: 5 * time.Second, KeepaliveTime: time.Minute, MinIdleTimeout: time.Second,
		MaxIdleTimeout: 4 * time.Second, HoldOff: 3 * time.Second, ResponseGrace: 25 * time.Millisecond}}
}

// client is the device's end of a connection; reading is a goroutine's.
type client struct {
	t    *testing.T
	nc   net.Conn
	in   chan *message.Message
	over chan bool
}

func connect(t *testing.T, f *Server) *client {
	near, far := net.Pipe()
	c := &client{t: t, nc: near, in: make(chan *message.Message, 256), over: make(chan bool)}
	f.StartConn(far)
	go func() {
		defer close(c.over)
		var buf []byte
		chunk := make([]byte, 4096)
		for {
			n, err := near.Read(chunk)
			buf = append(buf, chunk[:n]...)
			for {
				n, ferr := coapwire.FrameLength(buf)
				if ferr != nil || n == 0 || n > len(buf) {
					break
				}
				m, derr := coapwire.Decode(bytes.Clone(buf[:n]))
				if derr != nil {
					t.Errorf("the front sent %x: %v", buf[:n], derr)
				}
				c.in <- m
				buf = buf[n:]
			}
			if err != nil {
				return
			}
		}
	}()
	return c
}

func (c *client) put(m message.Message) { c.nc.Write(coapwire.Encode(m)) }

// hello exchanges CSMs and answers the first ping.
func (c *client) hello(most uint32) {
	c.t.Helper()
	c.put(message.Message{Code: codes.CSM, Options: message.Options{coapwire.UintOption(message.TCPMaxMessageSize, most),
		{ID: message.TCPBlockWiseTransfer}}})
	c.want(codes.CSM)
	c.want(codes.Ping)
	c.put(message.Message{Code: codes.Pong})
}

// want is the next message, which must be of a code.
func (c *client) want(code codes.Code) *message.Message {
	c.t.Helper()
	select {
	case m := <-c.in:
		if m.Code != code {
			c.t.Fatalf("got %v %q, want %v", m.Code, m.Payload, code)
		}
		return m
	case <-c.over:
		select {
		case m := <-c.in:
			if m.Code == code {
				return m
			}
		default:
		}
		c.t.Fatalf("the connection ended, want %v", code)
	}
	return nil
}

// ask is a good request; change spoils it.
func ask(code codes.Code, token byte, payload []byte, change func(message.Options) message.Options) message.Message {
	class := "push"
	if code == codes.GET {
		class = "pull"
	}
	o := message.Options{{ID: message.URIPath, Value: []byte(class)}, {ID: message.URIPath, Value: []byte("7f3a9c21e0b4d655")},
		{ID: coapwire.OptDevice, Value: []byte("dev")}, coapwire.UintOption(coapwire.OptTimeLeft, 2000),
		{ID: coapwire.OptIdempotencyKey, Value: []byte("k1")}, {ID: coapwire.OptPlan, Value: []byte("basic")},
		{ID: coapwire.OptIO, Value: []byte("volume=1,units=2,shard=3,hosts=1")}}
	if change != nil {
		o = change(o)
	}
	return message.Message{Code: code, Token: message.Token{token}, Options: o, Payload: payload}
}

// inBubble runs a test in a bubble's time with one connected device.
func inBubble(t *testing.T, most uint32, take func(*lifecycle.Request), f func(*Server, *fakeLoop, *client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLoop{take: take}
		front := testFront(l)
		c := connect(t, front)
		c.hello(most)
		synctest.Wait()
		f(front, l, c)
		c.nc.Close()
		front.Close()
		front.Shutdown()
	})
}

func answering(a lifecycle.Response) func(*lifecycle.Request) {
	return func(r *lifecycle.Request) { r.Respond(a) }
}

func TestAnswers(t *testing.T) {
	block := coapwire.Block{Offset: 2048, Size: 1024, More: true}
	for name, c := range map[string]struct {
		answer lifecycle.Response
		code   codes.Code
		check  func(*message.Message) bool
	}{
		"served": {lifecycle.Response{Result: []byte("done"), ETag: 0x0102}, codes.Changed, func(m *message.Message) bool { return string(m.Payload) == "done" }},
		"refused": {lifecycle.Response{Kind: lifecycle.Rejected, RetryAfterMs: 1200}, codes.ServiceUnavailable, func(m *message.Message) bool {
			s, err := m.Options.GetUint32(message.MaxAge)
			return err == nil && s == 2
		}},
		"at once": {lifecycle.Response{Kind: lifecycle.Rejected}, codes.ServiceUnavailable, func(m *message.Message) bool {
			s, err := m.Options.GetUint32(message.MaxAge)
			return err == nil && s == 1
		}},
		"failed": {lifecycle.Response{Kind: lifecycle.Failed}, codes.BadGateway, nil},
		"other":  {lifecycle.Response{Kind: lifecycle.Conflict}, codes.Conflict, nil},
		"large":  {lifecycle.Response{Kind: lifecycle.TooLarge}, codes.RequestEntityTooLarge, nil},
		"gap": {lifecycle.Response{Kind: lifecycle.Incomplete, BufferedBytes: 1024}, codes.RequestEntityIncomplete, func(m *message.Message) bool {
			n, err := m.Options.GetUint32(coapwire.OptBufferedBytes)
			return err == nil && n == 1024
		}},
		"more": {lifecycle.Response{Kind: lifecycle.Continue, BufferedBytes: 3072}, codes.Continue, func(m *message.Message) bool {
			b, _ := m.Options.GetBytes(message.Block1)
			p, ok := coapwire.DecodeBlock(b)
			return ok && p == block
		}},
		"more, smaller": {lifecycle.Response{Kind: lifecycle.Continue, BufferedBytes: 3072, BlockSize: 256}, codes.Continue, func(m *message.Message) bool {
			b, _ := m.Options.GetBytes(message.Block1)
			p, ok := coapwire.DecodeBlock(b)
			return ok && p.Offset == 2048 && p.Size == 256
		}},
	} {
		inBubble(t, 4096, answering(c.answer), func(f *Server, l *fakeLoop, k *client) {
			k.put(ask(codes.PUT, 1, make([]byte, 1024), func(o message.Options) message.Options { return o.Add(block.Option(message.Block1)) }))
			m := k.want(c.code)
			if c.check != nil && !c.check(m) || m.Token[0] != 1 {
				t.Errorf("%s: %v", name, m)
			}
			synctest.Wait()
			_, gone, written := l.counts()
			if served := c.code == codes.Changed; (written == 1) != served || gone != 0 {
				t.Errorf("%s: %d written, %d gone", name, written, gone)
			}
			d := l.taken[0].Device
			if d.Block == nil || d.Block.Offset != 2048 || !d.Block.More || len(d.Body) != 1024 || d.ID != "dev" {
				t.Errorf("%s: taken as %+v", name, d)
			}
		})
	}
}

// What is malformed is told, nothing of it is handed in, and the connection serves on.
func TestMalformedRequests(t *testing.T) {
	drop := func(id message.OptionID) func(message.Options) message.Options {
		return func(o message.Options) message.Options { return o.Remove(id) }
	}
	set := func(id message.OptionID, v string) func(message.Options) message.Options {
		return func(o message.Options) message.Options { return o.Set(message.Option{ID: id, Value: []byte(v)}) }
	}
	add := func(opt message.Option) func(message.Options) message.Options {
		return func(o message.Options) message.Options { return o.Add(opt) }
	}
	for name, c := range map[string]struct {
		code    codes.Code
		payload string
		change  func(message.Options) message.Options
		want    codes.Code
	}{
		"delete":              {codes.DELETE, "", nil, codes.MethodNotAllowed},
		"a critical option":   {codes.GET, "", add(message.Option{ID: 65101}), codes.BadOption},
		"an option twice":     {codes.GET, "", add(message.Option{ID: coapwire.OptPlan, Value: []byte("basic")}), codes.BadOption},
		"no time":             {codes.GET, "", drop(coapwire.OptTimeLeft), codes.BadRequest},
		"a long time":         {codes.GET, "", set(coapwire.OptTimeLeft, "\x7f\xff\xff\xff"), codes.BadRequest},
		"a long number":       {codes.GET, "", set(coapwire.OptTimeLeft, "12345"), codes.BadOption},
		"no device":           {codes.GET, "", drop(coapwire.OptDevice), codes.BadRequest},
		"a long device":       {codes.GET, "", set(coapwire.OptDevice, strings.Repeat("d", 65)), codes.BadOption},
		"no key":              {codes.PUT, "x", drop(coapwire.OptIdempotencyKey), codes.BadRequest},
		"no id":               {codes.GET, "", drop(coapwire.OptIdempotencyKey), codes.BadRequest},
		"no plan":             {codes.GET, "", drop(coapwire.OptPlan), codes.BadRequest},
		"no IO":               {codes.GET, "", drop(coapwire.OptIO), codes.BadRequest},
		"no path":             {codes.GET, "", drop(message.URIPath), codes.NotFound},
		"a path that climbs":  {codes.GET, "", add(message.Option{ID: message.URIPath, Value: []byte("..")}), codes.BadOption},
		"a path with a slash": {codes.GET, "", add(message.Option{ID: message.URIPath, Value: []byte("a/b")}), codes.BadOption},
		"a query with two":    {codes.GET, "", add(message.Option{ID: message.URIQuery, Value: []byte("a&b")}), codes.BadOption},
		"a read with a body":  {codes.GET, "x", nil, codes.BadRequest},
		"a write of a read's": {codes.PUT, "x", func(o message.Options) message.Options {
			return o.Remove(message.URIPath).Add(message.Option{ID: message.URIPath, Value: []byte("pull")}).Add(message.Option{ID: message.URIPath, Value: []byte("7f3a9c21e0b4d655")})
		}, codes.BadRequest},
		"another format":           {codes.GET, "", add(coapwire.UintOption(message.Accept, 50)), codes.NotAcceptable},
		"a block that is not full": {codes.PUT, "x", add(coapwire.Block{Size: 64, More: true}.Option(message.Block1)), codes.BadRequest},
		"a block that is too much": {codes.PUT, strings.Repeat("x", 65), add(coapwire.Block{Size: 64}.Option(message.Block1)), codes.BadRequest},
		"BERT that is not full":    {codes.PUT, strings.Repeat("x", 1025), add(coapwire.Block{Size: 1024, BERT: true, More: true}.Option(message.Block1)), codes.BadRequest},
		"a bad block":              {codes.PUT, "x", add(message.Option{ID: message.Block1, Value: []byte("1234")}), codes.BadOption},
	} {
		inBubble(t, 4096, answering(lifecycle.Response{Result: []byte("fine")}), func(f *Server, l *fakeLoop, k *client) {
			k.put(ask(c.code, 1, []byte(c.payload), c.change))
			k.want(c.want)
			if taken, _, _ := l.counts(); taken != 0 {
				t.Errorf("%s: taken", name)
			}
			k.put(ask(codes.GET, 2, nil, nil))
			k.want(codes.Content)
		})
	}
}

// What no honest device sends ends the connection by Abort; what is open on it is told to be gone.
func TestAborts(t *testing.T) {
	for name, raw := range map[string][]byte{
		"a token too long":      {0x09, 0x01, 1, 2, 3, 4, 5, 6, 7, 8, 9},
		"a length that lies":    {0xf0, 0x7f, 0xff, 0xff, 0xff, 0x01},
		"over the size told":    {0xe0, 0x10, 0x00, 0x01},
		"options that lie":      {0x30, 0x01, 0x1d, 0xff, 0xff},
		"a marker and no more":  {0x10, 0x01, 0xff},
		"a token in use":        coapwire.Encode(ask(codes.GET, 7, nil, nil)),
		"a response":            coapwire.Encode(message.Message{Code: codes.Content, Token: message.Token{1}}),
		"a critical CSM option": coapwire.Encode(message.Message{Code: codes.CSM, Options: message.Options{{ID: 9}}}),
		"a size for nothing":    coapwire.Encode(message.Message{Code: codes.CSM, Options: message.Options{coapwire.UintOption(message.TCPMaxMessageSize, 8)}}),
		"an unknown signal":     coapwire.Encode(message.Message{Code: 0xe7, Token: message.Token{1}}),
		"fifty options":         coapwire.Encode(message.Message{Code: codes.GET, Options: slices.Repeat(message.Options{{ID: message.URIPath, Value: []byte("a")}}, 50)}),
	} {
		inBubble(t, 4096, nil, func(f *Server, l *fakeLoop, k *client) {
			k.put(ask(codes.GET, 7, nil, nil))
			synctest.Wait()
			k.nc.Write(raw)
			k.want(codes.Abort)
			<-k.over
			synctest.Wait()
			if taken, gone, _ := l.counts(); taken != 1 || gone != 1 || f.ConnCount() != 0 {
				t.Errorf("%s: %d taken, %d gone, %d connections", name, taken, gone, f.ConnCount())
			}
		})
	}
	synctest.Test(t, func(t *testing.T) { // whoever does not begin with a CSM
		f := testFront(&fakeLoop{})
		k := connect(t, f)
		k.want(codes.CSM)
		k.put(ask(codes.GET, 1, nil, nil))
		k.want(codes.Abort)
		<-k.over
		f.Shutdown()
	})
}

// Answers that are too large for the device, or for its link, come by blocks, from any that it asks for.
func TestBlocksOfAnAnswer(t *testing.T) {
	body := make([]byte, 5000)
	for i := range body {
		body[i] = byte(i / 7)
	}
	for _, c := range []struct {
		most           uint32
		advised, first int
	}{{1152, 0, 1024}, {1152, 256, 256}, {4000, 0, 3072}, {4000, 2048, 2048}, {8000, 0, 5000}, {8000, 1024, 1024}} {
		inBubble(t, c.most, answering(lifecycle.Response{Result: body, ETag: 77, BlockSize: c.advised}), func(f *Server, l *fakeLoop, k *client) {
			k.put(ask(codes.GET, 1, nil, nil))
			m := k.want(codes.Content)
			if len(m.Payload) != c.first {
				t.Errorf("%+v: a first block of %d bytes", c, len(m.Payload))
			}
			got, n := m.Payload, 1
			for token := byte(2); m.Options.HasOption(message.Block2); token++ {
				b, _ := m.Options.GetBytes(message.Block2)
				p, _ := coapwire.DecodeBlock(b)
				etag, _ := m.Options.GetBytes(message.ETag)
				if size, _ := m.Options.GetUint32(message.Size2); size != 5000 || binary.BigEndian.Uint64(etag) != 77 {
					t.Fatalf("%+v: size %d, etag %x", c, size, etag)
				}
				if !p.More {
					break
				}
				next := coapwire.Block{Offset: len(got), Size: p.Size, BERT: p.BERT}
				k.put(ask(codes.GET, token, nil, func(o message.Options) message.Options { return o.Add(next.Option(message.Block2)) }))
				m = k.want(codes.Content)
				got = append(got, m.Payload...)
				n++
			}
			synctest.Wait()
			if _, gone, written := l.counts(); !bytes.Equal(got, body) || written != 1 || gone != n-1 {
				t.Errorf("%+v: %d bytes in %d blocks, %d written, %d gone", c, len(got), n, written, gone)
			}
			k.put(ask(codes.GET, 100, nil, func(o message.Options) message.Options {
				return o.Add(coapwire.Block{Offset: 8192, Size: 1024}.Option(message.Block2))
			}))
			k.want(codes.BadOption)
			k.put(ask(codes.GET, 101, nil, func(o message.Options) message.Options {
				return o.Add(message.Option{ID: message.ETag, Value: []byte{0, 0, 0, 0, 0, 0, 0, 77}})
			}))
			if m := k.want(codes.Valid); len(m.Payload) != 0 {
				t.Errorf("the device has it, and got %d bytes", len(m.Payload))
			}
		})
	}
}

// A silence is looked into where something is owed, and ends the connection only if the device does not answer.
func TestSilences(t *testing.T) {
	inBubble(t, 4096, nil, func(f *Server, l *fakeLoop, k *client) { // in the middle of a frame
		raw := coapwire.Encode(ask(codes.PUT, 1, []byte("data"), nil))
		k.nc.Write(raw[:len(raw)-2])
		<-k.over
		synctest.Wait()
		if taken, _, _ := l.counts(); taken != 0 || f.Metrics.Get("device_connections_dead") != 1 {
			t.Errorf("%d taken of a frame that was never whole", taken)
		}
	})
	inBubble(t, 4096, nil, func(f *Server, l *fakeLoop, k *client) { // while a request is open
		put := ask(codes.PUT, 1, []byte("data"), func(o message.Options) message.Options { return o.Set(coapwire.UintOption(coapwire.OptTimeLeft, 6000)) })
		k.put(put)
		for range 2 {
			k.want(codes.Ping)
			k.put(message.Message{Code: codes.Pong})
		}
		k.want(codes.Ping) // and now it says nothing
		<-k.over
		synctest.Wait()
		if taken, gone, _ := l.counts(); taken != 1 || gone != 1 {
			t.Errorf("%d taken, %d gone", taken, gone)
		}
	})
	inBubble(t, 4096, nil, func(f *Server, l *fakeLoop, k *client) { // between requests
		began := time.Now()
		k.want(codes.Ping)
		if time.Since(began) < time.Minute/2 {
			t.Errorf("asked after %v", time.Since(began))
		}
		k.put(message.Message{Code: codes.Pong})
		synctest.Wait()
		time.Sleep(30 * time.Second)
		if f.ConnCount() != 1 {
			t.Error("an idle device that answers was cut off")
		}
	})
	synctest.Test(t, func(t *testing.T) { // who never says anything
		f := testFront(&fakeLoop{})
		k := connect(t, f)
		<-k.over
		if f.Metrics.Get("device_connections_silent") != 1 {
			t.Error("not counted")
		}
		f.Shutdown()
	})
	synctest.Test(t, func(t *testing.T) { // who does not read its answer
		l := &fakeLoop{take: answering(lifecycle.Response{Result: make([]byte, 3000)})}
		f := testFront(l)
		near, far := net.Pipe()
		f.StartConn(far)
		near.Write(coapwire.Encode(message.Message{Code: codes.CSM, Options: message.Options{coapwire.UintOption(message.TCPMaxMessageSize, 4096)}}))
		near.Write(coapwire.Encode(ask(codes.GET, 1, nil, nil)))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if taken, gone, written := l.counts(); taken != 1 || gone != 1 || written != 0 || f.ConnCount() != 0 {
			t.Errorf("%d taken, %d gone, %d written, %d connections", taken, gone, written, f.ConnCount())
		}
		near.Close()
		f.Shutdown()
	})
}

// The guard answers what the loop does not; a full inbox and too much at once are refused, and failed if an earlier
// copy may have run.
func TestTurnedAway(t *testing.T) {
	repeat := func(o message.Options) message.Options { return o.Add(message.Option{ID: coapwire.OptRetry}) }
	inBubble(t, 4096, nil, func(f *Server, l *fakeLoop, k *client) {
		k.put(ask(codes.GET, 1, nil, nil))
		k.put(ask(codes.GET, 2, nil, nil))
		k.put(ask(codes.GET, 3, nil, nil))
		if m := k.want(codes.TooManyRequests); m.Token[0] != 3 {
			t.Errorf("token %d", m.Token[0])
		}
		k.put(ask(codes.PUT, 4, []byte("x"), repeat))
		k.want(codes.BadGateway)
		began := time.Now()
		k.want(codes.Ping)
		k.put(message.Message{Code: codes.Pong})
		k.want(codes.GatewayTimeout)
		k.want(codes.GatewayTimeout)
		synctest.Wait()
		if _, gone, _ := l.counts(); gone != 2 || time.Since(began) > 3*time.Second {
			t.Errorf("%d gone after %v", gone, time.Since(began))
		}
	})
	inBubble(t, 4096, nil, func(f *Server, l *fakeLoop, k *client) {
		l.full = true
		k.put(ask(codes.PUT, 1, []byte("x"), nil))
		k.want(codes.ServiceUnavailable)
		k.put(ask(codes.PUT, 2, []byte("x"), repeat))
		k.want(codes.BadGateway)
	})
}

// A drain asks devices to go, answers what is open, and ends them; connections beyond the bound cost an idle one.
func TestDrainAndBounds(t *testing.T) {
	inBubble(t, 4096, nil, func(f *Server, l *fakeLoop, k *client) {
		k.put(ask(codes.GET, 1, nil, nil))
		synctest.Wait()
		idle := connect(t, f)
		idle.hello(4096)
		f.Drain()
		if hold, _ := k.want(codes.Release).Options.GetUint32(message.TCPHoldOff); hold != 3 {
			t.Errorf("hold off %d s", hold)
		}
		idle.want(codes.Release)
		young := connect(t, f) // between connections
		young.want(codes.CSM)
		young.want(codes.Release)
		over := make(chan bool)
		go func() { f.Shutdown(); close(over) }()
		<-idle.over
		synctest.Wait()
		select {
		case <-over:
			t.Error("ended with a request open")
		default:
		}
		l.taken[0].Respond(lifecycle.Response{Result: []byte("late")})
		k.want(codes.Content)
		<-over
	})
	inBubble(t, 4096, nil, func(f *Server, l *fakeLoop, k *client) {
		k.put(ask(codes.GET, 1, nil, nil)) // not idle, so it stays
		var idle []*client
		for range 3 {
			time.Sleep(time.Millisecond)
			c := connect(t, f)
			c.hello(4096)
			idle = append(idle, c)
		}
		synctest.Wait()
		time.Sleep(time.Millisecond)
		last := connect(t, f)
		<-idle[0].over
		last.hello(4096)
		if n := f.ConnCount(); n != 4 {
			t.Errorf("%d connections", n)
		}
	})
}

// FuzzConn feeds a connection anything. Whatever comes, each request that is taken is answered or gone once, what the
// front sends can be read, and it holds no more than the bounds say.
func FuzzConn(f *testing.F) {
	csm := coapwire.Encode(message.Message{Code: codes.CSM, Options: message.Options{coapwire.UintOption(message.TCPMaxMessageSize, 2000), {ID: message.TCPBlockWiseTransfer}}})
	seed := func(parts ...[]byte) {
		f.Add(bytes.Join(parts, nil), uint8(0))
		f.Add(bytes.Join(parts, nil), uint8(37))
	}
	get, put := coapwire.Encode(ask(codes.GET, 1, nil, nil)), coapwire.Encode(ask(codes.PUT, 2, []byte("body"), nil))
	seed(csm, get, put)
	seed(csm, get, get)
	seed(csm, put[:20])
	seed(csm, coapwire.Encode(message.Message{Code: codes.Ping, Token: message.Token{9}}), coapwire.Encode(message.Message{Code: codes.Release}), get)
	for _, p := range []coapwire.Block{{Size: 16}, {Size: 1024, More: true}, {Offset: 4096, Size: 1024, BERT: true}} {
		seed(csm, coapwire.Encode(ask(codes.GET, 1, nil, func(o message.Options) message.Options { return o.Add(p.Option(message.Block2)) })),
			coapwire.Encode(ask(codes.PUT, 2, make([]byte, 1024), func(o message.Options) message.Options { return o.Add(p.Option(message.Block1)) })))
	}
	seed(csm, []byte{0xf0, 0xff, 0xff, 0xff, 0xff, 1}, get)
	seed(get, csm)
	f.Fuzz(func(t *testing.T, data []byte, cut uint8) {
		answers := []lifecycle.Response{{Result: make([]byte, 3000), ETag: 5}, {Kind: lifecycle.Rejected}, {Kind: lifecycle.Failed},
			{Kind: lifecycle.Incomplete, BufferedBytes: 7}, {Kind: lifecycle.Continue, BlockSize: 64}, {Kind: lifecycle.Superseded}}
		var mu sync.Mutex
		ends := map[*lifecycle.Request]int{}
		l := &fakeLoop{}
		l.take = func(r *lifecycle.Request) {
			mu.Lock()
			n := len(ends)
			ends[r] = 0
			mu.Unlock()
			a := answers[(n+int(cut))%len(answers)]
			if a.Kind == lifecycle.Continue && r.Device.Block == nil {
				a.Kind = lifecycle.Failed
			}
			r.Respond(a)
		}
		front := testFront(l)
		c := connect(t, front)
		go func() {
			for len(data) > 0 {
				n := min(len(data), int(cut)+1)
				if _, err := c.nc.Write(data[:n]); err != nil {
					break
				}
				data = data[n:]
			}
			front.Shutdown()
			c.nc.Close()
		}()
		answered := map[string]int{}
		for {
			select {
			case m := <-c.in:
				if m.Code < codes.CSM && m.Code >= 64 {
					answered[fmt.Sprint(m.Token)]++
				}
				continue
			case <-c.over:
			}
			break
		}
		front.Close()
		front.Shutdown()
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range append(append([]*lifecycle.Request(nil), l.gone...), l.written...) {
			mu.Lock()
			ends[r]++
			if ends[r] > 1 {
				t.Errorf("a request ended %d times", ends[r])
			}
			mu.Unlock()
		}
		if n := front.ConnCount(); n != 0 {
			t.Errorf("%d connections left", n)
		}
		for _, r := range l.taken {
			if len(r.Device.Body) > front.MaxMessageSize || r.Device.ID == "" || r.Class == "" {
				t.Errorf("taken: %+v", r.Device)
			}
		}
	})
}

// BenchmarkIdleConn tells what a connected device costs that says nothing: ns are of its connecting.
func BenchmarkIdleConn(b *testing.B) {
	f := testFront(&fakeLoop{})
	f.MaxConns = 1 << 20
	csm := coapwire.Encode(message.Message{Code: codes.CSM})
	b.ReportAllocs()
	for b.Loop() {
		near, far := net.Pipe()
		f.StartConn(far)
		go io.Copy(io.Discard, near)
		near.Write(csm)
	}
	b.StopTimer()
	f.Close()
	f.Shutdown()
}

// A message whose last byte comes when its device's time is up still gets the loop's answer, not the guard's: an
// earlier copy may have been told that it was served.
func TestTheGuardWaitsForTheLoop(t *testing.T) {
	slow := func(r *lifecycle.Request) {
		time.Sleep(5 * time.Millisecond)
		r.Respond(lifecycle.Response{Kind: lifecycle.Served, Result: []byte("kept"), Cached: true})
	}
	inBubble(t, 4096, slow, func(f *Server, l *fakeLoop, k *client) {
		raw := coapwire.Encode(ask(codes.PUT, 1, []byte("x"), func(o message.Options) message.Options {
			for i := range o {
				if o[i].ID == coapwire.OptTimeLeft {
					o[i] = coapwire.UintOption(coapwire.OptTimeLeft, 200)
				}
			}
			return o
		}))
		k.nc.Write(raw[:len(raw)-1])
		time.Sleep(500 * time.Millisecond)
		k.nc.Write(raw[len(raw)-1:])
		k.want(codes.Changed)
		synctest.Wait()
		if _, gone, _ := l.counts(); gone != 0 {
			t.Errorf("the guard gave up %d requests", gone)
		}
	})
}

// Behind a message that ends the connection there may be more: the device gets the last one, and no reset.
func TestLastMessageOutlivesBytesNotRead(t *testing.T) {
	ln := testbed.Listen(t)
	f := testFront(&fakeLoop{})
	go f.Serve(ln)
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write(append([]byte{0x00, byte(codes.GET)}, make([]byte, 64<<10)...)) // no CSM, and more than is read at once
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Contains(got, []byte("the first message must be a CSM")) {
		t.Errorf("%q, then %v", got, err)
	}
}
