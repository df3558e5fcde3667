package simwire

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"gaugerelay/internal/scheduler"
)

func TestWriteActions(t *testing.T) {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	WriteActions(w, 3, []scheduler.Action{scheduler.Send{ID: 7, Server: 51, Timeout: 80 * time.Millisecond},
		scheduler.Send{ID: 8, Server: 51}, scheduler.Reject{ID: 9, RetryAfter: 250 * time.Millisecond}, scheduler.Fail{ID: 10},
		scheduler.CancelAttempt{ID: 7, Attempt: 1}, scheduler.WatchEndpoints{}, scheduler.ProbeServer{Server: 51},
		scheduler.SetTimer{At: 8912250 * time.Microsecond}, scheduler.Log{Text: "hello"}})
	WriteActions(w, 4, nil)
	WriteEnd(w, &Batch{Seq: "12"})
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	want := "FOR 3\nFORWARD 7 80 51\nFORWARD 8 - 51\nNOT_NOW 9 250\nEND_FAILED 10\nCANCEL 7 1\nLISTEN 1\nPROBE 51\n" +
		"SET_TIMER 1 8912.25\nDEBUG hello\nFINISHED 12\n"
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}
