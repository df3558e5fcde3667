package chaos

import (
	"fmt"
	"hash/fnv"
	"testing"
)

// TestSeedDrawsSameRequests checks that a seed draws the same requests on all machines and in all versions, so that a run can
// be reproduced.
func TestSeedDrawsSameRequests(t *testing.T) {
	for _, test := range []struct {
		gateway int
		want    uint64
	}{{0, 0x99506cfec72c3b57}, {3, 0xf217168b80b5c82}} {
		clients := newClientGroup(test.gateway, "", 1)
		hash := fnv.New64a()
		for range 2000 {
			gap := clients.random.ExpFloat64() / 12.0
			r := clients.drawRequest(4)
			_, _ = fmt.Fprintf(hash, "%v %s %v %v\n", gap, r.message(), r.cancelAfter, r.incomplete) // writing to a hash never fails
		}
		if got := hash.Sum64(); got != test.want {
			t.Errorf("the first 2000 requests to gateway %d have the hash %#x, want %#x", test.gateway, got, test.want)
		}
	}
}
