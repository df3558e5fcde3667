// Package overload fakes clients that overload a gateway: crowds that hold connections with incomplete requests or unread
// responses, floods of requests on one connection or many, and clients that leave with unread responses and repeat their requests.
//
// Each function runs until its stop channel is closed or its work is done, and waits for the goroutines that it has started. The
// draws come from a seed, so that the same seed sends the same bytes.
package overload
