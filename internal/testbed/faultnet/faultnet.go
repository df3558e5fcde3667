// Package faultnet is the machine's network with system calls that fail now and then, drawn by a seed: accepts, connects,
// reads and writes. It is built into the test program alone.
package faultnet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Options are what fails, and how often.
type Options struct {
	Seed            uint64
	FailureRate     float64       // of accepts and connects; of writes a tenth of it
	WallClockOffset time.Duration // by which this machine's wall clock is off
}

// ParseOptions reads options in the form "seed=1,rate=0.03,wall=1h".
func ParseOptions(text string) (o Options, err error) {
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		switch name {
		case "seed":
			o.Seed, err = strconv.ParseUint(value, 10, 64)
		case "rate":
			o.FailureRate, err = strconv.ParseFloat(value, 64)
		case "wall":
			o.WallClockOffset, err = time.ParseDuration(value)
		default:
			err = fmt.Errorf("no such option")
		}
		if err != nil {
			return o, fmt.Errorf("faults: %q: %w", part, err)
		}
	}
	return o, nil
}

// Network draws the failures.
type Network struct {
	opt Options
	mu  sync.Mutex
	rnd *rand.Rand
	row int // accepts that are still to fail in a row
}

// New returns a network.
func New(o Options) *Network { return &Network{opt: o, rnd: rand.New(rand.NewPCG(o.Seed, 99))} }

var (
	acceptErrors  = []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EHOSTUNREACH}
	connectErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
	writeErrors   = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET}
)

// draw draws whether something fails, and by which error.
func (n *Network) draw(rate float64, errs []syscall.Errno) (syscall.Errno, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return errs[n.rnd.IntN(len(errs))], n.rnd.Float64() < rate
}

// Listen opens an address.
func (n *Network) Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &listener{ln, n}, nil
}

type listener struct {
	net.Listener
	n *Network
}

// Accept fails now and then, some times in a row.
func (l *listener) Accept() (net.Conn, error) {
	errno, fails := l.n.draw(l.n.opt.FailureRate, acceptErrors)
	l.n.mu.Lock()
	if fails {
		l.n.row = 1 + l.n.rnd.IntN(8)
	}
	fails = l.n.row > 0
	if fails {
		l.n.row--
	}
	l.n.mu.Unlock()
	if fails {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// Dial returns a dial that gives up after a time and fails now and then.
func (n *Network) Dial(giveUp time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: giveUp, KeepAlive: -1}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if errno, fails := n.draw(n.opt.FailureRate, connectErrors); fails {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
		}
		nc, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{nc.(*net.TCPConn), n}, nil
	}
}

// conn is a connection whose writes break off now and then, and whose reads are short.
type conn struct {
	*net.TCPConn
	n *Network
}

// Write breaks off in the middle now and then; the connection is broken from then on.
func (c *conn) Write(p []byte) (int, error) {
	errno, fails := c.n.draw(c.n.opt.FailureRate/10, writeErrors)
	if !fails {
		return c.TCPConn.Write(p)
	}
	n, err := c.TCPConn.Write(p[:len(p)/2])
	if err == nil {
		err = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", errno)}
	}
	c.TCPConn.SetLinger(0)
	c.TCPConn.Close()
	return n, err
}

// Read reads a few bytes at a time now and then.
func (c *conn) Read(p []byte) (int, error) {
	if _, short := c.n.draw(c.n.opt.FailureRate, writeErrors); short && len(p) > 7 {
		p = p[:7]
	}
	return c.TCPConn.Read(p)
}
