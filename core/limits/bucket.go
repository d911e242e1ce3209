package limits

import (
	"math"
	"time"

	"baobabfield.example/core/types"
)

// bucket is the token bucket of a workspace on this host.
type bucket struct {
	limit  Limit
	group  *group
	tokens float64
	// advancedAt is the time up to which tokens have been added.
	advancedAt types.Time
	// share is the granted fraction of the limit, valid until shareUntil. shareProcess is the
	// allocator's process.
	share        float64
	shareUntil   types.Time
	shareProcess uint64
	// stock is the number of single tokens beside the share, valid until stockUntil, from the
	// allocator's process stockProcess.
	stock        int
	stockUntil   types.Time
	stockProcess uint64
	// surplus are the tokens above the depth after a share was reduced. They can be returned until
	// surplusUntil, when the earlier share would have expired.
	surplus      float64
	surplusUntil types.Time
	// demand counts the operations, decaying with demandTime, as of demandAt.
	demand   float64
	demandAt types.Time
	// tokenDemand is the same with tokenDemandTime.
	tokenDemand float64
	pending     []pendingOperation
	// asked is the number of pending operations in the last report, and held that of single tokens.
	asked, held int
	// exhaustedUntil is set after a grant below the demand.
	exhaustedUntil types.Time
	// listed is set while the bucket is in the group's list of active ones.
	listed bool
	// refused and lastRefusedAt describe the refusals while isLimited is set. nextRetryAt is the
	// time to which the retries of refused operations have been spread.
	isLimited     bool
	refused       int
	lastRefusedAt types.Time
	nextRetryAt   types.Time
}

type pendingOperation struct {
	operation uint64
	deadline  types.Time
}

// shareAt returns the fractions of the limit that the bucket has at a time: the granted one and
// the static one.
func (b *bucket) shareAt(m *Machine, t types.Time) (granted, static float64) {
	if t.Before(b.shareUntil) {
		granted = b.share
	}
	if !t.Before(b.group.staticFrom) {
		static = m.share
	}
	return granted, static
}

// advance adds the tokens up to now. The shares end and begin at shareUntil and staticFrom.
func (m *Machine) advance(b *bucket, now types.Time) {
	for b.advancedAt.Before(now) {
		next := now
		for _, t := range []types.Time{b.shareUntil, b.group.staticFrom} {
			if t.After(b.advancedAt) && t.Before(next) {
				next = t
			}
		}
		granted, static := b.shareAt(m, b.advancedAt)
		b.tokens += (granted + static) * b.limit.Rate * next.Sub(b.advancedAt).Seconds()
		b.tokens = min(b.tokens, b.depth(granted, static))
		b.advancedAt = next
	}
	b.clip(m, now)
}

func (b *bucket) depth(granted, static float64) float64 {
	return b.limit.depth() * (grantDepthFraction*granted + static)
}

// clip drops the tokens above the present depth.
func (b *bucket) clip(m *Machine, now types.Time) {
	granted, static := b.shareAt(m, now)
	b.tokens = min(b.tokens, b.depth(granted, static))
}

// take takes a token if there is one.
func (m *Machine) take(b *bucket, now types.Time) bool {
	m.advance(b, now)
	if b.stock > 0 && now.Before(b.stockUntil) {
		b.stock--
		if b.stock == 0 && b.tokens < 1 {
			b.group.needsTokens = true
		}
		return true
	}
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	return false
}

// demandRate returns the estimated demand per second.
func (b *bucket) demandRate(now types.Time) float64 {
	return b.demand * math.Exp(-now.Sub(b.demandAt).Seconds()/demandTime.Seconds()) / demandTime.Seconds()
}

// takeSurplus removes the granted tokens for which there is no demand and returns their number.
func (m *Machine) takeSurplus(b *bucket, now types.Time, rate float64) int {
	m.advance(b, now)
	returned := 0
	if now.Before(b.surplusUntil) {
		returned = int(b.surplus)
	}
	b.surplus, b.surplusUntil = 0, 0
	if n := b.validStock(now) - b.tokenLevel(now); n > 0 {
		b.stock -= n
		returned += n
	}
	if n := int(b.tokens - rate*keptTime.Seconds() - minKeptTokens); n > 0 && now.Before(b.shareUntil) {
		b.tokens -= float64(n)
		returned += n
	}
	return returned
}

// validStock returns the number of valid single tokens.
func (b *bucket) validStock(now types.Time) int {
	if !now.Before(b.stockUntil) {
		b.stock = 0
	}
	return b.stock
}

// tokenLevel returns the number of tokens that a host wants to have after a report, so that nearly
// all operations until the reply to the next one find a token.
func (b *bucket) tokenLevel(now types.Time) int {
	idle := now.Sub(b.demandAt)
	if idle >= b.group.tokenRetention {
		return 0
	}
	expected := b.tokenDemand * math.Exp(-idle.Seconds()/tokenDemandTime.Seconds()) * (reportInterval.Seconds() / tokenDemandTime.Seconds())
	if idle > reportInterval {
		expected = min(expected, 3*reportInterval.Seconds()/idle.Seconds())
	}
	return int(math.Ceil(expected + levelDeviations*math.Sqrt(expected)))
}

func (b *bucket) countDemand(now types.Time) {
	b.tokenDemand = b.tokenDemand*math.Exp(-now.Sub(b.demandAt).Seconds()/tokenDemandTime.Seconds()) + 1
	b.demand = b.demandRate(now)*demandTime.Seconds() + 1
	b.demandAt = now
}

// Admit decides on an operation of a workspace. The number identifies it in the Resolution if it
// is pending.
func (m *Machine) Admit(now types.Time, w types.Workspace, operation uint64) Decision {
	b := m.buckets[w]
	if b == nil {
		return Decision{Verdict: Admitted}
	}
	m.start(now)
	b.countDemand(now)
	g := b.group
	g.list(b)
	if len(b.pending) == 0 && m.take(b, now) {
		return m.decide(b, now, Admitted)
	}
	if now.Before(b.exhaustedUntil) || !g.expectsReply(now) {
		m.advance(b, now)
		return m.refuse(b, now)
	}
	b.pending = append(b.pending, pendingOperation{operation: operation, deadline: now.Add(maxPendingTime)})
	g.notePending()
	m.sendDueReports(now)
	return m.decide(b, now, Pending)
}

// Refund returns the token of an operation that has been admitted and did not run.
func (m *Machine) Refund(now types.Time, w types.Workspace) {
	b := m.buckets[w]
	if b == nil {
		return
	}
	m.advance(b, now)
	if b.validStock(now) > 0 {
		b.stock++
	} else {
		b.tokens++
		b.clip(m, now)
	}
	m.servePending(b, now, false)
}

func (m *Machine) decide(b *bucket, now types.Time, v Verdict) Decision {
	d := Decision{Verdict: v, Limit: b.limit.Rate, Tokens: b.tokens, Allocator: b.group.allocatorHost}
	if now.Before(b.shareUntil) {
		d.Share = b.share
		d.GrantAge = now.Sub(b.shareUntil.Add(-grantTime))
	}
	return d
}

// refuse refuses an operation. The retries of refused operations are spread at the rate of this
// host's share, so that the time grows with their number.
func (m *Machine) refuse(b *bucket, now types.Time) Decision {
	b.refused++
	b.lastRefusedAt = now
	if !b.isLimited {
		b.isLimited = true
		m.limited = append(m.limited, b)
		m.limitedChanges = append(m.limitedChanges, LimitedChange{Workspace: b.limit.Workspace, Limited: true})
	}
	granted, static := b.shareAt(m, now)
	rate := max(granted+static, minRetryShare) * b.limit.Rate
	step := time.Duration(min(1/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	b.nextRetryAt = min(max(b.nextRetryAt, now).Add(step), now.Add(maxRetryAfter))
	d := m.decide(b, now, Refused)
	wait := b.nextRetryAt.Sub(now)
	// Half of the time is random, since refused callers often come in step.
	d.RetryAfter = max(wait-time.Duration(m.rng.Float64()*float64(wait)/2), minRetryAfter)
	return d
}

// servePending admits pending operations while there are tokens. It refuses the others if their
// time has passed, or if all is set.
func (m *Machine) servePending(b *bucket, now types.Time, all bool) {
	n := 0
	for _, p := range b.pending {
		var d Decision
		switch {
		case m.take(b, now):
			d = m.decide(b, now, Admitted)
		case all || !now.Before(p.deadline):
			d = m.refuse(b, now)
		default:
			b.pending = b.pending[n:]
			return
		}
		m.resolutions = append(m.resolutions, Resolution{Operation: p.operation, Decision: d})
		n++
	}
	b.pending = nil
}
