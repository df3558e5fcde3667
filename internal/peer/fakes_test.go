package peer

import (
	"errors"
	"net"
	"sync"
	"time"
)

// memoryNetwork is a fake network that delivers datagrams in memory. A datagram is available to its receiver before WriteTo
// returns.
type memoryNetwork struct {
	mu     sync.Mutex
	queues map[string]chan []byte // datagrams that have not been read, keyed by the address of the receiver
}

// memoryConn is a connection of a memoryNetwork.
type memoryConn struct {
	network   *memoryNetwork
	addr      string
	queue     chan []byte
	closeOnce sync.Once
}

func (n *memoryNetwork) listen(addr string) *memoryConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.queues == nil {
		n.queues = map[string]chan []byte{}
	}
	n.queues[addr] = make(chan []byte, 1000)
	return &memoryConn{network: n, addr: addr, queue: n.queues[addr]}
}

func (c *memoryConn) ReadFrom(p []byte) (int, net.Addr, error) {
	datagram, ok := <-c.queue
	if !ok {
		return 0, nil, net.ErrClosed
	}
	return copy(p, datagram), nil, nil
}

func (c *memoryConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	queue := c.network.queues[to.String()]
	if queue == nil {
		return 0, errors.New("no connection listens on the receiver address")
	}
	queue <- append([]byte(nil), p...)
	return len(p), nil
}

func (c *memoryConn) Close() error {
	c.closeOnce.Do(func() {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		delete(c.network.queues, c.addr)
		close(c.queue)
	})
	return nil
}

func (c *memoryConn) LocalAddr() net.Addr              { return nil }
func (c *memoryConn) SetDeadline(time.Time) error      { return nil }
func (c *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// manualLoop is an EventLoop that runs posted functions when the test calls run. Its timers never fire.
type manualLoop struct {
	mu     sync.Mutex
	posted []func(nowMs float64)
}

func (l *manualLoop) Post(f func(nowMs float64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.posted = append(l.posted, f)
}

func (l *manualLoop) AfterFunc(float64, func(nowMs float64)) (stop func()) { return func() {} }

func (l *manualLoop) run(nowMs float64) {
	l.mu.Lock()
	posted := l.posted
	l.posted = nil
	l.mu.Unlock()
	for _, f := range posted {
		f(nowMs)
	}
}
