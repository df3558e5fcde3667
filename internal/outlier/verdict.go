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
	kind    Kind
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

// Book is what one gateway knows of nodes.
type Book struct {
	set   Settings
	nodes map[uint64]*node
	order []uint64 // as listed
	alive int
	stamp uint64
	out   []Verdict
}

// New returns an empty book, or an error if the settings cannot be used.
func New(set Settings) (*Book, error) {
	if !(set.FadeMs > 0) || !(set.MostTries > set.LeastFailures) || !(set.LeastFailures >= 1) || !(set.LeastPart > well && set.LeastPart <= 1) || !(set.MostAgeMs > 0) ||
		!(set.TellMs > 0 && set.TellMs <= set.MostAgeMs/2) || set.Origins < 2 || !(set.OfAlive >= 0 && set.OfAlive <= 1) ||
		!(set.MostOut >= 0 && set.MostOut < 1) || set.MostNodes < 1 || set.MostPeers < 1 {
		return nil, fmt.Errorf("verdict: evidence of %v ms told every %v, of %d gateways, on %d nodes, or parts out of range",
			set.MostAgeMs, set.TellMs, set.Origins, set.MostNodes)
	}
	return &Book{set: set, nodes: map[uint64]*node{}, alive: 1}, nil
}

// List tells which nodes this gateway's own list has, none of them closed; all else about others is forgotten and not
// taken.
func (b *Book) List(nodes []uint64) {
	b.order = nil
	keep := map[uint64]*node{}
	for _, id := range nodes[:min(len(nodes), b.set.MostNodes)] {
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

// Alive tells how many gateways are alive, this one included.
func (b *Book) Alive(n int) { b.alive = n }

// Observe takes in the end of an attempt at a node.
func (b *Book) Observe(nowMs float64, id uint64, failed bool) {
	n := b.nodes[id]
	if n == nil {
		return
	}
	n.fade(nowMs, b.set.FadeMs)
	n.tries++
	if failed {
		n.bad++
	}
	if n.tries > b.set.MostTries {
		n.bad, n.tries = n.bad*b.set.MostTries/n.tries, b.set.MostTries
	}
}

// FindMs bounds how long a finding outlasts the failures: even with no attempt that goes well it fades by then.
func (set Settings) FindMs() float64 { return set.FadeMs * math.Log(set.MostTries/set.LeastFailures) }

// Close takes in that a node drains or is gone, by this gateway's own list.
func (b *Book) Close(id uint64) {
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
func (b *Book) finds(n *node, k Kind) uint8 {
	switch {
	case k == Closed && n.closed:
		return 100
	case k == Failing && n.bad >= b.set.LeastFailures && n.bad >= b.set.LeastPart*n.tries:
		return uint8(100 * n.bad / n.tries)
	}
	return 0
}

// serves tells whether this gateway is itself served well by a node.
func (b *Book) serves(n *node) bool { return n.tries >= b.set.LeastFailures && n.bad <= well*n.tries }

// Origins is how many gateways have to find the same now.
func (b *Book) Origins() int {
	return max(b.set.Origins, int(math.Ceil(b.set.OfAlive*float64(b.alive))))
}

// Step takes what others say and returns what to tell them, and which nodes are out now. Time must not run backwards.
func (b *Book) Step(nowMs float64, in []Evidence) (tell []Evidence, out []Verdict) {
	for _, e := range in {
		b.hear(nowMs, e)
	}
	var all []Verdict
	for _, id := range b.order {
		n := b.nodes[id]
		n.fade(nowMs, b.set.FadeMs)
		for _, k := range []Kind{Failing, Closed} {
			percent := b.finds(n, k)
			own := &n.told[k]
			if own.percent != percent && (percent == 0 || own.percent == 0 || diff(own.percent, percent) >= step) ||
				percent > 0 && nowMs-own.bornMs >= b.set.TellMs {
				if b.stamp == 0 { // an earlier life's were smaller, if the clock was not set back
					b.stamp = uint64(max(0, nowMs))
				}
				b.stamp++
				*own = word{kind: k, percent: percent, stamp: b.stamp, bornMs: nowMs}
				tell = append(tell, Evidence{Node: id, Kind: k, Percent: percent, Stamp: b.stamp})
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
func (b *Book) hear(nowMs float64, e Evidence) {
	n := b.nodes[e.Node]
	if n == nil || e.Kind != Failing && e.Kind != Closed || e.Percent > 100 || !(e.AgeMs >= 0 && e.AgeMs <= b.set.MostAgeMs) {
		return
	}
	w := word{e.Peer, e.Kind, e.Percent, e.Stamp, nowMs - e.AgeMs}
	i := slices.IndexFunc(n.words, func(o word) bool { return o.peer == e.Peer && o.kind == e.Kind })
	switch {
	case i < 0 && len(n.words) < 2*b.set.MostPeers:
		n.words = append(n.words, w)
	case i < 0:
		if j := slices.IndexFunc(n.words, func(o word) bool { return nowMs-o.bornMs > b.set.MostAgeMs }); j >= 0 {
			n.words[j] = w
		}
	case w.stamp > n.words[i].stamp:
		n.words[i] = w
	case w.stamp == n.words[i].stamp:
		n.words[i].bornMs = min(n.words[i].bornMs, w.bornMs)
	}
}

// judge tells whether enough gateways find the same of a node.
func (b *Book) judge(nowMs float64, n *node, k Kind, own uint8) (Verdict, bool) {
	if k == Failing && b.serves(n) {
		return Verdict{}, false
	}
	var born []float64
	sum := float64(own)
	if own > 0 {
		born = append(born, nowMs)
	}
	for _, w := range n.words {
		if w.kind == k && w.percent > 0 && nowMs-w.bornMs <= b.set.MostAgeMs {
			born, sum = append(born, w.bornMs), sum+float64(w.percent)
		}
	}
	need := b.Origins()
	if len(born) < need || sum < 100*b.set.LeastPart*float64(need) {
		return Verdict{}, false
	}
	slices.SortFunc(born, func(x, y float64) int { return cmp.Compare(y, x) })
	return Verdict{Node: n.id, Kind: k, AgeMs: nowMs - born[need-1], By: len(born)}, true
}

// most keeps as many as may be out at once: those that most find, and of them the first listed.
func (b *Book) most(all []Verdict) (out []Verdict) {
	slices.SortStableFunc(all, func(x, y Verdict) int { return cmp.Compare(y.By, x.By) })
	for _, v := range all {
		if len(out) >= int(b.set.MostOut*float64(len(b.order))) {
			break
		}
		if !slices.ContainsFunc(out, func(o Verdict) bool { return o.Node == v.Node }) {
			out = append(out, v)
		}
	}
	return out
}

// NextMs is when Step is to be called at the latest: findings are told again, and words grow old.
func (b *Book) NextMs(nowMs float64) float64 {
	next := math.Inf(1)
	for _, id := range b.order {
		for _, w := range b.nodes[id].told {
			if w.percent > 0 {
				next = min(next, w.bornMs+b.set.TellMs)
			}
		}
	}
	for _, v := range b.out {
		next = min(next, nowMs+max(1, b.set.MostAgeMs-v.AgeMs))
	}
	return next
}

// Out lists the nodes that are out by the latest step.
func (b *Book) Out() []Verdict { return b.out }
