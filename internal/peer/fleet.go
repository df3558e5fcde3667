// Package fleet is one gateway's side of what a fleet of gateways has agreed: it brings what others say to the pure
// modules that decide, and sends what those have to say. All of it but the socket runs on the loop's goroutine.
package peer

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/membership"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peer/datagram"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
)

// Options set up a fleet.
type Options struct {
	Self        uint16
	Peers       []netip.AddrPort // of all gateways, this one included, in the order of their numbers
	Key         []byte
	Incarnation uint32 // of this process
	Seed        uint64

	ProbePeriodMs, ProbeTimeoutMs float64 // of probes
	LeaseMs                       float64
	ClockDrift                    float64
	MaxGrantedFraction            float64
	MaxVolumes                    int
}

// askEvery is how many asks for parts fit in a lease.
const askEvery = 10

// idleMs is how long a gateway lends of a volume's limit after the volume's last request here.
const idleMs = 60_000

// mostInbox bounds the messages of one step; what is beyond is lost, as datagrams may be.
const mostInbox = 1024

func (o Options) share() quota.Settings {
	return quota.Settings{Self: o.Self, Incarnation: o.Incarnation, LeaseMs: o.LeaseMs, ClockDrift: o.ClockDrift, MaxGrantedFraction: o.MaxGrantedFraction, RequestIntervalMs: o.LeaseMs / askEvery,
		IdleTimeoutMs: idleMs, MaxPools: o.MaxVolumes, MaxPeers: min(len(o.Peers), 64)}
}

func (o Options) members() membership.Settings {
	s := membership.DefaultSettings(o.Self, len(o.Peers), o.Incarnation, o.Seed)
	s.ProbePeriodMs, s.ProbeTimeoutMs = o.ProbePeriodMs, o.ProbeTimeoutMs
	return s
}

// What is found of nodes counts for so long, and is told again so often. A node that several find failing gets one request
// in restMs from each gateway; what a gone one leaves is told for goneMs, which is longer than lists take.
const (
	wordAgeMs  = 3000
	wordTellMs = 1000
	restMs     = 400
	goneMs     = 10_000
	shunMs     = 100 // between two tellings of the same to the module
	mostTold   = 16  // gateways that hear a finding at once
)

func (o Options) verdict() outlier.Settings {
	return outlier.Settings{DecayMs: 2000, MinFailures: 3, MinFailureRatio: 0.5, MaxAttemptWeight: 10, MaxReportAgeMs: wordAgeMs, ReportIntervalMs: wordTellMs, MinQuorum: 2, QuorumFraction: 0.34,
		MaxEjectedFraction: 0.34, MaxServers: 4096, MaxPeers: min(len(o.Peers), 64)}
}

// Latencies that others have measured count for so long, as an answer each time that one more is heard of.
const (
	seenAgeMs  = 1000
	seenTellMs = 200
)

func (o Options) latency() peerlatency.Settings {
	return peerlatency.Settings{DecayMs: 500, MaxAgeMs: seenAgeMs, ReportIntervalMs: seenTellMs, MaxServersPerReport: 14, MaxServers: 4096, MaxPeers: min(max(2, len(o.Peers)), 64)}
}

// Bounds are the times that the settings lead to.
type Bounds struct {
	FailureDetectionMs float64 // until a gateway that died is held for dead
	QuotaReturnMs      float64 // until what it had borrowed is back
	StartupHoldMs      float64 // until a gateway that starts has all of its own part
	ReportAgeMs        float64 // the age beyond which what another has found decides nothing
	EjectionMs         float64 // from the last failure until a verdict for it is over, if no datagram is lost; WordMs more if one is
}

// Bounds are what holds for these options.
func (o Options) Bounds() Bounds {
	return Bounds{FailureDetectionMs: o.members().DetectionBoundMs(), QuotaReturnMs: o.share().GrantHoldMs(), StartupHoldMs: o.share().GrantHoldMs(), ReportAgeMs: wordAgeMs,
		EjectionMs: o.verdict().FailureDecayBoundMs() + restMs}
}

// EventLoop is what the fleet asks of the loop.
type EventLoop interface {
	Post(f func(nowMs float64))
	AfterFunc(ms float64, f func(nowMs float64)) (stop func())
}

// Service is one gateway's side. Its methods but Start and End are called on the loop's goroutine.
type Service struct {
	opt     Options
	codec   *datagram.Codec
	metrics *metrics.Registry
	log     *slog.Logger
	loop    EventLoop
	socket  *datagram.Socket

	members *membership.Memberlist
	share   *quota.Allocator
	verdict *outlier.Detector
	latency *peerlatency.Aggregator
	nodes   map[uint64]*lifecycle.Server // as listed, by what all gateways call them
	gone    map[uint64]float64           // when
	seen    []datagram.ReplayWindow
	count   uint64
	asked   []quota.Demand
	toM     []membership.Message
	toS     []quota.Message
	toV     []outlier.Report
	toL     []peerlatency.Report
	turn    int // of those who hear findings
	shunAt  float64
	nextMs  float64
	stop    func()
}

// New returns the side of a gateway that has just started, or an error if the options cannot be used.
func New(o Options, m *metrics.Registry, log *slog.Logger) (*Service, error) {
	f := &Service{opt: o, codec: datagram.NewCodec(o.Key), metrics: m, log: log, seen: make([]datagram.ReplayWindow, len(o.Peers)), stop: func() {},
		nodes: map[uint64]*lifecycle.Server{}, gone: map[uint64]float64{}}
	var err error
	if f.members, err = membership.New(o.members()); err != nil {
		return nil, err
	}
	if f.share, err = quota.New(o.share()); err != nil {
		return nil, err
	}
	if f.verdict, err = outlier.New(o.verdict()); err != nil {
		return nil, err
	}
	if f.latency, err = peerlatency.New(o.latency()); err != nil {
		return nil, err
	}
	f.share.SetPeers(f.members.AliveMembers())
	f.verdict.SetAliveGateways(len(o.Peers))
	return f, nil
}

// InitialQuotaShare is what a volume has of its even part until the fleet knows more.
func (f *Service) InitialQuotaShare() float64 { return 1 - f.opt.MaxGrantedFraction }

// Start begins to speak with the others.
func (f *Service) Start(conn net.PacketConn, loop EventLoop) {
	f.loop = loop
	f.socket = datagram.Open(conn, f.metrics, func(b []byte) {
		p, err := f.codec.Decode(b)
		if err == nil && (int(p.From) >= len(f.seen) || p.From == f.opt.Self) {
			err = datagram.ErrItem
		}
		if err != nil {
			f.metrics.Add("fleet_datagrams_bad", 1)
			return
		}
		loop.Post(func(float64) { f.take(p) })
	})
	loop.Post(func(nowMs float64) { f.nextMs = nowMs })
}

// Close stops speaking.
func (f *Service) Close() {
	if f.socket != nil {
		f.socket.Close()
	}
}

// Leave tells the others that this gateway goes.
func (f *Service) Leave(float64) {
	f.members.Leave()
	f.nextMs = 0
}

func (f *Service) take(p datagram.Packet) {
	if f.seen[p.From].Replayed(p.Incarnation, p.Number) {
		f.metrics.Add("fleet_datagrams_again", 1)
		return
	}
	if len(f.toM)+len(f.toS)+len(f.toV)+len(f.toL) > mostInbox {
		f.metrics.Add("fleet_datagrams_unread", 1)
		return
	}
	f.metrics.Add("fleet_datagrams_taken", 1)
	f.toM, f.toS, f.toV = append(f.toM, p.Membership...), append(f.toS, p.Quota...), append(f.toV, p.OutlierReports...)
	f.toL = append(f.toL, p.LatencyReports...)
	f.nextMs = 0
}

// ReportDemand implements core.Fleet. What is asked for travels with the next messages, at the latest a little later.
func (f *Service) ReportDemand(nowMs float64, d scheduler.QuotaDemand) {
	if len(f.asked) < mostInbox {
		f.asked = append(f.asked, quota.Demand{Pool: uint64(d.Volume), Gateways: d.Gateways, Fraction: d.Share, Resync: d.First})
	}
	f.wake(nowMs, min(f.nextMs, nowMs+5))
}

// ServerKey is what all gateways call one life of a node.
func ServerKey(id string, startedMs float64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %.0f", id, startedMs))
}

func name(n *lifecycle.Server) uint64 { return ServerKey(n.Name, n.StartedMs) }

// EndpointsChanged implements core.Fleet.
func (f *Service) EndpointsChanged(nowMs float64, nodes, gone []*lifecycle.Server) {
	for _, n := range gone {
		f.gone[name(n)] = nowMs
	}
	clear(f.nodes)
	var ids, closed []uint64
	for _, n := range nodes {
		id := name(n)
		f.nodes[id] = n
		ids = append(ids, id)
		if n.State != scheduler.Ready {
			closed = append(closed, id)
		}
	}
	for id, at := range f.gone {
		if nowMs-at > goneMs {
			delete(f.gone, id)
		} else if f.nodes[id] == nil {
			closed = append(closed, id)
		}
	}
	slices.Sort(closed)
	f.latency.SetServers(ids)
	f.verdict.SetServers(append(ids, closed...))
	for _, id := range closed {
		f.verdict.MarkWithdrawn(id)
	}
	f.wake(nowMs, min(f.nextMs, nowMs+5))
}

// AttemptEnded implements core.Fleet.
func (f *Service) AttemptEnded(nowMs float64, n *lifecycle.Server, s scheduler.Status, latencyMs float64) {
	id := name(n)
	switch s {
	case scheduler.StatusOK:
		f.verdict.RecordAttempt(nowMs, id, false)
		f.latency.Observe(nowMs, id, latencyMs)
		f.wake(nowMs, min(f.nextMs, max(nowMs+5, f.latency.NextReportMs(nowMs))))
	case scheduler.StatusError, scheduler.StatusTimedOut, scheduler.StatusConnectFailed, scheduler.StatusConnectionReset:
		f.verdict.RecordAttempt(nowMs, id, true)
		f.wake(nowMs, min(f.nextMs, nowMs+20))
	}
}

// judge lets findings be told and heard, and tells the module which nodes to leave nearly alone.
func (f *Service) judge(nowMs float64, in []outlier.Report) (tell []outlier.Report, events []scheduler.Event) {
	tell, out := f.verdict.Step(nowMs, in)
	f.metrics.Add("fleet_findings_told", int64(len(tell)))
	if len(out) == 0 || nowMs < f.shunAt {
		return tell, nil
	}
	f.shunAt = nowMs + shunMs
	for _, v := range out {
		if n := f.nodes[v.Server]; n != nil {
			events = append(events, scheduler.EjectServer{Server: n.ID(), MinInterval: clock.Duration(restMs)})
			f.metrics.Add("fleet_nodes_shunned", 1)
		}
	}
	return tell, events
}

// hearers are the gateways that hear a finding: all, or so many in turn.
func (f *Service) hearers() []uint16 {
	alive := f.members.AliveMembers()
	if len(alive) <= mostTold {
		return alive
	}
	var some []uint16
	for range mostTold {
		some = append(some, alive[f.turn%len(alive)])
		f.turn++
	}
	return some
}

// QuotaExpiresMs implements core.Fleet.
func (f *Service) QuotaExpiresMs(v scheduler.VolumeID) float64 {
	return f.share.FirstLeaseExpiryMs(uint64(v))
}

// BeginStep implements core.Fleet.
func (f *Service) BeginStep(nowMs float64) []scheduler.Event {
	if nowMs < f.nextMs {
		return nil
	}
	toM, toS, toV, toL, asked := f.toM, f.toS, f.toV, f.toL, f.asked
	f.toM, f.toS, f.toV, f.toL, f.asked = nil, nil, nil, nil, nil
	mOut, changes := f.members.Step(nowMs, toM)
	for _, c := range changes {
		f.metrics.Add("fleet_changes", 1)
		if c.IdentityConflict {
			f.log.Warn("fleet: another process has this gateway's number, or an earlier one had", "member", c.Member, "life", c.ProcessIncarnation)
			continue
		}
		f.log.Info("fleet: member", "member", c.Member, "state", stateNames[c.State], "life", c.ProcessIncarnation)
	}
	if len(changes) > 0 {
		alive := f.members.AliveMembers()
		f.share.SetPeers(alive)
		f.verdict.SetAliveGateways(1 + len(alive))
	}
	tell, events := f.judge(nowMs, toV)
	samples, merged := f.latency.Step(nowMs, toL)
	for _, m := range merged {
		if n := f.nodes[m.Server]; n != nil {
			events = append(events, scheduler.PeerLatency{Server: n.ID(), Latency: clock.Duration(m.LatencyMs)})
		}
	}
	sOut, parts := f.share.Step(nowMs, asked, toS)
	for _, p := range parts {
		events = append(events, scheduler.QuotaShare{Volume: scheduler.VolumeID(p.Pool), Share: p.Fraction})
		f.metrics.Add("fleet_parts_changed", 1)
	}
	f.send(mOut, sOut, tell, samples)
	f.nextMs = math.Inf(1)
	next := min(f.members.NextStepMs(), f.share.NextStepMs(nowMs), f.verdict.NextStepMs(nowMs), f.latency.NextReportMs(nowMs))
	if len(f.verdict.Ejections()) > 0 {
		next = min(next, nowMs+shunMs)
	}
	f.wake(nowMs, next)
	return events
}

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// wake makes the loop step by the time that something is due.
func (f *Service) wake(nowMs, atMs float64) {
	if atMs >= f.nextMs && f.nextMs > nowMs {
		return
	}
	f.stop()
	f.nextMs = atMs
	if f.loop != nil && !math.IsInf(atMs, 1) {
		f.stop = f.loop.AfterFunc(max(1, atMs-nowMs), func(float64) {}) // the step that follows calls Before
	}
}

// send makes datagrams of what goes to each member.
func (f *Service) send(mOut []membership.Message, sOut []quota.Message, tell []outlier.Report, samples []peerlatency.Report) {
	if f.socket == nil {
		return
	}
	var to []uint16
	packets := map[uint16]*datagram.Packet{}
	packet := func(peer uint16) *datagram.Packet {
		if packets[peer] == nil {
			packets[peer] = &datagram.Packet{From: f.opt.Self, Incarnation: f.opt.Incarnation}
			to = append(to, peer)
		}
		return packets[peer]
	}
	for _, m := range mOut {
		p := packet(m.Peer)
		p.Membership = append(p.Membership, m)
	}
	for _, m := range sOut {
		p := packet(m.Peer)
		p.Quota = append(p.Quota, m)
	}
	if len(tell) > 0 {
		for _, peer := range f.hearers() {
			packet(peer).OutlierReports = tell
		}
	}
	if len(samples) > 0 {
		for _, peer := range f.hearers() {
			packet(peer).LatencyReports = samples
		}
	}
	for _, peer := range to {
		if int(peer) >= len(f.opt.Peers) {
			continue
		}
		for _, b := range f.codec.Encode(*packets[peer], &f.count) {
			f.socket.Send(f.opt.Peers[peer], b)
		}
	}
}

// WriteStatus writes what this gateway knows, for operators.
func (f *Service) WriteStatus(w io.Writer, nowMs float64) {
	bounds := f.opt.Bounds()
	fmt.Fprintf(w, "self %d life %08x\nbound detect_ms %.0f\nbound part_back_ms %.0f\nbound start_hold_ms %.0f\nbound word_age_ms %.0f\nbound shun_ms %.0f\n",
		f.opt.Self, f.opt.Incarnation, bounds.FailureDetectionMs, bounds.QuotaReturnMs, bounds.StartupHoldMs, bounds.ReportAgeMs, bounds.EjectionMs)
	for i := range f.opt.Peers {
		fmt.Fprintf(w, "member %d %s %s\n", i, f.opt.Peers[i], stateNames[f.members.State(uint16(i))])
	}
	for _, v := range f.verdict.Ejections() {
		if n := f.nodes[v.Server]; n != nil {
			fmt.Fprintf(w, "verdict %s %s by %d age_ms %.0f\n", n.Name, [...]string{"", "failing", "closed"}[v.Condition], v.Reporters, v.AgeMs)
		}
	}
	for _, pot := range f.share.Pools() {
		lent, borrowed := f.share.LentAndBorrowed(pot)
		fmt.Fprintf(w, "volume %016x held %.4f lent %.4f borrowed %.4f\n", pot, f.share.AvailableFraction(nowMs, pot), lent, borrowed)
	}
}

// ParseAddrs reads the addresses of gateways.
func ParseAddrs(addrs []string) (out []netip.AddrPort, err error) {
	for _, a := range addrs {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, fmt.Errorf("peer %q is not an address and a port", a)
		}
		if slices.Contains(out, at) {
			return nil, fmt.Errorf("peer %q is there twice", a)
		}
		out = append(out, at)
	}
	return out, nil
}
