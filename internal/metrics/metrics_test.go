package metrics

import (
	"maps"
	"strings"
	"testing"
)

func TestCountersAreWrittenInOrderOfFirstUse(t *testing.T) {
	registry := New()
	registry.Add("requests", 2)
	registry.Counter("attempts").Add(3)
	registry.Add("requests", 1)
	if got := registry.Get("rejected"); got != 0 {
		t.Errorf("a new counter has the value %d, want 0", got)
	}
	registry.AddGauge("open_now", func() int64 { return 7 })
	var text strings.Builder
	registry.WriteText(&text)
	if want := "requests 3\nattempts 3\nrejected 0\nopen_now 7\n"; text.String() != want {
		t.Errorf("WriteText wrote %q, want %q", text.String(), want)
	}
	if want := map[string]int64{"requests": 3, "attempts": 3, "rejected": 0}; !maps.Equal(registry.Snapshot(), want) {
		t.Errorf("Snapshot returned %v, want %v", registry.Snapshot(), want)
	}
}
