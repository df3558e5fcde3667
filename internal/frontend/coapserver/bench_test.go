package coapserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/frontend/httpserver"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed/testsettings"
)

// atOnce answers a request in the caller's goroutine, as far as the front can tell like a loop that has nothing to do.
type atOnce struct{ body []byte }

func (l *atOnce) Submit(r *lifecycle.Request) bool {
	r.Respond(lifecycle.Response{Result: l.body, ETag: 1})
	return true
}
func (l *atOnce) Cancel(*lifecycle.Request)                                {}
func (l *atOnce) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}
func (l *atOnce) Ready() bool                                              { return true }
func (l *atOnce) LinkMeasured(string, lifecycle.LinkSample)                {}

// BenchmarkRequest is a write of 1 KiB with a short answer, over a loopback socket, one at a time: what a front and a
// bare client take together. Only the fronts differ.
func BenchmarkRequest(b *testing.B) {
	set := testsettings.Settings(4)
	body := bytes.Repeat([]byte("x"), 1024)
	dial := func(b *testing.B, serve func(net.Listener)) net.Conn {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { ln.Close() })
		go serve(ln)
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { nc.Close() })
		return nc
	}
	b.Run("coap", func(b *testing.B) {
		f := testFront(nil)
		f.Loop = &atOnce{[]byte("done")}
		nc := dial(b, func(ln net.Listener) { f.Serve(ln) })
		nc.Write(coapwire.Encode(message.Message{Code: codes.CSM}))
		raw := coapwire.Encode(ask(codes.PUT, 1, body, nil))
		in := bufio.NewReader(nc)
		next := func() *message.Message {
			for {
				for n := 1; ; n++ {
					head, err := in.Peek(n)
					if err != nil {
						b.Fatal(err)
					}
					size, err := coapwire.FrameLength(head)
					if err != nil {
						b.Fatal(err)
					}
					if size > 0 {
						buf := make([]byte, size)
						io.ReadFull(in, buf)
						m, err := coapwire.Decode(buf)
						if err != nil {
							b.Fatal(err)
						}
						if m.Code < codes.CSM {
							return m
						}
						if m.Code == codes.Ping {
							nc.Write(coapwire.Encode(message.Message{Code: codes.Pong}))
						}
						break
					}
				}
			}
		}
		b.ReportAllocs()
		for b.Loop() {
			nc.Write(raw)
			if m := next(); m.Code != codes.Changed {
				b.Fatal(m)
			}
		}
	})
	for name, devices := range map[string]bool{"http": false, "http for devices": true} {
		b.Run(name, func(b *testing.B) {
			f := &httpserver.Handler{Loop: &atOnce{[]byte("done")}, Clock: clock.NewSystem(), Metrics: metrics.New(), Settings: &set, ServesDevices: devices}
			server := &http.Server{Handler: f, ConnContext: f.ConnContext}
			nc := dial(b, func(ln net.Listener) { server.Serve(ln) })
			raw := fmt.Appendf(nil, "PUT /push/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\nX-Service-Class: push\r\nX-Plan: basic\r\nX-Time-Left-Ms: 2000\r\nIdempotency-Key: k1\r\nX-Device-Id: dev\r\nX-IO: volume=1,units=2,shard=3,hosts=1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			in := bufio.NewReader(nc)
			b.ReportAllocs()
			for b.Loop() {
				nc.Write(raw)
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != 200 {
					b.Fatal(resp, err)
				}
				io.Copy(io.Discard, resp.Body)
			}
		})
	}
}

// BenchmarkHeld tells what connected devices hold, idle and with a request open: bytes of heap and stacks for each,
// the device's end of the pipe among them.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d busy %v", n, busy), func(b *testing.B) {
				var before, after runtime.MemStats
				held := func(m *runtime.MemStats) uint64 { return m.HeapInuse + m.StackInuse }
				for b.Loop() {
					l := &fakeLoop{}
					f := testFront(l)
					f.MaxConns = n
					runtime.GC()
					runtime.ReadMemStats(&before)
					ends := make([]net.Conn, n)
					csm := coapwire.Encode(message.Message{Code: codes.CSM})
					pong := coapwire.Encode(message.Message{Code: codes.Pong})
					put := coapwire.Encode(ask(codes.PUT, 1, make([]byte, 256), func(o message.Options) message.Options {
						return o.Set(coapwire.UintOption(coapwire.OptTimeLeft, 6000))
					}))
					small := make([]byte, 64)
					for i := range ends {
						near, far := net.Pipe()
						f.StartConn(far)
						near.Write(csm)
						for last := byte(0); last != byte(codes.Ping); { // its CSM, then its ping
							k, err := near.Read(small)
							if err != nil {
								b.Fatal(err)
							}
							last = small[k-1]
						}
						near.Write(pong)
						if busy {
							near.Write(put)
						}
						ends[i] = near
					}
					runtime.GC()
					runtime.ReadMemStats(&after)
					b.ReportMetric(float64(held(&after)-held(&before))/float64(n), "B/device")
					f.Close()
					f.Shutdown()
					runtime.KeepAlive(ends)
				}
			})
		}
	}
}
