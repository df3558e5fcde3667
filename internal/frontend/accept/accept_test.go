package accept

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed"
)

// failingListener is a listener whose accepts fail with errs, one after the other, and succeed from then on.
type failingListener struct {
	net.Listener
	errs   []error
	closed chan struct{}
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	select {
	case <-f.closed:
		return nil, net.ErrClosed
	default:
	}
	conn, _ := net.Pipe()
	return conn, nil
}

func (f *failingListener) Close() error { close(f.closed); return nil }

// Accept must retry after every error. The delay before a retry doubles with each failure, from minBackoffMs up to 5 ms, which is
// maxBackoffFraction of the shortest deadline (250 ms here). The total delay must not exceed the field max of the
// test case. Errors of a single connection cause no delay.
func TestAcceptSurvivesErrors(t *testing.T) {
	for _, test := range []struct {
		name string
		errs []error
		max  time.Duration
	}{
		{"broken connections", []error{syscall.ECONNABORTED, syscall.EINTR, syscall.ECONNABORTED}, 0},
		{"each error once", []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EPERM}, 25 * time.Millisecond},
		{"descriptors exhausted, eight in a row", []error{syscall.ENFILE, syscall.ENFILE, syscall.ENFILE, syscall.ENFILE, syscall.EMFILE,
			syscall.EMFILE, syscall.EMFILE, syscall.EMFILE}, 36 * time.Millisecond},
		{"not a system error", []error{errors.New("odd")}, time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkAcceptsAfterErrors(t, test.errs, test.max) })
		})
	}
}

// checkAcceptsAfterErrors checks that a listener accepts a connection after errs, within maxDelay, and that it reports the delay
// and counts each error.
func checkAcceptsAfterErrors(t *testing.T, errs []error, maxDelay time.Duration) {
	t.Helper()
	registry, delayMs := metrics.New(), 0.0
	l := Wrap(&failingListener{errs: errs, closed: make(chan struct{})}, clock.NewSystem(), registry, 250,
		func(fromMs, toMs float64) { delayMs += toMs - fromMs })
	start := time.Now()
	if _, err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > maxDelay {
		t.Errorf("accepted after %v, want at most %v", took, maxDelay)
	}
	if took := time.Since(start); took != clock.Duration(delayMs) {
		t.Errorf("accepted after %v, but onDelay got %v ms", took, delayMs)
	}
	counted := 0
	for _, n := range registry.Snapshot() {
		counted += int(n)
	}
	if counted != len(errs) {
		t.Errorf("counted %d failures, want %d; counters: %v", counted, len(errs), registry.Snapshot())
	}
}

// Closing a listener must make an Accept that waits for its next retry return at once.
func TestCloseDuringBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := make([]error, 1<<16)
		for i := range errs {
			errs[i] = syscall.ENFILE
		}
		l := Wrap(&failingListener{errs: errs, closed: make(chan struct{})}, clock.NewSystem(), metrics.New(), 1e6, func(float64, float64) {})
		ended := make(chan error)
		go func() { _, err := l.Accept(); ended <- err }()
		time.Sleep(120 * time.Millisecond)
		closed := time.Now()
		testbed.Close(t, l)
		if err := <-ended; !errors.Is(err, net.ErrClosed) || time.Since(closed) != 0 {
			t.Errorf("Accept returned %v after Close with error %v, want net.ErrClosed at once", time.Since(closed), err)
		}
	})
}
