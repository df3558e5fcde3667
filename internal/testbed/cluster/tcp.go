package cluster

import (
	"net"
	"sync"
	"time"
)

// StreamFaults is what happens to the bytes of connections in one direction. The zero value is a good one.
type StreamFaults struct {
	Stalled         bool    // nothing passes, and connections stay open
	DelayMs         float64 // of each piece that is read
	ChunkSize       int     // so many bytes pass at once, every 10 ms; 0: all
	ResetAfterBytes int     // each connection is reset behind so many bytes from now on; 0: none is
}

// tcpProxy carries connections, each way on its own.
type tcpProxy struct {
	ln net.Listener
	to string

	mu     sync.Mutex
	ways   [2]StreamFaults // to the server, and back
	change chan struct{}   // closed when the ways change
	conns  map[net.Conn]bool
	closed bool
}

const (
	toServer = iota
	fromServer
)

func newTCPProxy(to string) (*tcpProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &tcpProxy{ln: ln, to: to, change: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p, nil
}

// set changes what happens from now on.
func (p *tcpProxy) set(up, down StreamFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ways = [2]StreamFaults{up, down}
	close(p.change)
	p.change = make(chan struct{})
}

// reset ends all connections with a reset.
func (p *tcpProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (p *tcpProxy) close() {
	p.ln.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.set(StreamFaults{}, StreamFaults{})
	p.reset()
}

func (p *tcpProxy) carry(client net.Conn) {
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		abort(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	closed := p.closed
	p.mu.Unlock()
	var both sync.WaitGroup
	if !closed {
		both.Go(func() { p.pump(client, server, toServer) })
		both.Go(func() { p.pump(server, client, fromServer) })
	}
	both.Wait()
	abort(client)
	abort(server)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// way waits until something may pass.
func (p *tcpProxy) way(dir int) StreamFaults {
	for {
		p.mu.Lock()
		w, change, closed := p.ways[dir], p.change, p.closed
		p.mu.Unlock()
		if !w.Stalled || closed {
			return w
		}
		<-change
	}
}

func (p *tcpProxy) pump(from, to net.Conn, dir int) {
	buf := make([]byte, 16<<10)
	passed := 0
	for {
		n, err := from.Read(buf)
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
		for b := buf[:n]; len(b) > 0; {
			w := p.way(dir)
			if w.DelayMs > 0 {
				time.Sleep(time.Duration(w.DelayMs * float64(time.Millisecond)))
			}
			size := len(b)
			if w.ChunkSize > 0 {
				size = min(size, w.ChunkSize)
				time.Sleep(10 * time.Millisecond)
			}
			if w.ResetAfterBytes > 0 && passed+size > w.ResetAfterBytes {
				to.Write(b[:max(0, w.ResetAfterBytes-passed)])
				abort(from)
				abort(to)
				return
			}
			if w.ResetAfterBytes > 0 {
				passed += size
			}
			if _, err := to.Write(b[:size]); err != nil {
				abort(from)
				return
			}
			b = b[size:]
		}
	}
}
