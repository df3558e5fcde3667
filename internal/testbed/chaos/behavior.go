package chaos

import (
	"fmt"
	"time"
)

// behavior is how a fake server treats connections and requests for a limited time.
type behavior uint8

const (
	behaveNormally    behavior = iota
	hang                       // requests are read, and responses wait until the behavior ends
	failRequests               // some responses have status 500
	breakConnections           // some connections are reset in the middle of a response
	corruptResponses           // some responses are malformed or stay incomplete
	repeatResponses            // some responses are sent a second time, some milliseconds later
	refuseConnections          // new connections are reset, and idle ones closed
	serveSlowly                // every request takes slowServiceTime; not drawn as a fault
	behaviorCount
)

// drawnBehaviorCount is the number of behaviors that faults draw from, including behaveNormally, which is not drawn.
const drawnBehaviorCount = int(serveSlowly)

var behaviorNames = [behaviorCount]string{"normal", "hang", "fail requests", "break connections", "corrupt responses",
	"repeat responses", "refuse connections", "serve slowly"}

func (b behavior) String() string {
	if b < behaviorCount {
		return behaviorNames[b]
	}
	return fmt.Sprintf("behavior(%d)", uint8(b))
}

// Probabilities that a behavior affects the response to a request.
const (
	failProbability     = 0.7
	breakProbability    = 0.5
	truncateProbability = 0.3
	garbageProbability  = 0.6 // a draw between truncateProbability and garbageProbability makes the response malformed
	repeatProbability   = 0.3
)

// truncatedResponseTime is how long a server keeps a connection open after an incomplete response.
const truncatedResponseTime = time.Second

// slowServiceTime is the time that a server takes for each request while it serves slowly.
const slowServiceTime = 20 * time.Millisecond

// meanServiceMs is the mean time in milliseconds that a server takes for a request of meanUnits.
const meanServiceMs = 4

// repeatDelayFactor times execution.chance, rounded down, is the delay of a repeated response in milliseconds.
const repeatDelayFactor = 10
