package cluster

import (
	"fmt"
	"hash/fnv"
	"testing"
)

// TestSeedDrawsSameRequests checks that a seed draws the same requests on all machines and in all versions, so that a run can
// be reproduced.
func TestSeedDrawsSameRequests(t *testing.T) {
	for _, test := range []struct {
		volume int
		want   uint64
	}{{0, 0xd6dabd9d67e11234}, {3, 0x63fde55f3ba5c97}} {
		source := newRequestSource(&Options{Seed: 1, HostsPerVolume: 3, Shards: 4}, test.volume)
		hash := fnv.New64a()
		for range 2000 {
			gap := source.random.ExpFloat64()
			drawn := source.drawRequest(1)
			_, _ = fmt.Fprintf(hash, "%v %d %d %d\n", gap, drawn.host, drawn.units, drawn.shard) // writing to a hash never fails
		}
		if got := hash.Sum64(); got != test.want {
			t.Errorf("the first 2000 requests of volume %d have the hash %#x, want %#x", test.volume, got, test.want)
		}
	}
}
