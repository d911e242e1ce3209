// Package failover decides which endpoint of a database is its primary, when an
// owner may send writes to it and acknowledge them, and how it is replaced.
//
// Authority is the lease under which the owner of the primary sends and acknowledges
// writes. A read at the primary needs it too, unless the caller accepts staleness. The
// owner renews it with status queries to the endpoints. It expires unless a majority of
// the endpoint set has responded to queries that were sent within the last authority
// window.
//
// A campaign fences the endpoints: a majority of them grants a new term and then
// rejects the primaries of earlier terms. After their authority has expired, the
// campaign promotes the endpoint with the newest log among those that granted the term.
//
// A Machine runs at every host that owns at least one endpoint of the database.
// It takes events and returns effects. The caller performs the effects and
// reports their results as further events.
//
// Package lead makes these decisions in "baobabd platform". There a claim in the
// platform's store selects the host that runs the campaign, replicas are paused to fence
// the primary, and the platform promotes the endpoint. Here the endpoints themselves
// grant the terms, and the platform's record is only a hint.
package failover
