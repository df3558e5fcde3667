package overload

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// FloodKind is what a flood sends.
type FloodKind uint8

// Kinds of floods. All but the last two are for frontends that speak HTTP.
const (
	ValidRequests       FloodKind = iota     // valid requests
	UnsoundRequests                          // requests that cannot be read or served
	NewNames                                 // valid requests, each with a new volume, id and key
	UnknownNames                             // requests, each with a new class, plan or volume that no settings name
	ReadyRequests                            // GET /ready
	MetricsRequests                          // GET /metrics
	HeadRequests                             // HEAD /ready
	ReadyWithBody                            // POST /ready with a body of one byte
	UnknownPaths                             // paths that no class has
	ExpiredRequests                          // valid requests that have 1 ms left
	ExpectRequests                           // writes that expect 100-continue, with their bodies
	BlankLines                               // empty lines
	LargeWrites                              // valid writes of nearly the largest size
	ByteChunks                               // bodies in chunks of one byte
	HiddenRequests                           // requests hidden in the bodies of others, whose ends readers may find in different places
	HTTPFloodKindCount                       // number of the kinds above
	FailingFileCommands FloodKind = iota - 1 // file commands that fail: STAT of a path below no root, and REMOVE
	DevicePings                              // Ping messages of CoAP
	FloodKindCount
)

var floodKindNames = [FloodKindCount]string{"valid", "unsound", "new-names", "unknown-names", "ready", "metrics", "head", "ready-with-body",
	"unknown-paths", "expired", "expect", "blank-lines", "large-writes", "byte-chunks", "hidden",
	"failing-file-commands", "device-pings"}

// String returns the name of the kind.
func (k FloodKind) String() string {
	if k < FloodKindCount {
		return floodKindNames[k]
	}
	return fmt.Sprintf("FloodKind(%d)", uint8(k))
}

// Beginnings of connections that do not speak HTTP.
const (
	// fileCommandsPreamble is an INIT of version 3.
	fileCommandsPreamble = "\x00\x00\x00\x05\x01\x00\x00\x00\x03"
	// devicePreamble is an empty CSM.
	devicePreamble = "\x00\xe1"
	// devicePing is a Ping without token.
	devicePing = "\x00\xe2"
	// failingStat is a STAT, and failingRemove a REMOVE, of "/no".
	failingStat   = "\x00\x00\x00\x0c\x11\x00\x00\x00\x01\x00\x00\x00\x03/no"
	failingRemove = "\x00\x00\x00\x0c\x0d\x00\x00\x00\x02\x00\x00\x00\x03/no"
)

// preamble returns what a connection sends before its first request.
func (k FloodKind) preamble() string {
	switch k {
	case FailingFileCommands:
		return fileCommandsPreamble
	case DevicePings:
		return devicePreamble
	default:
		return ""
	}
}

const (
	// shortDeadlineMs is the remaining time of ExpiredRequests.
	shortDeadlineMs = 1
	// byteChunks is the number of chunks of a body of ByteChunks.
	byteChunks = 50
)

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
	case ReadyRequests:
		return "GET /ready HTTP/1.1\r\nHost: api\r\n\r\n"
	case MetricsRequests:
		return "GET /metrics HTTP/1.1\r\nHost: api\r\n\r\n"
	case HeadRequests:
		return "HEAD /ready HTTP/1.1\r\nHost: api\r\n\r\n"
	case ReadyWithBody:
		return "POST /ready HTTP/1.1\r\nHost: api\r\nContent-Length: 1\r\n\r\nx"
	case UnknownPaths:
		return "GET /unknown/" + id + " HTTP/1.1\r\nHost: api\r\n\r\n"
	case ExpiredRequests:
		request.DeadlineMs = shortDeadlineMs
	case ExpectRequests:
		request = target.newWrite(id, random, 1)
		request.ExtraField = "Expect: 100-continue\r\n"
		return request.Head() + "x"
	case BlankLines:
		return "\r\n"
	case LargeWrites:
		request = target.newWrite(id, random, maxBodyBytes*15/16)
		return request.Head() + strings.Repeat("b", request.Length)
	case ByteChunks:
		request = target.newWrite(id, random, 0)
		return strings.Replace(request.fields(), "Content-Length: 0", "Transfer-Encoding: chunked", 1) + "\r\n" +
			strings.Repeat("1\r\nb\r\n", byteChunks) + "0\r\n\r\n"
	case HiddenRequests:
		return ambiguous(target, random, id)
	case FailingFileCommands:
		return failingStat + failingRemove
	case DevicePings:
		return devicePing
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

// NeverExecutedPrefix begins the ids of requests that no server may get: those with an ambiguous body, and those hidden in such a body.
const NeverExecutedPrefix = "never-"

// ambiguous returns a request whose body has two ends, and contains a whole write before one of them.
func ambiguous(target *Target, random *rand.Rand, id string) string {
	outer := target.newWrite(NeverExecutedPrefix+"outer-"+id, random, 0)
	hidden := target.newWrite(NeverExecutedPrefix+"hidden-"+id, random, 0).Head()
	chunkSize := fmt.Sprintf("%x\r\n", len(hidden))
	const lastChunk = "0\r\n\r\n"
	body := chunkSize + hidden + "\r\n" + lastChunk // the only chunk contains the hidden write
	outer.Length = len(chunkSize)
	outer.ExtraField = "Connection: keep-alive\r\n" + drawEncoding(random)
	head := outer.Head()
	switch random.IntN(4) {
	case 0:
		outer.Length, body = len(lastChunk+hidden), lastChunk+hidden // the hidden write follows the chunks
		head = outer.Head()
	case 1:
		_, fields, _ := strings.Cut(head, "\r\n")
		return "GET /ready HTTP/1.0\r\n" + fields + body
	default:
		head = strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1)
	}
	return head + body
}

// drawEncoding returns a field that says that the body is in chunks, in one of the forms that readers accept.
func drawEncoding(random *rand.Rand) string {
	forms := [...]string{"Transfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\n", "Transfer-Encoding:\r\n chunked\r\n",
		"Transfer-Encoding: chunked\n", "X-A: b\r\n Transfer-Encoding: chunked\r\n"}
	return forms[random.IntN(len(forms))]
}
