package chaos

import (
	"os"
	"strings"
	"testing"
)

// A short run of the soak: processes of the real program, with faults of all kinds that overlap. `make chaos` plays longer
// ones, on any seed.
func TestRulesHoldUnderOverlappingFaults(t *testing.T) {
	for _, push := range []bool{false, true} {
		res, err := Run(Options{Binary: program(t), Gateways: 8, Shards: 4, Seconds: 20, Seed: 1, RequestRate: 12, PushDiscovery: push, LogOutput: os.Stderr})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("pushed %v: %s", push, res)
		for _, text := range res.Violations {
			t.Errorf("pushed %v: %s", push, text)
		}
		if res.Served < 500 || res.Faults < 10 {
			t.Errorf("pushed %v: too little happened to show anything: %+v", push, res)
		}
	}
}

// The faults that a run is made of can be named.
func TestParseFaults(t *testing.T) {
	if names, err := ParseFaults("kill,pause"); err != nil || strings.Join(names, " ") != "kill pause" {
		t.Errorf("%v, %v", names, err)
	}
	if _, err := ParseFaults("kill,nothing"); err == nil {
		t.Error("a fault that there is not")
	}
}
