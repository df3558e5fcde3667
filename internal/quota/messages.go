package quota

import "fmt"

// MessageKind is what a Message is about. The numbers are part of the wire format.
type MessageKind uint8

// The kinds of messages. Fraction is what they carry: the total for one borrower and lender, not a change of it.
const (
	// LeaseRequest is sent by a borrower that could use Fraction in all from this lender.
	LeaseRequest MessageKind = iota + 1
	// LeaseGrant is sent by a lender that lends Fraction in all, from the request with this sequence number on.
	LeaseGrant
	// LeaseReturn is sent by a borrower that holds no more than Fraction from now on.
	LeaseReturn
	// LeaseRecall is sent by a lender whose own traffic needs what it has lent beyond Fraction.
	LeaseRecall
)

// String returns the lower-case name of the kind.
func (k MessageKind) String() string {
	switch k {
	case LeaseRequest:
		return "lease-request"
	case LeaseGrant:
		return "lease-grant"
	case LeaseReturn:
		return "lease-return"
	case LeaseRecall:
		return "lease-recall"
	default:
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
}

// Message is exchanged between the allocators of two gateways.
type Message struct {
	Kind MessageKind
	Pool uint64
	// Peer is the other gateway: the recipient of a message that Step returns, the sender of one that Step is given.
	Peer uint16
	// SenderIncarnation is the incarnation of the sender.
	SenderIncarnation uint32
	// RecipientIncarnation is the incarnation that a grant, return or recall is addressed to; any other one ignores it.
	RecipientIncarnation uint32
	// Seq orders the requests and returns of one borrower for one pool. A grant repeats the number of its request.
	Seq uint32
	// Fraction is relative to the whole pool, from 0 to 1.
	Fraction float64
}

// Demand reports how much of a pool this gateway's traffic could use.
type Demand struct {
	Pool uint64
	// Gateways is how many gateways receive the pool's traffic, this one included. The gateway owns 1/Gateways of it.
	Gateways int
	// Fraction is the usable fraction of the whole pool.
	Fraction float64
	// Resync makes Step return the pool's share even if it has not changed, for a consumer that has lost its state.
	Resync bool
}

// Share is the fraction of a pool that this gateway may use from now on.
type Share struct {
	Pool     uint64
	Fraction float64
}
