// Package membership decides which hosts are alive. It is a state machine in
// the manner of SWIM: inside a data centre hosts probe random peers, directly
// and through others, and piggyback changes on the probes; data centres
// exchange digests through a few relays.
package membership
