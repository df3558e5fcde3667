// Package datagram encodes, decodes and transports the UDP datagrams that the gateways of a fleet exchange. Datagrams may be
// lost, duplicated and reordered, so each one can be decoded without the others. None is longer than MaxSize.
//
// # Format
//
// All integers are big-endian. An offset of -8 means 8 bytes before the end of the datagram.
//
//	offset  size  field
//	     0     2  magic "GR"
//	     2     1  version
//	     3     1  zero
//	     4     2  index of the sending gateway
//	     6     4  incarnation of the sending process
//	    10     8  sequence number of the datagram
//	    18     -  items: type (1), length of the body (1), body
//	    -8     8  checksum of all preceding bytes: the first 8 bytes of HMAC-SHA256 if there is a key, else xxhash64
//
// The bodies of items, by type, with the sizes of their fields in bytes:
//
//	1 membership message  kind (1), sequence number (4), target (2)
//	2 membership update   member (2), state (1), incarnation (8), process incarnation (4), suspected by (2)
//	3 quota message       kind (1), pool (8), incarnation of the recipient (4), sequence number (4), fraction (4)
//	4 outlier report      condition (1), server (8), percent (1), version (8), age in ms (2)
//	5 latency report      server (8), latency in 1/8 ms (2), age in ms (2)
//
// The updates of a datagram belong to all of its membership messages. Fractions are fixed-point numbers in which 2^31
// represents 1. The fraction of a grant is rounded down and every other fraction is rounded up, so that a lender never
// records less than its borrower holds.
//
// # Compatibility
//
// A receiver skips items of unknown types, and ignores the end of a body that is longer than it expects. A later version of the
// program may therefore add types and lengthen bodies. Any other change of the format requires a new format version, which
// receivers with an older version reject.
//
// # Concurrency
//
// A Codec is safe for concurrent use. A Socket owns one goroutine that reads and one that writes. Close waits for both.
package datagram
