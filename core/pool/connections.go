package pool

import (
	"time"

	"baobabfield.example/core/types"
)

// This file is the policy for connections of workspaces: how many connections each workspace
// holds, which idle one is closed for whom, and when a new one is opened. It answers the load of
// many workspaces of very different sizes that share the connections of one endpoint, at which
// opening a connection occupies a slot. It only computes; conn.go carries out the decisions.

const (
	// usesKept is the number of recent uses from which the reuse of a connection is estimated.
	// More follow a change of the load more slowly, fewer are less exact.
	usesKept = 8
	// maxLevels bounds the connections of one workspace whose uses are told apart.
	maxLevels = 16
	// priorGap is added to the time that the recorded uses span, so that a few uses in quick
	// succession do not count for a high rate.
	priorGap = 30 * time.Second
	// idleConnTimeout is the time after which an unused connection is closed. It is four times
	// the mean gap of the smallest of 84 workspaces at a primary (0.034 requests a second).
	idleConnTimeout = 2 * time.Minute
	// useRetention is the time after which the uses of a workspace are forgotten.
	useRetention = 10 * time.Minute
	// defaultOpeningTime is the assumed time to open a connection until one has been opened.
	defaultOpeningTime = 12 * time.Millisecond
	// openingAverageSamples sets the weight, 1/openingAverageSamples, of a new sample.
	openingAverageSamples = 8
	// minReviewInterval is the least time after which requests that lack a connection are considered
	// again. Connections to a near endpoint open within microseconds.
	minReviewInterval = 5 * time.Millisecond
	// openingSlotTime is the time for which a connection that is being opened counts as slot use.
	// One that takes longer probably waits for the network.
	openingSlotTime = 100 * time.Millisecond
	// openingPercent is the share of the slot time that opening may take while requests wait that
	// could run on open connections. maxOpeningCredit is the number of openings for which unused
	// shares are kept.
	openingPercent   = 12
	maxOpeningCredit = 4
	// overduePercent is the part of a request's objective after which it gets a connection
	// whatever the reuse of the one that is closed for it.
	overduePercent = 25
)

// useHistory holds the times of recent uses of one of a workspace's connections.
type useHistory struct {
	times [usesKept]types.Time
	count int
}

func (h *useHistory) record(now types.Time) {
	h.times[h.count%usesKept] = now
	h.count++
}

// rate estimates the uses per second. It falls while the connection is not used.
func (h *useHistory) rate(now types.Time) float64 {
	n := min(h.count, usesKept)
	if n == 0 {
		return 0
	}
	oldest := h.times[(h.count-n)%usesKept]
	return float64(n) / (now.Sub(oldest) + priorGap).Seconds()
}

// workspaceUse is how a workspace uses the endpoint. Level i is the use of the connection that it
// needs only while i others are in use.
type workspaceUse struct {
	levels     [maxLevels]useHistory
	lastUsedAt types.Time
}

// holding is what a workspace holds at the endpoint and what it waits for.
type holding struct {
	workspace types.Workspace
	// total counts all connections, idle and opening two kinds of them.
	total, idle, opening int
	// waiting is the number of queued requests that need a connection that is not in use.
	waiting int
	// freeSoon is the number of queued requests that can start on connections in use before a
	// new connection would be ready.
	freeSoon int
}

// needsAnother reports whether the queued requests of a workspace need one more connection.
func (h *holding) needsAnother() bool { return h.waiting > h.idle+h.opening+h.freeSoon }

// connectionPolicy decides on the connections of workspaces to one endpoint.
type connectionPolicy struct {
	uses map[types.Workspace]*workspaceUse
	// meanOpeningTime is zero until a connection has been opened.
	meanOpeningTime time.Duration
	// openingCredit is the slot time that opening may take from waiting requests, as of creditedAt.
	openingCredit time.Duration
	creditedAt    types.Time
	forgottenAt   types.Time
}

// recordUse records that a workspace has started an operation and now uses inUse connections.
func (p *connectionPolicy) recordUse(now types.Time, w types.Workspace, inUse int) {
	u := p.uses[w]
	if u == nil {
		if p.uses == nil {
			p.uses = map[types.Workspace]*workspaceUse{}
		}
		u = &workspaceUse{}
		p.uses[w] = u
	}
	u.lastUsedAt = now
	for i := range min(inUse, maxLevels) {
		u.levels[i].record(now)
	}
}

// reuseRate estimates how often per second the last of a workspace's connections is used, if it
// holds the given number.
func (p *connectionPolicy) reuseRate(now types.Time, w types.Workspace, connections int) float64 {
	u := p.uses[w]
	if u == nil || connections == 0 {
		return 0
	}
	return u.levels[min(connections, maxLevels)-1].rate(now)
}

// reuseRateOfNext estimates the reuse of one more connection, for which a request waits.
func (p *connectionPolicy) reuseRateOfNext(now types.Time, w types.Workspace, connections int) float64 {
	var next useHistory
	if u := p.uses[w]; u != nil {
		next = u.levels[min(connections, maxLevels-1)]
	}
	next.record(now)
	return next.rate(now)
}

// forget drops the uses of workspaces that have not used the endpoint for long.
func (p *connectionPolicy) forget(now types.Time) {
	if now.Sub(p.forgottenAt) < useRetention/10 {
		return
	}
	p.forgottenAt = now
	for w, u := range p.uses {
		if now.Sub(u.lastUsedAt) >= useRetention {
			delete(p.uses, w)
		}
	}
}

func (p *connectionPolicy) openingTime() time.Duration {
	if p.meanOpeningTime > 0 {
		return p.meanOpeningTime
	}
	return defaultOpeningTime
}

func (p *connectionPolicy) recordOpening(d time.Duration) {
	if p.meanOpeningTime == 0 {
		p.meanOpeningTime = d
		return
	}
	p.meanOpeningTime += (d - p.meanOpeningTime) / openingAverageSamples
}

// spendCredit reports whether a connection may be opened before waiting requests that could run
// on open ones, and charges its slot time.
func (p *connectionPolicy) spendCredit(now types.Time, slots int) bool {
	cost := p.openingTime()
	earned := now.Sub(p.creditedAt) * time.Duration(slots) * openingPercent / 100
	p.openingCredit = min(p.openingCredit+earned, maxOpeningCredit*cost)
	p.creditedAt = now
	if p.openingCredit < cost {
		return false
	}
	p.openingCredit -= cost
	return true
}

// startsBeforeOpening returns how many requests can start on a connection before a new one would
// be ready. The connection has run a statement of the given mean service time for elapsed.
// Service times have a long tail: a statement that has run for longer than the mean is expected to
// run for as long again.
func (p *connectionPolicy) startsBeforeOpening(mean, elapsed time.Duration) int {
	remaining := mean - elapsed
	if remaining <= 0 {
		remaining = elapsed
	}
	spare := p.openingTime() - remaining
	if spare <= 0 {
		return 0
	}
	return 1 + int(spare/max(mean, time.Millisecond))
}

// isOverdue reports whether a request has waited for so long that it gets a connection whatever
// the reuse of others.
func isOverdue(now types.Time, qr *queuedRequest) bool {
	return now.Sub(qr.queuedAt) >= qr.req.Due.Sub(qr.queuedAt)*overduePercent/100
}

// selectVictim returns the workspace that gives up an idle connection to claimant, or -1 if none
// does. It is the one whose last connection is reused least. A further connection of the claimant
// must be worth more than the one that is closed. This does not hold for an overdue request and for
// a workspace without connections, so that none starves.
func (p *connectionPolicy) selectVictim(now types.Time, holdings []holding, claimant int, overdue bool) int {
	best, bestRate := p.leastReused(now, holdings, claimant, overdue)
	if best < 0 || overdue || holdings[claimant].total == 0 {
		return best
	}
	if p.reuseRateOfNext(now, holdings[claimant].workspace, holdings[claimant].total) <= bestRate {
		return -1
	}
	return best
}

// leastReused returns the workspace, other than the excluded one, that has an idle connection and
// whose last connection is reused least, or -1 if there is none. A workspace keeps the idle
// connections for which its own requests wait, unless evenAwaited is set.
func (p *connectionPolicy) leastReused(now types.Time, holdings []holding, excluded int, evenAwaited bool) (int, float64) {
	best, bestRate := -1, 0.0
	for i := range holdings {
		h := &holdings[i]
		spare := h.idle
		if !evenAwaited {
			spare -= h.waiting
		}
		if i == excluded || spare <= 0 {
			continue
		}
		if rate := p.reuseRate(now, h.workspace, h.total); best < 0 || rate < bestRate {
			best, bestRate = i, rate
		}
	}
	return best, bestRate
}
