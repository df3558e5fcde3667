package cluster

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"gaugerelay/internal/testbed/loopback"
)

// maxDatagramSize exceeds the size of all datagrams that gateways send.
const maxDatagramSize = 2048

// DatagramFaults are the faults of a link that carries datagrams from one gateway to another. The zero value is a link
// without faults.
type DatagramFaults struct {
	Partitioned   bool    // all datagrams are lost
	LossRate      float64 // fraction of datagrams that are lost
	DuplicateRate float64 // fraction of datagrams that arrive twice
	BitFlipRate   float64 // fraction of datagrams in which one bit is inverted
	DelayMs       float64 // delay of each datagram
	JitterMs      float64 // maximum of a random additional delay, which can reorder datagrams
}

// datagramProxy forwards datagrams in one direction.
type datagramProxy struct {
	conn net.PacketConn
	to   net.Addr

	mu        sync.Mutex
	random    *rand.Rand
	faults    DatagramFaults
	forwarded int // datagrams passed on to the receiver; a duplicated one counts twice
	impaired  int // datagrams lost, duplicated or corrupted; a duplicated or lost one that is also corrupted counts twice
}

// newDatagramProxy starts a proxy that forwards to a UDP address.
func newDatagramProxy(to string, seed uint64) (*datagramProxy, error) {
	toAddr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	conn, err := loopback.ListenPacket()
	if err != nil {
		return nil, err
	}
	p := &datagramProxy{conn: conn, to: toAddr, random: rand.New(rand.NewPCG(seed, datagramStream))}
	go p.run()
	return p, nil
}

func (p *datagramProxy) addr() string { return p.conn.LocalAddr().String() }

func (p *datagramProxy) close() { p.conn.Close() }

// setFaults sets the faults of datagrams that arrive from now on.
func (p *datagramProxy) setFaults(faults DatagramFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

func (p *datagramProxy) forwardedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forwarded
}

func (p *datagramProxy) run() {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, _, err := p.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		p.forward(append([]byte(nil), buffer[:n]...))
	}
}

// forward forwards a datagram with the current faults. It may modify datagram.
func (p *datagramProxy) forward(datagram []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	copies := p.drawCopies()
	if p.random.Float64() < p.faults.BitFlipRate {
		datagram[p.random.IntN(len(datagram))] ^= 1 << p.random.IntN(8)
		p.impaired++
	}
	if copies != 1 {
		p.impaired++
	}
	p.forwarded += copies
	for range copies {
		delayMs := p.faults.DelayMs + p.faults.JitterMs*p.random.Float64()
		if delayMs == 0 {
			p.send(datagram)
			continue
		}
		time.AfterFunc(time.Duration(delayMs*float64(time.Millisecond)), func() { p.send(datagram) })
	}
}

// drawCopies draws how many copies of a datagram are delivered. p.mu must be held.
func (p *datagramProxy) drawCopies() int {
	draw := p.random.Float64()
	switch {
	case p.faults.Partitioned || draw < p.faults.LossRate:
		return 0
	case draw < p.faults.LossRate+p.faults.DuplicateRate:
		return 2
	default:
		return 1
	}
}

func (p *datagramProxy) send(datagram []byte) {
	_, _ = p.conn.WriteTo(datagram, p.to) // a send error equals a lost datagram
}
