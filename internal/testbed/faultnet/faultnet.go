// Package faultnet is a TCP network with random faults: the system calls accept, connect and write fail, and reads are short. Only a
// gateway program that is built with the build tag chaos contains this package.
//
// The failures are drawn from a seed. A Network is safe for concurrent use and starts no goroutine.
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
	// randomStream initializes the random generator, together with Options.Seed.
	randomStream = 99
	// writeFailureDivisor divides Options.FailureRate for writes, which fail less often than the other calls.
	writeFailureDivisor = 10
	// maxAcceptFailures is the largest number of consecutive accepts that one random draw makes fail.
	maxAcceptFailures = 8
	// shortReadSize is the largest number of bytes that a short read returns.
	shortReadSize = 7
)

// Options say how often system calls fail.
type Options struct {
	Seed            uint64
	FailureRate     float64       // probability that accepts or a connect fail, or a read is short; writes fail with a tenth of this probability
	WallClockOffset time.Duration // offset of the gateway's wall clock from the real time; the caller must apply it
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
			err = errors.New("unknown option (known options: seed, rate and wall)")
		}
		if err != nil {
			return options, fmt.Errorf("faults: invalid option %q: %w", field, err)
		}
	}
	return options, nil
}

// Network opens listeners and connections whose system calls fail at random.
type Network struct {
	options Options

	mu             sync.Mutex
	random         *rand.Rand
	acceptFailures int // number of accepts, starting with the next one, that will fail
}

// New returns a network whose failures are drawn from the seed in the options.
func New(options Options) *Network {
	return &Network{options: options, random: rand.New(rand.NewPCG(options.Seed, randomStream))}
}

// Errors with which system calls fail. Their order determines which error a seed draws, so it must not change.
var (
	acceptErrors  = []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EHOSTUNREACH}
	connectErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
	writeErrors   = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET}
)

// draw decides at random whether a system call fails, and with which error.
func (n *Network) draw(rate float64, errnos []syscall.Errno) (errno syscall.Errno, fails bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return errnos[n.random.IntN(len(errnos))], n.random.Float64() < rate
}

// drawAccept decides at random whether an accept fails, and with which error. Each failure that
// it draws makes a random number of accepts in a row fail, at most maxAcceptFailures.
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

// Listen opens a TCP listener whose accepts fail at random. Accepted connections have no faults.
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

// Accept implements net.Listener. It fails at random, sometimes several times in a row.
func (l *listener) Accept() (net.Conn, error) {
	if errno, fails := l.network.drawAccept(); fails {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// SyscallConn implements syscall.Conn if the wrapped listener does.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// Dial returns a dial function that fails at random. Its connection attempts end after the timeout.
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

// conn is a connection with random faults: some writes fail, and some reads are short.
type conn struct {
	*net.TCPConn
	network *Network
}

// Write implements net.Conn. A random failure occurs after half of the bytes have been written and resets the connection.
func (c *conn) Write(p []byte) (int, error) {
	errno, fails := c.network.draw(c.network.options.FailureRate/writeFailureDivisor, writeErrors)
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

// Read implements net.Conn. A random failure is a short read of at most shortReadSize bytes; the drawn error is not used.
func (c *conn) Read(p []byte) (int, error) {
	if _, short := c.network.draw(c.network.options.FailureRate, writeErrors); short && len(p) > shortReadSize {
		p = p[:shortReadSize]
	}
	return c.TCPConn.Read(p)
}
