// Package members decides which gateways of a fleet are there: SWIM (Das, Gupta, Motivala 2002) with what Lifeguard
// adds (Dadgar, Phillips, Currey 2017). Each member asks one other a period, in a shuffled round; who does not answer is
// asked by way of some others, then suspected, and held for dead only if nobody has heard of it before the suspicion's
// time is over. That time is shorter the more members suspect it by themselves. A member that finds itself slow, or
// asleep, waits longer and suspects less. What is known travels on the same messages.
//
// What is known of a member is a pair of incarnation and state, of which the greater one holds: order, loss and repeats
// change nothing in the end. Only a member itself raises its incarnation, to contradict what is said of it.
//
// The package is pure: no clock, no I/O, no goroutine, no order of maps. Times are milliseconds of the caller's clock.
package membership

// Settings are what a Book is made with.
type Settings struct {
	Self               uint16
	MemberCount        int    // numbered from 0; Self is one of them
	ProcessIncarnation uint32 // tells this process from an earlier or another one of the same number
	Seed               uint64

	ProbePeriodMs  float64 // between two probes
	ProbeTimeoutMs float64 // after which a probe goes by way of others; well under the period
	IndirectProbes int     // by way of how many
	// MinSuspicionPeriods is how many periods a suspicion lasts at the least, times the decimal logarithm of the number of
	// members; MostSuspicion is how many times that it lasts as long as nobody confirms it, Confirm how many members
	// have to for the least.
	MinSuspicionPeriods, MaxSuspicionFactor float64
	ExpectedConfirmations                   int
	// MaxHealthScore bounds how many times longer, less one, a member that finds itself slow waits.
	MaxHealthScore int
	// MaxUpdatesPerMessage bounds what one message tells of other members, Retell how often each is told, times the logarithm
	// of the number of members.
	MaxUpdatesPerMessage int
	RetransmitFactor     float64
	// DeadProbeEvery is that one of so many probes goes to a member held for dead: a fleet cut in halves finds together.
	DeadProbeEvery int
}

// DefaultSettings are settings for a fleet on one site.
func DefaultSettings(self uint16, members int, life uint32, seed uint64) Settings {
	return Settings{Self: self, MemberCount: members, ProcessIncarnation: life, Seed: seed, ProbePeriodMs: 500, ProbeTimeoutMs: 150, IndirectProbes: 3,
		MinSuspicionPeriods: 3, MaxSuspicionFactor: 4, ExpectedConfirmations: 3, MaxHealthScore: 8, MaxUpdatesPerMessage: 8, RetransmitFactor: 4, DeadProbeEvery: 4}
}

// State is what is held of a member.
type State uint8

// The states; of one incarnation the later holds.
const (
	Alive State = iota
	Suspect
	Dead
	Left // by its own word
)

// Update is what is told of a member.
type Update struct {
	Member             uint16
	State              State
	Incarnation        uint64
	ProcessIncarnation uint32 // the member's, where it is alive
	SuspectedBy        uint16 // who suspects it
}

// MessageKind is what a message is for.
type MessageKind uint8

// The kinds of messages.
const (
	Ping MessageKind = iota + 1
	PingRequest
	Ack
	Nack // by a relay: it has not heard of the target either
)

// Message goes between two members. The sender's own state is the first of its rumours.
type Message struct {
	Kind    MessageKind
	Peer    uint16 // to whom it goes, or who sent it
	Seq     uint32
	Target  uint16 // of PingBy and the answers to it: who is asked for; of a Ping: who is meant
	Updates []Update
}

// StateChange tells that a member's state is another.
type StateChange struct {
	Member             uint16
	State              State
	ProcessIncarnation uint32
	// IdentityConflict tells that another process goes by this gateway's number.
	IdentityConflict bool
}
