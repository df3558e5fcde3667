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
	FadeMs float64 // what was found so long ago weighs 1/e
	// A node is failing, as found here, from so many failures on, if they are that part of all attempts; and it serves
	// well if there were as many attempts and failures are a tenth at the most.
	LeastFailures, LeastPart float64
	// MostTries bounds what is remembered of a node, in attempts: a long failure is not held against it for longer.
	MostTries float64

	MostAgeMs float64 // evidence that is older counts for nothing
	TellMs    float64 // evidence that holds is told again so often
	Origins   int     // how many gateways have to find the same, at the least
	OfAlive   float64 // and which part of those that are alive
	MostOut   float64 // part of the listed nodes that may be out by verdict at once
	MostNodes int     // that have books; evidence on others is not taken
	MostPeers int     // whose evidence is kept on each
}

// Kind is what is found.
type Kind uint8

// The kinds of evidence.
const (
	Failing Kind = iota + 1
	Closed       // it drains or is gone, by the node list
)

// Evidence is what one gateway finds of a node. A weight of 0 takes back what it said before.
type Evidence struct {
	Peer    uint16 // who found it; to be sent: nobody in particular, all hear it
	Node    uint64
	Kind    Kind
	Percent uint8
	Stamp   uint64  // the finder's: a later word has a greater one
	AgeMs   float64 // how long ago it was found, as told
}

// Verdict is a node that is to be left nearly alone.
type Verdict struct {
	Node  uint64
	Kind  Kind
	AgeMs float64 // of the youngest evidence that is needed for it
	By    int     // gateways that find it
}
