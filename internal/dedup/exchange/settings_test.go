package exchange

import (
	"errors"
	"math"
	"testing"
)

func TestSettingsOutOfRange(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"exchanges":    func(s *Settings) { s.MaxExchanges = 0 },
		"stored bytes": func(s *Settings) { s.MaxStoredBytes = s.MaxBodyBytes },
		"retention":    func(s *Settings) { s.RetentionMs = math.NaN() },
		"idle timeout": func(s *Settings) { s.Link.MaxIdleTimeoutMs = 1 },
		"block size":   func(s *Settings) { s.Link.MinBlockSize = 8 },
		"retry after":  func(s *Settings) { s.MaxRetryAfterMs = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			change(&settings)
			if _, err := New(settings); !errors.Is(err, ErrOutOfRange) {
				t.Errorf("New returned error %v, want %v", err, ErrOutOfRange)
			}
		})
	}
}
