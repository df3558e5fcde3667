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

// shard is what the servers of one shard have in common.
type shard struct {
	objects *fakestorage.Shard
	files   *fakefileserver.Server
}

// server is a running storage server with its HTTP and file ports.
type server struct {
	http         *fakestorage.Server
	fileListener net.Listener
	endpoint     *lifecycle.Server // its state is guarded by run.mu
}

func (s *server) stop() {
	s.http.Stop()
	s.fileListener.Close()
}

// newShard returns an empty shard whose file writes are recorded.
func (r *run) newShard(index int) shard {
	files := fakefileserver.NewUnstarted()
	files.BeforeEffect = r.beforeFileCommand
	files.AfterEffect = func(c fakefileserver.Command) error {
		r.recordFileWrite(index, c)
		return nil
	}
	return shard{objects: &fakestorage.Shard{Name: shardName(index), DedupWindow: dedupWindow}, files: files}
}

// beforeFileCommand notes which incarnation of the gateway sent a write, since another may run when it is done, and takes
// the service time.
func (r *run) beforeFileCommand(c fakefileserver.Command) error {
	if c.Op != fakefileserver.OpWrite {
		return nil
	}
	r.mu.Lock()
	r.writeIncarnations[c.UploadKey] = r.incarnation
	r.mu.Unlock()
	time.Sleep(serviceTime)
	return nil
}

// recordFileWrite records a write as executed. A file client cannot mark a retry, so that to a gateway which has restarted a
// repeated write is a new one.
func (r *run) recordFileWrite(shardIndex int, c fakefileserver.Command) {
	if c.Op != fakefileserver.OpWrite {
		return
	}
	r.mu.Lock()
	incarnation := r.writeIncarnations[c.UploadKey]
	delete(r.writeIncarnations, c.UploadKey)
	r.mu.Unlock()
	r.checker.RecordExecution(path.Base(c.Path), invariants.Execution{Server: "file", Shard: shardName(shardIndex), Key: c.UploadKey,
		Content: fakestorage.Digest(c.Data), At: time.Now(), Deduplicated: c.Deduplicated, Incarnation: incarnation})
}

// startServer starts a server of a shard and adds it to the endpoint list. startedMs is its start in Unix milliseconds, 0 for
// one that has run for long. It is not called concurrently.
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

// endpointList returns the present endpoint list as a new version. r.mu must be held.
func (r *run) endpointList() lifecycle.EndpointUpdate {
	r.listVersion++
	list := lifecycle.EndpointUpdate{Version: r.listVersion, Kind: scheduler.Snapshot}
	for _, s := range r.servers {
		endpoint := *s.endpoint
		list.Servers = append(list.Servers, &endpoint)
	}
	return list
}

// notifyGateway gives the gateway the present endpoint list.
func (r *run) notifyGateway() {
	r.mu.Lock()
	list, current := r.endpointList(), r.gateway
	r.mu.Unlock()
	current.UpdateEndpoints(list)
}
