package simwire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"gaugerelay/internal/scheduler"
)

// readBatch reads the first batch from a text.
func readBatch(t *testing.T, text string) *Batch {
	t.Helper()
	batch, err := NewReader(strings.NewReader(text)).Next()
	if err != nil {
		t.Fatal(err)
	}
	return batch
}

func TestReaderParsesEvents(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name, lines string
		want        scheduler.Event
	}{
		{"request", "NEW_REQUEST 7 read gold 42 240.5 9 2 3 2 6", scheduler.RequestArrived{ID: 7, Class: "read",
			Plan: "gold", Key: 42, Remaining: 240500 * time.Microsecond, Volume: 9, Units: 2, Shard: 3, Gateways: 2, IsRetry: true}},
		{"request without key, new object", "NEW_REQUEST 7 read gold - 240 9 1 -1 2 0", scheduler.RequestArrived{ID: 7,
			Class: "read", Plan: "gold", Key: scheduler.NoKey, Remaining: 240 * ms, Volume: 9, Units: 1, Shard: -1, Gateways: 2}},
		{"outcome", "CLOSED_ATTEMPT 7 18.5 86 1 10 3 51 0 7,3", scheduler.AttemptEnded{ID: 7, Latency: 18500 * time.Microsecond,
			VolumeUsage: 0.85, HasVolumeUsage: true, RequestDone: true, Status: scheduler.StatusOK, ForeignUnits: 3, Server: 51,
			LoadReport: []float64{7, 3}}},
		{"outcome without measurements", "CLOSED_ATTEMPT 7 18 - 0 40 - 51 2 -", scheduler.AttemptEnded{ID: 7,
			Latency: 18 * ms, Status: scheduler.StatusTimedOut, Server: 51, Attempt: 2}},
		{"probe", "STATUS_BACK 1 10 51 7,3", scheduler.ProbeEnded{Latency: ms, Server: 51, LoadReport: []float64{7, 3}}},
		{"dropped", "DROPPED 7", scheduler.RequestCanceled{ID: 7}},
		{"timer", "REMINDER 77", scheduler.TimerFired{}},
		{"stream", "STREAMING 7 9 51 1", scheduler.ResponseStarted{ID: 7, Latency: 9 * ms, Server: 51, Attempt: 1}},
		{"list", "BACKENDS_CHANGED 41 patch 1\nITEM 1.5 quiescing fast 6100 4 74 here", scheduler.EndpointUpdate{Version: 41,
			Servers: []scheduler.Server{{ID: 74, State: scheduler.Draining, Shard: 4, StartedAt: 6100 * ms, Kind: "fast",
				Zone: "here", Size: 1.5}}}},
		{"failed watch", "BACKENDS_CHANGED 41 broken 0", scheduler.EndpointUpdate{Version: 41, Kind: scheduler.WatchFailed}},
		{"fields of a later wire", "DROPPED 7 and more", scheduler.RequestCanceled{ID: 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			batch := readBatch(t, "CLOCK 8412.25 12\nTARGET_INSTANCE 3\n"+c.lines+"\nEND\n")
			if len(batch.Items) != 1 || batch.Now != 8412250*time.Microsecond || batch.Seq != "12" || batch.Items[0].Instance != 3 {
				t.Fatalf("got batch %+v, want one item of instance 3, time 8412.25 ms and number 12", batch)
			}
			if got := batch.Items[0].Event; !reflect.DeepEqual(got, c.want) {
				t.Errorf("got  %+v\nwant %+v", got, c.want)
			}
		})
	}
}

// Unknown lines belong to a later version of the protocol and must be skipped.
func TestReaderSkipsUnknownEvents(t *testing.T) {
	batch := readBatch(t, "CLOCK 1 1\nTARGET_INSTANCE 3\nSOLAR_FLARE 1 2 x\nDROPPED 7\nEND\n")
	if len(batch.Items) != 1 {
		t.Fatalf("got items %+v, want one", batch.Items)
	}
}

// A malformed batch must be reported by an error other than io.EOF, which would mean that the input ends between two batches. The text
// of the error must not contain a line break.
func TestReaderReportsMalformedInputInOneLine(t *testing.T) {
	for name, text := range map[string]string{
		"no END":           "CLOCK 1 1\nTARGET_INSTANCE 3\nDROPPED 7\n",
		"not a number":     "CLOCK 1 1\nTARGET_INSTANCE 3\nDROPPED x7\nEND\n",
		"cut off":          "CLOCK 1 1\nTARGET_INSTANCE 3\nDROPPED 7",
		"missing value":    "CLOCK 1 1\nTARGET_INSTANCE 3\nNEW_REQUEST 7 read\nEND\n",
		"unknown status":   "CLOCK 1 1\nTARGET_INSTANCE 3\nCLOSED_ATTEMPT 7 1 - 0 11 0 5 0 -\nEND\n",
		"bad setting":      "CLOCK 1 1\nTARGET_INSTANCE 3\nOPEN_INSTANCE 5 Siblings=three\nEND\n",
		"short list":       "CLOCK 1 1\nTARGET_INSTANCE 3\nBACKENDS_CHANGED 1 whole 2\nITEM 1 live k 0 0 5 z\nEND\n",
		"no instance":      "CLOCK 1 1\nDROPPED 7\nEND\n",
		"no CLOCK":         "END\n",
		"number too large": "CLOCK 1 1\nTARGET_INSTANCE 3\nDROPPED 99999999999\nEND\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(text)).Next()
			if err == nil || errors.Is(err, io.EOF) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want a single-line error other than io.EOF", err)
			}
		})
	}
}
