package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/testbed/memnet"
)

// What discovery answers badly, or not at all, ends the call in a bounded time, is counted, and leaves the list as it
// was: what was told before it counts, and nothing that could be read into it does.
func TestSpoiltAnswers(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		list = `{"version":43,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:7070","cell":3,"state":"Ready"}]}` + "\n"
	)
	for name, c := range map[string]struct {
		answer string
		stays  bool // the connection is left open, without another byte
		told   int
		lines  int64 // that could not be read
		withMs float64
		ends   scheduler.UpdateKind // Broken where it is left out
	}{
		"refused":                     {answer: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
		"elsewhere":                   {answer: "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.9:1/v1/endpoints\r\nContent-Length: 0\r\n\r\n"},
		"no HTTP":                     {answer: "nonsense\r\n\r\n"},
		"closed at once":              {},
		"never answered":              {stays: true, withMs: answerMs},
		"a head that stops":           {answer: head + "X-", stays: true, withMs: answerMs},
		"a head without end":          {answer: head + strings.Repeat("X-A: "+strings.Repeat("a", 4000)+"\r\n", 8)},
		"a head and no more":          {answer: head + "\r\n", stays: true, withMs: silentMs, ends: scheduler.WatchIdle},
		"cut off in a line":           {answer: head + "\r\n" + list + list[:40], told: 1, lines: 1, ends: scheduler.WatchClosed},
		"shorter than it says":        {answer: head + "Content-Length: 4000\r\n\r\n" + list, told: 1, ends: scheduler.WatchClosed},
		"indented":                    {answer: head + "\r\n\n" + indented(list) + " \r\n" + indented(list), told: 2, ends: scheduler.WatchClosed},
		"two objects in a line":       {answer: head + "\r\n" + strings.TrimSpace(list) + list, told: 2, ends: scheduler.WatchClosed},
		"more behind an object":       {answer: head + "\r\n" + strings.TrimSpace(list) + "]\n" + list, told: 1, lines: 1, ends: scheduler.WatchClosed},
		"braces that do not match":    {answer: head + "\r\n" + `{"servers":[}]` + "\n", lines: 1},
		"an object without end":       {answer: head + "\r\n{" + strings.Repeat(`"a":[`, maxValue/4)},
		"longer than it says":         {answer: head + "Content-Length: 40\r\n\r\n" + list, lines: 1},
		"two lengths":                 {answer: head + "Content-Length: 4\r\nContent-Length: 9\r\n\r\n" + list},
		"a chunk of no size":          {answer: head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + list},
		"a line without end":          {answer: head + "\r\n" + strings.Repeat(" ", maxValue+2)},
		"silent behind a list":        {answer: head + "\r\n" + list, stays: true, told: 1, withMs: silentMs, ends: scheduler.WatchIdle},
		"a list of another kind":      {answer: head + "\r\n" + `{"version":44,"full":true,"servers":{"id":"s-1"}}` + "\n", lines: 1},
		"a whole list without a list": {answer: head + "\r\n" + `{"version":44,"full":true}` + "\n", lines: 1},
		"entries of no use":           {answer: head + "\r\n" + `{"version":44,"servers":[{"id":"x"},null,7]}` + "\n", told: 1},
		"not JSON":                    {answer: head + "\r\n<html>\n", lines: 1},
	} {
		if c.ends == 0 {
			c.ends = scheduler.WatchFailed
		}
		synctest.Test(t, func(t *testing.T) {
			n := &memnet.Net{}
			ln, err := n.Listen("127.0.0.1:1")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				defer nc.Close()
				in := bufio.NewReader(nc)
				for line := ""; line != "\r\n" && err == nil; line, err = in.ReadString('\n') {
				}
				io.WriteString(nc, c.answer)
				if c.stays {
					io.Copy(io.Discard, nc)
				}
			}()
			m, began := metrics.New(), time.Now()
			told, broken := 0, make(chan float64, 2)
			w := New("127.0.0.1:1", lifecycle.EndpointUpdate{Version: 41}, clock.NewSystem(), m, func(l lifecycle.EndpointUpdate) {
				if l.Kind == scheduler.Heartbeat {
					if told == 0 || l.CompleteAsOfMs == 0 {
						t.Errorf("%s: an empty line before anything else shows nothing yet: %+v", name, l)
					}
					return
				}
				if l.Kind >= scheduler.WatchFailed {
					if l.Kind != c.ends { // only a call that was answered has not failed
						t.Errorf("%s: its end is told as %v, want %v", name, l.Kind, c.ends)
					}
					broken <- clock.Ms(time.Since(began))
					return
				}
				if told++; l.Kind == scheduler.Snapshot && len(l.Servers) == 0 {
					t.Errorf("%s: the list is emptied", name)
				}
			}, n.Dial)
			w.Open(context.Background())
			if took := <-broken; took != c.withMs {
				t.Errorf("%s: ended after %v ms, want %v", name, took, c.withMs)
			}
			if told != c.told || m.Get("discovery_bad_lines") != c.lines || m.Get("watch_broken") != 1 {
				t.Errorf("%s: told %d, %d bad lines, %d broken", name, told, m.Get("discovery_bad_lines"), m.Get("watch_broken"))
			}
			ln.Close()
			synctest.Wait()
		})
	}
}

// indented is a JSON text over many lines.
func indented(text string) string {
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(text), "", "  "); err != nil {
		panic(err)
	}
	return b.String()
}

// A watch that trickles an object and never ends it is silent, whatever comes and how often; one that sends empty lines
// is not.
func TestTrickle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &memnet.Net{}
		ln, err := n.Listen("127.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		done := make(chan struct{})
		go func() {
			defer close(done)
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			defer nc.Close()
			in := bufio.NewReader(nc) // an answer to no request would end the connection
			for line := ""; line != "\r\n" && err == nil; line, err = in.ReadString('\n') {
			}
			io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\n")
			for range 5 {
				time.Sleep(lineMs * time.Millisecond)
				io.WriteString(nc, "\n")
			}
			io.WriteString(nc, "{")
			for err == nil {
				time.Sleep(100 * time.Millisecond)
				_, err = io.WriteString(nc, " \n")
			}
		}()
		ended, alive := make(chan scheduler.UpdateKind, 1), 0
		w := New("127.0.0.1:1", lifecycle.EndpointUpdate{Version: 41}, clock.NewSystem(), metrics.New(), func(l lifecycle.EndpointUpdate) {
			if l.Kind == scheduler.Heartbeat {
				alive++
				return
			}
			ended <- l.Kind
		}, n.Dial)
		began := time.Now()
		w.Open(context.Background())
		if scope, took := <-ended, clock.Ms(time.Since(began)); scope != scheduler.WatchIdle || took != 5*lineMs+silentMs {
			t.Errorf("ended as %v after %v ms", scope, took)
		}
		if alive != 4 { // the first of five comes too soon to show that discovery has got to the call
			t.Errorf("told alive %d times", alive)
		}
		<-done
	})
}

// FuzzValues: what a whole JSON reader takes for a sequence of objects is read as just these, and nothing else makes it
// fail to end.
func FuzzValues(f *testing.F) {
	f.Add("{\"a\":[1,{\"b\":\"}\\\"\"}]}\n\n {\n \"c\" : \"\\\\\" }{}\r\n")
	f.Add("{\"a\":\"]\"} x")
	f.Add("{[}]")
	f.Fuzz(func(t *testing.T, text string) {
		var want []string
		d := json.NewDecoder(strings.NewReader(text))
		sound := true
		for {
			var raw json.RawMessage
			if err := d.Decode(&raw); err != nil {
				sound = err == io.EOF
				break
			}
			if raw[0] != '{' {
				sound = false
				break
			}
			want = append(want, string(raw))
		}
		v := newValues(strings.NewReader(text))
		var got []string
		for {
			b, err := v.next()
			if err != nil {
				if sound && err != io.EOF {
					t.Fatalf("%q: %v", text, err)
				}
				break
			}
			if b != nil {
				got = append(got, string(b))
			}
		}
		if sound && !slices.Equal(got, want) || !sound && len(got) < len(want) {
			t.Fatalf("%q: read %q, want %q", text, got, want)
		}
	})
}
