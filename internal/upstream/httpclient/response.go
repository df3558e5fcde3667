package httpclient

import (
	"net/http"
	"strconv"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

// Names of response headers.
const (
	unprocessedHeader  = "X-Unprocessed"
	volumeUsageHeader  = "X-Volume-Use"       // usage of the volume on all servers, in percent of its rate
	foreignUnitsHeader = "X-Served-Elsewhere" // units that the server served to the volume through other gateways
	loadReportHeader   = "X-Backend-Load"     // load of the server, as a JSON object
)

// maxReportedNumber bounds the numbers that servers may report.
const maxReportedNumber = 1e9

// readResult converts a response to the result of its attempt.
func (c *Client) readResult(response *http.Response, body []byte) lifecycle.AttemptResult {
	var result lifecycle.AttemptResult
	c.readHeaders(&result, response.Header)
	switch {
	case len(body) > httpmessage.MaxBodyBytes:
		c.metrics.Add(serverResponsesInvalid, 1)
		result.Status = scheduler.StatusError
	case response.StatusCode == http.StatusOK:
		result.Status, result.Body = scheduler.StatusOK, body
	case isUnprocessed(response):
		result.Status = scheduler.StatusOverloaded
	default:
		result.Status = scheduler.StatusError
	}
	return result
}

// isUnprocessed reports whether the server rejected the request without executing any of it.
func isUnprocessed(response *http.Response) bool {
	return (response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusGatewayTimeout) &&
		response.Header.Get(unprocessedHeader) == "1"
}

// readHeaders stores the values of the response's headers in result. Invalid headers are counted and ignored.
func (c *Client) readHeaders(result *lifecycle.AttemptResult, header http.Header) {
	if percent, ok := c.parseNumber(header.Get(volumeUsageHeader)); ok {
		result.VolumeUsage, result.HasVolumeUsage = percent/100, true
	}
	result.ForeignUnits, _ = c.parseNumber(header.Get(foreignUnitsHeader))
	if text := header.Get(loadReportHeader); text != "" {
		result.LoadReport = c.parseLoadReport(text)
	}
}

// parseNumber parses the number in a header. It returns false if the text is empty or invalid, and counts an invalid text.
func (c *Client) parseNumber(text string) (number float64, ok bool) {
	if text == "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !isReportable(number) {
		c.metrics.Add(serverHeadersInvalid, 1)
		return 0, false
	}
	return number, true
}

// parseLoadReport returns the numbers of a load report in the order of Options.LoadReportFields. If one of them is missing or
// invalid, it counts an invalid header and returns nil: a missing number that is read as 0 would report an idle server.
func (c *Client) parseLoadReport(text string) []float64 {
	object, err := fastjson.Parse(text)
	if err != nil || object.Type() != fastjson.TypeObject {
		c.metrics.Add(serverHeadersInvalid, 1)
		return nil
	}
	report := make([]float64, len(c.options.LoadReportFields))
	for i, name := range c.options.LoadReportFields {
		number, ok := numberField(object, name)
		if !ok {
			c.metrics.Add(serverHeadersInvalid, 1)
			return nil
		}
		report[i] = number
	}
	return report
}

// numberField returns the number in a field of a JSON object, or false if it is missing or invalid.
func numberField(object *fastjson.Value, name string) (number float64, ok bool) {
	value := object.Get(name)
	if value == nil {
		return 0, false
	}
	number, err := value.Float64()
	return number, err == nil && isReportable(number)
}

// isReportable reports whether a number is in the range that servers may report. It returns false for NaN.
func isReportable(number float64) bool { return number >= 0 && number < maxReportedNumber }
