// Package httpmessage defines the HTTP request that frontends hand to the HTTP upstream. It has no state and starts no
// goroutine; neither side knows the other.
package httpmessage

import "net/http"

// MaxBodyBytes is the largest body of a request or a response, in bytes.
const MaxBodyBytes = 64 << 10

// Request is the payload of a request that is sent to a storage server over HTTP. The payload of a response is its body, a
// []byte. A Request must not be changed once it has been submitted: attempts may be reading it.
type Request struct {
	Method, Path, RawPath, RawQuery string
	Header                          http.Header // forwarded unchanged
	Body                            []byte
}
