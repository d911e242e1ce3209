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
	// Window is the age up to which confirmations support the use of a primary.
	Window = 800 * time.Millisecond
	// confirmEvery is the time after which used authority is confirmed again, so
	// that one lost question does not end it.
	confirmEvery = 300 * time.Millisecond
	// refusedPause is the time after which a replica is asked again that was too busy to
	// answer; a busy one refuses at once, and each question has its price.
	refusedPause = 40 * time.Millisecond
	// questionTimeout is the time after which a question counts as lost.
	questionTimeout = 250 * time.Millisecond
	// usedFor is how long authority is kept up after its last use.
	usedFor = 1500 * time.Millisecond
)

// Authority is the right of an owner to use one endpoint as the primary.
type Authority struct {
	Primary types.Endpoint
	// term is the primary's own; 0 while it is not known.
	term types.Term
	// replicas are the other listed endpoints.
	replicas []types.Endpoint
	// confirmed holds, by replica, the time at which the newest question was sent
	// whose answer confirms the primary.
	confirmed map[types.Endpoint]types.Time
	// asked holds the times of the outstanding questions.
	asked map[types.Endpoint]types.Time
	// refusedAt holds the times at which questions had no answer.
	refusedAt map[types.Endpoint]types.Time
	usedAt    types.Time
	used      bool
	// required is the time before which a question is too old for the newest
	// connection to the primary.
	required types.Time
	// next is the replica that is asked next.
	next int
	// fenced is set once a replica holds a later term, fencedBy names it.
	fenced   bool
	fencedBy types.Endpoint
	// doubt is a replica that has held a later term before: without its own
	// confirmation those of others do not count, as one may have lost its pause.
	doubt types.Endpoint
}

// NewAuthority returns an authority without any confirmation.
func NewAuthority(primary types.Endpoint, replicas []types.Endpoint) *Authority {
	return &Authority{
		Primary: primary, replicas: replicas,
		confirmed: map[types.Endpoint]types.Time{}, asked: map[types.Endpoint]types.Time{},
		refusedAt: map[types.Endpoint]types.Time{},
	}
}

// SetReplicas replaces the list of the other endpoints.
func (a *Authority) SetReplicas(replicas []types.Endpoint) {
	a.replicas = replicas
	if !slices.Contains(replicas, a.doubt) {
		a.doubt = ""
	}
}

// needed is the number of replicas whose confirmation makes a majority with the
// primary.
func (a *Authority) needed() int { return (len(a.replicas) + 1) / 2 }

// Valid reports whether the primary may be used.
func (a *Authority) Valid(now types.Time) bool {
	if a.fenced || a.term == 0 {
		return false
	}
	if a.doubt != "" && !a.fresh(now, a.doubt) {
		return false
	}
	n := 0
	for _, r := range a.replicas {
		if a.fresh(now, r) {
			n++
		}
	}
	return n >= a.needed()
}

// Since returns the time at which the confirmations that count were asked for, at the
// latest; only connections to the primary that were open by then lead to the instance
// that was confirmed, since one opened later may lead to a restarted one.
func (a *Authority) Since(now types.Time) types.Time {
	if a.needed() == 0 {
		return now
	}
	times := make([]types.Time, 0, len(a.replicas))
	for _, r := range a.replicas {
		times = append(times, a.confirmed[r])
	}
	slices.Sort(times)
	since := times[len(times)-a.needed()]
	if a.doubt != "" {
		since = min(since, a.confirmed[a.doubt])
	}
	return since
}

// Require asks for confirmations that are asked for from now on, as a connection to
// the primary has been opened.
func (a *Authority) Require(now types.Time) { a.required = now }

// fresh reports whether a replica's confirmation still counts.
func (a *Authority) fresh(now types.Time, r types.Endpoint) bool {
	at, ok := a.confirmed[r]
	return ok && now.Sub(at) < Window
}

// Doubt names a replica that has held a later term; its own confirmation is needed
// as long as it is listed.
func (a *Authority) Doubt(r types.Endpoint) {
	if slices.Contains(a.replicas, r) {
		a.doubt = r
	}
}

// FencedBy returns the replica that ended the authority; empty for none.
func (a *Authority) FencedBy() types.Endpoint { return a.fencedBy }

// Fence ends the authority for good, for instance as the endpoint has refused a
// write.
func (a *Authority) Fence() { a.fenced = true }

// Unconfirm forgets all confirmations: the primary has broken a connection, and may
// have been replaced since.
func (a *Authority) Unconfirm() {
	a.term = 0
	clear(a.confirmed)
	clear(a.asked)
}

// Fenced reports whether another endpoint is or will be the primary.
func (a *Authority) Fenced() bool { return a.fenced }

// Term returns the primary's term; 0 while it is not known.
func (a *Authority) Term() types.Term { return a.term }

// Use notes a request for the primary; authority is kept up for a while after.
func (a *Authority) Use(now types.Time) { a.usedAt, a.used = now, true }

// Questions returns the endpoints to ask for their status now.
func (a *Authority) Questions(now types.Time) []types.Endpoint {
	if !a.active(now) {
		return nil
	}
	var out []types.Endpoint
	if a.term == 0 {
		// Replicas confirm the primary only against its known term.
		return a.ask(now, a.Primary, out)
	}
	if a.doubt != "" {
		if at, ok := a.confirmed[a.doubt]; !ok || now.Sub(at) >= confirmEvery {
			out = a.ask(now, a.doubt, out)
		}
	}
	due := a.needed()
	for _, r := range a.replicas {
		if at, ok := a.confirmed[r]; ok && now.Sub(at) < confirmEvery && !at.Before(a.required) {
			due--
		}
		if at, ok := a.asked[r]; ok && now.Sub(at) < questionTimeout {
			due--
		}
	}
	for i := 0; i < len(a.replicas) && due > 0; i++ {
		r := a.replicas[a.next%len(a.replicas)]
		before := len(out)
		out = a.ask(now, r, out)
		if len(out) > before {
			due--
		}
		a.next++
	}
	return out
}

func (a *Authority) active(now types.Time) bool {
	return !a.fenced && a.used && now.Sub(a.usedAt) < usedFor
}

// ask appends an endpoint unless a question to it is outstanding or was just refused.
func (a *Authority) ask(now types.Time, e types.Endpoint, out []types.Endpoint) []types.Endpoint {
	if at, ok := a.asked[e]; ok && now.Sub(at) < questionTimeout {
		return out
	}
	if at, ok := a.refusedAt[e]; ok && now.Sub(at) < refusedPause {
		return out
	}
	a.asked[e] = now
	return append(out, e)
}

// Answered takes an endpoint's status; sentAt is when the question was sent.
func (a *Authority) Answered(e types.Endpoint, sentAt types.Time, st Status) {
	delete(a.asked, e)
	if e == a.Primary {
		a.primaryAnswered(st)
		return
	}
	if a.term == 0 {
		return
	}
	if st.FencedTerm > a.term || st.Term > a.term || (st.Primary && st.Term >= a.term) {
		a.fenced, a.fencedBy = true, e
		return
	}
	if at, ok := a.confirmed[e]; !ok || at.Before(sentAt) {
		a.confirmed[e] = sentAt
	}
}

func (a *Authority) primaryAnswered(st Status) {
	if !st.Primary {
		a.fenced = true
		return
	}
	a.term = st.Term
}

// Unanswered notes that a question was lost or refused.
func (a *Authority) Unanswered(now types.Time, e types.Endpoint) {
	delete(a.asked, e)
	a.refusedAt[e] = now
}
