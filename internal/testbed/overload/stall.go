package overload

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
)

// DeviceProtocol is a protocol of devices.
type DeviceProtocol uint8

// Protocols of devices.
const (
	CoAPDevices DeviceProtocol = iota
	HTTPDevices
	DeviceProtocolCount
)

// String returns the name of the protocol.
func (p DeviceProtocol) String() string {
	if p == CoAPDevices {
		return "CoAP"
	}
	return "HTTP"
}

// StallOptions are the parameters of StalledReaders.
type StallOptions struct {
	Protocol DeviceProtocol
	Devices  int           // devices whose links stall
	Reads    int           // reads that each of them has sent when its link stalls; devices that speak HTTP send one
	Stall    time.Duration // time for which the links stall
	Moving   int           // devices whose links go on; each sends one read after another
}

// String describes the stall.
func (o StallOptions) String() string {
	return fmt.Sprintf("%d devices by %v with %d reads each stall for %v, %d go on", o.Devices, o.Protocol, o.Reads, o.Stall, o.Moving)
}

// ReadCounts counts the outcomes of reads.
type ReadCounts struct {
	Served, Rejected, Failed int
	Lost                     int // reads whose connection ended without a response, or that got none in time
}

// Total returns the number of reads.
func (c *ReadCounts) Total() int { return c.Served + c.Rejected + c.Failed + c.Lost }

// StallResult is what a stall shows.
type StallResult struct{ Stalled, Moving ReadCounts }

const (
	// deviceBufferBytes is the receive buffer of a device, and deviceSegmentBytes the size of the segments on its link.
	deviceBufferBytes  = 16 << 10
	deviceSegmentBytes = 1400
	// deviceMessageBytes is the Max-Message-Size of a device that speaks CoAP.
	deviceMessageBytes = 70_000
	// deviceReadSlack is how long after its time a device waits for a response.
	deviceReadSlack = 3 * time.Second
	// movingPause is the time between two reads of a device whose link goes on.
	movingPause = 20 * time.Millisecond
	// movingResponseQuery asks for a response that the gateway expects to reach a device on a slow link in time.
	movingResponseQuery = "padding=4000"
)

// StalledReaders lets devices ask for large responses and their links stall, beside devices whose links go on. It returns when all responses
// have arrived or are overdue, or stop is closed and the open reads have ended.
func StalledReaders(target Target, options StallOptions, seed uint64, stop <-chan struct{}) StallResult {
	var result StallResult
	var mu sync.Mutex
	count := func(counts *ReadCounts, part ReadCounts) {
		mu.Lock()
		defer mu.Unlock()
		counts.Served += part.Served
		counts.Rejected += part.Rejected
		counts.Failed += part.Failed
		counts.Lost += part.Lost
	}
	var stalled, moving sync.WaitGroup
	ended := make(chan struct{})
	for number := range options.Devices {
		d := newReadingDevice(&target, options.Protocol, seed, number)
		stalled.Go(func() { count(&result.Stalled, d.stall(options, stop)) })
	}
	for number := range options.Moving {
		d := newReadingDevice(&target, options.Protocol, seed, options.Devices+number)
		moving.Go(func() { count(&result.Moving, d.readOn(ended)) })
	}
	stalled.Wait()
	close(ended)
	moving.Wait()
	return result
}

// readingDevice is a device that reads.
type readingDevice struct {
	target   *Target
	protocol DeviceProtocol
	name     string
	random   *rand.Rand
	sent     int
	conn     net.Conn
	in       *bufio.Reader
}

func newReadingDevice(target *Target, protocol DeviceProtocol, seed uint64, number int) *readingDevice {
	return &readingDevice{target: target, protocol: protocol, name: fmt.Sprintf("stall-%x-%d", seed, number),
		random: rand.New(rand.NewPCG(seed, uint64(number)))}
}

// stall sends reads, stops reading for a while, and then reads the responses.
func (d *readingDevice) stall(options StallOptions, stop <-chan struct{}) ReadCounts {
	reads := options.Reads
	if d.protocol == HTTPDevices {
		reads = 1
	}
	if err := d.connect(); err != nil {
		return ReadCounts{Lost: reads}
	}
	defer d.conn.Close()
	for range reads {
		if err := d.send(largeResponseQuery); err != nil {
			return ReadCounts{Lost: reads}
		}
	}
	sleep(stop, options.Stall)
	var counts ReadCounts
	for range reads {
		d.receive(&counts)
	}
	return counts
}

// readOn sends one read after another until ended is closed.
func (d *readingDevice) readOn(ended <-chan struct{}) (counts ReadCounts) {
	for !isClosed(ended) {
		if d.conn == nil {
			if err := d.connect(); err != nil {
				counts.Lost++
				sleep(ended, movingPause)
				continue
			}
		}
		lost := counts.Lost
		if err := d.send(movingResponseQuery); err != nil {
			counts.Lost++
		} else {
			d.receive(&counts)
		}
		if counts.Lost > lost {
			d.conn.Close()
			d.conn = nil
		}
		sleep(ended, movingPause)
	}
	if d.conn != nil {
		d.conn.Close()
	}
	return counts
}

// connect connects over a link with small buffers.
func (d *readingDevice) connect() error {
	dialer := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, deviceSegmentBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, deviceBufferBytes))
		})
		return errors.Join(err, controlErr)
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", d.target.Addr)
	if err != nil {
		return err
	}
	d.conn, d.in = conn, bufio.NewReader(conn)
	if d.protocol == CoAPDevices {
		_, err = conn.Write(coapwire.Encode(message.Message{Code: codes.CSM, Options: message.Options{
			coapwire.UintOption(message.TCPMaxMessageSize, deviceMessageBytes)}}))
	}
	return err
}

// send sends one read with the given query.
func (d *readingDevice) send(query string) error {
	d.sent++
	id := fmt.Sprintf("%s-%d", d.name, d.sent)
	read := d.target.newRead(id, d.random)
	read.Query = query
	if d.protocol == HTTPDevices {
		read.ExtraField = "X-Device-Id: " + d.name + "\r\n"
		_, err := io.WriteString(d.conn, read.Head())
		return err
	}
	_, err := d.conn.Write(coapwire.Encode(message.Message{Code: codes.GET, Token: message.Token{byte(d.sent >> 8), byte(d.sent)}, Options: message.Options{
		{ID: message.URIPath, Value: []byte(read.Class)},
		{ID: message.URIPath, Value: fmt.Appendf(nil, "%016x", read.Shard+2)},
		{ID: message.URIQuery, Value: []byte(read.Query)},
		{ID: coapwire.OptDevice, Value: []byte(d.name)},
		coapwire.UintOption(coapwire.OptTimeLeft, uint32(read.DeadlineMs)),
		{ID: coapwire.OptIdempotencyKey, Value: []byte(id)},
		{ID: coapwire.OptPlan, Value: []byte(read.Plan)},
		{ID: coapwire.OptIO, Value: fmt.Appendf(nil, "volume=%016x,units=1,shard=%d,hosts=1", read.Volume, read.Shard)},
	}}))
	return err
}

// receive reads the response to one read and counts it.
func (d *readingDevice) receive(counts *ReadCounts) {
	d.conn.SetReadDeadline(time.Now().Add(time.Duration(d.target.DeadlineMs)*time.Millisecond + deviceReadSlack))
	status, err := d.readStatus()
	switch {
	case err != nil:
		counts.Lost++
	case status == http.StatusOK:
		counts.Served++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		counts.Rejected++
	default:
		counts.Failed++
	}
}

// readStatus reads a response and returns its status. That of CoAP is converted to the status of HTTP.
func (d *readingDevice) readStatus() (status int, err error) {
	if d.protocol == HTTPDevices {
		response, err := http.ReadResponse(d.in, nil)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	for {
		m, err := readMessage(d.in)
		if err != nil {
			return 0, err
		}
		switch m.Code {
		case codes.CSM, codes.Pong, codes.Release:
		case codes.Ping:
			if _, err := d.conn.Write(coapwire.Encode(message.Message{Code: codes.Pong, Token: m.Token})); err != nil {
				return 0, err
			}
		case codes.Abort:
			return 0, fmt.Errorf("overload: the gateway aborted the connection: %s", m.Payload)
		case codes.Content:
			return http.StatusOK, nil
		case codes.ServiceUnavailable, codes.TooManyRequests:
			return http.StatusServiceUnavailable, nil
		default:
			return http.StatusBadGateway, nil
		}
	}
}

// maxFrameHeader is the size in bytes of the longest part of a frame that tells its length.
const maxFrameHeader = 6 + message.MaxTokenSize

// readMessage reads a CoAP message.
func readMessage(in *bufio.Reader) (*message.Message, error) {
	for size := 2; size <= maxFrameHeader; size++ {
		start, err := in.Peek(size)
		if err != nil {
			return nil, err
		}
		length, err := coapwire.FrameLength(start)
		if err != nil {
			return nil, err
		}
		if length > 0 {
			frame := make([]byte, length)
			if _, err := io.ReadFull(in, frame); err != nil {
				return nil, err
			}
			return coapwire.Decode(frame)
		}
	}
	return nil, coapwire.ErrMalformed
}
