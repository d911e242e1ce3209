// Package membership decides which hosts are alive. It is a state machine based on
// SWIM. Inside a data centre, hosts probe random peers, directly and through other
// hosts, and piggyback changes on the probes. Data centres exchange digests through a
// few relays.
package membership
