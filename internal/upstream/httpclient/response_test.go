package httpclient

import "testing"

// A load report is ignored if a field is missing or is not a valid number. Read as 0, the field would report an idle server.
func TestParseLoadReport(t *testing.T) {
	c := newTestClient()
	for text, wantValid := range map[string]bool{`{"queue":7}`: true, `{"queue":0,"more":"x"}`: true, `{}`: false,
		`{"queue":"7"}`: false, `{"queue":null}`: false, `{"queue":-1}`: false, `{"queue":1e99}`: false, `[7]`: false, `x`: false} {
		if got := c.parseLoadReport(text); (got != nil) != wantValid {
			t.Errorf("load report %s: got %v, want numbers only for a valid report", text, got)
		}
	}
	if got := c.counters.Get(serverHeadersInvalid); got != 7 {
		t.Errorf("got %d invalid headers counted, want 7", got)
	}
}
