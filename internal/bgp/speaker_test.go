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

// read returns the next message. It ends the test unless the message has the given type.
func (r fakeRouter) read(messageType uint8) *bgp.BGPMessage {
	r.t.Helper()
	got, body, err := readMessage(r)
	if err != nil || got != messageType {
		r.t.Fatalf("read a message of type %d, error %v; want type %d", got, err, messageType)
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

// handshake establishes a session: it answers the speaker's OPEN and KEEPALIVE.
func (r fakeRouter) handshake() {
	r.t.Helper()
	open := r.read(bgp.BGP_MSG_OPEN).Body.(*bgp.BGPOpen)
	if open.MyAS != 65001 || open.HoldTime != 90 || open.ID.String() != "127.0.0.2" {
		r.t.Errorf("received OPEN %+v, want AS 65001, a hold time of 90 s and the identifier 127.0.0.2", open)
	}
	r.send(newOpen(65000, 90, "127.0.0.3", bgp.NewCapFourOctetASNumber(65000)))
	r.read(bgp.BGP_MSG_KEEPALIVE)
	r.send(bgp.NewBGPKeepAliveMessage())
}

// expectUpdate reads an UPDATE and checks the numbers of announced and withdrawn routes in it.
func (r fakeRouter) expectUpdate(announced, withdrawn int) {
	r.t.Helper()
	update := r.read(bgp.BGP_MSG_UPDATE).Body.(*bgp.BGPUpdate)
	if len(update.NLRI) != announced || len(update.WithdrawnRoutes) != withdrawn {
		r.t.Errorf("the UPDATE announces %d and withdraws %d routes, want %d and %d",
			len(update.NLRI), len(update.WithdrawnRoutes), announced, withdrawn)
	}
}

// expectCease reads a Cease NOTIFICATION and the end of the connection.
func (r fakeRouter) expectCease() {
	r.t.Helper()
	notification := r.read(bgp.BGP_MSG_NOTIFICATION).Body.(*bgp.BGPNotification)
	if notification.ErrorCode != bgp.BGP_ERROR_CEASE {
		r.t.Errorf("received NOTIFICATION %d/%d, want a Cease", notification.ErrorCode, notification.ErrorSubcode)
	}
	if _, err := r.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		r.t.Errorf("reading after the Cease returned %v, want EOF", err)
	}
}

// Over TCP the speaker announces the prefixes when it becomes ready, withdraws them when it is no longer ready, and ends the
// session with a Cease.
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
	speaker.SetReady(true) // already announced, so no UPDATE is sent
	speaker.SetReady(false)
	router.expectUpdate(0, 2)
	cancel()
	router.expectCease()
	speaker.Wait()
}

// expectKeepalives answers KEEPALIVEs for much longer than the hold time, and checks their interval. It is a third of the hold time
// of 90 s, less up to a quarter for jitter.
func (r fakeRouter) expectKeepalives(c clock.Clock) {
	r.t.Helper()
	for range 100 {
		beforeMs := c.NowMs()
		r.read(bgp.BGP_MSG_KEEPALIVE)
		if elapsedMs := c.NowMs() - beforeMs; elapsedMs < 22_499 || elapsedMs > 30_001 {
			r.t.Fatalf("a KEEPALIVE arrived after %v ms, want 22.5 s to 30 s", elapsedMs)
		}
		r.send(bgp.NewBGPKeepAliveMessage())
	}
}

// expectHoldTimerExpired sends nothing until the speaker ends the session because its hold timer expires.
func (r fakeRouter) expectHoldTimerExpired(c clock.Clock) {
	r.t.Helper()
	silentSinceMs, keepalives := c.NowMs(), 0
	messageType, body, err := readMessage(r)
	for err == nil && messageType == bgp.BGP_MSG_KEEPALIVE {
		keepalives++
		messageType, body, err = readMessage(r)
	}
	if messageType != bgp.BGP_MSG_NOTIFICATION || body[0] != bgp.BGP_ERROR_HOLD_TIMER_EXPIRED || keepalives < 2 || keepalives > 4 {
		r.t.Fatalf("read a message of type %d, body %x, error %v, after %d KEEPALIVEs; want hold timer expired, after 2 to 4",
			messageType, body, err, keepalives)
	}
	if elapsedMs := c.NowMs() - silentSinceMs; elapsedMs < 89_999 || elapsedMs > 90_001 {
		r.t.Errorf("the hold timer expired after %v ms, want 90 s", elapsedMs)
	}
}

// With a simulated clock, KEEPALIVEs keep the session established. The session ends when the router becomes silent. A new session
// is established after a time in which the router refuses connections.
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
		time.Sleep(10 * time.Minute) // simulated time
		refuse.Store(false)
		if ended := registry.Get("bgp_sessions_ended"); ended < 10 || ended > 25 {
			t.Errorf("%d sessions or connection attempts ended within ten minutes, want 10 to 25: the retry delay grows to a minute", ended)
		}
		router = fakeRouter{t, <-conns}
		router.handshake()
		router.expectUpdate(2, 0)
		cancel()
		router.expectCease()
		speaker.Wait()
	})
}
