package soak

import (
	"fmt"
	"net"
	"path"
	"time"

	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
	"gaugerelay/internal/testbed/fakefileserver"
	"gaugerelay/internal/testbed/fakestorage"
	"gaugerelay/internal/testbed/invariants"
)

// shard is the state that the servers of one shard share.
type shard struct {
	objects *fakestorage.Shard     // idempotency keys received on the HTTP ports
	files   *fakefileserver.Server // serves the file ports
}

// server is a running storage server with its HTTP and file ports.
type server struct {
	http         *fakestorage.Server
	fileListener net.Listener
	endpoint     *lifecycle.Server // entry in the endpoint list; its field State is guarded by run.mu
}

// stop closes both ports of the server.
func (s *server) stop() {
	s.http.Stop()
	s.fileListener.Close()
}

// newShard returns an empty shard that records file writes in the checker.
func (r *run) newShard(index int) shard {
	files := fakefileserver.NewUnstarted()
	files.BeforeEffect = r.beforeFileCommand
	files.AfterEffect = func(c fakefileserver.Command) error {
		r.recordFileWrite(index, c)
		return nil
	}
	return shard{objects: &fakestorage.Shard{Name: shardName(index), DedupWindow: dedupWindow}, files: files}
}

// beforeFileCommand delays a write by the service time. Before that, it records which incarnation of the gateway sent the write,
// because another incarnation may be running when the write is executed.
func (r *run) beforeFileCommand(c fakefileserver.Command) error {
	if c.Op != fakefileserver.OpWrite {
		return nil
	}
	if !isUpload(c.Path) {
		r.mu.Lock()
		r.writeIncarnations[c.UploadKey] = r.incarnation
		r.mu.Unlock()
	}
	time.Sleep(serviceTime)
	return nil
}

// recordFileWrite records the execution of a write and the incarnation of the gateway that sent it. A file client cannot mark a
// retry, so a restarted gateway regards a retried write as a new one. The checker therefore allows that a later incarnation sends
// the write again.
func (r *run) recordFileWrite(shardIndex int, c fakefileserver.Command) {
	if c.Op != fakefileserver.OpWrite || isUpload(c.Path) {
		return
	}
	r.mu.Lock()
	incarnation := r.writeIncarnations[c.UploadKey]
	delete(r.writeIncarnations, c.UploadKey)
	r.mu.Unlock()
	r.checker.RecordExecution(path.Base(c.Path), invariants.Execution{Server: "file", Shard: shardName(shardIndex), Key: c.UploadKey,
		Content: fakestorage.Digest(c.Data), At: time.Now(), Deduplicated: c.Deduplicated, Incarnation: incarnation})
}

// startServer starts a server of a shard and adds it to the endpoint list. startedMs is the start of the server in Unix
// milliseconds, or 0 for a server that has been running for a long time. startServer must not be called concurrently.
func (r *run) startServer(shardIndex int, startedMs float64) error {
	r.mu.Lock()
	r.startedServers++
	number := r.startedServers
	r.mu.Unlock()
	name := fmt.Sprint("s-", number)
	listener, err := r.options.Network.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	fileListener, err := r.options.Network.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &server{
		http: &fakestorage.Server{Name: name, Shard: r.shards[shardIndex].objects, ServiceTime: serviceTime,
			Faults: r.options.Faults, Checker: r.checker},
		fileListener: fileListener,
		endpoint: &lifecycle.Server{Name: name, Addr: listener.Addr().String(), Shard: shardIndex, Size: 1,
			StartedMs: startedMs}}
	s.http.Start(listener, r.options.Seed+uint64(number))
	go r.shards[shardIndex].files.Serve(fileListener)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fileAddrs[name] = fileListener.Addr().String()
	r.servers = append(r.servers, s)
	return nil
}

// fileAddr returns the address of a server's file port, and whether the server is known.
func (r *run) fileAddr(serverName string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addr, ok := r.fileAddrs[serverName]
	return addr, ok
}

// endpointList returns a snapshot of the current endpoint list with a new version. r.mu must be held.
func (r *run) endpointList() lifecycle.EndpointUpdate {
	r.listVersion++
	list := lifecycle.EndpointUpdate{Version: r.listVersion, Kind: scheduler.Snapshot}
	for _, s := range r.servers {
		endpoint := *s.endpoint
		list.Servers = append(list.Servers, &endpoint)
	}
	return list
}

// notifyGateway sends the current endpoint list to the gateway.
func (r *run) notifyGateway() {
	r.mu.Lock()
	list, current := r.endpointList(), r.gateway
	r.mu.Unlock()
	current.UpdateEndpoints(list)
}
