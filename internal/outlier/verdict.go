package outlier

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// well is the part of failures up to which a node serves well.
const well = 0.1

// step is by how many percent a finding has to change to be told at once.
const step = 20

type word struct {
	peer    uint16
	kind    Condition
	percent uint8
	stamp   uint64
	bornMs  float64
}

type node struct {
	id         uint64
	tries, bad float64 // faded
	atMs       float64
	told       [3]word // own words by kind
	words      []word  // of others, one a peer and kind
	closed     bool
}

// Detector is what one gateway knows of nodes.
type Detector struct {
	set   Settings
	nodes map[uint64]*node
	order []uint64 // as listed
	alive int
	stamp uint64
	out   []Ejection
}

// New returns an empty book, or an error if the settings cannot be used.
func New(set Settings) (*Detector, error) {
	if !(set.DecayMs > 0) || !(set.MaxAttemptWeight > set.MinFailures) || !(set.MinFailures >= 1) || !(set.MinFailureRatio > well && set.MinFailureRatio <= 1) || !(set.MaxReportAgeMs > 0) ||
		!(set.ReportIntervalMs > 0 && set.ReportIntervalMs <= set.MaxReportAgeMs/2) || set.MinQuorum < 2 || !(set.QuorumFraction >= 0 && set.QuorumFraction <= 1) ||
		!(set.MaxEjectedFraction >= 0 && set.MaxEjectedFraction < 1) || set.MaxServers < 1 || set.MaxPeers < 1 {
		return nil, fmt.Errorf("verdict: evidence of %v ms told every %v, of %d gateways, on %d nodes, or parts out of range",
			set.MaxReportAgeMs, set.ReportIntervalMs, set.MinQuorum, set.MaxServers)
	}
	return &Detector{set: set, nodes: map[uint64]*node{}, alive: 1}, nil
}

// SetServers tells which nodes this gateway's own list has, none of them closed; all else about others is forgotten and not
// taken.
func (b *Detector) SetServers(nodes []uint64) {
	b.order = nil
	keep := map[uint64]*node{}
	for _, id := range nodes[:min(len(nodes), b.set.MaxServers)] {
		n := b.nodes[id]
		if n == nil {
			n = &node{id: id}
		}
		n.closed = false
		if keep[id] == nil {
			keep[id], b.order = n, append(b.order, id)
		}
	}
	b.nodes = keep
}

// SetAliveGateways tells how many gateways are alive, this one included.
func (b *Detector) SetAliveGateways(n int) { b.alive = n }

// RecordAttempt takes in the end of an attempt at a node.
func (b *Detector) RecordAttempt(nowMs float64, id uint64, failed bool) {
	n := b.nodes[id]
	if n == nil {
		return
	}
	n.fade(nowMs, b.set.DecayMs)
	n.tries++
	if failed {
		n.bad++
	}
	if n.tries > b.set.MaxAttemptWeight {
		n.bad, n.tries = n.bad*b.set.MaxAttemptWeight/n.tries, b.set.MaxAttemptWeight
	}
}

// FailureDecayBoundMs bounds how long a finding outlasts the failures: even with no attempt that goes well it fades by then.
func (set Settings) FailureDecayBoundMs() float64 {
	return set.DecayMs * math.Log(set.MaxAttemptWeight/set.MinFailures)
}

// MarkWithdrawn takes in that a node drains or is gone, by this gateway's own list.
func (b *Detector) MarkWithdrawn(id uint64) {
	if n := b.nodes[id]; n != nil {
		n.closed = true
	}
}

func (n *node) fade(nowMs, fadeMs float64) {
	if past := nowMs - n.atMs; past > 0 {
		f := math.Exp(-past / fadeMs)
		n.tries, n.bad, n.atMs = n.tries*f, n.bad*f, nowMs
	}
}

// finds is what this gateway finds of a node, in percent.
func (b *Detector) finds(n *node, k Condition) uint8 {
	switch {
	case k == Withdrawn && n.closed:
		return 100
	case k == Failing && n.bad >= b.set.MinFailures && n.bad >= b.set.MinFailureRatio*n.tries:
		return uint8(100 * n.bad / n.tries)
	}
	return 0
}

// serves tells whether this gateway is itself served well by a node.
func (b *Detector) serves(n *node) bool { return n.tries >= b.set.MinFailures && n.bad <= well*n.tries }

// Quorum is how many gateways have to find the same now.
func (b *Detector) Quorum() int {
	return max(b.set.MinQuorum, int(math.Ceil(b.set.QuorumFraction*float64(b.alive))))
}

// Step takes what others say and returns what to tell them, and which nodes are out now. Time must not run backwards.
func (b *Detector) Step(nowMs float64, in []Report) (tell []Report, out []Ejection) {
	for _, e := range in {
		b.hear(nowMs, e)
	}
	var all []Ejection
	for _, id := range b.order {
		n := b.nodes[id]
		n.fade(nowMs, b.set.DecayMs)
		for _, k := range []Condition{Failing, Withdrawn} {
			percent := b.finds(n, k)
			own := &n.told[k]
			if own.percent != percent && (percent == 0 || own.percent == 0 || diff(own.percent, percent) >= step) ||
				percent > 0 && nowMs-own.bornMs >= b.set.ReportIntervalMs {
				if b.stamp == 0 { // an earlier life's were smaller, if the clock was not set back
					b.stamp = uint64(max(0, nowMs))
				}
				b.stamp++
				*own = word{kind: k, percent: percent, stamp: b.stamp, bornMs: nowMs}
				tell = append(tell, Report{Server: id, Condition: k, Percent: percent, Version: b.stamp})
			}
			if v, ok := b.judge(nowMs, n, k, percent); ok {
				all = append(all, v)
			}
		}
	}
	b.out = b.most(all)
	return tell, b.out
}

func diff(a, b uint8) uint8 { return max(a, b) - min(a, b) }

// hear takes in another's word: its latest one counts, and of one that came by two ways the older age. Words are kept
// when they are too old to count: what is said later may come sooner, and the earlier one is then not taken for news.
func (b *Detector) hear(nowMs float64, e Report) {
	n := b.nodes[e.Server]
	if n == nil || e.Condition != Failing && e.Condition != Withdrawn || e.Percent > 100 || !(e.AgeMs >= 0 && e.AgeMs <= b.set.MaxReportAgeMs) {
		return
	}
	w := word{e.Peer, e.Condition, e.Percent, e.Version, nowMs - e.AgeMs}
	i := slices.IndexFunc(n.words, func(o word) bool { return o.peer == e.Peer && o.kind == e.Condition })
	switch {
	case i < 0 && len(n.words) < 2*b.set.MaxPeers:
		n.words = append(n.words, w)
	case i < 0:
		if j := slices.IndexFunc(n.words, func(o word) bool { return nowMs-o.bornMs > b.set.MaxReportAgeMs }); j >= 0 {
			n.words[j] = w
		}
	case w.stamp > n.words[i].stamp:
		n.words[i] = w
	case w.stamp == n.words[i].stamp:
		n.words[i].bornMs = min(n.words[i].bornMs, w.bornMs)
	}
}

// judge tells whether enough gateways find the same of a node.
func (b *Detector) judge(nowMs float64, n *node, k Condition, own uint8) (Ejection, bool) {
	if k == Failing && b.serves(n) {
		return Ejection{}, false
	}
	var born []float64
	sum := float64(own)
	if own > 0 {
		born = append(born, nowMs)
	}
	for _, w := range n.words {
		if w.kind == k && w.percent > 0 && nowMs-w.bornMs <= b.set.MaxReportAgeMs {
			born, sum = append(born, w.bornMs), sum+float64(w.percent)
		}
	}
	need := b.Quorum()
	if len(born) < need || sum < 100*b.set.MinFailureRatio*float64(need) {
		return Ejection{}, false
	}
	slices.SortFunc(born, func(x, y float64) int { return cmp.Compare(y, x) })
	return Ejection{Server: n.id, Condition: k, AgeMs: nowMs - born[need-1], Reporters: len(born)}, true
}

// most keeps as many as may be out at once: those that most find, and of them the first listed.
func (b *Detector) most(all []Ejection) (out []Ejection) {
	slices.SortStableFunc(all, func(x, y Ejection) int { return cmp.Compare(y.Reporters, x.Reporters) })
	for _, v := range all {
		if len(out) >= int(b.set.MaxEjectedFraction*float64(len(b.order))) {
			break
		}
		if !slices.ContainsFunc(out, func(o Ejection) bool { return o.Server == v.Server }) {
			out = append(out, v)
		}
	}
	return out
}

// NextStepMs is when Step is to be called at the latest: findings are told again, and words grow old.
func (b *Detector) NextStepMs(nowMs float64) float64 {
	next := math.Inf(1)
	for _, id := range b.order {
		for _, w := range b.nodes[id].told {
			if w.percent > 0 {
				next = min(next, w.bornMs+b.set.ReportIntervalMs)
			}
		}
	}
	for _, v := range b.out {
		next = min(next, nowMs+max(1, b.set.MaxReportAgeMs-v.AgeMs))
	}
	return next
}

// Ejections lists the nodes that are out by the latest step.
func (b *Detector) Ejections() []Ejection { return b.out }
