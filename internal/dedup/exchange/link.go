package exchange

import (
	"math"

	"gaugerelay/internal/quantile"
)

// LinkSample is what a connection has measured since its previous sample. Zero fields mean no measurement.
type LinkSample struct {
	RoundTripMs float64
	Bytes       int     // bytes delivered in TransferMs
	TransferMs  float64 // duration of the delivery
	MaxGapMs    float64 // the longest time without a byte inside of a message
}

// LinkAdvice is how a connection should use its link.
type LinkAdvice struct {
	IdleTimeoutMs float64 // the silence after which the connection is dead
	BlockSize     int     // the size of a block to send, in bytes
}

const (
	// Gains of the smoothed round trip and its deviation, as in RFC 6298, and of the delivery rate.
	roundTripGain = 1.0 / 8
	deviationGain = 1.0 / 4
	rateGain      = 1.0 / 4

	// A link without measurements is taken for a poor one, but it takes no more than a part of the device's time.
	defaultRoundTripMs       = 600
	defaultRoundTripFraction = 1.0 / 4
	defaultBytesPerMs        = 16

	minSafetyMarginMs    = 25
	maxMeasurementMs     = 3600_000 // a longer time is not a measurement
	minRateSampleBytes   = 512      // the rate of less measures the round trip
	minGapSamples        = 8        // fewer may be a single disturbance
	medianGap            = 0.5      // the quantile of the gaps that a response is expected to wait for
	highGap              = 0.99     // the quantile of the gaps that the idle timeout is derived from
	idleTimeoutGaps      = 2        // the idle timeout is so many times the high quantile of the gaps
	deviations           = 4        // as in RFC 6298
	minDeviationFraction = 8        // the deviation of the idle timeout is at least this part of the round trip
)

// LinkEstimator estimates the round trip, delivery rate and gaps of one device's link from samples: three numbers and
// a sketch. The zero value knows nothing. It is not safe for concurrent use.
type LinkEstimator struct {
	roundTripMs float64 // smoothed; 0: unknown
	deviationMs float64 // smoothed deviation of the round trip
	bytesPerMs  float64 // smoothed; 0: unknown
	gaps        quantile.Sketch
}

// Observe adds a sample. Samples come from devices, so that values which cannot be measurements are ignored.
func (l *LinkEstimator) Observe(sample LinkSample) {
	if isPlausibleMs(sample.RoundTripMs) {
		l.observeRoundTrip(sample.RoundTripMs)
	}
	if sample.Bytes >= minRateSampleBytes && isPlausibleMs(sample.TransferMs) {
		l.observeRate(float64(sample.Bytes) / sample.TransferMs)
	}
	if isPlausibleMs(sample.MaxGapMs) {
		l.gaps.Add(sample.MaxGapMs)
	}
}

// isPlausibleMs reports whether a duration can be a measurement. NaN is not.
func isPlausibleMs(ms float64) bool { return ms > 0 && ms <= maxMeasurementMs }

// observeRoundTrip adds a round trip to the smoothed one and its deviation.
func (l *LinkEstimator) observeRoundTrip(ms float64) {
	if l.roundTripMs == 0 {
		l.roundTripMs, l.deviationMs = ms, ms/2
		return
	}
	l.deviationMs += deviationGain * (math.Abs(l.roundTripMs-ms) - l.deviationMs)
	l.roundTripMs += roundTripGain * (ms - l.roundTripMs)
}

// observeRate adds a delivery rate to the smoothed one.
func (l *LinkEstimator) observeRate(bytesPerMs float64) {
	if l.bytesPerMs == 0 {
		l.bytesPerMs = bytesPerMs
		return
	}
	l.bytesPerMs += rateGain * (bytesPerMs - l.bytesPerMs)
}

// expectedRoundTripMs returns the round trip to expect of a device that waits for remainingMs.
func (l *LinkEstimator) expectedRoundTripMs(remainingMs float64) float64 {
	if l.roundTripMs == 0 {
		return min(defaultRoundTripMs, defaultRoundTripFraction*max(0, remainingMs))
	}
	return l.roundTripMs
}

// expectedBytesPerMs returns the delivery rate to expect.
func (l *LinkEstimator) expectedBytesPerMs() float64 {
	if l.bytesPerMs == 0 {
		return defaultBytesPerMs
	}
	return l.bytesPerMs
}

// ExpectedOverheadMs returns how much of the time that a device waits its link takes: the way of the request's last
// bytes, since the device counts from its sending, and the way of a response of so many bytes.
func (l *LinkEstimator) ExpectedOverheadMs(responseBytes int, remainingMs float64) float64 {
	ms := l.expectedRoundTripMs(remainingMs) + l.safetyMarginMs() + float64(responseBytes)/l.expectedBytesPerMs()
	if l.gaps.Count() >= minGapSamples {
		ms += l.gaps.Quantile(medianGap) / 2 // half, because a gap may fall before, into or after the response
	}
	return ms
}

// safetyMarginMs returns what is reserved for the variation of the link, as in RFC 6298.
func (l *LinkEstimator) safetyMarginMs() float64 {
	return max(minSafetyMarginMs, deviations*l.deviationMs)
}

// remainingHereMs returns what is left on arrival of the time that was left when the device sent.
func (l *LinkEstimator) remainingHereMs(remainingMs float64) float64 {
	return max(0, remainingMs-l.expectedRoundTripMs(remainingMs)/2)
}

// Advise returns how a connection should use the link, within the settings. settings must not be nil.
func (l *LinkEstimator) Advise(settings *LinkSettings) LinkAdvice {
	return LinkAdvice{IdleTimeoutMs: l.idleTimeoutMs(settings), BlockSize: l.blockSize(settings)}
}

// idleTimeoutMs returns the silence after which a connection counts as dead, within the settings.
func (l *LinkEstimator) idleTimeoutMs(settings *LinkSettings) float64 {
	roundTripMs := l.expectedRoundTripMs(math.Inf(1))
	timeoutMs := roundTripMs + deviations*max(l.deviationMs, roundTripMs/minDeviationFraction)
	if l.gaps.Count() >= minGapSamples {
		timeoutMs = max(timeoutMs, idleTimeoutGaps*l.gaps.Quantile(highGap))
	} else {
		timeoutMs = settings.MaxIdleTimeoutMs
	}
	return min(max(timeoutMs, settings.MinIdleTimeoutMs), settings.MaxIdleTimeoutMs)
}

// blockSize returns the largest of the minimum size's doublings that the link transfers in the time allowed.
func (l *LinkEstimator) blockSize(settings *LinkSettings) int {
	size := settings.MinBlockSize
	for size*2 <= settings.MaxBlockSize && float64(size*2) <= l.expectedBytesPerMs()*settings.MaxBlockTransferMs {
		size *= 2
	}
	return size
}
