package cluster

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// DatagramFaults is what happens to datagrams on their way from one gateway to another. The zero value is a good link.
type DatagramFaults struct {
	Cut                     bool
	LossRate, DuplicateRate float64 // parts
	BitFlipRate             float64 // part in which a bit is another
	DelayMs                 float64
	JitterMs                float64 // up to so much more: what is later may come sooner
	passed, troubled        int
}

// proxy carries datagrams one way.
type proxy struct {
	conn net.PacketConn
	to   net.Addr
	mu   sync.Mutex
	rnd  *rand.Rand
	link DatagramFaults
}

func newProxy(to net.Addr, seed uint64) (*proxy, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{conn: conn, to: to, rnd: rand.New(rand.NewPCG(seed, 41))}
	go p.run()
	return p, nil
}

func (p *proxy) set(l DatagramFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.passed, l.troubled = p.link.passed, p.link.troubled
	p.link = l
}

func (p *proxy) run() {
	buf := make([]byte, 2048)
	for {
		n, _, err := p.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		l, times := &p.link, 1
		draw := p.rnd.Float64()
		switch {
		case l.Cut || draw < l.LossRate:
			times = 0
		case draw < l.LossRate+l.DuplicateRate:
			times = 2
		}
		b := append([]byte(nil), buf[:n]...)
		if p.rnd.Float64() < l.BitFlipRate {
			b[p.rnd.IntN(n)] ^= 1 << p.rnd.IntN(8)
			l.troubled++
		}
		if times != 1 {
			l.troubled++
		}
		l.passed += times
		for range times {
			late := l.DelayMs + l.JitterMs*p.rnd.Float64()
			if late == 0 {
				p.conn.WriteTo(b, p.to)
				continue
			}
			time.AfterFunc(time.Duration(late*float64(time.Millisecond)), func() { p.conn.WriteTo(b, p.to) })
		}
		p.mu.Unlock()
	}
}

// freePort finds one that is free now.
func freePort(network, host string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", host)
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	ln, err := net.Listen("tcp", host)
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
