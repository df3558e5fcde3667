// Case 3: the link of a device stalls for some seconds while the device sends a keyed write, so the device reconnects, reaches
// another gateway and sends the write again there. The write must take effect once.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"review/standin"
)

const (
	dedupWindow = 3 * time.Second // the DedupWindowMs of the class push
	stall       = 6 * time.Second // of the link to the first gateway
	resendAfter = time.Second     // the device's wait until it reconnects
	timeLeftMs  = 2500
	writes      = 5
)

func main() { standin.Run(run) }

func run(env *standin.Env) (int, error) {
	node := &node{env: env, ran: map[string]time.Time{}, times: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	go func() { _ = http.Serve(listener, node) }()
	list := standin.List{Version: 1, Full: true, Servers: []standin.Server{{ID: "s-00000001", Addr: listener.Addr().String(),
		Zone: "salt-lake", Kind: "std-node", State: "Ready", Weight: 1}}}
	discovery, err := standin.StartDiscovery(env, list, nil)
	if err != nil {
		return 0, err
	}
	var devices [2]string
	for i := range devices {
		listen, err := standin.FreeAddr()
		if err != nil {
			return 0, err
		}
		if devices[i], err = standin.FreeAddr(); err != nil {
			return 0, err
		}
		config := standin.Config(fmt.Sprintf("n%d", i), listen, discovery.Addr, list, standin.Settings(2, 1))
		if _, err := env.StartGateway(config, map[string]any{"devices": map[string]any{"http": devices[i]}}); err != nil {
			return 0, err
		}
	}
	var wait sync.WaitGroup
	errs := make(chan error, writes)
	for i := range writes {
		wait.Go(func() { errs <- device(env, fmt.Sprintf("device-%d", i), devices[0], devices[1]) })
	}
	wait.Wait()
	for range writes {
		if err := <-errs; err != nil {
			return 0, err
		}
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	twice := 0
	for key, times := range node.times {
		if times > 1 {
			twice++
			env.Logf("DUPLICATE: the write with the key %s took effect %d times", key, times)
		}
	}
	env.Sayf("writes %d, of which took effect more than once %d", len(node.times), twice)
	if twice > 0 {
		return standin.Broken, nil
	}
	return standin.Held, nil
}

// device sends one write. It uses the first gateway until that does not answer for resendAfter, and then the second one.
func device(env *standin.Env, name, first, second string) error {
	link, err := startLink(first)
	if err != nil {
		return err
	}
	connection, err := standin.Dial(link.addr)
	if err != nil {
		return err
	}
	hello := &standin.Request{ID: name + "-read", Class: "pull", Object: "00000000000000aa", TimeLeftMs: 1500,
		Headers: []string{"X-Device-Id: " + name}}
	status, header, _, err := connection.Do(hello)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("%s: the first read got %d, %v", name, status, err)
	}
	if env.Trouble {
		link.stallFor(stall)
	}
	write := &standin.Request{ID: name + "-write-1", Class: "push", Object: "00000000000000bb", TimeLeftMs: timeLeftMs,
		Key: name + "-key", Body: "layer", Headers: []string{"X-Device-Id: " + name}}
	sent := time.Now()
	env.Logf("%s: sends the write to the first gateway", name)
	if _, err := connection.Conn.Write(write.Bytes()); err != nil {
		return err
	}
	status, _, body, err := connection.Answer(resendAfter)
	if err == nil {
		env.Logf("%s: answer %d %q from the first gateway", name, status, body)
		connection.Conn.Close()
		return nil
	}
	connection.Conn.Close()
	ageMs := time.Since(sent).Milliseconds()
	env.Logf("%s: no answer (%v); closes the connection and sends the write to the second gateway, age %d ms", name, err, ageMs)
	again, err := standin.Dial(second)
	if err != nil {
		return err
	}
	defer again.Conn.Close()
	write.ID, write.TimeLeftMs = name+"-write-2", timeLeftMs-int(ageMs)
	write.Headers = append(write.Headers, "X-Repeat: 1", fmt.Sprintf("X-Age-Ms: %d", ageMs), "X-Sent-To: "+header.Get("X-Gateway"))
	if status, _, body, err = again.Do(write); err != nil {
		return fmt.Errorf("%s: the second gateway: %w", name, err)
	}
	env.Logf("%s: answer %d %q from the second gateway", name, status, body)
	time.Sleep(time.Until(sent.Add(stall + 2*time.Second)))
	return nil
}

// node is a storage node that drops repeats of a keyed write for dedupWindow.
type node struct {
	env *standin.Env

	mu    sync.Mutex
	ran   map[string]time.Time // when the latest execution of each key began
	times map[string]int       // how often each key took effect
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(5 * time.Millisecond)
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		n.mu.Lock()
		last, known := n.ran[key]
		if known && time.Since(last) < dedupWindow {
			n.env.Logf("node: dropped a repeat of the key %s, id %s", key, r.Header.Get("X-Correlation-Id"))
		} else {
			n.ran[key] = time.Now()
			n.times[key]++
			n.env.Logf("node: ran the key %s, id %s", key, r.Header.Get("X-Correlation-Id"))
		}
		n.mu.Unlock()
	}
	_, _ = io.WriteString(w, "done")
}

// link is a proxy to a gateway that can stall.
type link struct {
	addr string

	mu    sync.Mutex
	until time.Time
}

func (l *link) stallFor(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Now().Add(d)
}

func (l *link) wait() {
	l.mu.Lock()
	until := l.until
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

func startLink(addr string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{addr: listener.Addr().String()}
	go func() {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", addr)
		if err != nil {
			near.Close()
			return
		}
		go l.forward(near, far)
		l.forward(far, near)
	}()
	return l, nil
}

// forward copies bytes, and the end of them, from one connection to another. It holds back both while the link stalls.
func (l *link) forward(from, to net.Conn) {
	reader := bufio.NewReader(from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := reader.Read(buffer)
		l.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
