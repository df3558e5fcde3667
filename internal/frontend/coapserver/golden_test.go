package coapserver

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/lifecycle"
)

const hexLine = 32 // bytes on one line of a golden file

// compareGolden compares the text with the golden file of that name.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "golden", name+".txt"))
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs from its golden file\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

// recorder is a device's end of a connection that keeps the bytes that the front writes.
type recorder struct {
	nc     net.Conn
	answer lifecycle.Response // to the next request
	text   strings.Builder

	mu   sync.Mutex
	wire []byte
}

func newRecorder(f *Server) *recorder {
	near, far := net.Pipe()
	r := &recorder{nc: near}
	f.StartConn(far)
	go r.read()
	return r
}

func (r *recorder) read() {
	buf := make([]byte, 4096)
	for {
		n, err := r.nc.Read(buf)
		r.mu.Lock()
		r.wire = append(r.wire, buf[:n]...)
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// step writes bytes to the front and notes in hex what it writes until nothing more happens.
func (r *recorder) step(name string, written []byte) {
	if len(written) > 0 {
		r.nc.Write(written)
	}
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, "%s:\n", name)
	for rest := r.wire; len(rest) > 0; {
		n := min(len(rest), hexLine)
		fmt.Fprintf(&r.text, "%x\n", rest[:n])
		rest = rest[n:]
	}
	r.wire = nil
}

// exchange asks for something and has it answered.
func (r *recorder) exchange(name string, m message.Message, a lifecycle.Response) {
	r.answer = a
	r.step(name, coapwire.Encode(m))
}

// greet exchanges CSMs and answers the first ping.
func (r *recorder) greet(most uint32) {
	r.step("connected", nil)
	r.step("after the device's CSM", coapwire.Encode(message.Message{Code: codes.CSM, Options: message.Options{
		coapwire.UintOption(message.TCPMaxMessageSize, most), {ID: message.TCPBlockWiseTransfer}}}))
	r.step("after its pong", coapwire.Encode(message.Message{Code: codes.Pong}))
}

// recordSession runs a session with a front in a bubble's time and compares all that the front wrote.
func recordSession(t *testing.T, name string, most uint32, session func(*Server, *recorder)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var r *recorder
		front := testFront(&fakeLoop{take: func(q *lifecycle.Request) { q.Respond(r.answer) }})
		front.GatewayName = "gateway-1"
		r = newRecorder(front)
		r.greet(most)
		session(front, r)
		r.nc.Close()
		front.Close()
		front.Shutdown()
		compareGolden(t, name, r.text.String())
	})
}

// withBlock adds a block option to a request.
func withBlock(id message.OptionID, p coapwire.Block) func(message.Options) message.Options {
	return func(o message.Options) message.Options { return o.Add(p.Option(id)) }
}

func TestGoldenPush(t *testing.T) {
	recordSession(t, "push", 4096, func(_ *Server, r *recorder) {
		first := coapwire.Block{Size: 1024, More: true}
		last := coapwire.Block{Offset: 1024, Size: 1024}
		r.exchange("first block held", ask(codes.PUT, 1, make([]byte, 1024), withBlock(message.Block1, first)),
			lifecycle.Response{Kind: lifecycle.Continue, BufferedBytes: 1024})
		r.exchange("last block, served", ask(codes.PUT, 2, []byte("rest"), withBlock(message.Block1, last)),
			lifecycle.Response{Result: []byte("done"), ETag: 0x0102})
		r.exchange("smaller blocks advised", ask(codes.PUT, 3, make([]byte, 1024), withBlock(message.Block1, first)),
			lifecycle.Response{Kind: lifecycle.Continue, BufferedBytes: 1024, BlockSize: 256})
	})
}

func TestGoldenResponses(t *testing.T) {
	block := withBlock(message.Block1, coapwire.Block{Offset: 2048, Size: 1024, More: true})
	for name, a := range map[string]lifecycle.Response{
		"served":         {Result: []byte("done"), ETag: 0x0102},
		"refused":        {Kind: lifecycle.Rejected, RetryAfterMs: 1200},
		"refused-now":    {Kind: lifecycle.Rejected},
		"failed":         {Kind: lifecycle.Failed},
		"conflict":       {Kind: lifecycle.Conflict},
		"too-large":      {Kind: lifecycle.TooLarge},
		"incomplete":     {Kind: lifecycle.Incomplete, BufferedBytes: 1024},
		"superseded":     {Kind: lifecycle.Superseded},
		"duplicate-open": {Kind: lifecycle.DuplicateID},
	} {
		t.Run(name, func(t *testing.T) {
			recordSession(t, "response-"+name, 4096, func(_ *Server, r *recorder) {
				r.exchange("a block of a push", ask(codes.PUT, 1, make([]byte, 1024), block), a)
			})
		})
	}
}

func TestGoldenAnswerInBlocks(t *testing.T) {
	answer := lifecycle.Response{Result: bytes.Repeat([]byte("0123456789"), 130), ETag: 77}
	for name, c := range map[string]struct {
		most uint32
		next coapwire.Block
	}{
		"single": {1152, coapwire.Block{Offset: 1024, Size: 1024}},
		"small":  {512, coapwire.Block{Offset: 256, Size: 256}},
		"bert":   {1280, coapwire.Block{Offset: 1024, Size: 1024, BERT: true}},
	} {
		t.Run(name, func(t *testing.T) {
			recordSession(t, "blocks-"+name, c.most, func(_ *Server, r *recorder) {
				r.exchange("first block", ask(codes.GET, 1, nil, nil), answer)
				r.exchange("next block", ask(codes.GET, 2, nil, withBlock(message.Block2, c.next)), answer)
				behind := coapwire.Block{Offset: 8192, Size: 1024}
				r.exchange("behind the end", ask(codes.GET, 3, nil, withBlock(message.Block2, behind)), answer)
				r.exchange("known already", ask(codes.GET, 4, nil, func(o message.Options) message.Options {
					return o.Add(message.Option{ID: message.ETag, Value: []byte{0, 0, 0, 0, 0, 0, 0, 77}})
				}), answer)
			})
		})
	}
}

func TestGoldenSignals(t *testing.T) {
	recordSession(t, "signals", 4096, func(f *Server, r *recorder) {
		r.step("ping", coapwire.Encode(message.Message{Code: codes.Ping, Token: message.Token{9}}))
		r.step("ping with custody", coapwire.Encode(message.Message{Code: codes.Ping, Options: message.Options{{ID: message.TCPCustody}}}))
		r.exchange("malformed", ask(codes.DELETE, 1, nil, nil), lifecycle.Response{})
		r.exchange("critical option", ask(codes.GET, 2, nil, func(o message.Options) message.Options {
			return o.Add(message.Option{ID: 65101})
		}), lifecycle.Response{})
		f.Drain()
		r.step("drain", nil)
		r.step("response to no request", coapwire.Encode(message.Message{Code: codes.Content, Token: message.Token{1}}))
	})
}

func TestGoldenFullInbox(t *testing.T) {
	recordSession(t, "full-inbox", 4096, func(f *Server, r *recorder) {
		f.Loop.(*fakeLoop).full = true
		r.exchange("push", ask(codes.PUT, 1, []byte("data"), nil), lifecycle.Response{})
		r.exchange("repeated push", ask(codes.PUT, 2, []byte("data"), func(o message.Options) message.Options {
			return o.Add(message.Option{ID: coapwire.OptRetry})
		}), lifecycle.Response{})
	})
}
