package linkshaper

import "time"

// Profile describes the quality of a link. The zero value of a field disables the limit or fault that it describes.
type Profile struct {
	Name              string
	BytesPerMs        float64       // bandwidth of each direction in bytes per millisecond
	Delay             time.Duration // one-way delay
	Jitter            time.Duration // largest random addition to Delay
	Loss              float64       // fraction of the segments that are lost and arrive only by a retransmission
	StallInterval     time.Duration // mean time between stalls
	StallMin          time.Duration // shortest duration of a stall
	StallMax          time.Duration // longest duration of a stall
	ResetInterval     time.Duration // mean time until the link is reset
	BlackholeInterval time.Duration // mean time until the link starts to drop all data
	BlackholeDuration time.Duration // time from the start of a black hole until both connections are reset
}

// Good is a link without faults.
var Good = Profile{Name: "good", BytesPerMs: 1000, Delay: 10 * time.Millisecond, Jitter: 2 * time.Millisecond}

// Middling is a slow link with a fault every few seconds.
var Middling = Profile{Name: "middling", BytesPerMs: 100, Delay: 60 * time.Millisecond, Jitter: 30 * time.Millisecond,
	Loss: 0.01, StallInterval: 8 * time.Second, StallMin: 200 * time.Millisecond, StallMax: time.Second,
	ResetInterval: 12 * time.Second, BlackholeInterval: time.Minute, BlackholeDuration: 30 * time.Second}

// Bad is a very slow link that is rarely without a fault.
var Bad = Profile{Name: "bad", BytesPerMs: 20, Delay: 150 * time.Millisecond, Jitter: 100 * time.Millisecond,
	Loss: 0.04, StallInterval: 3 * time.Second, StallMin: 300 * time.Millisecond, StallMax: 4 * time.Second,
	ResetInterval: 4 * time.Second, BlackholeInterval: 15 * time.Second, BlackholeDuration: 30 * time.Second}
