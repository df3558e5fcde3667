package chaos

import (
	"fmt"
	"time"
)

// behavior is how a fake server treats its connections for a while.
type behavior uint8

const (
	behaveNormally    behavior = iota
	hang                       // requests are read and not answered
	failRequests               // some requests are answered with status 500
	breakConnections           // some connections are reset within a response
	corruptResponses           // some responses are malformed or never complete
	repeatResponses            // some responses are sent a second time, some milliseconds later
	refuseConnections          // new connections are reset, and idle ones closed
	behaviorCount
)

var behaviorNames = [behaviorCount]string{"normal", "hang", "fail requests", "break connections", "corrupt responses",
	"repeat responses", "refuse connections"}

func (b behavior) String() string {
	if b < behaviorCount {
		return behaviorNames[b]
	}
	return fmt.Sprintf("behavior(%d)", uint8(b))
}

// Probabilities that a server with a behavior misbehaves on a request.
const (
	failProbability     = 0.7
	breakProbability    = 0.5
	truncateProbability = 0.3
	garbageProbability  = 0.6 // includes truncateProbability, since one draw decides on both
	repeatProbability   = 0.3
)

// truncatedResponseTime is how long a server keeps the connection of a response that it does not complete.
const truncatedResponseTime = time.Second

// meanServiceMs is the mean time in milliseconds that a server works on a request of meanUnits.
const meanServiceMs = 4

// repeatDelayFactor converts the drawn chance to the delay of a repeated response, in whole milliseconds.
const repeatDelayFactor = 10
