package exchange

import (
	"errors"
	"fmt"
)

// minBlockSize is the smallest block size of RFC 7959, in bytes.
const minBlockSize = 16

// ErrOutOfRange reports a setting outside its documented range.
var ErrOutOfRange = errors.New("out of range")

// Settings are the limits of a Store. All must be greater than zero.
type Settings struct {
	// MaxExchanges is the maximum number of exchanges in the store, uploads included.
	MaxExchanges int
	// MaxDevices is the maximum number of devices whose link estimates are stored.
	MaxDevices int
	// MaxActivePerDevice is the maximum number of exchanges of one device that are receiving an upload or being executed.
	MaxActivePerDevice int
	// MaxWaitingTransmissions is the maximum number of transmissions of one exchange that wait for its response.
	MaxWaitingTransmissions int
	// MaxStoredBytes limits the total size of stored bodies and responses. It must be at least twice MaxBodyBytes.
	MaxStoredBytes int
	// MaxBodyBytes limits the size of a single body or response.
	MaxBodyBytes int
	// MaxUploadBlocks is the maximum number of blocks of one upload.
	MaxUploadBlocks int
	// RetentionMs is how long a write is retained after its deadline and its deduplication window have both ended.
	RetentionMs float64
	// UploadIdleTimeoutMs is the time without a new block after which an upload is dropped.
	UploadIdleTimeoutMs float64
	// MinExecutionMs is the least remaining time with which a request is executed.
	MinExecutionMs float64
	// MaxRetryAfterMs is the longest delay before a retry that a rejected device is given. It must be at least 100.
	MaxRetryAfterMs float64
	// Link limits the values that are derived from the measurements of devices' links.
	Link LinkSettings
}

// LinkSettings limit the values that are derived from the measurements of a link.
type LinkSettings struct {
	// MinIdleTimeoutMs and MaxIdleTimeoutMs bound the time without received data after which a connection is considered dead.
	MinIdleTimeoutMs, MaxIdleTimeoutMs float64
	// MinBlockSize and MaxBlockSize bound the size of a block in bytes. MinBlockSize must be at least 16.
	MinBlockSize, MaxBlockSize int
	// MaxBlockTransferMs is the longest time that the transfer of one block should take.
	MaxBlockTransferMs float64
}

// validate returns an error that wraps ErrOutOfRange and names the first setting that is out of range, or nil.
func (s *Settings) validate() error {
	link := &s.Link
	for _, check := range []struct {
		name string
		ok   bool
	}{
		{"maximum number of exchanges", s.MaxExchanges > 0},
		{"maximum number of devices", s.MaxDevices > 0},
		{"maximum number of active exchanges per device", s.MaxActivePerDevice > 0},
		{"maximum number of waiting transmissions", s.MaxWaitingTransmissions > 0},
		{"maximum size of a body", s.MaxBodyBytes > 0},
		{"maximum of stored bytes (at least twice the maximum size of a body)", s.MaxStoredBytes >= 2*s.MaxBodyBytes},
		{"maximum number of blocks per upload", s.MaxUploadBlocks > 0},
		{"time that writes are kept", s.RetentionMs > 0},
		{"idle timeout of an upload", s.UploadIdleTimeoutMs > 0},
		{"minimum time of an execution", s.MinExecutionMs > 0},
		{"maximum retry delay (at least 100 ms)", s.MaxRetryAfterMs >= minRetryAfterMs},
		{"silence of a dead link", link.MinIdleTimeoutMs > 0 && link.MaxIdleTimeoutMs >= link.MinIdleTimeoutMs},
		{"size of a block", link.MinBlockSize >= minBlockSize && link.MaxBlockSize >= link.MinBlockSize},
		{"maximum transfer time of a block", link.MaxBlockTransferMs > 0},
	} {
		if !check.ok {
			return fmt.Errorf("exchange: %s: %w", check.name, ErrOutOfRange)
		}
	}
	return nil
}
