// Package session decides which replicas may serve a session's reads.
//
// A session's token names the last write that the session knows of in each
// database. A replica is eligible if its log contains that write.
package session
