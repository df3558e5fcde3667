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
	watcher := New("127.0.0.1:1", lifecycle.EndpointUpdate{Version: 41}, clock.NewManual(1e12), metrics.New(),
		func(update lifecycle.EndpointUpdate) { t.Errorf("notified of %+v", update) }, nil)
	watcher.state = stateSwitching
	object := []byte(`{"version":43,"servers":[` + entry("Ready") + `]}`)
	if err := watcher.handleObject(&watchSession{}, object, 1e12); !errors.Is(err, errAddressChanged) {
		t.Errorf("got %v, want %v", err, errAddressChanged)
	}
	if watcher.version != 41 {
		t.Errorf("version %d, want 41", watcher.version)
	}
}
