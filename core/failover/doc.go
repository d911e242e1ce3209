// Package failover decides which endpoint of a database is its primary, when an
// owner may send writes to it and acknowledge them, and how it is replaced.
//
// Write authority is the primary's lease, which its owner holds. The owner renews it
// with status queries to the endpoints. It lapses unless a majority of the endpoint set
// has responded to queries that were sent within the last authority window.
//
// A Machine runs at every host that owns at least one endpoint of the database.
// It takes events and returns effects. The caller performs the effects and
// reports their results as further events.
package failover
