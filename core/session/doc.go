// Package session decides which replicas may serve the reads of a session.
//
// A session token names the last known write of the session in each database. A replica
// may serve a read if its log contains that write.
package session
