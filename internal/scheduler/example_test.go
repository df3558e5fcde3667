package scheduler_test

import (
	"fmt"
	"time"

	"gaugerelay/internal/scheduler"
)

// A gateway passes events to Step and carries out the actions that Step returns.
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
	clock := func() time.Duration { return time.Since(start) + time.Second } // the zero of the clock is arbitrary

	// The endpoint list comes first, then requests as they arrive.
	s.Step(clock(), []scheduler.Event{scheduler.EndpointUpdate{Kind: scheduler.Snapshot,
		Servers: []scheduler.Server{{ID: 51, Shard: 0}}}})
	actions := s.Step(clock(), []scheduler.Event{scheduler.RequestArrived{ID: 7, Class: "read", Plan: "standard",
		Volume: 1, Key: 99, Remaining: 3 * time.Second, Units: 2, Shard: 0, Gateways: 1}})
	for _, action := range actions {
		switch action := action.(type) {
		case scheduler.Send:
			fmt.Printf("send request %d to server %d\n", action.ID, action.Server)
		case scheduler.Reject:
			fmt.Printf("reject request %d, its client may retry\n", action.ID)
		case scheduler.Fail:
			fmt.Printf("fail request %d\n", action.ID)
		case scheduler.SetTimer: // arm a timer for action.At, then call Step with a TimerFired event
		}
	}
	s.Step(clock(), []scheduler.Event{scheduler.AttemptEnded{ID: 7, Server: 51, Status: scheduler.StatusOK,
		Latency: 40 * time.Millisecond, RequestDone: true}})
	// Output: send request 7 to server 51
}
