// Package failover decides which endpoint of a database is its primary, when an
// owner may send writes to it and acknowledge them, and how it is replaced.
//
// A Machine runs at every host that owns at least one endpoint of the database.
// It takes events and returns effects. The caller performs the effects and
// reports their results as further events.
package failover
