// Package membership decides which hosts are alive. It is a state machine based on
// SWIM. Inside a data centre, hosts probe each other, directly and through other
// hosts, and piggyback changes on the probes. Data centres exchange changes and digests
// through up to two relays each.
package membership
