package bgp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/osrg/gobgp/v3/pkg/packet/bgp"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/metrics"
)

// fakeRouter is the router's end of a connection.
type fakeRouter struct {
	t *testing.T
	net.Conn
}

// read returns the next message and ends the test unless it is of the type.
func (r fakeRouter) read(messageType uint8) *bgp.BGPMessage {
	r.t.Helper()
	got, body, err := readMessage(r)
	if err != nil || got != messageType {
		r.t.Fatalf("type %d: %v; want type %d", got, err, messageType)
	}
	message, err := parseMessage(got, body)
	if err != nil {
		r.t.Fatal(err)
	}
	return message
}

func (r fakeRouter) send(message *bgp.BGPMessage) {
	r.t.Helper()
	encoded, err := message.Serialize()
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := r.Write(encoded); err != nil {
		r.t.Fatal(err)
	}
}

// handshake establishes a session as the passive side.
func (r fakeRouter) handshake() {
	r.t.Helper()
	open := r.read(bgp.BGP_MSG_OPEN).Body.(*bgp.BGPOpen)
	if open.MyAS != 65001 || open.HoldTime != 90 || open.ID.String() != "127.0.0.2" {
		r.t.Errorf("OPEN %+v", open)
	}
	r.send(newOpen(65000, 90, "127.0.0.3", bgp.NewCapFourOctetASNumber(65000)))
	r.read(bgp.BGP_MSG_KEEPALIVE)
	r.send(bgp.NewBGPKeepAliveMessage())
}

// expectUpdate reads an UPDATE with so many announced and withdrawn routes.
func (r fakeRouter) expectUpdate(announced, withdrawn int) {
	r.t.Helper()
	update := r.read(bgp.BGP_MSG_UPDATE).Body.(*bgp.BGPUpdate)
	if len(update.NLRI) != announced || len(update.WithdrawnRoutes) != withdrawn {
		r.t.Errorf("%d announced, %d withdrawn; want %d, %d", len(update.NLRI), len(update.WithdrawnRoutes), announced, withdrawn)
	}
}

// expectCease reads a Cease and the end of the connection.
func (r fakeRouter) expectCease() {
	r.t.Helper()
	notification := r.read(bgp.BGP_MSG_NOTIFICATION).Body.(*bgp.BGPNotification)
	if notification.ErrorCode != bgp.BGP_ERROR_CEASE {
		r.t.Errorf("NOTIFICATION %d/%d", notification.ErrorCode, notification.ErrorSubcode)
	}
	if _, err := r.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		r.t.Errorf("after the Cease: %v", err)
	}
}

// Over TCP the speaker announces once ready, withdraws on a drain, and ends the session with a Cease.
func TestSpeakerOverTCP(t *testing.T) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	options := testOptions()
	options.PeerAddress = listener.Addr().String()
	speaker := New(options, clock.NewSystem(), metrics.New())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go speaker.Run(ctx)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	router := fakeRouter{t, conn}
	router.handshake()
	speaker.SetReady(true)
	router.expectUpdate(2, 0)
	speaker.SetReady(true) // changes nothing
	speaker.SetReady(false)
	router.expectUpdate(0, 2)
	cancel()
	router.expectCease()
	speaker.Wait()
}

// expectKeepalives answers KEEPALIVEs for far longer than the hold time, and checks the time between them.
func (r fakeRouter) expectKeepalives(c clock.Clock) {
	r.t.Helper()
	for range 100 {
		beforeMs := c.NowMs()
		r.read(bgp.BGP_MSG_KEEPALIVE)
		if elapsedMs := c.NowMs() - beforeMs; elapsedMs < 22_499 || elapsedMs > 30_001 {
			r.t.Fatalf("a KEEPALIVE after %v ms", elapsedMs)
		}
		r.send(bgp.NewBGPKeepAliveMessage())
	}
}

// expectHoldTimerExpired sends nothing until the speaker ends the session.
func (r fakeRouter) expectHoldTimerExpired(c clock.Clock) {
	r.t.Helper()
	silentSinceMs, keepalives := c.NowMs(), 0
	messageType, body, err := readMessage(r)
	for err == nil && messageType == bgp.BGP_MSG_KEEPALIVE {
		keepalives++
		messageType, body, err = readMessage(r)
	}
	if messageType != bgp.BGP_MSG_NOTIFICATION || body[0] != bgp.BGP_ERROR_HOLD_TIMER_EXPIRED || keepalives < 2 || keepalives > 4 {
		r.t.Fatalf("type %d: %x, %v, after %d KEEPALIVEs", messageType, body, err, keepalives)
	}
	if elapsedMs := c.NowMs() - silentSinceMs; elapsedMs < 89_999 || elapsedMs > 90_001 {
		r.t.Errorf("the hold timer expired after %v ms", elapsedMs)
	}
}

// Over hours of a simulated clock a session is kept alive, ended when the router sends nothing more, and established anew.
func TestSpeakerOverTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := testOptions()
		options.NextHop = netip.MustParseAddr("127.0.0.2")
		systemClock, registry := clock.NewSystem(), metrics.New()
		speaker := New(options, systemClock, registry)
		conns := make(chan net.Conn)
		var refuse atomic.Bool
		speaker.dial = func(context.Context) (net.Conn, error) {
			if refuse.Load() {
				return nil, errors.New("refused")
			}
			speakerEnd, routerEnd := net.Pipe()
			conns <- routerEnd
			return speakerEnd, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go speaker.Run(ctx)
		speaker.SetReady(true)
		router := fakeRouter{t, <-conns}
		router.handshake()
		router.expectUpdate(2, 0)
		router.expectKeepalives(systemClock)
		router.expectHoldTimerExpired(systemClock)
		refuse.Store(true)
		synctest.Wait()
		time.Sleep(10 * time.Minute) // of the bubble's clock
		refuse.Store(false)
		if ended := registry.Get("bgp_sessions_ended"); ended < 10 || ended > 25 {
			t.Errorf("%d ends in ten minutes: the delays should grow to a minute", ended)
		}
		router = fakeRouter{t, <-conns}
		router.handshake()
		router.expectUpdate(2, 0)
		cancel()
		router.expectCease()
		speaker.Wait()
	})
}
