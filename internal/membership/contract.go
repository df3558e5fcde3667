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
	Self    uint16
	Members int    // numbered from 0; Self is one of them
	Life    uint32 // tells this process from an earlier or another one of the same number
	Seed    uint64

	PeriodMs  float64 // between two probes
	TimeoutMs float64 // after which a probe goes by way of others; well under the period
	Relays    int     // by way of how many
	// LeastSuspicion is how many periods a suspicion lasts at the least, times the decimal logarithm of the number of
	// members; MostSuspicion is how many times that it lasts as long as nobody confirms it, Confirm how many members
	// have to for the least.
	LeastSuspicion, MostSuspicion float64
	Confirm                       int
	// MostSlow bounds how many times longer, less one, a member that finds itself slow waits.
	MostSlow int
	// MostRumours bounds what one message tells of other members, Retell how often each is told, times the logarithm
	// of the number of members.
	MostRumours int
	Retell      float64
	// DeadEvery is that one of so many probes goes to a member held for dead: a fleet cut in halves finds together.
	DeadEvery int
}

// Defaults are settings for a fleet on one site.
func Defaults(self uint16, members int, life uint32, seed uint64) Settings {
	return Settings{Self: self, Members: members, Life: life, Seed: seed, PeriodMs: 500, TimeoutMs: 150, Relays: 3,
		LeastSuspicion: 3, MostSuspicion: 4, Confirm: 3, MostSlow: 8, MostRumours: 8, Retell: 4, DeadEvery: 4}
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

// Rumour is what is told of a member.
type Rumour struct {
	Member      uint16
	State       State
	Incarnation uint64
	Life        uint32 // the member's, where it is alive
	By          uint16 // who suspects it
}

// Kind is what a message is for.
type Kind uint8

// The kinds of messages.
const (
	Ping Kind = iota + 1
	PingBy
	Ack
	Nack // by a relay: it has not heard of the target either
)

// Message goes between two members. The sender's own state is the first of its rumours.
type Message struct {
	Kind    Kind
	Peer    uint16 // to whom it goes, or who sent it
	Seq     uint32
	Target  uint16 // of PingBy and the answers to it: who is asked for; of a Ping: who is meant
	Rumours []Rumour
}

// Change tells that a member's state is another.
type Change struct {
	Member uint16
	State  State
	Life   uint32
	// Taken tells that another process goes by this gateway's number.
	Taken bool
}
