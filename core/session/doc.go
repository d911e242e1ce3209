// Package session decides which replicas may serve the reads of a session.
//
// A session token names the last known write of the session in each database. A replica
// may serve a read if its log contains that write, which CheckCoverage decides from the
// token's log point, the end of the replica's log and the starts of its terms. A write is
// lost if a failover has removed it from the history; no replica will ever contain it.
package session
