package quota

import "fmt"

// MessageKind is the kind of a Message. Its values are part of the wire format.
type MessageKind uint8

// The kinds of messages. In each of them, Fraction is a total for one borrower and one lender, not a change of that total.
const (
	// LeaseRequest is sent by a borrower. Fraction is the total that the borrower could use from this lender.
	LeaseRequest MessageKind = iota + 1
	// LeaseGrant is sent by a lender in reply to the LeaseRequest with the same Seq. Fraction is the total that the
	// lender lends.
	LeaseGrant
	// LeaseReturn is sent by a borrower. Fraction is the total that the borrower keeps from now on.
	LeaseReturn
	// LeaseRecall is sent by a lender whose own traffic needs quota that it has lent. Fraction is the total that the
	// borrower may keep.
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
	// Peer is the other gateway: the recipient of a message that Step returns, or the sender of one that is passed to Step.
	Peer uint16
	// SenderIncarnation is the incarnation of the sender.
	SenderIncarnation uint32
	// RecipientIncarnation is the incarnation to which a grant, return or recall is addressed. Other incarnations ignore
	// the message.
	RecipientIncarnation uint32
	// Seq orders the requests and returns of one borrower for one pool. A grant has the Seq of its request.
	Seq uint32
	// Fraction is relative to the whole pool, from 0 to 1.
	Fraction float64
}

// Demand reports how much of a pool this gateway's traffic could use.
type Demand struct {
	Pool uint64
	// Gateways is the number of gateways that receive the pool's traffic, including this one. Each of them owns 1/Gateways of
	// the pool.
	Gateways int
	// Fraction is the fraction of the whole pool that the traffic of this gateway could use.
	Fraction float64
	// Resync makes Step return the pool's share even if it has not changed, for a caller that no longer knows the share.
	Resync bool
}

// Share is the fraction of a pool that this gateway may use from now on.
type Share struct {
	Pool     uint64
	Fraction float64
}
