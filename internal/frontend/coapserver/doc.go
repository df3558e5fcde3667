// Package coapserver serves devices on poor links by CoAP over TCP (RFC 8323), with block-wise transfer (RFC 7959, with
// BERT) and Request-Tag (RFC 9175). GET is a read, PUT a write; path, class and settings are those of the HTTP form of a
// request. Package dedup decides behind the event loop what a request becomes: a run of its own or a copy of an exchange.
//
// Responses to devices:
//
//	2.05, 2.04  served: the server's response or a block of it; ETag identifies it
//	2.31        a block of an upload is buffered
//	4.00, 4.02  malformed, or an unknown critical option
//	4.08        a block does not continue the upload; OptBufferedBytes gives how many bytes are buffered
//	4.09        the content differs from that of the exchange it names; it has not been executed
//	4.13        over 64 KiB
//	4.29, 5.03  rejected: nothing was executed; Max-Age gives when to retry
//	5.02        failed: it may have been executed
//	5.04        no response in time
//
// The package owns the connections of devices. Each has a goroutine that reads, which Server waits for, and while
// messages are queued one that writes. For each request at most one of Loop.ResponseWritten and Loop.Cancel is called, and
// for a served one exactly one. A malformed frame ends its connection by an Abort message; its pending requests are
// canceled, and the device asks again on another connection.
package coapserver
