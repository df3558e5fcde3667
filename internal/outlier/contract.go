// Package verdict decides which storage nodes a gateway leaves nearly alone because several gateways find them failing,
// or have heard that they drain or are gone.
//
// What one gateway finds is evidence. It counts only from the one that found it, by the latest word of that one, and
// only while it is fresh: order, loss and repeats change nothing, and a gateway that dies or falls silent takes its
// evidence with it. No gateway takes a node from all by a bad link or a lie: several are asked for, at most a stated part
// of the nodes is out at once, a gateway that is itself served well by a node goes on with it, and every other keeps
// trying it a little. So a wrong verdict ends by what the tries find, or by age.
//
// The package is pure: no clock, no I/O, no goroutine, no order of maps. Times are milliseconds of the caller's clock.
package outlier

// Settings are what a Book is made with.
type Settings struct {
	DecayMs float64 // what was found so long ago weighs 1/e
	// A node is failing, as found here, from so many failures on, if they are that part of all attempts; and it serves
	// well if there were as many attempts and failures are a tenth at the most.
	MinFailures, MinFailureRatio float64
	// MaxAttemptWeight bounds what is remembered of a node, in attempts: a long failure is not held against it for longer.
	MaxAttemptWeight float64

	MaxReportAgeMs     float64 // evidence that is older counts for nothing
	ReportIntervalMs   float64 // evidence that holds is told again so often
	MinQuorum          int     // how many gateways have to find the same, at the least
	QuorumFraction     float64 // and which part of those that are alive
	MaxEjectedFraction float64 // part of the listed nodes that may be out by verdict at once
	MaxServers         int     // that have books; evidence on others is not taken
	MaxPeers           int     // whose evidence is kept on each
}

// Condition is what is found.
type Condition uint8

// The kinds of evidence.
const (
	Failing   Condition = iota + 1
	Withdrawn           // it drains or is gone, by the node list
)

// Report is what one gateway finds of a node. A weight of 0 takes back what it said before.
type Report struct {
	Peer      uint16 // who found it; to be sent: nobody in particular, all hear it
	Server    uint64
	Condition Condition
	Percent   uint8
	Version   uint64  // the finder's: a later word has a greater one
	AgeMs     float64 // how long ago it was found, as told
}

// Ejection is a node that is to be left nearly alone.
type Ejection struct {
	Server    uint64
	Condition Condition
	AgeMs     float64 // of the youngest evidence that is needed for it
	Reporters int     // gateways that find it
}
