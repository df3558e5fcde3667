package scheduler_test

import (
	"fmt"
	"time"

	"gaugerelay/internal/scheduler"
)

// A gateway feeds what happens to Step and carries out the actions it returns.
func Example() {
	settings := scheduler.Settings{
		Gateways: 1, Shards: 1, MeanUnits: 2, MaxUnits: 6, MaxAttempts: 3, MinStepInterval: 2 * time.Millisecond,
		Classes: []scheduler.Class{{Name: "read", LatencyObjective: 500 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 2}},
		Plans:   []scheduler.Plan{{Name: "standard", Weight: 1, PriorityFactor: 1}},
	}
	s, err := scheduler.New(settings, 42)
	if err != nil {
		panic(err)
	}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) + time.Second } // any zero, only forwards

	// First the node list, then requests as they come.
	s.Step(clock(), []scheduler.Event{scheduler.EndpointUpdate{Kind: scheduler.Snapshot,
		Servers: []scheduler.Server{{ID: 51, Shard: 0}}}})
	actions := s.Step(clock(), []scheduler.Event{scheduler.RequestArrived{ID: 7, Class: "read", Plan: "standard",
		Volume: 1, Key: 99, TTL: 3 * time.Second, Units: 2, Shard: 0, Gateways: 1}})
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.Send:
			fmt.Printf("send request %d to node %d\n", a.ID, a.Server)
		case scheduler.Reject:
			fmt.Printf("tell client %d to try again\n", a.ID)
		case scheduler.Fail:
			fmt.Printf("tell client %d that it failed\n", a.ID)
		case scheduler.SetTimer: // arm a timer for a.At, then Step with a Wake event
		}
	}
	s.Step(clock(), []scheduler.Event{scheduler.AttemptEnded{ID: 7, Server: 51, Status: scheduler.StatusOK,
		Latency: 40 * time.Millisecond, RequestDone: true}})
	// Output: send request 7 to node 51
}
