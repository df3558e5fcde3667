package main

import (
	"bytes"
	"strings"
	"testing"
)

// setup is input that opens an instance with one class, one plan and one server.
const setup = "OPEN_INSTANCE 5 Lanes.count=1 Lanes.0.Name=read Lanes.0.PromiseMs=500.0 Lanes.0.DeadlineMs=3000.0" +
	" Lanes.0.Idempotency=repeatable Lanes.0.Worth=2.0 Plans.count=1 Plans.0.Name=gold Plans.0.Shares=1.0" +
	" Plans.0.Pays=1.0 Siblings=2 FamilyInfo.NShards=1 FamilyInfo.MeanUnits=2.0 Limits.AttemptsCap=4 TickMs=2.0\n" +
	"BACKENDS_CHANGED 1 stale_copy 1\nITEM 1 live k - 0 51 z\n"

// reply returns the whole output for the given input, which must be valid.
func reply(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestHostAnswersRequest(t *testing.T) {
	got := reply(t, "CLOCK 1000 1\nEND\n"+
		"CLOCK 1002 2\nTARGET_INSTANCE 0\n"+setup+"END\n"+
		"CLOCK 1004 3\nTARGET_INSTANCE 0\nNEW_REQUEST 7 read gold 42 3000 9 2 0 1 0\nEND\n"+
		"CLOCK 1054 4\nTARGET_INSTANCE 0\nCLOSED_ATTEMPT 7 50 - 1 10 0 51 0 -\nEND\n")
	for _, want := range []string{"FINISHED 1\nFINISHED 2\nFOR 0\nFORWARD 7 - 51\n", "FINISHED 3\n", "FINISHED 4\n"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in the output\n%s", want, got)
		}
	}
	if strings.Contains(got, "END_FAILED") || strings.Contains(got, "NOT_NOW") {
		t.Errorf("the request was rejected or failed, want it to succeed, in the output\n%s", got)
	}
}

// TestHostReopensInstanceInOneBatch checks that an instance that is killed and opened again in the same batch gets a new scheduler.
// The new scheduler forwards request 8 and does not know request 7 of the killed one, so request 7 is never answered.
func TestHostReopensInstanceInOneBatch(t *testing.T) {
	got := reply(t, "CLOCK 1002 1\nTARGET_INSTANCE 0\n"+setup+"NEW_REQUEST 7 read gold 42 3000 9 2 0 1 0\nEND\n"+
		"CLOCK 1004 2\nTARGET_INSTANCE 0\nKILL\n"+setup+"NEW_REQUEST 8 read gold 43 3000 9 2 0 1 0\nEND\n"+
		"CLOCK 5000 3\nTARGET_INSTANCE 0\nREMINDER 1\nEND\n")
	if !strings.Contains(got, "FORWARD 8 ") || strings.Contains(got, "END_FAILED 7") || strings.Contains(got, "NOT_NOW 7") {
		t.Errorf("got\n%s", got)
	}
}

func TestRunRejectsInvalidSettingsAndInput(t *testing.T) {
	for _, in := range []string{"CLOCK 1 1\nTARGET_INSTANCE 0\nOPEN_INSTANCE 5 Siblings=2\nEND\n", "CLOCK 1 1\n", "HELLO\n"} {
		var out bytes.Buffer
		if err := run(strings.NewReader(in), &out); err == nil {
			t.Errorf("run returned no error for the invalid input %q", in)
		}
	}
}
