package config

import (
	"strings"
	"testing"

	"gaugerelay/internal/testbed"
)

// The fleet's part of the operator's file: what is left out comes from the platform, and what cannot be is told.
func TestFleet(t *testing.T) {
	set := testbed.Settings(2)
	c := &Config{GatewayIndex: 1, PeerListen: "127.0.0.1:7946", Peers: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}}
	e, err := ParseEdge([]byte(`{"fleet":{}}`), &set)
	if err != nil {
		t.Fatal(err)
	}
	listen, o, err := e.Fleet.Resolve(c)
	if err != nil || listen != c.PeerListen || o.Self != 1 || len(o.Peers) != 3 || o.LeaseMs != 2000 || o.MaxGrantedFraction != 0.5 {
		t.Errorf("%q, %+v, %v", listen, o, err)
	}
	e, err = ParseEdge([]byte(`{"fleet":{"listen":"127.0.0.1:9","self":0,"peers":["127.0.0.1:9"],"key":"k","lease_ms":500,"lends":0.25,
		"period_ms":100,"clock_drift":0.05,"max_volumes":7}}`), &set)
	if err != nil {
		t.Fatal(err)
	}
	if listen, o, err = e.Fleet.Resolve(c); err != nil || listen != "127.0.0.1:9" || len(o.Peers) != 1 || string(o.Key) != "k" ||
		o.LeaseMs != 500 || o.ProbePeriodMs != 100 || o.ProbeTimeoutMs != 30 || o.MaxVolumes != 7 || o.MaxGrantedFraction != 0.25 || o.ClockDrift != 0.05 {
		t.Errorf("%q, %+v, %v", listen, o, err)
	}
	for _, bad := range []string{`{"listen":"nowhere"}`, `{"self":9}`, `{"peers":["x"]}`, `{"peers":["127.0.0.1:1","127.0.0.1:1"]}`, `{"lends":0.9}`,
		`{"lease_ms":1}`, `{"period_ms":0}`, `{"clock_drift":1}`, `{"max_volumes":0}`, `{"self":-1}`, `{"key":3}`} {
		e, err := ParseEdge([]byte(`{"fleet":`+bad+`}`), &set)
		if err == nil {
			_, _, err = e.Fleet.Resolve(c)
		}
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", bad, err)
		}
	}
}
