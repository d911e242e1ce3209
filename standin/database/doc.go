// Package database is a small stand-in for one instance of a replicated
// PostgreSQL database, with the operations that docs/ENDPOINT.md asks for and
// with fault switches.
//
// An Instance is a set of goroutines that talk by messages: one accepts
// sockets, one (the gate) owns the list of connections and the faults in
// force, one (the ledger) owns the log, the term and the role, one (the
// scheduler) owns the slots, and one for each connection owns its socket.
//
// SQL runs in SQLite, so write transactions run one after another: the first
// writing statement of a transaction waits for the writer before it. Entries
// of the log are statements with their parameters; a statement that writes a
// random number or the time gives different rows on each instance.
package database
