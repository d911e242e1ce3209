// Package lead decides which endpoint of a service may be used as its primary,
// and replaces a primary that is gone or leaves.
//
// An owner uses a primary only with authority: a majority of the service's
// endpoints, the primary included, was asked at most Window ago and holds no
// later term. Whoever replaces a primary that may still run first fences a
// majority by pausing the replicas, and then waits out the window. Time counts
// also while the process is suspended.
package lead

import (
	"slices"
	"time"

	"baobabfield.example/core/types"
)

const (
	// LeaseDuration is the age up to which confirmations support the use of a primary.
	LeaseDuration = 800 * time.Millisecond
	// renewInterval is the time after which used authority is confirmed again, so
	// that one lost question does not end it.
	renewInterval = 300 * time.Millisecond
	// queryRetryDelay is the time after which a replica is asked again that was too busy to
	// answer; a busy one refuses at once, and each question has its price.
	queryRetryDelay = 40 * time.Millisecond
	// queryTimeout is the time after which a question counts as lost.
	queryTimeout = 250 * time.Millisecond
	// renewIdleLimit is how long authority is kept up after its last use.
	renewIdleLimit = 1500 * time.Millisecond
)

// Authority is the right of an owner to use one endpoint as the primary.
type Authority struct {
	Primary types.Endpoint
	// term is the primary's own; 0 while it is not known.
	term types.Term
	// replicas are the other listed endpoints.
	replicas []types.Endpoint
	// confirmedAt holds, by replica, the time at which the newest question was sent
	// whose answer confirms the primary.
	confirmedAt map[types.Endpoint]types.Time
	// queriedAt holds the times of the outstanding questions.
	queriedAt map[types.Endpoint]types.Time
	// failedAt holds the times at which questions had no answer.
	failedAt   map[types.Endpoint]types.Time
	lastUsedAt types.Time
	used       bool
	// minConfirmedAt is the time before which a question is too old for the newest
	// connection to the primary.
	minConfirmedAt types.Time
	// nextReplica is the replica that is asked nextReplica.
	nextReplica int
	// fenced is set once a replica holds a later term, fencedBy names it.
	fenced   bool
	fencedBy types.Endpoint
	// suspect is a replica that has held a later term before: without its own
	// confirmation those of others do not count, as one may have lost its pause.
	suspect types.Endpoint
}

// NewAuthority returns an authority without any confirmation.
func NewAuthority(primary types.Endpoint, replicas []types.Endpoint) *Authority {
	return &Authority{
		Primary: primary, replicas: replicas,
		confirmedAt: map[types.Endpoint]types.Time{}, queriedAt: map[types.Endpoint]types.Time{},
		failedAt: map[types.Endpoint]types.Time{},
	}
}

// SetReplicas replaces the list of the other endpoints.
func (a *Authority) SetReplicas(replicas []types.Endpoint) {
	a.replicas = replicas
	if !slices.Contains(replicas, a.suspect) {
		a.suspect = ""
	}
}

// requiredConfirmations is the number of replicas whose confirmation makes a majority with the
// primary.
func (a *Authority) requiredConfirmations() int { return (len(a.replicas) + 1) / 2 }

// Valid reports whether the primary may be used.
func (a *Authority) Valid(now types.Time) bool {
	if a.fenced || a.term == 0 {
		return false
	}
	if a.suspect != "" && !a.isConfirmationFresh(now, a.suspect) {
		return false
	}
	n := 0
	for _, r := range a.replicas {
		if a.isConfirmationFresh(now, r) {
			n++
		}
	}
	return n >= a.requiredConfirmations()
}

// ConfirmedSince returns the time at which the confirmations that count were asked for, at the
// latest; only connections to the primary that were open by then lead to the instance
// that was confirmed, since one opened later may lead to a restarted one.
func (a *Authority) ConfirmedSince(now types.Time) types.Time {
	if a.requiredConfirmations() == 0 {
		return now
	}
	times := make([]types.Time, 0, len(a.replicas))
	for _, r := range a.replicas {
		times = append(times, a.confirmedAt[r])
	}
	slices.Sort(times)
	since := times[len(times)-a.requiredConfirmations()]
	if a.suspect != "" {
		since = min(since, a.confirmedAt[a.suspect])
	}
	return since
}

// RequireConfirmedAfter asks for confirmations that are asked for from now on, as a connection to
// the primary has been opened.
func (a *Authority) RequireConfirmedAfter(now types.Time) { a.minConfirmedAt = now }

// isConfirmationFresh reports whether a replica's confirmation still counts.
func (a *Authority) isConfirmationFresh(now types.Time, r types.Endpoint) bool {
	at, ok := a.confirmedAt[r]
	return ok && now.Sub(at) < LeaseDuration
}

// Suspect names a replica that has held a later term; its own confirmation is needed
// as long as it is listed.
func (a *Authority) Suspect(r types.Endpoint) {
	if slices.Contains(a.replicas, r) {
		a.suspect = r
	}
}

// FencedBy returns the replica that ended the authority; empty for none.
func (a *Authority) FencedBy() types.Endpoint { return a.fencedBy }

// Fence ends the authority for good, for instance as the endpoint has refused a
// write.
func (a *Authority) Fence() { a.fenced = true }

// DiscardConfirmations forgets all confirmations: the primary has broken a connection, and may
// have been replaced since.
func (a *Authority) DiscardConfirmations() {
	a.term = 0
	clear(a.confirmedAt)
	clear(a.queriedAt)
}

// Fenced reports whether another endpoint is or will be the primary.
func (a *Authority) Fenced() bool { return a.fenced }

// Term returns the primary's term; 0 while it is not known.
func (a *Authority) Term() types.Term { return a.term }

// RecordUse notes a request for the primary; authority is kept up for a while after.
func (a *Authority) RecordUse(now types.Time) { a.lastUsedAt, a.used = now, true }

// DueQueries returns the endpoints to ask for their status now.
func (a *Authority) DueQueries(now types.Time) []types.Endpoint {
	if !a.isActive(now) {
		return nil
	}
	var out []types.Endpoint
	if a.term == 0 {
		// Replicas confirm the primary only against its known term.
		return a.appendQuery(now, a.Primary, out)
	}
	if a.suspect != "" {
		if at, ok := a.confirmedAt[a.suspect]; !ok || now.Sub(at) >= renewInterval {
			out = a.appendQuery(now, a.suspect, out)
		}
	}
	missing := a.requiredConfirmations()
	for _, r := range a.replicas {
		if at, ok := a.confirmedAt[r]; ok && now.Sub(at) < renewInterval && !at.Before(a.minConfirmedAt) {
			missing--
		}
		if at, ok := a.queriedAt[r]; ok && now.Sub(at) < queryTimeout {
			missing--
		}
	}
	for i := 0; i < len(a.replicas) && missing > 0; i++ {
		r := a.replicas[a.nextReplica%len(a.replicas)]
		before := len(out)
		out = a.appendQuery(now, r, out)
		if len(out) > before {
			missing--
		}
		a.nextReplica++
	}
	return out
}

func (a *Authority) isActive(now types.Time) bool {
	return !a.fenced && a.used && now.Sub(a.lastUsedAt) < renewIdleLimit
}

// appendQuery appends an endpoint unless a question to it is outstanding or was just refused.
func (a *Authority) appendQuery(now types.Time, e types.Endpoint, out []types.Endpoint) []types.Endpoint {
	if at, ok := a.queriedAt[e]; ok && now.Sub(at) < queryTimeout {
		return out
	}
	if at, ok := a.failedAt[e]; ok && now.Sub(at) < queryRetryDelay {
		return out
	}
	a.queriedAt[e] = now
	return append(out, e)
}

// HandleStatus takes an endpoint's status; sentAt is when the question was sent.
func (a *Authority) HandleStatus(e types.Endpoint, sentAt types.Time, st Status) {
	delete(a.queriedAt, e)
	if e == a.Primary {
		a.handlePrimaryStatus(st)
		return
	}
	if a.term == 0 {
		return
	}
	if st.HeldTerm > a.term || st.Term > a.term || (st.Primary && st.Term >= a.term) {
		a.fenced, a.fencedBy = true, e
		return
	}
	if at, ok := a.confirmedAt[e]; !ok || at.Before(sentAt) {
		a.confirmedAt[e] = sentAt
	}
}

func (a *Authority) handlePrimaryStatus(st Status) {
	if !st.Primary {
		a.fenced = true
		return
	}
	a.term = st.Term
}

// HandleQueryFailure notes that a question was lost or refused.
func (a *Authority) HandleQueryFailure(now types.Time, e types.Endpoint) {
	delete(a.queriedAt, e)
	a.failedAt[e] = now
}
