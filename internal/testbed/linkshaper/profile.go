package linkshaper

import "time"

// Profile describes a kind of link. A fault whose field is zero does not occur.
type Profile struct {
	Name              string
	BytesPerMs        float64       // in each direction; 0: unlimited
	Delay             time.Duration // in each direction
	Jitter            time.Duration // the largest addition to Delay
	Loss              float64       // fraction of the segments that arrive by a retransmission only
	StallInterval     time.Duration // mean time between stalls
	StallMin          time.Duration // the shortest stall
	StallMax          time.Duration // the longest stall
	ResetInterval     time.Duration // mean time to a reset
	BlackholeInterval time.Duration // mean time until the link drops everything
	BlackholeDuration time.Duration // after which both sides of such a link are reset
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
