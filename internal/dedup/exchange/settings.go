package exchange

import (
	"errors"
	"fmt"
)

// minBlockSize is the smallest block that RFC 7959 knows.
const minBlockSize = 16

// ErrOutOfRange reports a setting outside of the range that its documentation gives.
var ErrOutOfRange = errors.New("out of range")

// Settings bound a Store. All must be above zero.
type Settings struct {
	// MaxExchanges is the number of exchanges that are remembered at once, uploads included.
	MaxExchanges int
	// MaxDevices is the number of devices whose links are remembered.
	MaxDevices int
	// MaxActivePerDevice is the number of exchanges of one device that are receiving an upload or running.
	MaxActivePerDevice int
	// MaxWaitingCopies is the number of copies of one exchange that wait for its response.
	MaxWaitingCopies int
	// MaxStoredBytes bounds the bodies and responses that are stored. It must be at least twice MaxBodyBytes.
	MaxStoredBytes int
	// MaxBodyBytes bounds a single body or response.
	MaxBodyBytes int
	// MaxUploadBlocks is the number of blocks of one upload.
	MaxUploadBlocks int
	// RetentionMs is for how long a write is remembered after its deadline and its deduplication window.
	RetentionMs float64
	// UploadIdleTimeoutMs is after how long without a new block an upload is dropped.
	UploadIdleTimeoutMs float64
	// MinRunMs is the least remaining time with which a request is run.
	MinRunMs float64
	// MaxRetryAfterMs is the longest time after which a rejected device is asked to retry. It must be at least 100.
	MaxRetryAfterMs float64
	// Link bounds what is derived from measurements of devices' links.
	Link LinkSettings
}

// LinkSettings bound what is derived from the measurements of a link.
type LinkSettings struct {
	// MinIdleTimeoutMs and MaxIdleTimeoutMs bound the silence after which a connection counts as dead.
	MinIdleTimeoutMs, MaxIdleTimeoutMs float64
	// MinBlockSize and MaxBlockSize bound the size of a block in bytes. MinBlockSize must be at least 16.
	MinBlockSize, MaxBlockSize int
	// MaxBlockTransferMs is how long the transfer of a block should take at most.
	MaxBlockTransferMs float64
}

// validate returns an error that wraps ErrOutOfRange and names the first setting that is out of range, or nil.
func (s *Settings) validate() error {
	link := &s.Link
	for _, check := range []struct {
		name string
		ok   bool
	}{
		{"number of exchanges", s.MaxExchanges > 0},
		{"number of devices", s.MaxDevices > 0},
		{"exchanges of one device", s.MaxActivePerDevice > 0},
		{"waiting copies", s.MaxWaitingCopies > 0},
		{"bytes of a body", s.MaxBodyBytes > 0},
		{"bytes held: less than two bodies", s.MaxStoredBytes >= 2*s.MaxBodyBytes},
		{"blocks of an upload", s.MaxUploadBlocks > 0},
		{"time that writes are kept", s.RetentionMs > 0},
		{"idle time of an upload", s.UploadIdleTimeoutMs > 0},
		{"least time of a run", s.MinRunMs > 0},
		{"longest time to come back", s.MaxRetryAfterMs >= minRetryAfterMs},
		{"silence of a dead link", link.MinIdleTimeoutMs > 0 && link.MaxIdleTimeoutMs >= link.MinIdleTimeoutMs},
		{"size of a block", link.MinBlockSize >= minBlockSize && link.MaxBlockSize >= link.MinBlockSize},
		{"time of a block", link.MaxBlockTransferMs > 0},
	} {
		if !check.ok {
			return fmt.Errorf("exchange: %s: %w", check.name, ErrOutOfRange)
		}
	}
	return nil
}
