// Package simulation runs real gateways in randomly generated deployments against fakes of clients, storage servers and
// discovery. The ranges of the settings are wider than those of any known deployment.
//
// [GenerateDeployment] generates a deployment from a seed, and [Run] runs it. The fakes check the rules of the protocol when
// requests and responses arrive; each violation becomes an entry of [Result.Violations]. The same seed always draws the same
// deployment, faults and requests, so the order of random draws must not change.
//
// Run must be called in a bubble of testing/synctest. It starts goroutines for clients, faults, servers and gateways, and waits
// for those of clients and faults before it returns. The remaining connections and timers end within a minute of bubble time.
package simulation
