package outlier

import "fmt"

// Condition is what a gateway reports about a server. Its values are part of the wire format.
type Condition uint8

// The conditions of servers.
const (
	// Failing means that attempts at the server fail.
	Failing Condition = iota + 1
	// Withdrawn means that, according to the reporter's endpoint list, the server drains or was removed.
	Withdrawn

	// conditionArraySize is the size of an array that is indexed by Condition.
	conditionArraySize
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

// Report is what one gateway has observed about a server.
type Report struct {
	// Peer is the gateway that observed the condition. It is unused and 0 in the reports that Step returns, which are sent
	// to all peers.
	Peer      uint16
	Server    uint64
	Condition Condition
	// Percent is the percentage of failed attempts for Failing, and 100 for Withdrawn. 0 retracts the earlier report.
	Percent uint8
	// Version orders the reports of one gateway: a later report has a larger version.
	Version uint64
	// AgeMs is the time since the condition was observed, according to the sender.
	AgeMs float64
}

// Ejection is a decision to send only a few attempts to a server.
type Ejection struct {
	Server    uint64
	Condition Condition
	// AgeMs is the age of the oldest report in the quorum. The quorum consists of the most recent reports.
	AgeMs float64
	// Reporters is the number of gateways that report the condition, including this one.
	Reporters int
}

// storedReport is the latest report of one gateway about one condition of a server. Its zero value is a retracted report.
type storedReport struct {
	peer         uint16
	condition    Condition
	percent      uint8
	version      uint64
	observedAtMs float64
}

func (r storedReport) ageMs(nowMs float64) float64 { return nowMs - r.observedAtMs }
