package httpclient

import "testing"

// A load report that lacks a field, or has no number there, is ignored: read as 0 it would report an idle server.
func TestParseLoadReport(t *testing.T) {
	c := newTestClient()
	for text, valid := range map[string]bool{`{"queue":7}`: true, `{"queue":0,"more":"x"}`: true, `{}`: false,
		`{"queue":"7"}`: false, `{"queue":null}`: false, `{"queue":-1}`: false, `{"queue":1e99}`: false, `[7]`: false, `x`: false} {
		if got := c.parseLoadReport(text); (got != nil) != valid {
			t.Errorf("%s: %v", text, got)
		}
	}
	if got := c.counters.Get(serverHeadersInvalid); got != 7 {
		t.Errorf("%d counted", got)
	}
}
