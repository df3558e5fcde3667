package exchange

import (
	"math"

	"gaugerelay/internal/quantile"
)

// LinkSample contains the measurements of a connection since its previous sample. A zero field means no measurement.
type LinkSample struct {
	RoundTripMs float64
	Bytes       int     // bytes delivered in TransferMs
	TransferMs  float64 // duration of the delivery
	MaxGapMs    float64 // longest time without a received byte within a message
}

// LinkAdvice tells a connection how to use its link.
type LinkAdvice struct {
	IdleTimeoutMs float64 // time without received data after which the connection is considered dead
	BlockSize     int     // size of the blocks to send
}

const (
	// Gains of the moving averages of the round trip and its deviation, which are those of RFC 6298, and of the delivery rate.
	roundTripGain = 1.0 / 8
	deviationGain = 1.0 / 4
	rateGain      = 1.0 / 4

	// A link without measurements is assumed to be poor. Its assumed round trip is limited to a fraction of the device's
	// remaining time.
	defaultRoundTripMs       = 600
	defaultRoundTripFraction = 1.0 / 4
	defaultBytesPerMs        = 16

	minSafetyMarginMs      = 25
	maxMeasurementMs       = 3600_000 // longer durations are ignored as implausible
	minRateSampleBytes     = 512      // smaller samples are ignored: their transfer time depends on the round trip, not on the rate
	minGapSamples          = 8        // minimum number of gaps whose quantiles are used; fewer may come from a single disturbance
	medianGapQuantile      = 0.5      // quantile of the gaps from which the delay of a response is estimated
	highGapQuantile        = 0.99     // quantile of the gaps from which the idle timeout is derived
	idleTimeoutGapMultiple = 2        // ratio of the idle timeout to the high quantile of the gaps
	deviationMultiple      = 4        // number of deviations in margins and timeouts, as in RFC 6298
	minDeviationDivisor    = 8        // the idle timeout uses a deviation of at least the round trip divided by this
)

// LinkEstimator estimates the round trip, delivery rate and gaps of one device's link from samples. It stores three numbers
// and a quantile sketch. The zero value has no measurements. It is not safe for concurrent use.
type LinkEstimator struct {
	roundTripMs float64 // moving average of the round trip; 0: unknown
	deviationMs float64 // moving average of the deviation of the round trip
	bytesPerMs  float64 // moving average of the delivery rate; 0: unknown
	gaps        quantile.Sketch
}

// Observe adds a sample. Samples come from devices, so implausible values are ignored.
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

// isPlausibleMs reports whether a duration can be a measurement. NaN is not plausible.
func isPlausibleMs(ms float64) bool { return ms > 0 && ms <= maxMeasurementMs }

// observeRoundTrip adds a round trip to the moving averages of the round trip and its deviation.
func (l *LinkEstimator) observeRoundTrip(ms float64) {
	if l.roundTripMs == 0 {
		l.roundTripMs, l.deviationMs = ms, ms/2
		return
	}
	l.deviationMs += deviationGain * (math.Abs(l.roundTripMs-ms) - l.deviationMs)
	l.roundTripMs += roundTripGain * (ms - l.roundTripMs)
}

// observeRate adds a delivery rate to the moving average.
func (l *LinkEstimator) observeRate(bytesPerMs float64) {
	if l.bytesPerMs == 0 {
		l.bytesPerMs = bytesPerMs
		return
	}
	l.bytesPerMs += rateGain * (bytesPerMs - l.bytesPerMs)
}

// expectedRoundTripMs returns the expected round trip to a device that still waits for remainingMs.
func (l *LinkEstimator) expectedRoundTripMs(remainingMs float64) float64 {
	if l.roundTripMs == 0 {
		return min(defaultRoundTripMs, defaultRoundTripFraction*max(0, remainingMs))
	}
	return l.roundTripMs
}

// expectedBytesPerMs returns the expected delivery rate.
func (l *LinkEstimator) expectedBytesPerMs() float64 {
	if l.bytesPerMs == 0 {
		return defaultBytesPerMs
	}
	return l.bytesPerMs
}

// ExpectedOverheadMs returns the part of the device's remaining time that the link is expected to take: the delay of the
// request, because the remaining time counts from when the device sent the request, and the transfer of a response of
// responseBytes.
func (l *LinkEstimator) ExpectedOverheadMs(responseBytes int, remainingMs float64) float64 {
	ms := l.expectedRoundTripMs(remainingMs) + l.safetyMarginMs() + float64(responseBytes)/l.expectedBytesPerMs()
	if l.gaps.Count() >= minGapSamples {
		ms += l.gaps.Quantile(medianGapQuantile) / 2 // half, because a gap may occur before, during or after the response
	}
	return ms
}

// safetyMarginMs returns the time that is reserved for variation of the round trip, as in RFC 6298.
func (l *LinkEstimator) safetyMarginMs() float64 {
	return max(minSafetyMarginMs, deviationMultiple*l.deviationMs)
}

// remainingOnArrivalMs returns the remaining time at the arrival of a request whose remaining time was remainingMs when
// the device sent it.
func (l *LinkEstimator) remainingOnArrivalMs(remainingMs float64) float64 {
	return max(0, remainingMs-l.expectedRoundTripMs(remainingMs)/2)
}

// Advise returns the advice for a connection over the link, within the limits of settings, which must not be nil.
func (l *LinkEstimator) Advise(settings *LinkSettings) LinkAdvice {
	return LinkAdvice{IdleTimeoutMs: l.idleTimeoutMs(settings), BlockSize: l.blockSize(settings)}
}

// idleTimeoutMs returns the time without received data after which a connection is considered dead, within the limits of
// settings. With fewer than minGapSamples measured gaps it is the maximum.
func (l *LinkEstimator) idleTimeoutMs(settings *LinkSettings) float64 {
	roundTripMs := l.expectedRoundTripMs(math.Inf(1))
	timeoutMs := roundTripMs + deviationMultiple*max(l.deviationMs, roundTripMs/minDeviationDivisor)
	if l.gaps.Count() >= minGapSamples {
		timeoutMs = max(timeoutMs, idleTimeoutGapMultiple*l.gaps.Quantile(highGapQuantile))
	} else {
		timeoutMs = settings.MaxIdleTimeoutMs
	}
	return min(max(timeoutMs, settings.MinIdleTimeoutMs), settings.MaxIdleTimeoutMs)
}

// blockSize returns the block size: the minimum size, doubled as often as the link transfers the block within
// MaxBlockTransferMs and the maximum size allows.
func (l *LinkEstimator) blockSize(settings *LinkSettings) int {
	size := settings.MinBlockSize
	for size*2 <= settings.MaxBlockSize && float64(size*2) <= l.expectedBytesPerMs()*settings.MaxBlockTransferMs {
		size *= 2
	}
	return size
}
