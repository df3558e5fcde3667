// Package simwire is the adapter between the scheduler and the simulator's text protocol. It parses batches of events and
// writes replies, and makes no decisions.
//
// A batch is a group of lines from CLOCK to END. Each line is a name and values, separated by single spaces; "-" stands for an absent
// value. Unknown lines, and additional values of known lines, belong to a later version of the protocol and are skipped. The
// names on the wire are those of the simulator. No other package knows them, except that platformsettings knows the names of
// settings.
//
// The package starts no goroutine. Readers and the writer functions are not safe for concurrent use.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"gaugerelay/internal/scheduler"
)

// Names of the lines that delimit batches and select instances.
const (
	lineBatchStart     = "CLOCK"
	lineBatchEnd       = "END"
	lineTargetInstance = "TARGET_INSTANCE"
)

// bufferSize is the size of the reader's buffer in bytes.
const bufferSize = 1 << 20

// noInstance is the instance number before the first TARGET_INSTANCE of a batch.
const noInstance = -1

// ItemKind is the type of an Item.
type ItemKind uint8

// The kinds of items.
const (
	EventOccurred  ItemKind = iota // an event for a running instance
	InstanceOpened                 // an instance starts
	InstanceKilled                 // an instance ends
)

// String returns the kind in lower case, or "unknown".
func (k ItemKind) String() string {
	switch k {
	case EventOccurred:
		return "event occurred"
	case InstanceOpened:
		return "instance opened"
	case InstanceKilled:
		return "instance killed"
	default:
		return "unknown"
	}
}

// Item is one entry of a batch.
type Item struct {
	Kind     ItemKind
	Instance int
	Seed     uint64             // seed of the instance's random numbers; set only if Kind is InstanceOpened
	Settings scheduler.Settings // settings of the instance; set only if Kind is InstanceOpened
	Event    scheduler.Event    // set only if Kind is EventOccurred
}

// Batch holds the items of one batch in the order in which they were received. All of them happen at the same time.
type Batch struct {
	Now   time.Duration // time on the simulator's clock
	Seq   string        // number of the batch, which WriteEnd repeats in the reply
	Items []Item
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int // number of the last line that was read, counted from 1; 0 if no line was read yet
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, bufferSize)} }

// Next reads the next batch. It returns io.EOF if the input ends before the batch, and an error with the line number if the
// batch is malformed or incomplete. The Reader must not be used after an error.
func (r *Reader) Next() (*Batch, error) {
	start, err := r.readLine()
	if err != nil {
		return nil, err
	}
	if start.name != lineBatchStart {
		return nil, fmt.Errorf("line %d: %s expected, got %q", r.line, lineBatchStart, start.name)
	}
	batch := &Batch{Now: start.ms("time"), Seq: start.text("number")}
	if start.err != nil {
		return nil, r.atLine(start.err)
	}
	if err := r.readItems(batch); err != nil {
		return nil, err
	}
	return batch, nil
}

// readItems reads the lines of a batch up to lineBatchEnd.
func (r *Reader) readItems(batch *Batch) error {
	instance := noInstance
	for {
		line, err := r.readLine()
		switch {
		case errors.Is(err, io.EOF):
			return r.atLine(fmt.Errorf("%s is missing", lineBatchEnd))
		case err != nil:
			return err
		case line.name == lineBatchEnd:
			return nil
		case line.name == lineTargetInstance:
			instance = int(line.integer("Gateway", countBits))
		default:
			if err := r.readItem(batch, instance, line); err != nil {
				return err
			}
		}
		if line.err != nil {
			return r.atLine(line.err)
		}
	}
}

// readItem parses the item that begins with the given line, and adds it to the batch as an item of the given instance. It skips an
// item of an unknown type. If the line is malformed, or if no TARGET_INSTANCE line precedes it in the batch, readItem sets line.err
// and adds nothing. It returns an error if the lines of an endpoint list do not follow the given line.
func (r *Reader) readItem(batch *Batch, instance int, line *fieldParser) error {
	item, known, err := r.parseItem(line)
	if err != nil {
		return err
	}
	if !known || line.err != nil {
		return nil
	}
	if instance == noInstance {
		line.fail(fmt.Errorf("%s: no %s before it", line.name, lineTargetInstance))
		return nil
	}
	item.Instance = instance
	batch.Items = append(batch.Items, item)
	return nil
}

// readLine reads the next line and returns a parser of its values.
func (r *Reader) readLine() (*fieldParser, error) {
	text, err := r.in.ReadString('\n')
	if errors.Is(err, io.EOF) && text != "" {
		return nil, fmt.Errorf("line %d: cut off at the end of input", r.line+1)
	}
	if err != nil {
		return nil, err
	}
	r.line++
	fields := strings.Split(strings.TrimRight(text, "\r\n"), " ")
	return &fieldParser{name: fields[0], values: fields[1:]}, nil
}

// atLine prefixes an error with the number of the line that was read last.
func (r *Reader) atLine(err error) error { return fmt.Errorf("line %d: %w", r.line, err) }
