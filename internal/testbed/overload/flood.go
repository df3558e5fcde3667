package overload

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// FloodKind is what a flood sends.
type FloodKind uint8

// Kinds of floods.
const (
	ValidRequests   FloodKind = iota // valid requests
	UnsoundRequests                  // requests that cannot be read or served
	NewNames                         // valid requests, each with a new volume, id and key
	UnknownNames                     // requests, each with a new class, plan or volume that no settings name
	FloodKindCount
)

var floodKindNames = [FloodKindCount]string{"valid", "unsound", "new-names", "unknown-names"}

// String returns the name of the kind.
func (k FloodKind) String() string {
	if k < FloodKindCount {
		return floodKindNames[k]
	}
	return fmt.Sprintf("FloodKind(%d)", uint8(k))
}

// floodBatch is the number of requests in one write of a flood.
const floodBatch = 50

// Flood sends requests at full speed on one connection at a time until stop is closed, and returns their number. The responses are read
// if readResponses is set.
func Flood(target Target, kind FloodKind, readResponses bool, seed uint64, stop <-chan struct{}) (requests int) {
	random := rand.New(rand.NewPCG(seed, uint64(kind)))
	for !isClosed(stop) {
		requests += floodConn(&target, kind, readResponses, seed, random, requests, stop)
		sleep(stop, time.Millisecond)
	}
	return requests
}

// floodConn floods one connection until it ends or stop is closed. first is the number of its first request.
func floodConn(target *Target, kind FloodKind, readResponses bool, seed uint64, random *rand.Rand, first int, stop <-chan struct{}) (sent int) {
	conn, err := target.dial()
	if err != nil {
		return 0
	}
	defer conn.Close()
	if readResponses {
		go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	}
	for !isClosed(stop) {
		var batch strings.Builder
		for number := range floodBatch {
			batch.WriteString(floodRequest(target, kind, random, fmt.Sprintf("flood-%x-%d", seed, first+sent+number)))
		}
		conn.SetWriteDeadline(time.Now().Add(pollInterval * 20))
		if _, err := io.WriteString(conn, batch.String()); err != nil {
			return sent
		}
		sent += floodBatch
	}
	return sent
}

// floodRequest returns the bytes of one request of a flood.
func floodRequest(target *Target, kind FloodKind, random *rand.Rand, id string) string {
	request := target.newRead(id, random)
	switch kind {
	case NewNames:
		request = target.newWrite(id, random, 0)
		request.Volume, request.Shard = random.Uint64(), AnyShard
	case UnknownNames:
		request.Volume = random.Uint64()
		request.Plan, request.Class = fmt.Sprintf("plan-%x", random.Uint64()), fmt.Sprintf("class-%x", random.Uint64())
	case UnsoundRequests:
		return unsound(request, random)
	}
	return request.Head()
}

// unsound returns a request with a fault.
func unsound(request *Request, random *rand.Rand) string {
	switch random.IntN(5) {
	case 0:
		return "noise\r\n\r\n"
	case 1:
		return strings.Replace(request.Head(), "X-Time-Left-Ms: ", "X-Time-Left-Ms: soon", 1)
	case 2:
		return strings.Replace(request.Head(), "X-IO: ", "X-Io-Missing: ", 1)
	case 3:
		return strings.Replace(request.Head(), "Content-Length: 0", "Content-Length: -7", 1)
	default:
		return strings.Replace(request.Head(), "X-Correlation-Id: ", "X-Correlation-Id: \x01", 1)
	}
}
