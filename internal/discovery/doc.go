// Package discovery watches the endpoint list: it keeps one connection to the discovery service open, decodes the
// messages on it, decides which of them apply, and reports when the connection is lost or idle.
//
// Discovery is used in one of two modes. Where the list is polled, one service answers all gateways, and calls that fail
// together and are retried together would fail again; the scheduler therefore decides when a watch is opened, and calls
// Watcher.Open. Where the list is pushed, an agent on the same machine serves it at no cost, and whatever the agent has
// counts as notified; the watch is then kept open from start to end by Watcher.KeepOpen.
//
// A Watcher owns one goroutine while a watch is open. That goroutine makes the request, reads the response and calls the
// notify function. At most one watch is open, at one address, and after SwitchAddress returns no update of the previous
// address is delivered. Updates of one watch are delivered in the order in which they arrive.
package discovery
