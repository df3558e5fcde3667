// Package faultnet is a TCP network whose system calls fail at random: accepts, connects, reads and writes. It is built
// only into the gateway program with the build tag chaos.
//
// The failures are drawn from a seed. A Network may be used from any goroutine; it starts none.
package faultnet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gaugerelay/internal/testbed/loopback"
)

const (
	// randomStream is the stream of random numbers of a seed.
	randomStream = 99
	// writeFailureFraction is how much less often writes fail than accepts and connects.
	writeFailureFraction = 10
	// maxAcceptFailures is how many accepts fail in a row at most.
	maxAcceptFailures = 8
	// shortReadSize is how many bytes a short read returns at most.
	shortReadSize = 7
)

// Options say which system calls fail, and how often.
type Options struct {
	Seed            uint64
	FailureRate     float64       // fraction of accepts, connects and reads; of writes a tenth of it
	WallClockOffset time.Duration // error of the wall clock, which the caller has to apply
}

// ParseOptions reads options in the form "seed=1,rate=0.03,wall=1h".
func ParseOptions(text string) (options Options, err error) {
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "seed":
			options.Seed, err = strconv.ParseUint(value, 10, 64)
		case "rate":
			options.FailureRate, err = strconv.ParseFloat(value, 64)
		case "wall":
			options.WallClockOffset, err = time.ParseDuration(value)
		default:
			err = errors.New("no such option")
		}
		if err != nil {
			return options, fmt.Errorf("faults: %q: %w", field, err)
		}
	}
	return options, nil
}

// Network opens listeners and connections whose system calls fail.
type Network struct {
	options Options

	mu             sync.Mutex
	random         *rand.Rand
	acceptFailures int // accepts that are still to fail in a row
}

// New returns a network.
func New(options Options) *Network {
	return &Network{options: options, random: rand.New(rand.NewPCG(options.Seed, randomStream))}
}

// Errors with which system calls fail. The order decides which one a seed draws.
var (
	acceptErrors  = []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EHOSTUNREACH}
	connectErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
	writeErrors   = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET}
)

// draw draws whether a system call fails, and with which error.
func (n *Network) draw(rate float64, errnos []syscall.Errno) (errno syscall.Errno, fails bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return errnos[n.random.IntN(len(errnos))], n.random.Float64() < rate
}

// drawAccept draws whether an accept fails. One failure may be followed by others.
func (n *Network) drawAccept() (errno syscall.Errno, fails bool) {
	errno, fails = n.draw(n.options.FailureRate, acceptErrors)
	n.mu.Lock()
	defer n.mu.Unlock()
	if fails {
		n.acceptFailures = 1 + n.random.IntN(maxAcceptFailures)
	}
	if n.acceptFailures == 0 {
		return 0, false
	}
	n.acceptFailures--
	return errno, true
}

// Listen opens a TCP listener whose accepts fail at random. Its connections work.
func (n *Network) Listen(addr string) (net.Listener, error) {
	ln, err := loopback.ListenOn(addr)
	if err != nil {
		return nil, err
	}
	return &listener{ln, n}, nil
}

type listener struct {
	net.Listener
	network *Network
}

// Accept fails at random, sometimes several times in a row.
func (l *listener) Accept() (net.Conn, error) {
	if errno, fails := l.network.drawAccept(); fails {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// Dial returns a dial function that fails at random, and after a timeout.
func (n *Network) Dial(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout, KeepAlive: -1}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if errno, fails := n.draw(n.options.FailureRate, connectErrors); fails {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
		}
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{c.(*net.TCPConn), n}, nil
	}
}

// conn is a connection whose writes fail and whose reads are short at random.
type conn struct {
	*net.TCPConn
	network *Network
}

// Write fails at random after half of the bytes; the connection is reset then.
func (c *conn) Write(p []byte) (int, error) {
	errno, fails := c.network.draw(c.network.options.FailureRate/writeFailureFraction, writeErrors)
	if !fails {
		return c.TCPConn.Write(p)
	}
	n, err := c.TCPConn.Write(p[:len(p)/2])
	if err == nil {
		err = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", errno)}
	}
	loopback.Reset(c.TCPConn)
	return n, err
}

// Read returns only a few bytes at random.
func (c *conn) Read(p []byte) (int, error) {
	if _, short := c.network.draw(c.network.options.FailureRate, writeErrors); short && len(p) > shortReadSize {
		p = p[:shortReadSize]
	}
	return c.TCPConn.Read(p)
}
