// Command simhost runs schedulers for the simulator. It reads batches of events from standard input and writes the actions
// of the schedulers to standard output until the input ends. It uses a single goroutine.
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

// bufferSize is the size of the output buffer in bytes.
const bufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run reads batches of events and writes the reply to each batch to out, until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	h := &host{out: bufio.NewWriterSize(out, bufferSize), schedulers: map[int]*scheduler.Scheduler{}}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(batch); err != nil {
			return err
		}
	}
}

// host holds the schedulers of all running instances. An instance is a scheduler that the simulator has opened under a number
// and has not killed.
type host struct {
	out        *bufio.Writer
	schedulers map[int]*scheduler.Scheduler // schedulers, keyed by the number of their instance
}

// handle handles the items of a batch in order and writes the reply.
func (h *host) handle(batch *simwire.Batch) error {
	for items := batch.Items; len(items) > 0; {
		item := items[0]
		switch item.Kind {
		case simwire.InstanceKilled:
			delete(h.schedulers, item.Instance)
			items = items[1:]
		case simwire.InstanceOpened:
			opened, err := scheduler.New(item.Settings, item.Seed)
			if err != nil {
				return fmt.Errorf("instance %d: %w", item.Instance, err)
			}
			h.schedulers[item.Instance] = opened
			items = items[1:]
		default:
			events := leadingEvents(items)
			items = items[len(events):]
			h.step(batch, item.Instance, events)
		}
	}
	simwire.WriteEnd(h.out, batch)
	return h.out.Flush()
}

// leadingEvents returns the events at the start of items, up to the first item that is for another instance or is not an
// event. The scheduler of the instance handles them in one step.
func leadingEvents(items []simwire.Item) []scheduler.Event {
	var events []scheduler.Event
	for _, item := range items {
		if item.Instance != items[0].Instance || item.Kind != simwire.EventOccurred {
			break
		}
		events = append(events, item.Event)
	}
	return events
}

// step runs one step of the scheduler of an instance and writes its actions. It does nothing if the instance is not open. A
// panic of the scheduler is written as a failure of the instance.
func (h *host) step(batch *simwire.Batch, instance int, events []scheduler.Event) {
	running := h.schedulers[instance]
	if running == nil {
		return
	}
	defer func() {
		if reason := recover(); reason != nil {
			simwire.WriteFailure(h.out, instance, fmt.Sprint(reason))
		}
	}()
	simwire.WriteActions(h.out, instance, running.Step(batch.Now, events))
}
