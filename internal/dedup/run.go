package dedup

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/lifecycle"
)

// sizedResult is a result that is not a byte slice and knows its size in bytes.
type sizedResult interface{ Size() int }

// startRun submits an exchange's request to the request life cycle, under an id of its own.
func (c *Coordinator) startRun(nowMs float64, action exchange.StartRun) {
	received := c.copies[action.Copy]
	body := received.Device.Body
	if received.Device.Block != nil {
		body = c.contents[action.ID].body
	}
	runID := fmt.Sprintf("%s-%x-%x", c.options.RunIDPrefix, uint64(action.ID), action.Run)
	c.options.Submit(nowMs, &lifecycle.Request{
		ClientID:       runID,
		Class:          received.Class,
		Plan:           received.Plan,
		Volume:         received.Volume,
		Key:            received.Key,
		RemainingMs:    action.RemainingMs,
		ClientDelayMs:  action.ClientDelayMs,
		Units:          received.Units,
		Shard:          action.Shard,
		Gateways:       received.Gateways,
		IsRetry:        received.IsRetry || action.Run > 1,
		IsFirstAttempt: true,
		Upstream:       received.Upstream,
		Payload:        received.Device.BuildPayload(runID, body),
		Respond:        func(response lifecycle.Response) { c.onRunResponse(action, response) },
	})
}

// onRunResponse handles the final response to a run. The request life cycle calls it within a step of its own.
func (c *Coordinator) onRunResponse(run exchange.StartRun, response lifecycle.Response) {
	ended := exchange.RunEnded{
		ID:              run.ID,
		Run:             run.Run,
		Result:          runResult(response.Kind),
		RetryAfterMs:    response.RetryAfterMs,
		MayHaveExecuted: response.MayHaveExecuted,
		FirstAttemptMs:  response.FirstAttemptMs,
		Shard:           response.Shard,
	}
	if response.Kind == lifecycle.Served {
		served := c.contentOf(run.ID)
		served.response = response.Body
		switch result := response.Body.(type) {
		case []byte:
			ended.ResponseBytes, served.etag = len(result), xxhash.Sum64(result)
		case sizedResult:
			ended.ResponseBytes = result.Size()
		}
	}
	c.step(c.options.NowMs(), ended)
}

// runResult returns the result of a run that got a response of this kind.
func runResult(kind lifecycle.ResponseKind) exchange.RunResult {
	switch kind {
	case lifecycle.Served:
		return exchange.RunServed
	case lifecycle.Rejected:
		return exchange.RunRejected
	default:
		return exchange.RunFailed
	}
}
