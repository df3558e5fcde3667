// Package share divides rules that hold over all gateways together, such as a volume's limit, into parts, and moves
// parts between gateways to where the traffic is.
//
// What is divided is a pot. Through how many gateways its traffic comes is known, and each of those owns an even part
// of it for good: it needs nobody's word for that, so a gateway without peers is as it would be without this package.
// A gateway that has more than it uses lends of its own part for a time, the lease. In sum the parts in force never
// exceed the whole, whatever is lost, late, doubled or reordered, whoever pauses, dies or is cut off:
//
//   - A lender books what it gives before it says so, and takes it back only when the lease is over on its own clock,
//     lengthened by what two clocks may differ in rate.
//   - A borrower counts the lease from the moment in which it asked, which is before the lender heard of it. It uses a
//     part only while it has been told of the time: one that was paused has to ask what it holds before it sends.
//   - What a gateway may lend at most is held back for a lease after its start: an earlier life may have lent it.
//   - Messages are about states, not about changes, numbered by the borrower: each may come again or not at all.
//
// The package is pure: no clock, no I/O, no goroutine, no order of maps. Times are milliseconds of the gateway's own
// clock, which may show anything as long as it runs on evenly.
package quota

// Settings are what a Book is made with.
type Settings struct {
	Self uint16 // this gateway's number
	// Incarnation tells this process from an earlier one of the same number.
	Incarnation uint32
	LeaseMs     float64
	// ClockDrift is by how much, in parts of one, the rates of two gateways' clocks differ at most.
	ClockDrift float64
	// MaxGrantedFraction is the part of its own part that a gateway lends at most.
	MaxGrantedFraction float64
	// RequestIntervalMs is the least time between two asks of a pot.
	RequestIntervalMs float64
	// IdleTimeoutMs is how long a gateway lends of a pot after its last traffic here. Through which gateways a pot's traffic
	// comes must not change within that time: one that has left them would lend what another has taken on.
	IdleTimeoutMs float64
	// MaxPools bounds the pots with a book; MostPeers the lenders and the borrowers of each.
	MaxPools, MaxPeers int
}

// MessageKind is what a message is about.
type MessageKind uint8

// The kinds of messages.
const (
	LeaseRequest MessageKind = iota + 1 // by the borrower: it could use Part in all from this lender
	LeaseGrant                          // by the lender: it lends Part in all, from the ask of this number on
	LeaseReturn                         // by the borrower: it holds no more than Part from now on
	LeaseRecall                         // by the lender: its own traffic needs what it lent beyond Part
)

// Message goes between two gateways. Part is of the whole pot.
type Message struct {
	Kind              MessageKind
	Pool              uint64
	Peer              uint16 // the other one: to whom it goes, or who sent it
	SenderIncarnation uint32 // the sender's
	// RecipientIncarnation is the receiver's life that a grant or a return is for: it says nothing to a later one.
	RecipientIncarnation uint32
	Seq                  uint32
	Fraction             float64
}

// Demand tells what this gateway could use of a pot.
type Demand struct {
	Pool     uint64
	Gateways int // gateways through which the pot's traffic comes, this one included
	Fraction float64
	// Resync tells that the pot's user has begun anew and wants to be told its part.
	Resync bool
}

// Fraction tells what this gateway holds of a pot, from now on.
type Share struct {
	Pool     uint64
	Fraction float64
}
