package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases[10] = stalledLinks }

// ownMemory returns the anonymous memory of a process in bytes: what it holds beside the pages of its program.
func ownMemory(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kib << 10
		}
	}
	return 0
}

// stalledLinks lets the links of devices stall after they have asked for images. A gateway whose memory goes over its limit is killed by the
// platform.
func stalledLinks(r *rig) {
	const (
		devices = 200
		reads   = 8 // of each device, the default of max_open
		size    = 64 << 10
		stall   = 3 * time.Second
		limit   = 64 << 20
		shards  = 4
	)
	r.memoryMB = limit >> 20
	for i := range shards {
		l, slots := r.listen(), make(chan struct{}, 6)
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			slots <- struct{}{}
			time.Sleep(10 * time.Millisecond)
			<-slots
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		}))
		r.addNode(fmt.Sprint("s-", i), l.Addr().String(), i)
	}
	coap := r.freeAddr()
	g := r.startGateway("n1", r.agent(), settings(1, 0, shards, 3, kolkata), map[string]any{"devices": map[string]any{"coap": coap}})
	pid := g.cmd.Process.Pid
	r.note("own memory of the gateway before: %d bytes", ownMemory(pid))

	most, over, ended := 0, 0, make(chan struct{})
	var platform sync.WaitGroup
	platform.Go(func() {
		for {
			used := ownMemory(pid)
			most = max(most, used)
			if used > limit {
				over = used
				r.note("the platform kills the gateway, whose own memory is %d bytes of %d", used, limit)
				_ = g.cmd.Process.Signal(syscall.SIGKILL)
				return
			}
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})

	var all, asked sync.WaitGroup
	asked.Add(devices)
	resumed, codes, lost, mu := make(chan struct{}), map[byte]int{}, 0, sync.Mutex{}
	for i := range devices {
		all.Go(func() {
			d, err := dialCoap(coap)
			if err == nil {
				defer d.conn.Close()
				for k := 0; k < reads && err == nil; k++ {
					err = d.get(fmt.Sprint("d", i), "bulk-read", fmt.Sprintf("%016x", i*100+k), fmt.Sprintf("r%d-%02d", i, k), 5000, (i+k)%shards)
				}
			}
			asked.Done()
			if r.trouble {
				<-resumed
			}
			for k := 0; k < reads && err == nil; k++ {
				var code byte
				_ = d.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
				if code, _, _, err = readCoap(d.in); err == nil {
					mu.Lock()
					codes[code]++
					mu.Unlock()
				}
			}
			if err != nil {
				mu.Lock()
				lost++
				mu.Unlock()
				r.note("device %d: %v", i, err)
			}
		})
	}
	asked.Wait()
	r.note("%d devices have sent %d reads each; the links stall: %v", devices, reads, r.trouble)
	time.Sleep(stall)
	close(resumed)
	r.note("the links go on")
	all.Wait()
	close(ended)
	platform.Wait()
	r.note("own memory of the gateway, at most: %d bytes of %d", most, limit)
	for code, count := range codes {
		r.note("%d answers of code %d.%02d", count, code>>5, code&31)
	}
	if over > 0 {
		r.breaks("the gateway held %d bytes of %d and was killed; %d devices have no answer", over, limit, lost)
	}
	r.logs(g, "memory_high")
	fmt.Printf("own memory at most %d of %d bytes, devices without their answers %d\n", most, limit, lost)
}
