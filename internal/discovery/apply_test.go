package discovery

import (
	"errors"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

// TestNoUpdateWhileSwitching checks that a message that was read from the old address has no effect once SwitchAddress has
// begun to end the watch.
func TestNoUpdateWhileSwitching(t *testing.T) {
	watcher := New(Options{
		Addr:            "127.0.0.1:1",
		CachedEndpoints: lifecycle.EndpointUpdate{Version: 41},
		Clock:           clock.NewManual(1e12),
		Metrics:         metrics.New(),
		Notify: func(update lifecycle.EndpointUpdate) {
			t.Errorf("notify function called with %+v, want no call", update)
		},
	})
	watcher.state = stateSwitching
	object := []byte(`{"version":43,"servers":[` + entry("Ready") + `]}`)
	if err := watcher.handleObject(&watchSession{}, object, 1e12); !errors.Is(err, errAddressChanged) {
		t.Errorf("handleObject returned error %v, want %v", err, errAddressChanged)
	}
	if watcher.version != 41 {
		t.Errorf("watcher has version %d, want 41", watcher.version)
	}
}
