// Package soak injects random faults into real host processes. Signals kill, suspend,
// stop and reload the hosts. Relays on loopback delay, discard and reset the traffic
// of the hosts with the store, with endpoints and with each other. The tests check
// consistency and durability, the isolation of workspaces, their keys and their limits
// from what callers and endpoints observe.
package soak
