package soak

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"gaugerelay/internal/testbed/fakedevice"
	"gaugerelay/internal/testbed/fakestorage"
	"gaugerelay/internal/testbed/invariants"
	"gaugerelay/internal/testbed/linkshaper"
)

// Letters that stand for protocols in Options.Protocols.
const (
	protocolCoAP = 'c'
	protocolHTTP = 'h'
	protocolSFTP = 'f'
)

// Classes of package testsettings that devices use, and their priority weights.
const (
	writeClass  = "push"
	writeWeight = 2.0
	readClass   = "bulk-read"
	readWeight  = 1.0
)

// runDevice runs one device, which begins no exchange after end.
func (r *run) runDevice(index int, end time.Time) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(1000+index)))
	device, protocol := r.newDevice(index, random)
	defer device.Transport.Close()
	if device.SecondTransport != nil {
		defer device.SecondTransport.Close()
	}
	time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	for n := 0; time.Now().Before(end); n++ {
		e := r.drawExchange(random, index, n, protocol)
		weight := readWeight
		if e.Write {
			weight = writeWeight
		}
		r.checker.Begin(invariants.Exchange{ID: e.Object, Write: e.Write, Weight: weight, DedupWindow: dedupWindow,
			Deadline: e.Deadline, Size: len(e.Body)})
		device.Do(e)
		time.Sleep(time.Duration(50+random.IntN(500)) * time.Millisecond)
	}
}

// newDevice returns a device with its transports, and the letter that stands for its protocol.
func (r *run) newDevice(index int, random *rand.Rand) (device *fakedevice.Device, protocol byte) {
	options := r.options
	link := &linkshaper.Shaper{Profile: options.Links[index%len(options.Links)], Seed: options.Seed*1_000_003 + uint64(index)}
	device = &fakedevice.Device{Name: fmt.Sprint("device-", index), Checker: r.checker, Rand: random, QuirkRate: options.QuirkRate,
		ResponseTimeout: time.Duration(1500+random.IntN(2000)) * time.Millisecond}
	if options.ResponseTimeout > 0 {
		device.ResponseTimeout = options.ResponseTimeout
	}
	protocol = options.Protocols[(index/len(options.Links))%len(options.Protocols)]
	blockSize := []int{0, 1024, 4096, 8192}[random.IntN(4)]
	device.Transport = r.newTransport(device.Name, protocol, blockSize, link)
	if protocol == protocolSFTP {
		// A file client cannot mark a retry, and the gateway cannot see that two connections belong to the same client. The gateway
		// would therefore execute a write that a quirk repeats as a new write.
		device.QuirkRate = 0
	} else {
		device.SecondTransport = r.newTransport(device.Name, protocol, blockSize, link)
	}
	return device, protocol
}

// newTransport returns a device's transport to the gateway. blockSize is the block size of CoAP uploads in bytes.
func (r *run) newTransport(deviceName string, protocol byte, blockSize int, link *linkshaper.Shaper) fakedevice.Transport {
	switch {
	case protocol == protocolSFTP:
		return &fakedevice.SFTP{Dial: r.deviceDialer(sftpFrontend, link), Root: fileRoot, ResponseTime: dedupWindow}
	case !r.options.Deduplication:
		return &fakedevice.HTTP{Device: deviceName, Dial: r.deviceDialer(platformFrontend, link), WithoutDeviceHeaders: true}
	case protocol == protocolHTTP:
		return &fakedevice.HTTP{Device: deviceName, Dial: r.deviceDialer(httpFrontend, link)}
	}
	return &fakedevice.CoAP{Device: deviceName, Dial: r.deviceDialer(coapFrontend, link), BlockSize: blockSize, MaxMessageSize: 16 << 10}
}

// deviceDialer returns the function with which a device connects to a frontend over a shaped link.
func (r *run) deviceDialer(f frontend, shaper *linkshaper.Shaper) fakedevice.Dialer {
	return func(ctx context.Context) (net.Conn, fakedevice.Link, error) {
		gatewayConn, err := r.dialer()(ctx, "tcp", r.frontendAddr(f))
		if err != nil {
			return nil, nil, err
		}
		deviceConn, linkEnd := net.Pipe()
		connectedAt := time.Now()
		link := shaper.Join(linkEnd, gatewayConn)
		return deviceConn, &restartAwareLink{link, r, connectedAt}, nil
	}
}

// restartAwareLink is a link that also reports a fault if the gateway has restarted since the connection was opened.
type restartAwareLink struct {
	*linkshaper.Link
	run         *run
	connectedAt time.Time
}

// FaultySince implements fakedevice.Link.
func (l *restartAwareLink) FaultySince(since time.Time) bool {
	return l.Link.FaultySince(since) || l.run.restartedSince(l.connectedAt)
}

// drawExchange generates the n-th exchange of a device at random.
func (r *run) drawExchange(random *rand.Rand, device, n int, protocol byte) fakedevice.Exchange {
	var id [8]byte
	binary.BigEndian.PutUint32(id[:4], uint32(device+1))
	binary.BigEndian.PutUint32(id[4:], uint32(n+1))
	e := fakedevice.Exchange{Object: hex.EncodeToString(id[:]), Key: fmt.Sprintf("key-%d", n), Shard: random.IntN(shardCount+1) - 1}
	size := 100 + random.IntN(1500)
	if random.IntN(4) == 0 {
		size = 2000 + random.IntN(12_000)
	}
	if protocol == protocolSFTP || r.options.WritesOnly || random.Float64() < 0.6 {
		e.Write, e.Class, e.Deadline = true, writeClass, time.Now().Add(writeDeadline)
		e.Body = fakestorage.ObjectData("body-"+e.Object, size)
		return e
	}
	e.Shard = max(e.Shard, 0)
	e.Class, e.Deadline, e.Size = readClass, time.Now().Add(readDeadline), 2*size
	return e
}
