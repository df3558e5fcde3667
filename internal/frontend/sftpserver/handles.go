package sftpserver

import (
	"sync"

	"gaugerelay/internal/memorybudget"
)

const (
	// handleBytes is the memory of an open handle without its path.
	handleBytes = 1 << 10
	// noHandleRetryAfterMs is the retry delay, in milliseconds, of an OPEN for which there is no memory.
	noHandleRetryAfterMs = 250
)

// handleTable counts the memory of the open handles of all connections. Handles of one file share its path. The zero value is an empty
// table.
type handleTable struct {
	mu     sync.Mutex
	memory *memorybudget.Account // account of the paths
	bytes  int                   // memory of all handles and their paths
	paths  map[string]*openPath
}

// openPath is the path of a file that has open handles.
type openPath struct {
	path    string
	handles int
}

// open reserves memory for a handle and returns the path to use for it. ok is false if there is no memory, or if all handles would then take
// more than maxBytes; 0 means no such limit. The caller must call close for each handle.
func (t *handleTable) open(account *memorybudget.Account, path string, maxBytes int) (shared string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.paths[path]
	pathBytes := 0
	if entry == nil {
		pathBytes = len(path)
	}
	if maxBytes > 0 && t.bytes+handleBytes+pathBytes > maxBytes || !account.Reserve(handleBytes) {
		return "", false
	}
	if !t.memory.Reserve(pathBytes) {
		account.Release(handleBytes)
		return "", false
	}
	if entry == nil {
		entry = &openPath{path: path}
		if t.paths == nil {
			t.paths = map[string]*openPath{}
		}
		t.paths[path] = entry
	}
	t.bytes += handleBytes + pathBytes
	entry.handles++
	return entry.path, true
}

// close releases the memory of a handle.
func (t *handleTable) close(account *memorybudget.Account, path string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	account.Release(handleBytes)
	t.bytes -= handleBytes
	entry := t.paths[path]
	if entry.handles--; entry.handles == 0 {
		t.memory.Release(len(path))
		t.bytes -= len(path)
		delete(t.paths, path)
	}
}
