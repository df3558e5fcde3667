// Package coapserver serves devices on poor links by CoAP over TCP (RFC 8323), with block-wise transfer (RFC 7959, with
// BERT) and Request-Tag (RFC 9175). GET is a read, PUT a write. A request has the same path, class and other fields as over
// HTTP. Behind the event loop, package dedup decides whether a request is executed or joins an existing exchange.
//
// Responses to devices:
//
//	2.03        served: the device already has the response that ETag identifies
//	2.05, 2.04  served: the server's response or a block of it; ETag identifies the response
//	2.31        a block of an upload has been buffered
//	4.00, 4.02  malformed request, or an unknown critical option
//	4.04-4.06   no path segment or too many, method other than GET and PUT, or unsupported format in Accept
//	4.08        a block does not continue the upload; OptBufferedBytes is the number of bytes that are buffered
//	4.09        the content differs from that of the exchange that the request names; nothing was executed
//	4.13        the body is larger than 64 KiB
//	4.29, 5.03  rejected: nothing was executed; Max-Age is the time after which the device may retry
//	5.00        the response is larger than the device's Max-Message-Size, and the device does not support blocks
//	5.02        failed: the request may have been executed
//	5.04        no response in time
//
// The package owns the connections of devices. Each connection has a goroutine that reads, which Shutdown waits for, and a
// goroutine that writes while messages are queued. At most one of Loop.ResponseWritten and Loop.Cancel is called for each
// request, and exactly one for each served request. A malformed frame ends its connection with an Abort message; the pending
// requests of the connection are canceled, and the device retries over another connection.
package coapserver
