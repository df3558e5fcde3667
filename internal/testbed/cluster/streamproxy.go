package cluster

import (
	"context"
	"net"
	"sync"
	"time"

	"gaugerelay/internal/testbed/loopback"
)

const (
	copyBufferSize = 16 << 10
	// chunkInterval is the time between two chunks while StreamFaults.ChunkSize is set.
	chunkInterval = 10 * time.Millisecond
)

// StreamFaults are the faults of TCP connections in one direction. The zero value is a connection without faults.
type StreamFaults struct {
	Stalled         bool    // no bytes are forwarded; connections stay open
	DelayMs         float64 // delay of each chunk
	ChunkSize       int     // bytes forwarded at once, every chunkInterval; 0: all available bytes
	ResetAfterBytes int     // bytes after which each connection is reset; 0: it is not reset, and forwarded bytes are not counted
}

// direction is the direction of bytes through a streamProxy.
type direction uint8

const (
	toServer direction = iota
	fromServer
	directionCount
)

// String returns the direction's name.
func (d direction) String() string {
	if d == toServer {
		return "to server"
	}
	return "from server"
}

// streamProxy forwards TCP connections to a server, with faults in each direction.
type streamProxy struct {
	listener net.Listener
	server   string // address of the server

	mu      sync.Mutex
	faults  [directionCount]StreamFaults
	changed chan struct{} // channel that is closed at the next change of the faults
	conns   map[net.Conn]bool
	closed  bool
}

// newStreamProxy starts a proxy that forwards to a TCP address.
func newStreamProxy(server string) (*streamProxy, error) {
	ln, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	p := &streamProxy{listener: ln, server: server, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.acceptConns()
	return p, nil
}

func (p *streamProxy) addr() string { return p.listener.Addr().String() }

func (p *streamProxy) acceptConns() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// setFaults sets the faults of the two directions.
func (p *streamProxy) setFaults(toServer, fromServer StreamFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = [directionCount]StreamFaults{toServer, fromServer}
	close(p.changed)
	p.changed = make(chan struct{})
}

// heal removes the faults of both directions.
func (p *streamProxy) heal() { p.setFaults(StreamFaults{}, StreamFaults{}) }

// resetConns resets all connections.
func (p *streamProxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		loopback.Reset(conn)
	}
}

func (p *streamProxy) close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.heal()
	p.resetConns()
}

// forward forwards one connection until both directions have ended.
func (p *streamProxy) forward(client net.Conn) {
	var dialer net.Dialer
	server, err := dialer.DialContext(context.Background(), "tcp", p.server)
	if err != nil {
		loopback.Reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	closed := p.closed
	p.mu.Unlock()
	var directions sync.WaitGroup
	if !closed {
		directions.Go((&copier{proxy: p, direction: toServer, dst: server, src: client}).run)
		directions.Go((&copier{proxy: p, direction: fromServer, dst: client, src: server}).run)
	}
	directions.Wait()
	loopback.Reset(client)
	loopback.Reset(server)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// waitUnstalled waits while a direction is stalled and returns its other faults.
func (p *streamProxy) waitUnstalled(d direction) StreamFaults {
	for {
		p.mu.Lock()
		faults, changed, closed := p.faults[d], p.changed, p.closed
		p.mu.Unlock()
		if !faults.Stalled || closed {
			return faults
		}
		<-changed
	}
}

// copier copies the bytes of one direction of a connection.
type copier struct {
	proxy        *streamProxy
	direction    direction
	dst, src     net.Conn
	countedBytes int // bytes forwarded while StreamFaults.ResetAfterBytes was set
}

// run copies bytes until the source reaches its end or the connection is reset.
func (c *copier) run() {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := c.src.Read(buffer)
		if err != nil {
			if tcp, ok := c.dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // CloseWrite fails only if the connection is broken already
			}
			return
		}
		if !c.writeChunks(buffer[:n]) {
			return
		}
	}
}

// writeChunks writes data in chunks, with the faults of the direction. It returns false if the connection was reset.
func (c *copier) writeChunks(data []byte) bool {
	for len(data) > 0 {
		faults := c.proxy.waitUnstalled(c.direction)
		chunk := data[:faults.delayChunk(len(data))]
		if !c.writeChunk(chunk, faults.ResetAfterBytes) {
			return false
		}
		data = data[len(chunk):]
	}
	return true
}

// writeChunk writes a chunk. If the chunk would bring the counted bytes above resetAfterBytes, writeChunk writes only the bytes
// up to resetAfterBytes and resets the connection. It returns false if the connection was reset.
func (c *copier) writeChunk(chunk []byte, resetAfterBytes int) bool {
	if resetAfterBytes > 0 && c.countedBytes+len(chunk) > resetAfterBytes {
		// A write error does not matter, because the connection is reset anyway.
		_, _ = c.dst.Write(chunk[:max(0, resetAfterBytes-c.countedBytes)])
		loopback.Reset(c.src)
		loopback.Reset(c.dst)
		return false
	}
	if resetAfterBytes > 0 {
		c.countedBytes += len(chunk)
	}
	if _, err := c.dst.Write(chunk); err != nil {
		loopback.Reset(c.src)
		return false
	}
	return true
}

// delayChunk waits for the delay of the next chunk and returns the size of the chunk, at most the available bytes.
func (f StreamFaults) delayChunk(available int) (size int) {
	if f.DelayMs > 0 {
		time.Sleep(time.Duration(f.DelayMs * float64(time.Millisecond)))
	}
	if f.ChunkSize == 0 {
		return available
	}
	time.Sleep(chunkInterval)
	return min(available, f.ChunkSize)
}
