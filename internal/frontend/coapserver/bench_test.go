package coapserver

import (
	"bufio"
	"bytes"
	"errors"
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

// immediateLoop responds to each request within Submit. The Submit of the real event loop only posts the request to the inbox, and
// the response comes from another goroutine, so the benchmarks measure the frontends without the event loop.
type immediateLoop struct{ body []byte }

func (l *immediateLoop) Submit(r *lifecycle.Request) bool {
	r.Respond(lifecycle.Response{Body: l.body, ETag: 1})
	return true
}
func (l *immediateLoop) Cancel(*lifecycle.Request)                                {}
func (l *immediateLoop) ResponseWritten(*lifecycle.Request, lifecycle.LinkSample) {}
func (l *immediateLoop) Ready() bool                                              { return true }
func (l *immediateLoop) LinkMeasured(string, lifecycle.LinkSample)                {}

// BenchmarkRequest measures sequential writes of 1 KiB with a short response over a loopback socket. The result includes the cost
// of a minimal client of the protocol.
func BenchmarkRequest(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 1024)
	b.Run("coap", func(b *testing.B) { benchmarkCoAP(b, body) })
	for name, devices := range map[string]bool{"http": false, "http for devices": true} {
		b.Run(name, func(b *testing.B) { benchmarkHTTP(b, body, devices) })
	}
}

// dialServer starts serve on a listener and connects to it.
func dialServer(b *testing.B, serve func(net.Listener)) net.Conn {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	go serve(listener)
	var dialer net.Dialer
	netConn, err := dialer.DialContext(b.Context(), "tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { netConn.Close() })
	return netConn
}

func benchmarkCoAP(b *testing.B, body []byte) {
	server := newTestServer(&immediateLoop{[]byte("done")})
	netConn := dialServer(b, func(listener net.Listener) { serve(b, server, listener) })
	mustWrite(b, netConn, coapwire.Encode(message.Message{Code: codes.CSM}))
	frame := coapwire.Encode(newRequest(codes.PUT, 1, body, nil))
	in := bufio.NewReader(netConn)
	b.ReportAllocs()
	for b.Loop() {
		mustWrite(b, netConn, frame)
		if m := readResponse(b, in, netConn); m.Code != codes.Changed {
			b.Fatal(m)
		}
	}
}

// readResponse returns the next message that is not a signaling message. It answers Pings.
func readResponse(b *testing.B, in *bufio.Reader, out io.Writer) *message.Message {
	for {
		m := readMessage(b, in)
		if m.Code < codes.CSM {
			return m
		}
		if m.Code == codes.Ping {
			mustWrite(b, out, coapwire.Encode(message.Message{Code: codes.Pong}))
		}
	}
}

func readMessage(b *testing.B, in *bufio.Reader) *message.Message {
	frame := make([]byte, peekFrameLength(b, in))
	if _, err := io.ReadFull(in, frame); err != nil {
		b.Fatal(err)
	}
	m, err := coapwire.Decode(frame)
	if err != nil {
		b.Fatal(err)
	}
	return m
}

func peekFrameLength(b *testing.B, in *bufio.Reader) int {
	for headerLength := 1; ; headerLength++ {
		header, err := in.Peek(headerLength)
		if err != nil {
			b.Fatal(err)
		}
		length, err := coapwire.FrameLength(header)
		if err != nil {
			b.Fatal(err)
		}
		if length > 0 {
			return length
		}
	}
}

func benchmarkHTTP(b *testing.B, body []byte, devices bool) {
	settings := testsettings.Settings(4)
	handler := &httpserver.Handler{
		Loop:          &immediateLoop{[]byte("done")},
		Clock:         clock.NewSystem(),
		Metrics:       metrics.New(),
		Settings:      &settings,
		ServesDevices: devices,
	}
	server := &http.Server{Handler: handler, ConnContext: handler.ConnContext}
	netConn := dialServer(b, func(listener net.Listener) {
		if err := server.Serve(listener); !errors.Is(err, net.ErrClosed) {
			b.Errorf("Serve: %v", err)
		}
	})
	request := fmt.Appendf(nil, "PUT /push/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\n"+
		"X-Service-Class: push\r\nX-Plan: basic\r\nX-Time-Left-Ms: 2000\r\nIdempotency-Key: k1\r\nX-Device-Id: dev\r\n"+
		"X-IO: volume=1,units=2,shard=3,hosts=1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	in := bufio.NewReader(netConn)
	b.ReportAllocs()
	for b.Loop() {
		mustWrite(b, netConn, request)
		response, err := http.ReadResponse(in, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(response, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		response.Body.Close()
	}
}

// BenchmarkConnect measures the connection setup of a device that sends only its CSM.
func BenchmarkConnect(b *testing.B) {
	server := newTestServer(&fakeLoop{})
	server.MaxConns = 1 << 20
	csm := coapwire.Encode(message.Message{Code: codes.CSM})
	b.ReportAllocs()
	for b.Loop() {
		deviceEnd, serverEnd := net.Pipe()
		server.StartConn(serverEnd)
		go func() { _, _ = io.Copy(io.Discard, deviceEnd) }() // ends when the connection ends, with or without an error
		mustWrite(b, deviceEnd, csm)
	}
	b.StopTimer()
	server.Close()
	server.Shutdown()
}

// BenchmarkMemoryPerDevice measures the bytes of heap and stacks per connected device, idle or with a pending request. The
// result includes the device's end of the pipe.
func BenchmarkMemoryPerDevice(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d busy %v", count, busy), func(b *testing.B) {
				for b.Loop() {
					measureMemory(b, count, busy)
				}
			})
		}
	}
}

// measureMemory connects devices to a new server and reports the additional memory in use per device.
func measureMemory(b *testing.B, count int, busy bool) {
	server := newTestServer(&fakeLoop{})
	server.MaxConns = count
	before := memoryInUse()
	deviceEnds := make([]net.Conn, count)
	timeLeft := setOption(coapwire.UintOption(coapwire.OptTimeLeft, 6000))
	put := coapwire.Encode(newRequest(codes.PUT, 1, make([]byte, 256), timeLeft))
	for i := range deviceEnds {
		deviceEnds[i] = connectIdle(b, server)
		if busy {
			mustWrite(b, deviceEnds[i], put)
		}
	}
	after := memoryInUse()
	b.ReportMetric(float64(after-before)/float64(count), "B/device")
	server.Close()
	server.Shutdown()
	runtime.KeepAlive(deviceEnds)
}

// memoryInUse returns the bytes of heap and stacks after a garbage collection.
func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// connectIdle connects a device, exchanges CSMs and answers the first Ping.
func connectIdle(b *testing.B, server *Server) net.Conn {
	deviceEnd, serverEnd := net.Pipe()
	server.StartConn(serverEnd)
	mustWrite(b, deviceEnd, coapwire.Encode(message.Message{Code: codes.CSM}))
	buf := make([]byte, 64)
	for lastByte := byte(0); lastByte != byte(codes.Ping); { // reads the server's CSM and its Ping
		n, err := deviceEnd.Read(buf)
		if err != nil {
			b.Fatal(err)
		}
		lastByte = buf[n-1]
	}
	mustWrite(b, deviceEnd, coapwire.Encode(message.Message{Code: codes.Pong}))
	return deviceEnd
}
