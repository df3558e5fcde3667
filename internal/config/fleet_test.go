package config

import (
	"strings"
	"testing"

	"gaugerelay/internal/peer"
	"gaugerelay/internal/testbed"
)

// Values that the operator leaves out come from the platform's configuration or are defaults. The error of an invalid value must
// be a single line.
func TestFleetResolve(t *testing.T) {
	settings := testbed.Settings(2)
	platform := &Config{GatewayIndex: 1, PeerListen: "127.0.0.1:7946", Peers: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}}
	resolve := func(fleet string) (listen string, options peer.Options, err error) {
		edge, err := ParseEdge([]byte(`{"fleet":`+fleet+`}`), &settings)
		if err != nil {
			return "", peer.Options{}, err
		}
		return edge.Fleet.Resolve(platform)
	}
	t.Run("from the platform", func(t *testing.T) {
		listen, o, err := resolve(`{}`)
		if err != nil || listen != platform.PeerListen || o.Self != 1 || len(o.Peers) != 3 || o.LeaseMs != 2000 || o.MaxGrantedFraction != 0.5 {
			t.Errorf("listen %q, options %+v, error %v; want the values of the platform and defaults", listen, o, err)
		}
	})
	t.Run("from the operator", func(t *testing.T) {
		listen, o, err := resolve(`{"listen":"127.0.0.1:9","self":0,"peers":["127.0.0.1:9"],"key":"k","lease_ms":500,"lends":0.25,
			"period_ms":100,"clock_drift":0.05,"max_volumes":7}`)
		if err != nil || listen != "127.0.0.1:9" || len(o.Peers) != 1 || string(o.Key) != "k" || o.LeaseMs != 500 ||
			o.ProbePeriodMs != 100 || o.ProbeTimeoutMs != 30 || o.MaxVolumes != 7 || o.MaxGrantedFraction != 0.25 || o.ClockDrift != 0.05 {
			t.Errorf("listen %q, options %+v, error %v; want the values of the operator", listen, o, err)
		}
	})
	for _, invalid := range []string{`{"listen":"nowhere"}`, `{"self":9}`, `{"peers":["x"]}`, `{"peers":["127.0.0.1:1","127.0.0.1:1"]}`, `{"lends":0.9}`,
		`{"lease_ms":1}`, `{"period_ms":0}`, `{"clock_drift":1}`, `{"max_volumes":0}`, `{"self":-1}`, `{"key":3}`} {
		t.Run(invalid, func(t *testing.T) {
			if _, _, err := resolve(invalid); err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("Resolve returned the error %v, want an error of one line", err)
			}
		})
	}
}
