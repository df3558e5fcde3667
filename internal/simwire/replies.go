package simwire

import (
	"bufio"
	"fmt"
	"strings"

	"gaugerelay/internal/scheduler"
)

// WriteActions writes the actions of one instance in order. It writes nothing if there are none. A write error is not returned
// here; w.Flush returns it. The same holds for the other Write functions.
func WriteActions(w *bufio.Writer, instance int, actions []scheduler.Action) {
	if len(actions) == 0 {
		return
	}
	writeInstance(w, instance)
	for _, action := range actions {
		writeAction(w, action)
	}
}

// writeAction writes one line, or nothing if the simulator does not know the action.
func writeAction(w *bufio.Writer, action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Send:
		writeLine(w, "FORWARD %d %s %d", a.ID, formatMs(a.Timeout), a.Server)
	case scheduler.Reject:
		writeLine(w, "NOT_NOW %d %s", a.ID, formatMs(a.RetryAfter))
	case scheduler.Fail:
		writeLine(w, "END_FAILED %d", a.ID)
	case scheduler.CancelAttempt:
		writeLine(w, "CANCEL %d %d", a.ID, a.Attempt)
	case scheduler.WatchEndpoints:
		writeLine(w, "LISTEN 1")
	case scheduler.ProbeServer:
		writeLine(w, "PROBE %d", a.Server)
	case scheduler.SetTimer:
		writeLine(w, "SET_TIMER 1 %s", formatMs(a.At))
	case scheduler.Log:
		writeLine(w, "DEBUG %s", a.Text)
	}
}

// WriteFailure reports that the scheduler of an instance has failed, for example with a panic.
func WriteFailure(w *bufio.Writer, instance int, reason string) {
	writeInstance(w, instance)
	writeLine(w, "GIVE_IN %s", strings.ReplaceAll(reason, "\n", " "))
}

func writeInstance(w *bufio.Writer, instance int) { writeLine(w, "FOR %d", instance) }

// WriteEnd writes the end of the reply to a batch.
func WriteEnd(w *bufio.Writer, batch *Batch) { writeLine(w, "FINISHED %s", batch.Seq) }

// writeLine writes one line. A write error is not returned here; w.Flush returns it.
func writeLine(w *bufio.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", values...)
}
