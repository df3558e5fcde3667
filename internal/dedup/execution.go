package dedup

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"gaugerelay/internal/dedup/exchange"
	"gaugerelay/internal/lifecycle"
)

// sizedResult is implemented by results that are not byte slices. Size returns the size in bytes.
type sizedResult interface{ Size() int }

// startExecution submits the request of an exchange to the request life cycle, with an id that identifies the execution.
func (c *Coordinator) startExecution(nowMs float64, action exchange.StartExecution) {
	received := c.transmissions[action.Transmission]
	body := received.Device.Body
	if received.Device.Block != nil {
		body = c.contents[action.ID].body
	}
	executionID := fmt.Sprintf("%s-%x-%x", c.options.ExecutionIDPrefix, uint64(action.ID), action.ExecutionNumber)
	c.options.Submit(nowMs, &lifecycle.Request{
		ClientID:       executionID,
		Class:          received.Class,
		Plan:           received.Plan,
		Volume:         received.Volume,
		Key:            received.Key,
		RemainingMs:    action.RemainingMs,
		ClientDelayMs:  action.ClientDelayMs,
		Units:          received.Units,
		Shard:          action.Shard,
		Gateways:       received.Gateways,
		IsRetry:        received.IsRetry || action.ExecutionNumber > 1,
		IsFirstAttempt: true,
		Upstream:       received.Upstream,
		Payload:        received.Device.BuildPayload(executionID, body),
		Respond:        func(response lifecycle.Response) { c.onExecutionResponse(action, response) },
	})
}

// onExecutionResponse handles the final response to an execution. It is the Respond function of the submitted request.
func (c *Coordinator) onExecutionResponse(execution exchange.StartExecution, response lifecycle.Response) {
	ended := exchange.ExecutionEnded{
		ID:              execution.ID,
		ExecutionNumber: execution.ExecutionNumber,
		Result:          executionResult(response.Kind),
		RetryAfterMs:    response.RetryAfterMs,
		MayHaveExecuted: response.MayHaveExecuted,
		FirstAttemptMs:  response.FirstAttemptMs,
		Shard:           response.Shard,
	}
	if response.Kind == lifecycle.Served {
		served := c.findOrAddContent(execution.ID)
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

// executionResult returns the result of an execution that got a response of the given kind.
func executionResult(kind lifecycle.ResponseKind) exchange.ExecutionResult {
	switch kind {
	case lifecycle.Served:
		return exchange.ExecutionServed
	case lifecycle.Rejected:
		return exchange.ExecutionRejected
	default:
		return exchange.ExecutionFailed
	}
}
