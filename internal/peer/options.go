package peer

import (
	"fmt"
	"net/netip"
	"slices"

	"gaugerelay/internal/membership"
	"gaugerelay/internal/outlier"
	"gaugerelay/internal/peerlatency"
	"gaugerelay/internal/quota"
)

// Options configure a Service.
type Options struct {
	// Self is the index of this gateway in Peers.
	Self uint16
	// Peers are the addresses of all gateways, including this one.
	Peers []netip.AddrPort
	// Key authenticates datagrams. Without a key, the gateway accepts datagrams from anyone who can reach its address.
	Key []byte
	// Incarnation distinguishes this process from other processes that run, or ran, with the same index.
	Incarnation uint32
	// Seed initializes the random number generator of the membership protocol.
	Seed uint64

	// ProbePeriodMs and ProbeTimeoutMs are the times of membership probes; see membership.Settings.
	ProbePeriodMs, ProbeTimeoutMs float64
	// LeaseMs is the duration of a quota lease.
	LeaseMs float64
	// ClockDrift is the largest fraction by which a gateway's clock is faster or slower than true time.
	ClockDrift float64
	// MaxGrantedFraction is the largest fraction of its own share of a quota that a gateway grants to others.
	MaxGrantedFraction float64
	// MaxVolumes bounds the volumes whose quota can be leased.
	MaxVolumes int
}

// Settings of the state machines. Operators cannot configure them.
const (
	// maxReportingPeers bounds the gateways whose state is kept for each server and volume.
	maxReportingPeers = 64
	// maxServers bounds the servers about which gateways report.
	maxServers = 4096

	// requestsPerLease is the number of rounds of quota messages that a gateway may initiate for a volume within the duration
	// of a lease.
	requestsPerLease = 10
	// quotaIdleTimeoutMs is the time after the last demand for a volume during which a gateway grants leases of the volume's
	// quota.
	quotaIdleTimeoutMs = 60_000

	// outlierReportAgeMs is the age beyond which an outlier report is ignored.
	outlierReportAgeMs = 3000
	// outlierReportIntervalMs is the interval at which an outlier report is repeated while its condition persists.
	outlierReportIntervalMs = 1000
	outlierDecayMs          = 2000
	// outlierQuorumFraction is the fraction of the alive gateways that must report a server to eject it.
	outlierQuorumFraction = 0.34
	// maxEjectedFraction is the largest fraction of the servers that may be ejected at the same time.
	maxEjectedFraction = 0.34

	// latencyReportAgeMs is the age beyond which a latency report is ignored.
	latencyReportAgeMs      = 1000
	latencyReportIntervalMs = 200
	latencyDecayMs          = 500
	// maxLatencyReports bounds the latency reports of one round, so that they fit into one datagram.
	maxLatencyReports = 14
)

func (o Options) membershipSettings() membership.Settings {
	settings := membership.DefaultSettings(o.Self, len(o.Peers), o.Incarnation, o.Seed)
	settings.ProbePeriodMs, settings.ProbeTimeoutMs = o.ProbePeriodMs, o.ProbeTimeoutMs
	return settings
}

func (o Options) quotaSettings() quota.Settings {
	return quota.Settings{
		Self:               o.Self,
		Incarnation:        o.Incarnation,
		LeaseMs:            o.LeaseMs,
		ClockDrift:         o.ClockDrift,
		MaxGrantedFraction: o.MaxGrantedFraction,
		RequestIntervalMs:  o.LeaseMs / requestsPerLease,
		IdleTimeoutMs:      quotaIdleTimeoutMs,
		MaxPools:           o.MaxVolumes,
		MaxPeers:           min(len(o.Peers), maxReportingPeers),
	}
}

func (o Options) outlierSettings() outlier.Settings {
	return outlier.Settings{
		DecayMs:            outlierDecayMs,
		MinFailures:        3,
		MinFailureRatio:    0.5,
		MaxAttemptWeight:   10,
		MaxReportAgeMs:     outlierReportAgeMs,
		ReportIntervalMs:   outlierReportIntervalMs,
		MinQuorum:          2,
		QuorumFraction:     outlierQuorumFraction,
		MaxEjectedFraction: maxEjectedFraction,
		MaxServers:         maxServers,
		MaxPeers:           min(len(o.Peers), maxReportingPeers),
	}
}

func (o Options) latencySettings() peerlatency.Settings {
	return peerlatency.Settings{
		DecayMs:             latencyDecayMs,
		MaxAgeMs:            latencyReportAgeMs,
		ReportIntervalMs:    latencyReportIntervalMs,
		MaxServersPerReport: maxLatencyReports,
		MaxServers:          maxServers,
		MaxPeers:            min(max(2, len(o.Peers)), maxReportingPeers),
	}
}

// Bounds are times in milliseconds that result from Options.
type Bounds struct {
	// FailureDetectionMs bounds the time until a gateway that died is declared dead.
	FailureDetectionMs float64
	// QuotaReturnMs bounds the time from the death of a gateway until the quota that it had borrowed has returned to its lenders.
	QuotaReturnMs float64
	// StartupHoldMs is the time after the start of a gateway during which it does not use the part of its share that an earlier
	// process may have granted.
	StartupHoldMs float64
	// ReportAgeMs is the age beyond which an outlier report is ignored.
	ReportAgeMs float64
	// EjectionMs bounds the time from the last failure of a server until it is no longer ejected. The gateways retract their
	// reports when the failures have decayed. If a datagram with a retraction is lost, the report has to expire, and the bound
	// is ReportAgeMs longer.
	EjectionMs float64
}

// Bounds returns the bounds that result from these options.
func (o Options) Bounds() Bounds {
	return Bounds{
		FailureDetectionMs: o.membershipSettings().DetectionBoundMs(),
		QuotaReturnMs:      o.quotaSettings().GrantHoldMs(),
		StartupHoldMs:      o.quotaSettings().GrantHoldMs(),
		ReportAgeMs:        outlierReportAgeMs,
		EjectionMs:         o.outlierSettings().FailureDecayBoundMs() + ejectedRequestIntervalMs,
	}
}

// ParseAddrs parses the addresses of gateways, each an IP address and a port, and rejects duplicates.
func ParseAddrs(texts []string) ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	for _, text := range texts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peer %q is not an IP address with a port", text)
		}
		if slices.Contains(addrs, addr) {
			return nil, fmt.Errorf("peer %q is listed more than once", text)
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}
