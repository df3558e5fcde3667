package discovery

import (
	"errors"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
)

// TestNoUpdateWhileSwitching checks that a message that was read before SwitchAddress ended the watch has no effect.
func TestNoUpdateWhileSwitching(t *testing.T) {
	watcher := New(Options{
		Addr:    "127.0.0.1:1",
		Known:   lifecycle.EndpointUpdate{Version: 41},
		Clock:   clock.NewManual(1e12),
		Metrics: metrics.New(),
		Notify:  func(update lifecycle.EndpointUpdate) { t.Errorf("notified of %+v", update) },
	})
	watcher.state = stateSwitching
	object := []byte(`{"version":43,"servers":[` + entry("Ready") + `]}`)
	if err := watcher.handleObject(&watchSession{}, object, 1e12); !errors.Is(err, errAddressChanged) {
		t.Errorf("got %v, want %v", err, errAddressChanged)
	}
	if watcher.version != 41 {
		t.Errorf("version %d, want 41", watcher.version)
	}
}
