// Package wire parses the simulator's text wire and prints replies to it. It decides nothing.
package simwire

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"gaugerelay/internal/scheduler"
)

// ItemKind is what an Item holds.
type ItemKind uint8

// The kinds of item.
const (
	EventOccurred  ItemKind = iota // an Event for a running instance
	InstanceOpened                 // an instance has come up
	InstanceKilled                 // an instance has ended
)

// Item is one entry of a batch, in the order of the wire.
type Item struct {
	Kind     ItemKind
	Instance int
	Seed     uint64             // with Opened
	Settings scheduler.Settings // with Opened
	Event    scheduler.Event    // with Happened
}

// Batch is everything that happens at one moment.
type Batch struct {
	Now   time.Duration
	Seq   string
	Items []Item
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<20)} }

// next returns the fields of the next line.
func (r *Reader) next() ([]string, error) {
	text, err := r.in.ReadString('\n')
	if err == io.EOF && text != "" {
		return nil, fmt.Errorf("line %d: cut off at the end of input", r.line+1)
	}
	if err != nil {
		return nil, err
	}
	r.line++
	return strings.Split(strings.TrimRight(text, "\r\n"), " "), nil
}

// fields is a cursor over the values of a line. The first bad value is kept in err.
type fields struct {
	name string
	vals []string
	err  error
}

// text takes the next value; "-" or a missing optional one reads as "".
func (f *fields) text(what string, optional bool) string {
	if len(f.vals) == 0 {
		if !optional && f.err == nil {
			f.err = fmt.Errorf("%s: %s is missing", f.name, what)
		}
		return ""
	}
	v := f.vals[0]
	f.vals = f.vals[1:]
	if v == "-" {
		v = ""
	}
	if v == "" && !optional && f.err == nil {
		f.err = fmt.Errorf("%s: %s is missing", f.name, what)
	}
	return v
}

func (f *fields) number(what string, optional bool) float64 {
	v := f.text(what, optional)
	if v == "" {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if (err != nil || math.IsNaN(x) || math.IsInf(x, 0)) && f.err == nil {
		f.err = fmt.Errorf("%s: %s is not a number: %q", f.name, what, v)
	}
	return x
}

func (f *fields) whole(what string, bits int, optional bool) uint64 {
	v := f.text(what, optional)
	if v == "" {
		return 0
	}
	x, err := strconv.ParseUint(v, 10, bits)
	if err != nil && f.err == nil {
		f.err = fmt.Errorf("%s: %s is not a whole number in range: %q", f.name, what, v)
	}
	return x
}

func (f *fields) ms(what string, optional bool) time.Duration {
	return ms(f.number(what, optional))
}

func ms(x float64) time.Duration { return time.Duration(math.Round(x * 1e6)) }

func (f *fields) row(what string) []float64 {
	v := f.text(what, true)
	if v == "" {
		return nil
	}
	parts := strings.Split(v, ",")
	out := make([]float64, len(parts))
	for i, p := range parts {
		one := fields{name: f.name, vals: []string{p}}
		out[i] = one.number(what, true)
		if one.err != nil && f.err == nil {
			f.err = one.err
		}
	}
	return out
}

var statuses = map[uint64]scheduler.Status{
	10: scheduler.StatusOK, 20: scheduler.StatusError, 30: scheduler.StatusOverloaded, 40: scheduler.StatusTimedOut,
	50: scheduler.StatusConnectFailed, 60: scheduler.StatusConnectionReset, 70: scheduler.StatusCanceled, 80: scheduler.StatusNotSent,
}

var scopes = map[string]scheduler.UpdateKind{
	"patch": scheduler.Delta, "whole": scheduler.Snapshot, "stale_copy": scheduler.CachedSnapshot, "broken": scheduler.WatchFailed,
}

var states = map[string]scheduler.ServerState{
	"live": scheduler.Ready, "quiescing": scheduler.Draining, "dead": scheduler.Removed,
}

func (f *fields) status() scheduler.Status {
	code := f.whole("Status", 32, false)
	s, ok := statuses[code]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("%s: unknown status %d", f.name, code)
	}
	return s
}

// Next reads a batch. At the end of input it returns io.EOF.
func (r *Reader) Next() (*Batch, error) {
	head, err := r.next()
	if err != nil {
		return nil, err
	}
	f := &fields{name: head[0], vals: head[1:]}
	if head[0] != "CLOCK" {
		return nil, fmt.Errorf("line %d: CLOCK expected, got %q", r.line, head[0])
	}
	b := &Batch{Now: f.ms("time", false), Seq: f.text("number", false)}
	inst := -1
	for f.err == nil {
		vals, err := r.next()
		if err == io.EOF {
			return nil, fmt.Errorf("line %d: END is missing", r.line)
		}
		if err != nil {
			return nil, err
		}
		f = &fields{name: vals[0], vals: vals[1:]}
		switch vals[0] {
		case "END":
			return b, nil
		case "TARGET_INSTANCE":
			inst = int(f.whole("Gateway", 31, false))
			continue
		}
		item, known, err := r.item(f)
		if err != nil {
			return nil, err
		}
		if known && f.err == nil {
			if inst < 0 {
				f.err = fmt.Errorf("%s: no TARGET_INSTANCE before it", f.name)
			}
			item.Instance = inst
			b.Items = append(b.Items, item)
		}
	}
	return nil, fmt.Errorf("line %d: %w", r.line, f.err)
}

// item reads one event. Unknown names are not known and are skipped.
func (r *Reader) item(f *fields) (it Item, known bool, err error) {
	switch f.name {
	case "OPEN_INSTANCE":
		it.Kind = InstanceOpened
		it.Seed = f.whole("Prng", 64, false)
		it.Settings = parseSettings(f)
	case "KILL":
		it.Kind = InstanceKilled
	case "BACKENDS_CHANGED":
		it.Event, err = r.nodeList(f)
	case "NEW_REQUEST":
		a := scheduler.RequestArrived{ID: scheduler.RequestID(f.whole("Ref", 32, false)),
			Class: f.text("TierClass", false), Plan: f.text("PolicyNo", true), Key: scheduler.NoKey}
		if k := f.text("Region", true); k != "" {
			one := fields{name: f.name, vals: []string{k}}
			a.Key = one.whole("Region", 64, false)
			f.err = one.err
		}
		a.TTL = f.ms("TtlMs", false)
		a.Volume = scheduler.VolumeID(f.whole("StoreUser", 64, true))
		a.Units = f.number("QuotaUnits", true)
		if sh := f.text("Shard", true); sh == "" {
			a.Shard = -1
		} else {
			one := fields{name: f.name, vals: []string{sh}}
			a.Shard = int(one.number("Shard", false))
			if f.err == nil {
				f.err = one.err
			}
		}
		a.Gateways = int(f.number("NHosts", true))
		a.IsRetry = f.whole("Opts", 63, true)&2 != 0
		it.Event = a
	case "REMINDER":
		f.whole("KeyBack", 63, false)
		it.Event = scheduler.TimerFired{}
	case "STREAMING":
		s := scheduler.ResponseStarted{ID: scheduler.RequestID(f.whole("Ref", 32, false))}
		s.Latency = f.ms("LagMs", true)
		s.Server = scheduler.ServerID(f.whole("Store", 32, false))
		s.Attempt = int(f.whole("Shot", 31, false))
		it.Event = s
	case "DROPPED":
		it.Event = scheduler.RequestCanceled{ID: scheduler.RequestID(f.whole("Ref", 32, false))}
	case "STATUS_BACK":
		p := scheduler.ProbeEnded{Latency: f.ms("LagMs", true), Status: f.status()}
		p.Server = scheduler.ServerID(f.whole("Store", 32, false))
		p.LoadReport = f.row("ServerStats")
		it.Event = p
	case "CLOSED_ATTEMPT":
		o := scheduler.AttemptEnded{ID: scheduler.RequestID(f.whole("Ref", 32, false))}
		o.Latency = f.ms("LagMs", true)
		if use := f.number("VolumeUse", true); use > 0 {
			o.VolumeUsage, o.HasVolumeUsage = (use-1)/100, true
		}
		o.RequestDone = f.text("Terminal", true) == "1"
		o.Status = f.status()
		o.ForeignUnits = f.number("ForeignUnits", true)
		o.Server = scheduler.ServerID(f.whole("Store", 32, false))
		o.Attempt = int(f.whole("Shot", 31, false))
		o.LoadReport = f.row("ServerStats")
		it.Event = o
	default:
		return it, false, nil
	}
	return it, true, err
}

func (r *Reader) nodeList(f *fields) (scheduler.Event, error) {
	l := scheduler.EndpointUpdate{Version: f.whole("Epoch", 64, true)}
	name := f.text("Scope", false)
	scope, ok := scopes[name]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("%s: unknown scope %q", f.name, name)
	}
	l.Kind = scope
	count := f.whole("NodesList", 31, true)
	for i := uint64(0); i < count && f.err == nil; i++ {
		vals, err := r.next()
		if err != nil || vals[0] != "ITEM" {
			return nil, fmt.Errorf("line %d: %d of %d ITEM lines came", r.line, i, count)
		}
		g := &fields{name: "ITEM", vals: vals[1:]}
		n := scheduler.Server{Size: g.number("Share", true)}
		st := g.text("Readiness", false)
		state, ok := states[st]
		if !ok {
			state = scheduler.Draining // a state of a later wire: known, not to be sent to
		}
		n.State = state
		n.Kind = g.text("ClassOfHost", true)
		n.StartedAt = g.ms("CameUpMs", true)
		n.Shard = int(g.number("Block", true))
		n.ID = scheduler.ServerID(g.whole("Store", 32, false))
		n.Zone = g.text("Dc", true)
		f.err = g.err
		l.Servers = append(l.Servers, n)
	}
	return l, nil
}

// WriteActions prints the actions of one instance.
func WriteActions(w *bufio.Writer, inst int, actions []scheduler.Action) {
	if len(actions) == 0 {
		return
	}
	fmt.Fprintf(w, "FOR %d\n", inst)
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.Send:
			fmt.Fprintf(w, "FORWARD %d %s %d\n", a.ID, printMs(a.Timeout), a.Server)
		case scheduler.Reject:
			fmt.Fprintf(w, "NOT_NOW %d %s\n", a.ID, printMs(a.RetryAfter))
		case scheduler.Fail:
			fmt.Fprintf(w, "END_FAILED %d\n", a.ID)
		case scheduler.CancelAttempt:
			fmt.Fprintf(w, "CANCEL %d %d\n", a.ID, a.Attempt)
		case scheduler.WatchEndpoints:
			fmt.Fprintf(w, "LISTEN 1\n")
		case scheduler.ProbeServer:
			fmt.Fprintf(w, "PROBE %d\n", a.Server)
		case scheduler.SetTimer:
			fmt.Fprintf(w, "SET_TIMER 1 %s\n", printMs(a.At))
		case scheduler.Log:
			fmt.Fprintf(w, "DEBUG %s\n", a.Text)
		}
	}
}

// WriteFailure prints that the decision code has failed.
func WriteFailure(w *bufio.Writer, inst int, why string) {
	fmt.Fprintf(w, "FOR %d\nGIVE_IN %s\n", inst, strings.ReplaceAll(why, "\n", " "))
}

// WriteEnd ends a reply.
func WriteEnd(w *bufio.Writer, b *Batch) { fmt.Fprintf(w, "FINISHED %s\n", b.Seq) }

func printMs(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return strconv.FormatFloat(float64(d)/1e6, 'f', -1, 64)
}
