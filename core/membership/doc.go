// Package membership decides which hosts are alive. It is a state machine based on
// SWIM. Inside a data centre, hosts probe each other, directly and through other
// hosts, and piggyback changes on the probes. Data centres exchange changes and digests
// through up to two relays each.
//
// A Machine takes messages of other hosts and the platform's list of hosts. It returns
// messages to send and snapshots of all hosts. A suspect is a host that has not
// responded to a probe. It still counts as live, and is declared dead unless it refutes
// the suspicion in time. An unreachable data centre is one from which this host gets no
// responses; its hosts may be alive.
package membership
