package simwire

import (
	"bufio"
	"fmt"
	"strings"

	"gaugerelay/internal/scheduler"
)

// WriteActions writes the actions of one instance, in their order; with none it writes nothing. Errors of w remain in w.
func WriteActions(w *bufio.Writer, instance int, actions []scheduler.Action) {
	if len(actions) == 0 {
		return
	}
	writeInstance(w, instance)
	for _, action := range actions {
		writeAction(w, action)
	}
}

// writeAction writes one line, or nothing for an action that the simulator does not know.
func writeAction(w *bufio.Writer, action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Send:
		fmt.Fprintf(w, "FORWARD %d %s %d\n", a.ID, toMs(a.Timeout), a.Server)
	case scheduler.Reject:
		fmt.Fprintf(w, "NOT_NOW %d %s\n", a.ID, toMs(a.RetryAfter))
	case scheduler.Fail:
		fmt.Fprintf(w, "END_FAILED %d\n", a.ID)
	case scheduler.CancelAttempt:
		fmt.Fprintf(w, "CANCEL %d %d\n", a.ID, a.Attempt)
	case scheduler.WatchEndpoints:
		fmt.Fprintf(w, "LISTEN 1\n")
	case scheduler.ProbeServer:
		fmt.Fprintf(w, "PROBE %d\n", a.Server)
	case scheduler.SetTimer:
		fmt.Fprintf(w, "SET_TIMER 1 %s\n", toMs(a.At))
	case scheduler.Log:
		fmt.Fprintf(w, "DEBUG %s\n", a.Text)
	}
}

// WriteFailure writes that the scheduler of an instance has failed, for instance by a panic.
func WriteFailure(w *bufio.Writer, instance int, reason string) {
	writeInstance(w, instance)
	fmt.Fprintf(w, "GIVE_IN %s\n", strings.ReplaceAll(reason, "\n", " "))
}

func writeInstance(w *bufio.Writer, instance int) { fmt.Fprintf(w, "FOR %d\n", instance) }

// WriteEnd ends the reply to a batch.
func WriteEnd(w *bufio.Writer, batch *Batch) { fmt.Fprintf(w, "FINISHED %s\n", batch.Seq) }
