// Package latency decides what a gateway makes of the latencies of nodes that others have measured. A gateway that sees
// few answers of a node learns late that it has become slow, or well again; others have seen it.
//
// Each tells of its own answers only. What counts is the middle of what at least two others say, the lower one of two:
// one that lies, or whose way to a node is bad, moves it no further than to what another has measured. What is said
// grows old, so where all others fall silent a gateway goes by its own answers alone.
//
// The package is pure: no clock, no I/O, no goroutine, no order of maps. Times are milliseconds of the caller's clock.
package peerlatency

import (
	"fmt"
	"math"
	"slices"
)

// Settings are what a Book is made with.
type Settings struct {
	DecayMs             float64 // own answers so long ago weigh 1/e in what is told
	MaxAgeMs            float64 // what was said so long ago counts for nothing
	ReportIntervalMs    float64 // between two tellings
	MaxServersPerReport int     // nodes in one telling, those with the most answers since the last one
	MaxServers          int
	MaxPeers            int // whose word is kept on each node
}

// Report is what one gateway says of a node.
type Report struct {
	Peer      uint16 // who measured it
	Server    uint64
	LatencyMs float64
	AgeMs     float64
}

// Estimate is what others say of a node together, of so many of them.
type Estimate struct {
	Server    uint64
	LatencyMs float64
	PeerCount int
}

type word struct {
	peer   uint16
	ms     float64
	bornMs float64
}

type node struct {
	id          uint64
	sum, weight float64 // faded, of own answers
	atMs        float64
	since       int // answers since it was told
	words       []word
	heard       bool
}

// Aggregator is what one gateway knows of latencies. Its size is bounded by its settings.
type Aggregator struct {
	set    Settings
	nodes  map[uint64]*node
	order  []uint64
	toldMs float64
}

// New returns an empty book, or an error if the settings cannot be used.
func New(set Settings) (*Aggregator, error) {
	if !(set.DecayMs > 0) || !(set.MaxAgeMs > 0) || !(set.ReportIntervalMs > 0 && set.ReportIntervalMs < set.MaxAgeMs) || set.MaxServersPerReport < 1 || set.MaxServers < 1 ||
		set.MaxPeers < 2 {
		return nil, fmt.Errorf("latency: told every %v ms, counting for %v, of %d nodes by %d peers", set.ReportIntervalMs, set.MaxAgeMs, set.MaxServers, set.MaxPeers)
	}
	return &Aggregator{set: set, nodes: map[uint64]*node{}, toldMs: math.Inf(-1)}, nil
}

// SetServers tells which nodes this gateway's own list has; others are forgotten, and what is said of them is not taken.
func (b *Aggregator) SetServers(nodes []uint64) {
	keep := map[uint64]*node{}
	b.order = nil
	for _, id := range nodes[:min(len(nodes), b.set.MaxServers)] {
		if keep[id] != nil {
			continue
		}
		if keep[id] = b.nodes[id]; keep[id] == nil {
			keep[id] = &node{id: id}
		}
		b.order = append(b.order, id)
	}
	b.nodes = keep
}

// Observe takes in an answer's latency.
func (b *Aggregator) Observe(nowMs float64, id uint64, ms float64) {
	n := b.nodes[id]
	if n == nil || !(ms >= 0 && ms < 1e9) {
		return
	}
	f := math.Exp(-max(0, nowMs-n.atMs) / b.set.DecayMs)
	n.sum, n.weight, n.atMs = n.sum*f+ms, n.weight*f+1, nowMs
	n.since++
}

// Step takes what others say, and returns what to tell them and what of their words has changed. Time must not run
// backwards.
func (b *Aggregator) Step(nowMs float64, in []Report) (tell []Report, merged []Estimate) {
	for _, s := range in {
		b.hear(nowMs, s)
	}
	if len(in) > 0 {
		for _, id := range b.order {
			if n := b.nodes[id]; n.heard {
				n.heard = false
				if m, ok := b.merge(nowMs, n); ok {
					merged = append(merged, m)
				}
			}
		}
	}
	if nowMs < b.toldMs+b.set.ReportIntervalMs {
		return nil, merged
	}
	var some []*node
	for _, id := range b.order {
		if n := b.nodes[id]; n.since > 0 {
			some = append(some, n)
		}
	}
	slices.SortStableFunc(some, func(x, y *node) int { return y.since - x.since })
	for _, n := range some[:min(len(some), b.set.MaxServersPerReport)] {
		tell = append(tell, Report{Server: n.id, LatencyMs: n.sum / n.weight, AgeMs: nowMs - n.atMs})
		n.since = 0
		b.toldMs = nowMs
	}
	return tell, merged
}

// NextReportMs is when something is to be told.
func (b *Aggregator) NextReportMs(nowMs float64) float64 {
	for _, id := range b.order {
		if b.nodes[id].since > 0 {
			return max(nowMs, b.toldMs+b.set.ReportIntervalMs)
		}
	}
	return math.Inf(1)
}

// hear keeps of each peer the youngest word.
func (b *Aggregator) hear(nowMs float64, s Report) {
	n := b.nodes[s.Server]
	if n == nil || !(s.LatencyMs >= 0 && s.LatencyMs < 1e9) || !(s.AgeMs >= 0 && s.AgeMs <= b.set.MaxAgeMs) {
		return
	}
	w := word{s.Peer, s.LatencyMs, nowMs - s.AgeMs}
	n.words = slices.DeleteFunc(n.words, func(o word) bool { return nowMs-o.bornMs > b.set.MaxAgeMs })
	i := slices.IndexFunc(n.words, func(o word) bool { return o.peer == s.Peer })
	switch {
	case i < 0 && len(n.words) < b.set.MaxPeers:
		n.words = append(n.words, w)
	case i >= 0 && (w.bornMs > n.words[i].bornMs || w.bornMs == n.words[i].bornMs && w.ms < n.words[i].ms):
		n.words[i] = w
	default:
		return
	}
	n.heard = true
}

// merge is the lower middle of what is fresh, if at least two have said something.
func (b *Aggregator) merge(nowMs float64, n *node) (Estimate, bool) {
	var all []float64
	for _, w := range n.words {
		if nowMs-w.bornMs <= b.set.MaxAgeMs {
			all = append(all, w.ms)
		}
	}
	if len(all) < 2 {
		return Estimate{}, false
	}
	slices.Sort(all)
	return Estimate{Server: n.id, LatencyMs: all[(len(all)-1)/2], PeerCount: len(all)}, true
}
