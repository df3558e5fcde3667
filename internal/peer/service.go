package peer

import (
	"log/slog"
	"math"
	"net"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/membership"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peer/datagram"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
	"gaugerelay/internal/scheduler"
)

// EventLoop is the part of the event loop that a Service uses. Its methods may be called from any goroutine.
type EventLoop interface {
	// Post calls f on the goroutine of the loop.
	Post(f func(nowMs float64))
	// AfterFunc calls f on the goroutine of the loop after ms milliseconds, unless stop is called first.
	AfterFunc(ms float64, f func(nowMs float64)) (stop func())
}

// Service exchanges state with the other gateways. Its methods must be called on the goroutine of the event loop, with these
// exceptions: Start and Close may be called on another goroutine, and InitialQuotaShare on any goroutine at any time.
type Service struct {
	options Options
	metrics *metrics.Registry
	log     *slog.Logger
	loop    EventLoop // nil before Start

	codec           *datagram.Codec
	socket          *datagram.Socket        // nil before Start
	replayWindows   []datagram.ReplayWindow // replay windows of the senders, indexed by gateway
	lastDatagramSeq uint64                  // sequence number of the last datagram that was sent

	members   *membership.Memberlist
	quotas    *quota.Allocator
	outliers  *outlier.Detector
	latencies *peerlatency.Aggregator
	servers   serverTable

	// The following fields hold input for the next step.

	inbox   messages
	demands []quota.Demand

	nextRecipient   int     // index of the next recipient of reports among the alive gateways, modulo their number
	nextEjectionsMs float64 // time from which ejections may be passed to the scheduler again
	nextStepMs      float64 // time from which BeginStep performs the next step
	stopTimer       func()  // cancels the timer for nextStepMs
}

var _ lifecycle.Peers = (*Service)(nil)

// New returns the Service of a gateway that has just started, or an error if the options are out of range.
func New(options Options, counters *metrics.Registry, log *slog.Logger) (*Service, error) {
	s := &Service{
		options:       options,
		metrics:       counters,
		log:           log,
		codec:         datagram.NewCodec(options.Key),
		replayWindows: make([]datagram.ReplayWindow, len(options.Peers)),
		servers:       newServerTable(),
		stopTimer:     func() {},
	}
	var err error
	if s.members, err = membership.New(options.membershipSettings()); err != nil {
		return nil, err
	}
	if s.quotas, err = quota.New(options.quotaSettings()); err != nil {
		return nil, err
	}
	if s.outliers, err = outlier.New(options.outlierSettings()); err != nil {
		return nil, err
	}
	if s.latencies, err = peerlatency.New(options.latencySettings()); err != nil {
		return nil, err
	}
	s.quotas.SetPeers(s.members.AliveMembers())
	s.outliers.SetAliveGateways(len(options.Peers))
	return s, nil
}

// InitialQuotaShare returns the fraction of its own share of a volume's quota that the gateway may use before the first
// QuotaShare event for the volume. An earlier process may have granted the rest to other gateways.
func (s *Service) InitialQuotaShare() float64 { return 1 - s.options.MaxGrantedFraction }

// Start starts to exchange datagrams over a connection, which the service owns from then on. It must be called once, before
// the event loop calls other methods of the service.
func (s *Service) Start(conn net.PacketConn, loop EventLoop) {
	s.loop = loop
	s.socket = datagram.Open(conn, s.metrics, s.receive)
	loop.Post(func(nowMs float64) { s.nextStepMs = nowMs })
}

// Close closes the connection and waits for the goroutines of the service. It has no effect before Start.
func (s *Service) Close() {
	if s.socket != nil {
		s.socket.Close()
	}
}

// Leave makes the service announce in the next step, which is due immediately, that this gateway shuts down.
func (s *Service) Leave(float64) {
	s.members.Leave()
	s.nextStepMs = 0
}

// ReportDemand implements lifecycle.Peers. It drops the demand if maxPending demands wait for the next step.
func (s *Service) ReportDemand(nowMs float64, demand scheduler.QuotaDemand) {
	if len(s.demands) < maxPending {
		s.demands = append(s.demands, quota.Demand{
			Pool:     uint64(demand.Volume),
			Gateways: demand.Gateways,
			Fraction: demand.Share,
			Resync:   demand.First,
		})
	}
	s.stepBy(nowMs, nowMs+batchDelayMs)
}

// QuotaExpiresMs implements lifecycle.Peers.
func (s *Service) QuotaExpiresMs(volume scheduler.VolumeID) float64 {
	return s.quotas.FirstLeaseExpiryMs(uint64(volume))
}

// stepBy schedules the next step for atMs unless it is already scheduled for an earlier time.
func (s *Service) stepBy(nowMs, atMs float64) { s.scheduleStep(nowMs, min(s.nextStepMs, atMs)) }

// scheduleStep schedules the next step for atMs unless it is already scheduled for a time between nowMs and atMs. If atMs is
// +Inf, no step is scheduled.
func (s *Service) scheduleStep(nowMs, atMs float64) {
	if atMs >= s.nextStepMs && s.nextStepMs > nowMs {
		return
	}
	s.stopTimer()
	s.nextStepMs = atMs
	if s.loop != nil && !math.IsInf(atMs, 1) {
		// The event loop calls BeginStep after each function that it runs, so the function of the timer does nothing.
		s.stopTimer = s.loop.AfterFunc(max(minTimerMs, atMs-nowMs), func(float64) {})
	}
}
