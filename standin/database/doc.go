// Package database is a stand-in for one instance of a replicated PostgreSQL
// database. It provides the operations that docs/ENDPOINT.md describes and fault
// injection.
//
// An Instance consists of goroutines that communicate by messages. One accepts
// sockets. The connection registry owns the list of connections and the injected
// faults. The replicated log owns the entries, the term and the role. The
// scheduler owns the slots. One goroutine for each connection owns its socket.
//
// SQL runs in SQLite, which allows one write transaction at a time: the first
// writing statement of a transaction waits until the previous writer ends. A log
// entry holds statements and their parameters, not rows. A statement that writes
// a random number or the current time therefore gives different rows on each
// instance.
package database
