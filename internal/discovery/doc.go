// Package discovery maintains the watch of the endpoint list: it keeps a connection to the discovery service open, decodes
// the messages that arrive on it, decides which updates are applied, and reports when the watch has ended or is idle.
//
// The list reaches a gateway in one of two ways:
//
//   - Polled: one discovery service serves all gateways. If all of them retried a failed call at the same time, the calls
//     would fail again. The scheduler therefore decides when a watch is opened, and calls Watcher.Open.
//   - Pushed: an agent on the same machine serves the list, and a call to it costs nothing. The gateway is treated as having
//     been notified of a change as soon as the agent has it. Watcher.KeepOpen therefore keeps the watch open all the time.
//
// A Watcher owns one goroutine while a watch is open. That goroutine sends the request, reads the response and calls the
// notify function. At most one watch is open, at one address. Updates of one watch are delivered in the order in which they
// arrive, and after SwitchAddress returns no update of the previous address is delivered.
package discovery
