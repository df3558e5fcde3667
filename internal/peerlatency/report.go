package peerlatency

// maxLatencyMs is the upper bound of valid latencies. Measurements and reports of this latency or more are rejected.
const maxLatencyMs = 1e9

// Report is the latency of a server as one gateway has measured it.
type Report struct {
	// Peer is the gateway that measured the latency. It is zero in reports that an Aggregator returns.
	Peer      uint16
	Server    uint64
	LatencyMs float64
	// AgeMs is the time since the latest response that LatencyMs includes.
	AgeMs float64
}

// validLatency reports whether a latency is in the accepted range. It returns false for NaN.
func validLatency(latencyMs float64) bool { return latencyMs >= 0 && latencyMs < maxLatencyMs }

// Estimate is the latency of a server as estimated from the reports of several peers.
type Estimate struct {
	Server    uint64
	LatencyMs float64
	// PeerCount is the number of peers whose reports are included.
	PeerCount int
}
