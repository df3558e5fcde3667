package eventloop

import (
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// Submit submits a request. It returns false, without effect, if the inbox has no room for requests or the loop has ended.
func (l *Loop) Submit(request *lifecycle.Request) bool {
	if len(l.inbox) > requestInboxLimit {
		return false
	}
	return l.post(func(nowMs float64) { l.manager.Submit(nowMs, request) })
}

// SubmitOnLoop submits a request directly instead of through the inbox. It must be called on the loop's goroutine, where the
// Deduplicator runs.
func (l *Loop) SubmitOnLoop(nowMs float64, request *lifecycle.Request) {
	l.manager.Submit(nowMs, request)
}

// Cancel ends a request whose client no longer waits for the response. The request gets no response. Request.Canceled returns
// true as soon as Cancel has returned.
func (l *Loop) Cancel(request *lifecycle.Request) {
	request.Cancel()
	l.post(func(nowMs float64) { l.manager.Cancel(nowMs, request) })
}

// Complete records how an attempt ended. Further calls for the same attempt are ignored.
func (l *Loop) Complete(attempt lifecycle.Attempt, result lifecycle.AttemptResult) {
	l.post(func(nowMs float64) { l.manager.Complete(nowMs, attempt.Request, attempt.Number, result) })
}

// ProbeEnded records the result of a probe.
func (l *Loop) ProbeEnded(server *lifecycle.Server, latencyMs float64, status scheduler.Status, loadReport []float64) {
	l.post(func(float64) { l.manager.ProbeEnded(server, latencyMs, status, loadReport) })
}

// UpdateEndpoints applies an update of the endpoint list.
func (l *Loop) UpdateEndpoints(update lifecycle.EndpointUpdate) {
	l.post(func(float64) { l.manager.UpdateEndpoints(update) })
}

// BeginShutdown reports that the gateway is shutting down and must respond to every open request by deadlineMs.
func (l *Loop) BeginShutdown(deadlineMs float64) {
	l.post(func(float64) { l.manager.BeginShutdown(deadlineMs) })
}

// ResponseWritten records that the complete response to a device request was written to its connection. Options.Deduplicator must
// be set.
func (l *Loop) ResponseWritten(request *lifecycle.Request, link lifecycle.LinkSample) {
	l.post(func(nowMs float64) { l.options.Deduplicator.ResponseWritten(nowMs, request, link) })
}

// LinkMeasured records a measurement of a device's link. Options.Deduplicator must be set.
func (l *Loop) LinkMeasured(device string, link lifecycle.LinkSample) {
	l.post(func(nowMs float64) { l.options.Deduplicator.LinkMeasured(nowMs, device, link) })
}

// DrainDeduplicator stops the admission of new device exchanges. It has no effect if Options.Deduplicator is nil.
func (l *Loop) DrainDeduplicator() {
	l.post(func(nowMs float64) {
		if l.options.Deduplicator != nil {
			l.options.Deduplicator.Drain(nowMs)
		}
	})
}
