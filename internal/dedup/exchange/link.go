package exchange

import (
	"math"

	"gaugerelay/internal/quantile"
)

// LinkSettings are an operator's bounds of what a link's history may decide.
type LinkSettings struct {
	MinIdleTimeoutMs, MaxIdleTimeoutMs float64 // a link counts as dead after a silence within these
	MinBlockSize, MaxBlockSize         int     // size of a block
	MaxBlockTransferMs                 float64 // a block should not take longer than this
}

// LinkSample is what a connection has measured since it last told. Zero fields tell nothing.
type LinkSample struct {
	RoundTripMs float64
	Bytes       int     // delivered over BytesMs
	TransferMs  float64 //
	MaxGapMs    float64 // the longest time without a byte in the middle of something
}

// LinkAdvice is what a link's history says of how to use it.
type LinkAdvice struct {
	IdleTimeoutMs float64 // after a silence of this the connection is dead
	BlockSize     int     // size of a block to send
}

const (
	rttGain, devGain = 1.0 / 8, 1.0 / 4 // as in RFC 6298
	rateGain         = 1.0 / 4
	firstRoundTripMs = 600     // of a link that nothing is known of: a poor one, but not beyond
	firstPart        = 1.0 / 4 // this part of a device's time
	firstRate        = 16      // bytes a ms, of such a link: a slow cell
	leastMargin      = 25
	mostMs           = 3600_000 // what is told beyond is no measurement
	smallestSample   = 512      // bytes, below which a rate is a round trip's
	usualGap         = 0.5      // quantile of gaps that an answer is expected to meet
)

// LinkEstimator is what is known of one device's link: 32 bytes and a sketch.
type LinkEstimator struct {
	rtt, dev, rate float64
	gaps           quantile.Sketch
}

// Observe takes a sample in. What cannot be a measurement is left out: it comes from devices.
func (l *LinkEstimator) Observe(s LinkSample) {
	sane := func(ms float64) bool { return ms > 0 && ms <= mostMs }
	if sane(s.RoundTripMs) {
		if l.rtt == 0 {
			l.rtt, l.dev = s.RoundTripMs, s.RoundTripMs/2
		} else {
			l.dev += devGain * (math.Abs(l.rtt-s.RoundTripMs) - l.dev)
			l.rtt += rttGain * (s.RoundTripMs - l.rtt)
		}
	}
	if s.Bytes >= smallestSample && sane(s.TransferMs) {
		rate := float64(s.Bytes) / s.TransferMs
		if l.rate == 0 {
			l.rate = rate
		} else {
			l.rate += rateGain * (rate - l.rate)
		}
	}
	if sane(s.MaxGapMs) {
		l.gaps.Add(s.MaxGapMs)
	}
}

// roundTrip is what goes to the link of a device's time.
func (l *LinkEstimator) roundTrip(ofMs float64) float64 {
	if l.rtt == 0 {
		return min(firstRoundTripMs, firstPart*max(0, ofMs))
	}
	return l.rtt
}

// bytesPerMs is the smoothed rate.
func (l *LinkEstimator) bytesPerMs() float64 {
	if l.rate == 0 {
		return firstRate
	}
	return l.rate
}

// ExpectedOverheadMs is how much of a device's time goes to its link, as a rule: the way of the last bytes here, since its time
// counts from its sending, and the way back of an answer of so many bytes.
func (l *LinkEstimator) ExpectedOverheadMs(bytes int, ofMs float64) float64 {
	ms := l.roundTrip(ofMs) + l.margin() + float64(bytes)/l.bytesPerMs()
	if l.gaps.Count() >= 8 { // fewer may be one bad moment
		ms += l.gaps.Quantile(usualGap) / 2 // it may fall before, into or behind the answer
	}
	return ms
}

// margin is kept back besides, as RFC 6298 does: an answer at the last moment is late as often as not.
func (l *LinkEstimator) margin() float64 { return max(leastMargin, 4*l.dev) }

// left is what is left here of a time that was left at the device when it sent.
func (l *LinkEstimator) left(ms float64) float64 { return max(0, ms-l.roundTrip(ms)/2) }

// Advise tells how to use the link.
func (l *LinkEstimator) Advise(set *LinkSettings) LinkAdvice {
	rtt := l.roundTrip(math.Inf(1))
	dead := rtt + 4*max(l.dev, rtt/8)
	if l.gaps.Count() >= 8 {
		dead = max(dead, 2*l.gaps.Quantile(0.99))
	} else {
		dead = set.MaxIdleTimeoutMs // one that nothing is known of gets the benefit
	}
	block := set.MinBlockSize
	for block*2 <= set.MaxBlockSize && float64(block*2) <= l.bytesPerMs()*set.MaxBlockTransferMs {
		block *= 2
	}
	return LinkAdvice{IdleTimeoutMs: min(max(dead, set.MinIdleTimeoutMs), set.MaxIdleTimeoutMs), BlockSize: block}
}
