// Golden tests of the simulator's wire: the parsed batches, the written replies and the error texts must not change.
package simwire_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/simwire"
	"gaugerelay/internal/testbed"
)

// fullSettings contains every setting that the adapter reads, each with a distinctive value.
const fullSettings = "Unknown.Path=1 Siblings=3 Discovery=ask TickMs=2.5" +
	" Lanes.count=3" +
	" Lanes.0.Name=get Lanes.0.PromiseMs=110 Lanes.0.AimStretch=1.5 Lanes.0.DeadlineMs=900 Lanes.0.Idempotency=repeatable" +
	" Lanes.0.KeyScope=all Lanes.0.Worth=2 Lanes.0.LateValue=0.25 Lanes.0.Stream=true" +
	" Lanes.1.Name=put Lanes.1.PromiseMs=210 Lanes.1.DeadlineMs=1900 Lanes.1.Idempotency=by_key Lanes.1.KeyScope=zone" +
	" Lanes.1.DedupWindowMs=2500 Lanes.1.InTurn=1 Lanes.1.Worth=3" +
	" Lanes.2.Name=run Lanes.2.PromiseMs=310 Lanes.2.DeadlineMs=2900 Lanes.2.Idempotency=later Lanes.2.KeyScope=rack Lanes.2.Worth=4" +
	" Plans.count=2" +
	" Plans.0.Name=small Plans.0.UsualRate=3.5 Plans.0.Reservation=1.5 Plans.0.Shares=1 Plans.0.Pays=0.75" +
	" Plans.0.CeilingRate=20 Plans.0.CapDepth=40 Plans.0.CapSlack=5" +
	" Plans.1.Name=large Plans.1.UsualRate=9 Plans.1.Shares=2 Plans.1.Pays=1.25" +
	" FamilyInfo.ClassWrites=false,true,true FamilyInfo.NShards=4 FamilyInfo.MeanUnits=2.25 FamilyInfo.MostUnits=7" +
	" FamilyInfo.FairWorth=0.6 FamilyInfo.IdleWorth=0.3 FamilyInfo.ColdBears=11 FamilyInfo.UsePeriodMs=1000" +
	" FamilyInfo.TellsElsewhere=true" +
	" Limits.AttemptsCap=3 Limits.MayDuplicate=true Limits.Cancel=1 Limits.Probing=true Limits.RetryAfter=true" +
	" Limits.MaxRetryAfterMs=450" +
	" Invariants.AskWithinMs=8000 Invariants.GraceToAnswerMs=60 Invariants.DrainGraceMs=1100 Invariants.StartCapacity=0.2" +
	" Invariants.RampTimeMs=14000 Invariants.FallMultiple=2.5 Invariants.FallMs=3100 Invariants.KeyRestMs=240" +
	" Invariants.CountedOverMs=9000 Invariants.ExtraFloor=10 Invariants.ExtraRatio=0.15" +
	" Report.Fields=queue,util"

// eventBatches contains every kind of event, with present, absent and unknown values.
const eventBatches = `CLOCK 1000.5 1
END
CLOCK 1002.75 2
TARGET_INSTANCE 3
OPEN_INSTANCE 18446744073709551615 ` + fullSettings + `
BACKENDS_CHANGED 41 stale_copy 3
ITEM 1 live small - 0 501 east
ITEM 1.5 quiescing big 610.25 1 502 west
ITEM - resting - - 2 503 -
NEW_REQUEST 7001 get small 42 240.5 9001 2.5 0 3 1
NEW_REQUEST 7002 put - - 240 - - - - -
NEW_REQUEST 7003 run large 9007199254740991 1000 9003 1 -1 2 6
REMINDER 77
TARGET_INSTANCE 4
OPEN_INSTANCE 1 Lanes.count=0
BACKENDS_CHANGED 42 patch 1
ITEM 2 dead big 0 3 504 west
BACKENDS_CHANGED 43 whole 0
BACKENDS_CHANGED - broken -
END
CLOCK 1100 3
TARGET_INSTANCE 3
STREAMING 7001 9.25 501 1
CLOSED_ATTEMPT 7001 18.5 86 1 10 3 501 0 7,0.5
CLOSED_ATTEMPT 7001 18 - 0 20 - 501 1 -
CLOSED_ATTEMPT 7001 18 0 0 30 - 501 2 7,-
CLOSED_ATTEMPT 7001 - 1 0 40 0 501 3 -
CLOSED_ATTEMPT 7001 18 - 0 50 0 501 4 -
CLOSED_ATTEMPT 7001 18 - 0 60 0 501 5 -
CLOSED_ATTEMPT 7001 18 - 0 70 0 501 6 -
CLOSED_ATTEMPT 7001 18 - 0 80 0 501 7 -
STATUS_BACK 1.4 10 502 3,0.25
STATUS_BACK - 50 502 -
FROM_PEER 2 68692037
DROPPED 7002
KILL
SOLAR_FLARE 1 2 x
END
`

// formatValue formats a value like %v, except that it prints enumerations as numbers instead of names.
func formatValue(value reflect.Value) string {
	var parts []string
	switch value.Kind() {
	case reflect.Invalid:
		return "<nil>"
	case reflect.Uint8:
		return strconv.FormatUint(value.Uint(), 10)
	case reflect.Struct:
		for i := range value.NumField() {
			parts = append(parts, formatValue(value.Field(i)))
		}
		return "{" + strings.Join(parts, " ") + "}"
	case reflect.Slice:
		for i := range value.Len() {
			parts = append(parts, formatValue(value.Index(i)))
		}
		return "[" + strings.Join(parts, " ") + "]"
	default:
		return fmt.Sprint(value)
	}
}

// formatBatch formats the fields of a batch and its items in the order of their declaration, without names.
func formatBatch(batch *simwire.Batch) string {
	var out strings.Builder
	fmt.Fprintf(&out, "batch %q at %d\n", batch.Seq, batch.Now)
	for _, item := range batch.Items {
		if item.Kind == simwire.InstanceOpened {
			fmt.Fprintf(&out, "%d %d seed %d %s\n", item.Kind, item.Instance, item.Seed,
				formatValue(reflect.ValueOf(item.Settings)))
		} else {
			fmt.Fprintf(&out, "%d %d %s\n", item.Kind, item.Instance, formatValue(reflect.ValueOf(item.Event)))
		}
	}
	return out.String()
}

func TestGoldenEvents(t *testing.T) {
	var out strings.Builder
	for reader := simwire.NewReader(strings.NewReader(eventBatches)); ; {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString(formatBatch(batch))
	}
	testbed.CompareGolden(t, "events", out.String())
}

func TestGoldenMalformedInput(t *testing.T) {
	const open = "CLOCK 1 1\nTARGET_INSTANCE 3\n"
	var out strings.Builder
	for _, c := range []struct{ name, text string }{
		{"empty input", ""},
		{"no CLOCK", "END\n"},
		{"CLOCK without time", "CLOCK\nEND\n"},
		{"CLOCK with a bad time", "CLOCK soon 1\nEND\n"},
		{"CLOCK without number", "CLOCK 1\nEND\n"},
		{"no END", open + "DROPPED 7\n"},
		{"cut off", open + "DROPPED 7"},
		{"no instance", "CLOCK 1 1\nDROPPED 7\nEND\n"},
		{"bad instance", "CLOCK 1 1\nTARGET_INSTANCE x\nEND\n"},
		{"bad seed", open + "OPEN_INSTANCE seed\nEND\n"},
		{"bad setting", open + "OPEN_INSTANCE 5 Siblings=three\nEND\n"},
		{"bad time setting", open + "OPEN_INSTANCE 5 TickMs=x\nEND\n"},
		{"bad request id without key", open + "NEW_REQUEST 4294967296 get small - 1 1 1 0 1 0\nEND\n"},
		// The batch of the next test case is accepted, because parsing the key clears the error of the id.
		{"bad request id with key", open + "NEW_REQUEST 4294967296 get small 1 1 1 1 0 1 0\nEND\n"},
		{"missing class", open + "NEW_REQUEST 7\nEND\n"},
		{"bad key", open + "NEW_REQUEST 7 get small k 1 1 1 0 1 0\nEND\n"},
		{"missing patience", open + "NEW_REQUEST 7 get small 1\nEND\n"},
		{"bad units", open + "NEW_REQUEST 7 get small 1 1 1 NaN 0 1 0\nEND\n"},
		{"bad shard", open + "NEW_REQUEST 7 get small 1 1 1 1 s 1 0\nEND\n"},
		{"bad options", open + "NEW_REQUEST 7 get small 1 1 1 1 0 1 -2\nEND\n"},
		{"bad timer", open + "REMINDER\nEND\n"},
		{"bad stream", open + "STREAMING 7 1 5\nEND\n"},
		{"bad drop", open + "DROPPED x7\nEND\n"},
		{"unknown status", open + "CLOSED_ATTEMPT 7 1 - 0 11 0 5 0 -\nEND\n"},
		{"bad latency", open + "CLOSED_ATTEMPT 7 Inf - 0 10 0 5 0 -\nEND\n"},
		{"bad report", open + "CLOSED_ATTEMPT 7 1 - 0 10 0 5 0 1,x\nEND\n"},
		{"missing status", open + "STATUS_BACK 1\nEND\n"},
		{"bad node", open + "STATUS_BACK 1 10 n5 -\nEND\n"},
		{"unknown scope", open + "BACKENDS_CHANGED 1 half 0\nEND\n"},
		{"short list", open + "BACKENDS_CHANGED 1 whole 2\nITEM 1 live k 0 0 5 z\nEND\n"},
		{"bad list entry", open + "BACKENDS_CHANGED 1 whole 1\nITEM 1 live k 0 0 n5 z\nEND\n"},
		{"entry without state", open + "BACKENDS_CHANGED 1 whole 1\nITEM 1\nEND\n"},
	} {
		_, err := simwire.NewReader(strings.NewReader(c.text)).Next()
		fmt.Fprintf(&out, "%s: %v\n", c.name, err)
	}
	testbed.CompareGolden(t, "malformed", out.String())
}

func TestGoldenReplies(t *testing.T) {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	simwire.WriteActions(w, 3, []scheduler.Action{
		scheduler.Send{ID: 7001, Server: 501, Timeout: 80*time.Millisecond + 125*time.Microsecond},
		scheduler.Send{ID: 4294967295, Server: 4294967295, StartDeadline: time.Second},
		scheduler.Send{ID: 7001, Server: 501, Timeout: -time.Millisecond},
		scheduler.Reject{ID: 7002, RetryAfter: 250 * time.Millisecond},
		scheduler.Reject{ID: 7003},
		scheduler.Fail{ID: 7004},
		scheduler.CancelAttempt{ID: 7001, Attempt: 1},
		scheduler.WatchEndpoints{},
		scheduler.ProbeServer{Server: 502},
		scheduler.SetTimer{At: 8912250 * time.Microsecond},
		scheduler.QuotaDemand{},
		scheduler.Log{Text: "two servers known"},
	})
	simwire.WriteActions(w, 4, nil)
	simwire.WriteFailure(w, 5, "index out of range\nsecond line")
	simwire.WriteEnd(w, &simwire.Batch{Seq: "12"})
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	testbed.CompareGolden(t, "replies", out.String())
}

// roundsBatches contains several rounds of two instances: requests, outcomes, a stream, a drain, a kill and a restart.
// Some outcomes belong to attempts that the scheduler never sent. Such outcomes must not change anything.
const roundsBatches = `CLOCK 500 1
END
CLOCK 1000 2
TARGET_INSTANCE 0
OPEN_INSTANCE 11 ` + fullSettings + `
BACKENDS_CHANGED 41 stale_copy 4
ITEM 1 live small - 0 501 east
ITEM 1 live small - 1 502 west
ITEM 1 live big - 2 503 east
ITEM 1 live big - 3 504 west
TARGET_INSTANCE 1
OPEN_INSTANCE 12 ` + fullSettings + `
BACKENDS_CHANGED 41 stale_copy 2
ITEM 1 live small - 0 501 east
ITEM 1 live small 990.5 1 502 west
END
CLOCK 1010 3
TARGET_INSTANCE 0
BACKENDS_CHANGED 41 whole 4
ITEM 1 live small - 0 501 east
ITEM 1 live small - 1 502 west
ITEM 1 live big - 2 503 east
ITEM 1 live big - 3 504 west
NEW_REQUEST 7001 get small 42 700 9001 2.5 0 3 0
NEW_REQUEST 7002 put large 43 900 9002 1 1 3 4
NEW_REQUEST 7003 put large 43 900 9002 1 1 3 4
NEW_REQUEST 7004 run large - 900 9002 1 2 3 4
NEW_REQUEST 7005 get large - 900 9003 1 -1 3 4
NEW_REQUEST 7006 nothing large - 900 9003 1 0 3 0
TARGET_INSTANCE 1
BACKENDS_CHANGED - broken -
NEW_REQUEST 8001 get small 42 700 9001 2 0 3 2
END
CLOCK 1020 4
TARGET_INSTANCE 0
REMINDER 1
TARGET_INSTANCE 1
REMINDER 1
END
CLOCK 1030 5
TARGET_INSTANCE 0
STREAMING 7001 15.5 501 0
CLOSED_ATTEMPT 7002 18.5 86 1 10 3 502 0 7,0.5
CLOSED_ATTEMPT 7004 18.5 - 0 30 - 503 0 9,0.9
CLOSED_ATTEMPT 7005 18.5 - 0 50 - 504 0 -
TARGET_INSTANCE 1
CLOSED_ATTEMPT 8001 18.5 - 0 20 - 501 0 1,0.5
END
CLOCK 1300 6
TARGET_INSTANCE 0
REMINDER 1
CLOSED_ATTEMPT 7001 250 - 1 10 - 501 0 1,0.1
BACKENDS_CHANGED 42 patch 2
ITEM 1 quiescing small - 0 501 east
ITEM 1 live small 1200 1 502 west
NEW_REQUEST 7007 get small 44 700 9001 2.5 0 3 0
NEW_REQUEST 7008 get small 44 700 9001 2.5 1 3 0
TARGET_INSTANCE 1
REMINDER 1
DROPPED 8001
END
CLOCK 2500 7
TARGET_INSTANCE 0
REMINDER 1
TARGET_INSTANCE 1
KILL
OPEN_INSTANCE 13 ` + fullSettings + `
BACKENDS_CHANGED 42 stale_copy 1
ITEM 1 live small - 1 502 west
NEW_REQUEST 8002 get large 45 700 9004 1 1 3 0
END
`

// runBatches passes the batches in input to one scheduler for each instance, as the simulator's adapter does, and returns the replies.
func runBatches(t *testing.T, input string) string {
	t.Helper()
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	schedulers := map[int]*scheduler.Scheduler{}
	for reader := simwire.NewReader(strings.NewReader(input)); ; {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			if err := w.Flush(); err != nil {
				t.Fatal(err)
			}
			return out.String()
		}
		if err != nil {
			t.Fatal(err)
		}
		applyBatch(t, w, schedulers, batch)
		simwire.WriteEnd(w, batch)
	}
}

// applyBatch applies the items of a batch and writes the actions. Consecutive events of an instance form one step.
func applyBatch(t *testing.T, w *bufio.Writer, schedulers map[int]*scheduler.Scheduler, batch *simwire.Batch) {
	t.Helper()
	var events []scheduler.Event
	for i, item := range batch.Items {
		switch item.Kind {
		case simwire.InstanceKilled:
			delete(schedulers, item.Instance)
		case simwire.InstanceOpened:
			scheduler, err := scheduler.New(item.Settings, item.Seed)
			if err != nil {
				t.Fatal(err)
			}
			schedulers[item.Instance] = scheduler
		default:
			events = append(events, item.Event)
			if i+1 < len(batch.Items) && batch.Items[i+1].Kind == simwire.EventOccurred && batch.Items[i+1].Instance == item.Instance {
				continue
			}
			simwire.WriteActions(w, item.Instance, schedulers[item.Instance].Step(batch.Now, events))
			events = nil
		}
	}
}

func TestGoldenRounds(t *testing.T) {
	testbed.CompareGolden(t, "rounds", runBatches(t, roundsBatches))
}
