package membership

import "fmt"

// State is the state of a member as another member sees it. Its values are part of the wire format. Of two updates with
// the same incarnation the one with the greater state wins.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	Left // the member has announced its own shutdown
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return fmt.Sprintf("state(%d)", uint8(s))
	}
}

// Update is the state of a member, as sent by gossip.
type Update struct {
	Member      uint16
	State       State
	Incarnation uint64
	// ProcessIncarnation identifies the process of the member. It is valid if State is Alive.
	ProcessIncarnation uint32
	// SuspectedBy is a member that suspects Member. It is valid if State is Suspect.
	SuspectedBy uint16
}

// MessageKind is the kind of a Message. Its values are part of the wire format.
type MessageKind uint8

// The kinds of messages.
const (
	Ping        MessageKind = iota + 1
	PingRequest             // request to ping Target on behalf of the sender
	Ack
	Nack // answer to a PingRequest whose target has not acknowledged in time
)

// String returns the lower-case name of the kind.
func (k MessageKind) String() string {
	switch k {
	case Ping:
		return "ping"
	case PingRequest:
		return "ping-request"
	case Ack:
		return "ack"
	case Nack:
		return "nack"
	default:
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
}

// Message is a message between two members.
type Message struct {
	Kind MessageKind
	// Peer is the receiver of an outgoing message and the sender of an incoming one.
	Peer uint16
	// Seq relates an Ack or Nack to its Ping or PingRequest.
	Seq uint32
	// Target is the member that is probed.
	Target uint16
	// Updates are piggybacked gossip. The first one is the state of the sender.
	Updates []Update
}

// StateChange reports that a member has another state, or is another process than before.
type StateChange struct {
	Member             uint16
	State              State
	ProcessIncarnation uint32
	// IdentityConflict reports that another process uses, or has used, the index of the local member. Member is then the local
	// member, and ProcessIncarnation identifies the other process.
	IdentityConflict bool
}
