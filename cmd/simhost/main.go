// Command simhost hosts schedulers on the simulator's wire: standard input to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), bufio.NewWriterSize(out, 1<<20)
	hosts := map[int]*scheduler.Scheduler{}
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := 0; i < len(b.Items); {
			it := b.Items[i]
			switch it.Kind {
			case simwire.InstanceKilled:
				delete(hosts, it.Instance)
				i++
			case simwire.InstanceOpened:
				s, err := scheduler.New(it.Settings, it.Seed)
				if err != nil {
					return fmt.Errorf("instance %d: %w", it.Instance, err)
				}
				hosts[it.Instance] = s
				i++
			default: // all that follows for the same life of this instance is one step
				var events []scheduler.Event
				for ; i < len(b.Items) && b.Items[i].Instance == it.Instance &&
					b.Items[i].Kind == simwire.EventOccurred; i++ {
					events = append(events, b.Items[i].Event)
				}
				if s := hosts[it.Instance]; s != nil {
					step(w, it.Instance, s, b, events)
				}
			}
		}
		simwire.WriteEnd(w, b)
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// step runs one instance; a panic there becomes GIVE_IN.
func step(w *bufio.Writer, inst int, s *scheduler.Scheduler, b *simwire.Batch, events []scheduler.Event) {
	defer func() {
		if p := recover(); p != nil {
			simwire.WriteFailure(w, inst, fmt.Sprint(p))
		}
	}()
	simwire.WriteActions(w, inst, s.Step(b.Now, events))
}
