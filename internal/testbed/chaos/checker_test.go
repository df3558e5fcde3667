package chaos

import (
	"testing"
	"time"

	"gaugerelay/internal/testbed/overload"
	"gaugerelay/internal/testbed/process"
)

// record holds what was recorded in a run with one gateway, one server and one request. The record
// that newRecord returns violates no invariant: the request was sent at 1 min and served 20 ms later by the only attempt.
type record struct {
	harness *harness
	server  *server
	request *request
	arrival *arrival
}

// at returns the time that is a duration after the start of the run.
func at(elapsed time.Duration) time.Time { return time.Unix(1000, 0).Add(elapsed) }

func newRecord() *record {
	s := &server{name: "s-0"}
	r := &request{id: "g0-2-1", class: &classes[0], deadline: time.Second, dialedAt: at(time.Minute), sentAt: at(time.Minute),
		endedAt: at(time.Minute + 20*time.Millisecond), outcome: outcomeServed, status: 200, responseBody: responsePrefix("g0-2-1") + "s-0"}
	a := &arrival{id: r.id, server: s, firstByteAt: at(time.Minute + time.Millisecond), lastByteAt: at(time.Minute + 2*time.Millisecond),
		remainingTime: 990 * time.Millisecond, units: 2, executed: true}
	s.arrivals = []*arrival{a}
	d := &discovery{changes: []change{{s, process.EndpointReady, at(0)}}, upIntervals: []process.Interval{{From: at(0)}},
		deliveries: [][]delivery{nil}, silences: [][]process.Interval{nil}}
	g := &gateway{starts: []time.Time{at(0)}}
	h := &harness{startedAt: at(0), discovery: d, gateways: []*gateway{g}, servers: []*server{s},
		clients: []*clientGroup{{requests: []*request{r}}}}
	return &record{harness: h, server: s, request: r, arrival: a}
}

// setClass gives the request the first class with the given idempotency.
func (r *record) setClass(idempotency idempotency) {
	for i := range classes {
		if classes[i].idempotency == idempotency {
			r.request.class = &classes[i]
			return
		}
	}
}

// repeat adds a second attempt that arrives at the same server the given time after the first.
func (r *record) repeat(later time.Duration) {
	repeated := *r.arrival
	repeated.firstByteAt, repeated.lastByteAt = repeated.firstByteAt.Add(later), repeated.lastByteAt.Add(later)
	repeated.remainingTime -= later
	r.server.arrivals = append(r.server.arrivals, &repeated)
}

// disconnect makes the connection of the request end without a response.
func (r *record) disconnect() { r.request.outcome, r.request.responseBody = outcomeDisconnected, "" }

// publish adds a change of the server's state, which is delivered to the gateway at once.
func (r *record) publish(state string, published time.Time) {
	d := r.harness.discovery
	d.changes = append(d.changes, change{r.server, state, published})
	d.deliveries[0] = append(d.deliveries[0], delivery{published, len(d.changes)})
}

// checkerTests modify the record of newRecord. The record then either violates one invariant, or comes close to a violation
// but is still allowed by a bound or an exception of the checker.
var checkerTests = []struct {
	name   string
	modify func(r *record)
	want   Result // only the counts of violations, as Result.String prints them
}{
	{"no violation", func(*record) {}, Result{}},
	{"sent although its body is ambiguous", func(r *record) {
		r.server.arrivals = append(r.server.arrivals, &arrival{id: overload.NeverExecutedPrefix + "1", server: r.server, firstByteAt: at(time.Minute)})
	}, Result{DuplicateExecutions: 1}},
	{"sent within the drain grace", func(r *record) { r.publish(process.EndpointDraining, at(time.Minute-drainGrace)) }, Result{}},
	{"sent after the drain grace", func(r *record) {
		r.publish(process.EndpointDraining, at(time.Minute-drainGrace-2*socketSlack))
	}, Result{SentAfterDrain: 1}},
	{"sent to a removed server", func(r *record) { r.publish(process.EndpointRemoved, at(50*time.Second)) }, Result{SentAfterDrain: 1}},
	{"sent after the drain grace in a stall", func(r *record) {
		// The attempt begins 9 s after the drain grace has ended. The checker excuses it, because it begins less than stallLookback
		// after the end of a stall.
		r.publish(process.EndpointDraining, at(50*time.Second))
		r.harness.stalls = []process.Interval{{From: at(59 * time.Second), To: at(time.Minute)}}
	}, Result{}},
	{"more than slow start allows", func(r *record) {
		// The attempt has 200 units, as many as 100 requests of meanUnits. 1 s after the start of a server, slowStartBound allows
		// less than 50 such requests.
		r.server.startedAt, r.arrival.units = at(time.Minute-time.Second), 200
		r.harness.discovery.changes[0].at = r.server.startedAt
		r.harness.discovery.deliveries[0] = []delivery{{r.server.startedAt, 1}}
	}, Result{SlowStartExceeded: 1}},
	{"wrong response", func(r *record) { r.request.responseBody = "g0-2-7 from s-0" }, Result{Lost: 1}},
	{"no response", func(r *record) { r.request.outcome = outcomeTimedOut }, Result{Lost: 1}},
	{"late response", func(r *record) { r.request.endedAt = at(time.Minute + 2*time.Second) }, Result{Lost: 1}},
	{"late response of a gateway that was paused", func(r *record) {
		r.request.endedAt = at(time.Minute + 2*time.Second)
		r.harness.gateways[0].pauses = []process.Interval{{From: at(time.Minute), To: at(time.Minute + time.Second)}}
	}, Result{}},
	{"disconnected", (*record).disconnect, Result{Lost: 1}},
	{"disconnected before the request was read", func(r *record) {
		// The request reuses an idle connection. The gateway may have closed that connection before the request arrived.
		r.disconnect()
		r.request.connReused, r.server.arrivals = true, nil
	}, Result{}},
	{"attempt for a client that had left", func(r *record) {
		r.request.outcome, r.request.closedAt = outcomeCanceled, at(59*time.Second)
	}, Result{Lost: 1}},
	{"deadline extended", func(r *record) { r.arrival.remainingTime = 1200 * time.Millisecond }, Result{DeadlineExtended: 1}},
	{"rejected though executed", func(r *record) {
		r.request.outcome = outcomeRejected
		r.setClass(notIdempotent)
	}, Result{DuplicateExecutions: 1}},
	{"idempotent request executed twice", func(r *record) { r.repeat(time.Second) }, Result{}},
	{"request executed twice", func(r *record) {
		r.setClass(notIdempotent)
		r.repeat(time.Second)
	}, Result{DuplicateExecutions: 1}},
	{"keyed request repeated within the window", func(r *record) {
		r.setClass(idempotentWithKey)
		r.repeat(dedupWindow)
	}, Result{}},
	{"keyed request repeated after the window", func(r *record) {
		r.setClass(idempotentWithKey)
		r.repeat(dedupWindow + 2*socketSlack)
	}, Result{DuplicateExecutions: 1}},
}

// TestChecker checks that the checker counts each violation under the kind of the violation, and counts nothing that a bound or an
// exception allows. A checker that counts too little would let the chaos runs pass in spite of a fault of the gateway.
func TestChecker(t *testing.T) {
	for _, test := range checkerTests {
		t.Run(test.name, func(t *testing.T) {
			r, want := newRecord(), test.want
			test.modify(r)
			want.Requests = 1
			got := &Result{}
			newChecker(r.harness, got).check()
			if got.String() != want.String() {
				t.Errorf("counts = %s with the violations %q, want the counts %s", got, got.Violations, &want)
			}
		})
	}
}
