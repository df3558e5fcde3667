package outlier

import "fmt"

// Condition is what a gateway reports of a server. The numbers are part of the wire format.
type Condition uint8

// The conditions of servers.
const (
	// Failing means that attempts at the server fail.
	Failing Condition = iota + 1
	// Withdrawn means that the server drains or was removed, by the reporter's endpoint list.
	Withdrawn

	// conditionsEnd is one more than the largest condition, for arrays that conditions index.
	conditionsEnd
)

// String returns the lower-case name of the condition.
func (c Condition) String() string {
	switch c {
	case Failing:
		return "failing"
	case Withdrawn:
		return "withdrawn"
	default:
		return fmt.Sprintf("condition(%d)", uint8(c))
	}
}

// conditions lists all conditions, in the order in which a Detector evaluates them.
var conditions = [...]Condition{Failing, Withdrawn}

// Report is what one gateway observes of a server.
type Report struct {
	// Peer is the gateway that observed the condition. In the reports that Step returns it is 0 without meaning: they go
	// to all peers.
	Peer      uint16
	Server    uint64
	Condition Condition
	// Percent is the percentage of failed attempts for Failing, and 100 for Withdrawn. 0 retracts the earlier report.
	Percent uint8
	// Version orders the reports of one gateway; a later report has a larger one.
	Version uint64
	// AgeMs is how long ago the condition was observed, as the sender states it.
	AgeMs float64
}

// Ejection is a decision to send almost nothing to a server.
type Ejection struct {
	Server    uint64
	Condition Condition
	// AgeMs is the age of the oldest report among the most recent ones that make a quorum.
	AgeMs float64
	// Reporters is how many gateways report the condition, this one included.
	Reporters int
}

// storedReport is the latest report of one gateway on one condition of a server. Its zero value is a retracted report.
type storedReport struct {
	peer         uint16
	condition    Condition
	percent      uint8
	version      uint64
	observedAtMs float64
}

func (r storedReport) ageMs(nowMs float64) float64 { return nowMs - r.observedAtMs }
