package discovery

import (
	"bufio"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	policy "gaugerelay"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/core"
	"gaugerelay/internal/metrics"
	"gaugerelay/internal/standin/memnet"
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
	}{
		"refused":                     {answer: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
		"elsewhere":                   {answer: "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.9:1/v1/endpoints\r\nContent-Length: 0\r\n\r\n"},
		"no HTTP":                     {answer: "nonsense\r\n\r\n"},
		"closed at once":              {},
		"never answered":              {stays: true, withMs: answerMs},
		"a head that stops":           {answer: head + "X-", stays: true, withMs: answerMs},
		"a head without end":          {answer: head + strings.Repeat("X-A: "+strings.Repeat("a", 4000)+"\r\n", 8)},
		"a head and no more":          {answer: head + "\r\n", stays: true, withMs: answerMs},
		"cut off in a line":           {answer: head + "\r\n" + list + list[:40], told: 1, lines: 1},
		"shorter than it says":        {answer: head + "Content-Length: 4000\r\n\r\n" + list, told: 1},
		"longer than it says":         {answer: head + "Content-Length: 40\r\n\r\n" + list, lines: 1},
		"two lengths":                 {answer: head + "Content-Length: 4\r\nContent-Length: 9\r\n\r\n" + list},
		"a chunk of no size":          {answer: head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + list},
		"a line without end":          {answer: head + "\r\n" + strings.Repeat(" ", maxLine+2)},
		"silent behind a list":        {answer: head + "\r\n" + list, stays: true, told: 1, withMs: silentMs},
		"a list of another kind":      {answer: head + "\r\n" + `{"version":44,"full":true,"servers":{"id":"s-1"}}` + "\n", lines: 1},
		"a whole list without a list": {answer: head + "\r\n" + `{"version":44,"full":true}` + "\n", lines: 1},
		"entries of no use":           {answer: head + "\r\n" + `{"version":44,"servers":[{"id":"x"},null,7]}` + "\n", told: 1},
		"not JSON":                    {answer: head + "\r\n<html>\n", lines: 1},
	} {
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
			w := New("127.0.0.1:1", core.List{Version: 41}, clock.NewSystem(), m, func(l core.List) {
				if l.Scope == policy.Broken || l.Scope == policy.Silent {
					if silent := l.Scope == policy.Silent; silent != (c.withMs == silentMs) {
						t.Errorf("%s: told as silent %v", name, silent) // only a call that was answered has not failed
					}
					broken <- clock.Ms(time.Since(began))
					return
				}
				if told++; l.Scope == policy.Whole && len(l.Nodes) == 0 {
					t.Errorf("%s: the list is emptied", name)
				}
			}, n.Dial)
			w.Start(context.Background())
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
