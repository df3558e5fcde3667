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
)

// flaky is a listener whose accepts fail by a list of errors before they succeed.
type flaky struct {
	net.Listener
	errs   []error
	closed chan struct{}
}

func (f *flaky) Accept() (net.Conn, error) {
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
	a, _ := net.Pipe()
	return a, nil
}

func (f *flaky) Close() error { close(f.closed); return nil }

// No error of accept ends a listener, and its pauses stay small beside the shortest deadline.
func TestAcceptOutlivesErrors(t *testing.T) {
	for _, c := range []struct {
		name string
		errs []error
		most time.Duration
	}{
		{"broken connections", []error{syscall.ECONNABORTED, syscall.EINTR, syscall.ECONNABORTED}, 0},
		{"once each", []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EPERM}, 25 * time.Millisecond},
		{"nothing left, eight in a row", []error{syscall.ENFILE, syscall.ENFILE, syscall.ENFILE, syscall.ENFILE, syscall.EMFILE,
			syscall.EMFILE, syscall.EMFILE, syscall.EMFILE}, 36 * time.Millisecond},
		{"no error of the system's", []error{errors.New("odd")}, time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := metrics.New()
			failures, held := len(c.errs), 0.0
			l := Wrap(&flaky{errs: c.errs, closed: make(chan struct{})}, clock.NewSystem(), m, 250, func(from, to float64) { held += to - from })
			began := time.Now()
			if _, err := l.Accept(); err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
			if took := time.Since(began); took > c.most {
				t.Errorf("%s: accepted after %v, want at most %v", c.name, took, c.most)
			}
			if took := time.Since(began); took != clock.Duration(held) {
				t.Errorf("%s: accepted after %v, told of %v ms", c.name, took, held)
			}
			counted := 0
			for _, n := range m.Snapshot() {
				counted += int(n)
			}
			if counted != failures {
				t.Errorf("%s: %d failures counted of %d: %v", c.name, counted, failures, m.Snapshot())
			}
		})
	}
}

// A listener that is closed during a pause ends at once.
func TestCloseDuringAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := make([]error, 1<<16)
		for i := range errs {
			errs[i] = syscall.ENFILE
		}
		l := Wrap(&flaky{errs: errs, closed: make(chan struct{})}, clock.NewSystem(), metrics.New(), 1e6, func(float64, float64) {})
		ended := make(chan error)
		go func() { _, err := l.Accept(); ended <- err }()
		time.Sleep(120 * time.Millisecond)
		closed := time.Now()
		l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) || time.Since(closed) != 0 {
			t.Errorf("ended %v behind the close: %v", time.Since(closed), err)
		}
	})
}
