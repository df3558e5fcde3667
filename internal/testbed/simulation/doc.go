// Package simulation runs real gateways in deployments that are drawn by seed, with settings from ranges wider than those
// of any known deployment, against fakes of clients, storage servers and discovery.
//
// The package owns the drawing of a deployment ([Draw]) and its simulated run ([Run]). The fakes check the protocol's rules
// where requests arrive and where responses do; each breach becomes an entry of [Result.Violations]. The same seed always
// draws the same deployment, faults and requests: the order of random draws must not change.
//
// Run must be called in a bubble of testing/synctest. It starts the goroutines of clients, faults, servers and gateways and
// waits for clients and faults before it returns; connections and timers that are left end within a minute of bubble time.
package simulation
