// Package httpmessage defines the HTTP request that frontends pass to the HTTP upstream, so that neither imports the other. It
// has no state and starts no goroutine.
package httpmessage

import "net/http"

// MaxBodyBytes is the maximum size, in bytes, of the body of a request or a response.
const MaxBodyBytes = 64 << 10

// Request is the payload of a request that is sent to a storage server over HTTP. The payload of its response is the body as a
// []byte. A Request must not be changed after it was submitted, because attempts may be reading it.
type Request struct {
	Method, Path, RawPath, RawQuery string
	Header                          http.Header // sent unchanged; the HTTP upstream adds X-Time-Left-Ms
	Body                            []byte
}
