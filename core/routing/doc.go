// Package routing decides where a request goes: the host that owns an
// endpoint, the replica that serves a read, and whether a request that failed
// is tried again.
package routing
