// Case 1: storage nodes answer in chunks, and send some answers a second time, up to some milliseconds after the first, while nothing
// else waits on the connection. Each client must get the body that the storage node made for its own request.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/standin"
)

const (
	nodes       = 2
	serviceTime = 4 * time.Millisecond // of a request
	copyShare   = 0.05                 // of the answers that are sent a second time
	maxCopyLate = 3 * time.Millisecond
	clients     = 6
	maxPause    = 10 * time.Millisecond // between two requests of a client
	duration    = 10 * time.Second
)

func main() { standin.Run(run) }

func run(env *standin.Env) (int, error) {
	var copies atomic.Int64
	list := standin.List{Version: 1, Full: true}
	for i := range nodes {
		node, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		go serveNode(env, node, &copies)
		list.Servers = append(list.Servers, standin.Server{ID: fmt.Sprintf("s-%08x", i+1), Addr: node.Addr().String(), Zone: "salt-lake", Kind: "std-node",
			Cell: i, State: "Ready", Weight: 1})
	}
	discovery, err := standin.StartDiscovery(env, list, nil)
	if err != nil {
		return 0, err
	}
	listen, err := standin.FreeAddr()
	if err != nil {
		return 0, err
	}
	gateway, err := env.StartGateway(standin.Config("n0", listen, discovery.Addr, list, standin.Settings(1, nodes)), nil)
	if err != nil {
		return 0, err
	}
	var total, served, foreign atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range clients {
		wait.Go(func() {
			client, err := standin.Dial(gateway.Listen)
			if err != nil {
				env.Logf("client %d: %v", i, err)
				return
			}
			defer client.Conn.Close()
			for n := 0; time.Now().Before(end); n++ {
				request := &standin.Request{ID: fmt.Sprintf("c%d-%06d", i, n), Class: "pull",
					Object: fmt.Sprintf("%016x", i<<32+n), Shard: n % nodes, TimeLeftMs: 1500}
				total.Add(1)
				status, _, body, err := client.Do(request)
				if err != nil {
					env.Logf("client %d: %s: %v", i, request.ID, err)
					return
				}
				if status == http.StatusOK {
					served.Add(1)
					if want := answerFor(request.ID, request.Object); body != want {
						foreign.Add(1)
						env.Logf("FOREIGN: the client that sent %s got 200 with the body %q", request.ID, body)
					}
				}
				time.Sleep(rand.N(maxPause))
			}
		})
	}
	wait.Wait()
	env.Sayf("requests %d, served %d, second copies sent %d, clients that got another request's body %d", total.Load(),
		served.Load(), copies.Load(), foreign.Load())
	if served.Load() < total.Load()/2 {
		return 0, fmt.Errorf("only %d of %d requests were served", served.Load(), total.Load())
	}
	if foreign.Load() > 0 {
		return standin.Broken, nil
	}
	return standin.Held, nil
}

// answerFor returns the body that a storage node makes for a request.
func answerFor(id, object string) string { return "data of " + object + " for " + id }

// serveNode is a storage node. It answers in chunks and serves one request at a time on each connection.
func serveNode(env *standin.Env, listener net.Listener, copies *atomic.Int64) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveNodeConn(env, conn, copies)
	}
}

func serveNodeConn(env *standin.Env, conn net.Conn, copies *atomic.Int64) {
	defer conn.Close()
	requests := make(chan *http.Request)
	go func() {
		defer close(requests)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			requests <- request
		}
	}()
	request, ok := <-requests
	for ok {
		id := request.Header.Get("X-Correlation-Id")
		time.Sleep(serviceTime)
		body := answerFor(id, request.URL.Path[strings.LastIndex(request.URL.Path, "/")+1:])
		answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		env.Logf("node: ran and answered %s", id)
		var copyDue <-chan time.Time
		if env.Trouble && rand.Float64() < copyShare {
			copyDue = time.After(rand.N(maxCopyLate))
		}
		select {
		case request, ok = <-requests: // something waits on the connection, so no copy is sent
			continue
		case <-copyDue:
		}
		select {
		case request, ok = <-requests:
			continue
		default:
		}
		if hasUnread(conn) {
			request, ok = <-requests
			continue
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		copies.Add(1)
		env.Logf("node: sent the answer to %s a second time", id)
		request, ok = <-requests
	}
}

// hasUnread reports whether bytes have arrived on a connection that nobody has read yet.
func hasUnread(conn net.Conn) (unread bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}
