// Package lead decides which endpoint of a service may be used as its primary. It
// replaces a primary that has failed or is about to stop.
//
// An owner uses a primary only while it holds authority over it, which is a lease
// confirmed by a majority. The primary counts towards the majority while its term is
// known. A replica counts if it was queried at most LeaseDuration ago and held no later
// term. A campaign fences a primary that may still run before it replaces it: it
// pauses the replicas, and then waits for LeaseDuration to pass. The lease also expires
// while the owner's process is suspended.
//
// A planned change does not pause the replicas, which have to catch up. Instead the primary
// steps down, and the lease also needs a reply, to a command sent at most LeaseDuration ago,
// that only a primary gives. The campaign waits for LeaseDuration from the step-down, unless
// the old primary reports that no connection but the campaign's is open: an owner with a
// later connection may use it only after another such reply.
//
// A majority is enough only from replicas that the owner has watched, on one connection and
// without a gap, since its last read of a leadership record without a campaign. Otherwise a
// replica may have been paused and resumed, or have restarted, during a campaign, and no longer
// hold the campaign's term. Then every replica has to confirm the primary. So a campaign whose
// primary does not run at its address needs no response of a replica that is silent: it has
// paused at least one, and whoever connects to the restarted primary gets neither the
// confirmations of all nor such a read.
//
// An Authority returns the status queries that renew the lease, and takes their
// responses. A Campaign takes the responses of the endpoints, the store and the platform
// and returns Actions, which the caller carries out. The store grants each campaign a
// fencing token, which increases. Package failover makes these decisions in "baobabd
// serve"; its documentation states the differences.
package lead

import (
	"slices"
	"time"

	"baobabfield.example/core/types"
)

// AuthorityRules is the version of the rules by which an Authority lets its owner use a primary.
// Version 1 needs more than a majority on new connections, version 2 also recent replies of the
// primary. Hosts of version 2 accept a request to release a primary that has stepped down. Version 3
// counts replicas whose records may only have expired, and its hosts tell each other of them.
const (
	MajorityRules        = 1
	PrimaryLeaseRules    = 2
	MissingEndpointRules = 3
	AuthorityRules       = MissingEndpointRules
)

const (
	// LeaseDuration is the greatest age at which a replica's confirmation still
	// permits the use of the primary. It counts from the time at which the query was
	// sent. It corresponds to AuthorityWindow of package failover.
	LeaseDuration = 800 * time.Millisecond
	// renewInterval is the age at which a confirmation is renewed while the primary is
	// in use. It leaves time for one lost query before the lease expires.
	renewInterval = 300 * time.Millisecond
	// queryRetryDelay is the time before a replica that failed to respond is queried
	// again. A replica that is too busy refuses at once, and each query adds to its
	// load.
	queryRetryDelay = 40 * time.Millisecond
	// queryTimeout is the time after which an unanswered query counts as lost and may
	// be sent again.
	queryTimeout = 250 * time.Millisecond
	// maxWatchGap is the longest time between the queries of two confirmations of a replica in
	// which a campaign cannot have replaced a primary that runs. A campaign keeps the replica
	// paused for LeaseDuration and DemotionDelay at least.
	maxWatchGap = LeaseDuration + DemotionDelay - maxAnswerDelay
	// maxAnswerDelay bounds the time from a query to the moment that its answer tells of. The
	// caller gives up a query sooner.
	maxAnswerDelay = 600 * time.Millisecond
	// renewIdleLimit is how long the authority is renewed after its last use.
	renewIdleLimit = 1500 * time.Millisecond
)

// Authority is the lease that lets an owner use one endpoint as the primary.
type Authority struct {
	Primary types.Endpoint
	// term is the primary's own term; 0 while it is unknown.
	term types.Term
	// primaryConfirmedAt is when the newest command was sent whose reply showed that the
	// endpoint was the primary.
	primaryConfirmedAt types.Time
	// replicas are the service's other known endpoints. complete is set if there are no others.
	replicas []types.Endpoint
	complete bool
	// confirmations holds, by replica, the newest confirmation of the primary. watched also holds
	// those that were discarded.
	confirmations, watched map[types.Endpoint]confirmation
	// queriedAt holds, by endpoint, the time at which the query in flight was sent.
	queriedAt map[types.Endpoint]types.Time
	// failedAt holds, by endpoint, the time at which the last query failed.
	failedAt   map[types.Endpoint]types.Time
	lastUsedAt types.Time
	used       bool
	// minConfirmedAt is the time at which the newest connection to the primary was
	// opened. Confirmations from earlier queries do not cover it.
	minConfirmedAt types.Time
	// nextReplica is the index of the replica to query next, modulo their number.
	nextReplica int
	// claimFreeAt is when the owner requested its last read of the service's leadership
	// record that showed no campaign in progress.
	claimFreeAt types.Time
	// fenced is set once the authority has ended for good. fencedBy names the replica
	// that holds a later term, if one does.
	fenced   bool
	fencedBy types.Endpoint
	// requiredReplica is a replica that held a later term before requiredSince. The lease
	// needs its confirmation while the campaign that has paused it may be in progress, since
	// another replica that was paused for the same term may have restarted and holds the
	// term no longer.
	requiredReplica types.Endpoint
	requiredSince   types.Time
}

// confirmation is a replica's reply that it holds no later term than the primary.
type confirmation struct {
	// sentAt is when the query was sent.
	sentAt types.Time
	// watchedSince is when the first query was sent on the same connection from which on no two
	// confirmations were further apart than maxWatchGap.
	watchedSince types.Time
}

// NewAuthority returns an authority without any confirmation. complete is set if the replicas are
// all that may run.
func NewAuthority(primary types.Endpoint, replicas []types.Endpoint, complete bool) *Authority {
	return &Authority{
		Primary: primary, replicas: replicas, complete: complete,
		confirmations: map[types.Endpoint]confirmation{}, watched: map[types.Endpoint]confirmation{}, queriedAt: map[types.Endpoint]types.Time{},
		failedAt: map[types.Endpoint]types.Time{},
	}
}

// SetReplicas replaces the list of the service's other endpoints. complete is set if they are all
// that may run.
func (a *Authority) SetReplicas(replicas []types.Endpoint, complete bool) {
	a.replicas, a.complete = replicas, complete
	if !slices.Contains(replicas, a.requiredReplica) {
		a.requiredReplica = ""
	}
}

// requiredConfirmations returns the number of replicas that form a majority together
// with the primary. Without a complete list it is at least one: a campaign has paused at least one
// replica, and all unless the primary did not run.
func (a *Authority) requiredConfirmations() int {
	required := (len(a.replicas) + 1) / 2
	if !a.complete {
		required = max(required, 1)
	}
	return required
}

// Valid reports whether the primary may be used.
func (a *Authority) Valid(now types.Time) bool {
	if a.fenced || a.term == 0 || now.Sub(a.primaryConfirmedAt) >= LeaseDuration {
		return false
	}
	if a.requiredReplica != "" && !a.isConfirmationFresh(now, a.requiredReplica) {
		return false
	}
	fresh, covered := 0, 0
	for _, r := range a.replicas {
		if a.isConfirmationFresh(now, r) {
			fresh++
			if a.isCovered(r) {
				covered++
			}
		}
	}
	return (a.complete && fresh == len(a.replicas)) || covered >= a.requiredConfirmations()
}

// ConfirmedSince returns the latest time by which a connection to the primary must have been
// opened for the lease to cover it: one opened later may lead to an instance that has
// restarted or stepped down since. It is the earliest send time of the newest queries with which
// all replicas have confirmed the primary, or those of a majority, but then at most that of the
// last read without a campaign. The primary itself must have confirmed its role as late.
func (a *Authority) ConfirmedSince() types.Time {
	if len(a.replicas) == 0 {
		return a.primaryConfirmedAt
	}
	var since types.Time
	var all, covered []types.Time
	for _, r := range a.replicas {
		all = append(all, a.confirmations[r].sentAt)
		if a.isCovered(r) {
			covered = append(covered, a.confirmations[r].sentAt)
		}
	}
	if a.complete {
		since = slices.Min(all)
	}
	if n := len(covered) - a.requiredConfirmations(); n >= 0 {
		slices.Sort(covered)
		since = max(since, min(covered[n], a.claimFreeAt))
	}
	if a.requiredReplica != "" {
		since = min(since, a.confirmations[a.requiredReplica].sentAt)
	}
	return min(since, a.primaryConfirmedAt)
}

// isCovered reports whether a replica that has confirmed the primary has been watched since the
// last read without a campaign.
func (a *Authority) isCovered(r types.Endpoint) bool {
	c, ok := a.confirmations[r]
	return ok && !a.claimFreeAt.Before(c.watchedSince)
}

// RecordClaimFree records that a read of the leadership record, requested at a time, showed no
// campaign in progress.
func (a *Authority) RecordClaimFree(requestedAt types.Time) {
	a.claimFreeAt = max(a.claimFreeAt, requestedAt)
	if !a.claimFreeAt.Before(a.requiredSince) {
		a.requiredReplica = ""
	}
}

// UncoveredSince returns since when the replica was watched that the last read without a campaign
// covers least, or when the newest connection to the primary was opened. It returns false if a
// majority is enough.
func (a *Authority) UncoveredSince(now types.Time) (types.Time, bool) {
	if !a.isActive(now) || !a.needsAllReplicas(now) {
		return 0, false
	}
	since := a.minConfirmedAt
	for _, r := range a.replicas {
		since = max(since, a.confirmations[r].watchedSince)
	}
	return since, true
}

// needsAllReplicas reports whether the confirmations of a majority are not enough. A replica counts
// unless it has failed to confirm since, or has not been watched for too long.
func (a *Authority) needsAllReplicas(now types.Time) bool {
	covered := 0
	for _, r := range a.replicas {
		if a.isCovered(r) && !a.hasFailed(r) && now.Sub(a.confirmations[r].sentAt) <= maxWatchGap {
			covered++
		}
	}
	return covered < a.requiredConfirmations() || a.claimFreeAt.Before(a.minConfirmedAt)
}

// hasFailed reports whether the last query of a replica has failed.
func (a *Authority) hasFailed(r types.Endpoint) bool {
	at, failed := a.failedAt[r]
	return failed && a.confirmations[r].sentAt.Before(at)
}

// RequireConfirmedAfter makes DueQueries return the queries for confirmations that cover
// the connections to the primary that are open now.
func (a *Authority) RequireConfirmedAfter(now types.Time) { a.minConfirmedAt = now }

// isConfirmationFresh reports whether a replica's confirmation is younger than
// LeaseDuration.
func (a *Authority) isConfirmationFresh(now types.Time, r types.Endpoint) bool {
	c, ok := a.confirmations[r]
	return ok && now.Sub(c.sentAt) < LeaseDuration
}

// RequireReplica marks a replica that has held a later term. The lease needs this
// replica's confirmation while it is listed, until a read requested from now on shows no
// campaign. A name that is not a listed replica, such as the empty one, has no effect.
func (a *Authority) RequireReplica(now types.Time, replica types.Endpoint) {
	if slices.Contains(a.replicas, replica) {
		a.requiredReplica, a.requiredSince = replica, now
	}
}

// FencedBy returns the replica whose later term ended the authority; empty for none.
func (a *Authority) FencedBy() types.Endpoint { return a.fencedBy }

// Fence ends the authority for good, for instance because the endpoint has refused a
// write.
func (a *Authority) Fence() { a.fenced = true }

// DiscardConfirmations discards the primary's term and all confirmations. It is used
// after a connection to the primary has broken, since the primary may have restarted or
// been replaced.
func (a *Authority) DiscardConfirmations() {
	a.term, a.primaryConfirmedAt = 0, 0
	clear(a.confirmations)
	clear(a.queriedAt)
}

// Fenced reports whether the authority has ended because another endpoint is or will
// be the primary.
func (a *Authority) Fenced() bool { return a.fenced }

// Term returns the primary's term; 0 while it is unknown.
func (a *Authority) Term() types.Term { return a.term }

// RecordUse records a request for the primary. The authority is renewed for
// renewIdleLimit after it.
func (a *Authority) RecordUse(now types.Time) { a.lastUsedAt, a.used = now, true }

// DueQueries returns the endpoints whose status must be queried now, and marks them as
// queried.
func (a *Authority) DueQueries(now types.Time) []types.Endpoint {
	if !a.isActive(now) {
		return nil
	}
	var queries []types.Endpoint
	if !a.isPrimaryRenewed(now) {
		queries = a.appendQuery(now, a.Primary, queries)
	}
	if a.term == 0 {
		// Replicas confirm the primary only against its known term.
		return queries
	}
	if a.requiredReplica != "" {
		if c, ok := a.confirmations[a.requiredReplica]; !ok || now.Sub(c.sentAt) >= renewInterval {
			queries = a.appendQuery(now, a.requiredReplica, queries)
		}
	}
	missing := a.requiredConfirmations()
	for _, r := range a.replicas {
		isRenewed := a.isRenewed(now, r)
		if isRenewed {
			missing--
		}
		if at, failed := a.failedAt[r]; !isRenewed && a.needsAllReplicas(now) && (!failed || now.Sub(at) >= renewInterval) {
			queries = a.appendQuery(now, r, queries)
		}
		if at, ok := a.queriedAt[r]; ok && now.Sub(at) < queryTimeout {
			missing--
		}
	}
	for i := 0; i < len(a.replicas) && missing > 0; i++ {
		r := a.replicas[a.nextReplica%len(a.replicas)]
		before := len(queries)
		queries = a.appendQuery(now, r, queries)
		if len(queries) > before {
			missing--
		}
		a.nextReplica++
	}
	return queries
}

// isRenewed reports whether a replica's confirmation is recent and covers the connections to
// the primary that have to be covered.
func (a *Authority) isRenewed(now types.Time, r types.Endpoint) bool {
	c, ok := a.confirmations[r]
	return ok && now.Sub(c.sentAt) < renewInterval && !c.sentAt.Before(a.minConfirmedAt)
}

// isPrimaryRenewed reports whether the primary has confirmed its role recently, and for the
// connections to it that have to be covered.
func (a *Authority) isPrimaryRenewed(now types.Time) bool {
	return a.term != 0 && now.Sub(a.primaryConfirmedAt) < renewInterval && !a.primaryConfirmedAt.Before(a.minConfirmedAt)
}

// RecordPrimaryReply records that the endpoint has replied, as only a primary does, to a command
// sent at the given time on a connection that the authority covers.
func (a *Authority) RecordPrimaryReply(sentAt types.Time) {
	if a.term != 0 {
		a.primaryConfirmedAt = max(a.primaryConfirmedAt, sentAt)
	}
}

// isActive reports whether the authority is in use and not fenced.
func (a *Authority) isActive(now types.Time) bool {
	return !a.fenced && a.used && now.Sub(a.lastUsedAt) < renewIdleLimit
}

// appendQuery appends an endpoint unless a query to it is in flight or has just
// failed.
func (a *Authority) appendQuery(now types.Time, e types.Endpoint, queries []types.Endpoint) []types.Endpoint {
	if at, ok := a.queriedAt[e]; ok && now.Sub(at) < queryTimeout {
		return queries
	}
	if at, ok := a.failedAt[e]; ok && now.Sub(at) < queryRetryDelay {
		return queries
	}
	a.queriedAt[e] = now
	return append(queries, e)
}

// HandleStatus processes an endpoint's status. sentAt is the time at which its query
// was sent, and openedAt that at which the query's connection was opened.
func (a *Authority) HandleStatus(endpoint types.Endpoint, sentAt, openedAt types.Time, status Status) {
	delete(a.queriedAt, endpoint)
	if endpoint == a.Primary {
		a.handlePrimaryStatus(sentAt, status)
		return
	}
	if a.term == 0 {
		return
	}
	if status.FencedTerm > a.term || status.Term > a.term || (status.Primary && status.Term >= a.term) {
		a.fenced, a.fencedBy = true, endpoint
		return
	}
	last, ok := a.watched[endpoint]
	if ok && !last.sentAt.Before(sentAt) {
		if _, known := a.confirmations[endpoint]; !known {
			a.confirmations[endpoint] = confirmation{sentAt: sentAt, watchedSince: last.watchedSince}
		}
		return
	}
	c := confirmation{sentAt: sentAt, watchedSince: sentAt}
	if ok && !last.watchedSince.Before(openedAt) && sentAt.Sub(last.sentAt) <= maxWatchGap {
		c.watchedSince = last.watchedSince
	}
	a.confirmations[endpoint], a.watched[endpoint] = c, c
}

func (a *Authority) handlePrimaryStatus(sentAt types.Time, st Status) {
	if !st.Primary {
		a.fenced = true
		return
	}
	a.term = st.Term
	a.primaryConfirmedAt = max(a.primaryConfirmedAt, sentAt)
}

// HandleQueryFailure records that a query was lost or refused.
func (a *Authority) HandleQueryFailure(now types.Time, endpoint types.Endpoint) {
	delete(a.queriedAt, endpoint)
	a.failedAt[endpoint] = now
}
