package peer

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/metrics"
)

// mail is a network of datagrams in memory: what is written is there to be read before the write returns.
type mail struct {
	mu    sync.Mutex
	boxes map[string]chan []byte
}

type box struct {
	*mail
	addr string
	in   chan []byte
	once sync.Once
}

func (m *mail) open(addr string) *box {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.boxes == nil {
		m.boxes = map[string]chan []byte{}
	}
	m.boxes[addr] = make(chan []byte, 1000)
	return &box{mail: m, addr: addr, in: m.boxes[addr]}
}

func (b *box) ReadFrom(p []byte) (int, net.Addr, error) {
	x, ok := <-b.in
	if !ok {
		return 0, nil, net.ErrClosed
	}
	return copy(p, x), nil, nil
}

func (b *box) WriteTo(p []byte, to net.Addr) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	in := b.boxes[to.String()]
	if in == nil {
		return 0, errors.New("nobody there")
	}
	in <- append([]byte(nil), p...)
	return len(p), nil
}

func (b *box) Close() error {
	b.once.Do(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.boxes, b.addr)
		close(b.in)
	})
	return nil
}
func (b *box) LocalAddr() net.Addr              { return nil }
func (b *box) SetDeadline(time.Time) error      { return nil }
func (b *box) SetReadDeadline(time.Time) error  { return nil }
func (b *box) SetWriteDeadline(time.Time) error { return nil }

// hand is a loop that the test turns.
type hand struct {
	mu    sync.Mutex
	posts []func(float64)
	wakes int
}

func (h *hand) Post(f func(float64)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.posts = append(h.posts, f)
}

func (h *hand) AfterFunc(float64, func(float64)) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakes++
	return func() {}
}

func (h *hand) turn(now float64) {
	h.mu.Lock()
	posts := h.posts
	h.posts = nil
	h.mu.Unlock()
	for _, f := range posts {
		f(now)
	}
}

type side struct {
	f    *Service
	h    *hand
	m    *metrics.Registry
	part float64
}

func start(t *testing.T, net *mail, self int, key string) *side {
	t.Helper()
	o := Options{Self: uint16(self), Key: []byte(key), Incarnation: uint32(self + 1), Seed: 1, ProbePeriodMs: 100, ProbeTimeoutMs: 30, LeaseMs: 1000, ClockDrift: 0.01,
		MaxGrantedFraction: 0.5, MaxVolumes: 10}
	for i := range 3 {
		o.Peers = append(o.Peers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i)))
	}
	s := &side{h: &hand{}, m: metrics.New(), part: -1}
	f, err := New(o, s.m, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	s.f = f
	f.Start(net.open(o.Peers[self].String()), s.h)
	t.Cleanup(f.Close)
	return s
}

func (s *side) step(now float64) {
	s.h.turn(now)
	for _, e := range s.f.BeginStep(now) {
		if p, ok := e.(scheduler.QuotaShare); ok && p.Volume == 7 {
			s.part = p.Share
		}
	}
}

// A gateway whose traffic has grown is lent what another does not use; who speaks with another key is not heard.
func TestPartsAreLentByDatagrams(t *testing.T) {
	var net mail
	busy, idle, stranger := start(t, &net, 0, "k"), start(t, &net, 1, "k"), start(t, &net, 2, "another")
	all := []*side{busy, idle, stranger}
	const own = 1.0 / 3
	for now := 0.0; busy.part < own+0.16 && now < 1e6; now += 10 { // datagrams come when their goroutines run
		for i, s := range all {
			need := 0.01
			if i == 0 {
				need = 0.9
			}
			s.f.ReportDemand(now, scheduler.QuotaDemand{Volume: 7, Gateways: 3, Share: need, First: now == 0})
			s.step(now)
		}
		runtime.Gosched()
	}
	if busy.part < own+0.16 {
		t.Fatalf("the busy one holds %.3f", busy.part)
	}
	if idle.part > own/2+0.01 || stranger.part >= 0 && stranger.part < own/2-0.01 {
		t.Errorf("the lender holds %.3f, the stranger %.3f", idle.part, stranger.part)
	}
	if busy.f.QuotaExpiresMs(7) == 0 || idle.f.QuotaExpiresMs(7) != 0 || busy.f.QuotaExpiresMs(8) != 0 {
		t.Errorf("borrowed until %v, %v", busy.f.QuotaExpiresMs(7), idle.f.QuotaExpiresMs(7))
	}
	if busy.m.Get("fleet_datagrams_bad") == 0 || busy.m.Get("fleet_datagrams_taken") == 0 {
		t.Errorf("%d bad, %d taken", busy.m.Get("fleet_datagrams_bad"), busy.m.Get("fleet_datagrams_taken"))
	}
	var b strings.Builder
	busy.f.WriteStatus(&b, 0)
	for _, want := range []string{"bound part_back_ms 1020", "bound start_hold_ms 1020", "member 2", "volume 0000000000000007 held"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is not in\n%s", want, b.String())
		}
	}
}
