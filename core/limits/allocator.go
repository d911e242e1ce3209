package limits

import (
	"cmp"
	"slices"
	"time"

	"baobabfield.example/core/types"
)

// allocator is the state of a host as the allocator of a group.
type allocator struct {
	// lastClock is the clock value of the last reply. Every reply has a higher one.
	lastClock types.Time
	// reporters are in the order of their first report, so that sums do not depend on the order of
	// a map.
	reporters      []*reporter
	reporterByHost map[types.Host]*reporter
	// lent is the sum of the valid loans at advancedAt, and lentSeconds its integral over time.
	lent        float64
	lentSeconds float64
	advancedAt  types.Time
	accounts    map[types.Workspace]*account
}

// reporter is what the allocator knows of a host that reports.
type reporter struct {
	host types.Host
	// clock and seq are those of its last report, which tells the newest grants that it uses.
	clock types.Time
	seq   uint64
	// reportedAt is the time of its last report.
	reportedAt types.Time
	// share is lent until lentUntil.
	share     float64
	lentUntil types.Time
	// hosts is the number of eligible hosts that it knows.
	hosts int
}

// account is the part of a workspace's limit that the allocator has not granted as shares.
type account struct {
	limit  Limit
	tokens float64
	// advancedAt and lentSeconds are those of the allocator when tokens were last added, and granted
	// the outstanding shares since then.
	advancedAt  types.Time
	lentSeconds float64
	granted     float64
	// outstandingTokens is the number of valid single tokens.
	outstandingTokens int
	// consumers are in the order of their first demand.
	consumers      []*consumer
	consumerByHost map[types.Host]*consumer
}

// consumer is a host that has demand for a workspace or holds grants of it.
type consumer struct {
	reporter *reporter
	demand   float64
	// reportedAt is the time of the report with the demand.
	reportedAt types.Time
	grants     []outstandingGrant
	// held is the number of single tokens that the host had when it sent the last report with a
	// demand. It had received the reply with heldClock. They, and the tokens of later replies, are
	// valid until tokensUntil.
	held        int
	heldClock   types.Time
	tokensUntil types.Time
}

// outstandingGrant is a grant that a host may still use.
type outstandingGrant struct {
	clock  types.Time
	share  float64
	until  types.Time
	tokens int
}

func (k *allocator) init() {
	k.reporterByHost, k.accounts = map[types.Host]*reporter{}, map[types.Workspace]*account{}
}

// configure replaces the accounts. A new account begins without tokens.
func (k *allocator) configure(now types.Time, buckets []*bucket) {
	k.advance(now)
	kept := make(map[types.Workspace]bool, len(buckets))
	for _, b := range buckets {
		w := b.limit.Workspace
		kept[w] = true
		if a := k.accounts[w]; a != nil {
			k.advanceAccount(a, now)
			a.limit = b.limit
			continue
		}
		k.accounts[w] = &account{limit: b.limit, advancedAt: now, lentSeconds: k.lentSeconds, consumerByHost: map[types.Host]*consumer{}}
	}
	for w := range k.accounts {
		if !kept[w] {
			delete(k.accounts, w)
		}
	}
}

// advance integrates the loans up to now. If a loan has expired, all accounts are reduced to their
// new depth, because the lender has used the share itself since then.
func (k *allocator) advance(now types.Time) {
	if !k.advancedAt.Before(now) {
		return
	}
	expired, lent := false, 0.0
	for _, r := range k.reporters {
		if r.share == 0 {
			continue
		}
		k.lentSeconds += r.share * max(min(now, r.lentUntil).Sub(k.advancedAt), 0).Seconds()
		if now.Before(r.lentUntil) {
			lent += r.share
		} else {
			r.share, expired = 0, true
		}
	}
	k.lent, k.advancedAt = lent, now
	if expired {
		k.clipAll(now)
	}
}

func (k *allocator) clipAll(now types.Time) {
	for _, a := range k.accounts {
		k.advanceAccount(a, now)
	}
}

// advanceAccount adds the tokens up to now, to which the allocator has been advanced. The outstanding
// shares have not increased since the last time.
func (k *allocator) advanceAccount(a *account, now types.Time) {
	added := k.lentSeconds - a.lentSeconds - a.granted*now.Sub(a.advancedAt).Seconds()
	a.tokens += max(added, 0) * a.limit.Rate
	a.advancedAt, a.lentSeconds = now, k.lentSeconds
	granted, tokens := 0.0, 0
	for _, c := range a.consumers {
		share, n := c.outstanding(now)
		granted += share
		tokens += n
	}
	a.granted, a.outstandingTokens = granted, tokens
	depth := a.limit.depth()*(k.lent-grantDepthFraction*granted) - float64(tokens)
	a.tokens = min(a.tokens, max(depth, 0))
}

// outstanding returns the highest share and the tokens that a host may use. A grant has been
// replaced if the host has reported a later one. Tokens are part of those that the host holds if it
// has reported the reply with them.
func (c *consumer) outstanding(now types.Time) (share float64, tokens int) {
	confirmed := c.reporter.clock
	hasTokens := now.Before(c.tokensUntil)
	c.grants = slices.DeleteFunc(c.grants, func(g outstandingGrant) bool {
		return (!hasTokens || !g.clock.After(c.heldClock)) && (g.clock.Before(confirmed) || !now.Before(g.until))
	})
	if hasTokens {
		tokens = c.held
	}
	for _, g := range c.grants {
		if !g.clock.Before(confirmed) && now.Before(g.until) {
			share = max(share, g.share)
		}
		if hasTokens && g.clock.After(c.heldClock) {
			tokens += g.tokens
		}
	}
	return share, tokens
}

// lentFor returns the sum of the loans that last for a time from now.
func (k *allocator) lentFor(now types.Time, d time.Duration) float64 {
	sum := 0.0
	for _, r := range k.reporters {
		if !r.lentUntil.Before(now.Add(d)) {
			sum += r.share
		}
	}
	return min(sum, 1) // without the rounding errors of the sum
}

// HandleReport handles a host's report and replies to it.
func (m *Machine) HandleReport(now types.Time, from types.Host, msg *Report) {
	m.start(now)
	if msg.Group < 0 || msg.Group >= groupCount {
		return
	}
	g := &m.groups[msg.Group]
	k := &g.allocator
	k.advance(now)
	k.dropReporters(now)
	r := k.reporterByHost[from]
	if r == nil {
		r = &reporter{host: from}
		k.reporterByHost[from] = r
		k.reporters = append(k.reporters, r)
	}
	clock := types.Time(0)
	if msg.AllocatorProcess == m.process && !msg.AllocatorClock.After(k.lastClock) {
		clock = msg.AllocatorClock
	}
	if clock.Before(r.clock) && clock != 0 || clock != 0 && clock == r.clock && msg.Seq <= r.seq {
		return // delayed or duplicated
	}
	if clock != 0 {
		r.clock, r.seq = clock, msg.Seq
		k.setLoan(now, r, clock, msg)
	}
	r.reportedAt, r.hosts = now, msg.Hosts
	m.noteHostCount(now, msg.Hosts)
	k.lastClock = max(now, k.lastClock+1)
	reply := &Grants{Seq: msg.Seq, Group: g.number, AllocatorProcess: m.process, AllocatorClock: k.lastClock, ValidFor: grantTime, TokensFor: tokenTime, Hosts: k.maxHosts(now, m.membership.count)}
	lent := k.lentFor(now, grantTime)
	for _, d := range msg.Demands {
		if a := k.accounts[d.Workspace]; a != nil {
			if clock == 0 {
				d.Returned, d.Held = 0, 0 // the report may be a duplicate
			}
			reply.Grants = append(reply.Grants, k.grant(now, a, r, d, clock, lent))
		}
	}
	m.messages = append(m.messages, Message{To: from, Grants: reply})
}

// setLoan records the loan of a report, which counts from the allocator's clock in it.
func (k *allocator) setLoan(now types.Time, r *reporter, clock types.Time, msg *Report) {
	until := clock.Add(min(msg.LendFor, loanTime))
	if msg.LendFor <= 0 || !now.Before(until) {
		return
	}
	isLower := msg.Share < r.share
	k.lent += msg.Share - r.share
	r.share, r.lentUntil = max(msg.Share, 0), max(r.lentUntil, until)
	if isLower {
		k.clipAll(now)
	}
}

// maxHosts returns the highest number of eligible hosts that a host has recently reported.
func (k *allocator) maxHosts(now types.Time, own int) int {
	for _, r := range k.reporters {
		if now.Sub(r.reportedAt) < hostCountValidity {
			own = max(own, r.hosts)
		}
	}
	return own
}

// dropReporters removes the hosts that have not reported for some time.
func (k *allocator) dropReporters(now types.Time) {
	k.reporters = slices.DeleteFunc(k.reporters, func(r *reporter) bool {
		if now.Sub(r.reportedAt) <= 2*hostCountValidity {
			return false
		}
		delete(k.reporterByHost, r.host)
		for _, a := range k.accounts {
			a.dropConsumer(r)
		}
		return true
	})
}

func (a *account) dropConsumer(r *reporter) {
	delete(a.consumerByHost, r.host)
	a.consumers = slices.DeleteFunc(a.consumers, func(c *consumer) bool { return c.reporter == r })
}

// grant decides on a host's demand. clock is that of the report if it is known, and lent the sum of
// the loans that outlast the grant.
func (k *allocator) grant(now types.Time, a *account, from *reporter, d Demand, clock types.Time, lent float64) Grant {
	k.advanceAccount(a, now)
	a.tokens += float64(max(d.Returned, 0))
	c := a.consumerByHost[from.host]
	if c == nil {
		c = &consumer{reporter: from}
		a.consumerByHost[from.host] = c
		a.consumers = append(a.consumers, c)
	}
	c.demand, c.reportedAt = d.Rate, now
	if clock != 0 {
		c.held, c.heldClock = max(d.Held, 0), clock
	}
	k.advanceAccount(a, now) // limits the tokens to the depth
	own, _ := c.outstanding(now)
	others := a.granted - own
	// The depths of the shares and the single tokens together stay within the depth.
	freeDepth := (lent - float64(a.outstandingTokens)/a.limit.depth()) / grantDepthFraction
	share := min(k.fairShare(now, a, c, lent), max(min(lent, freeDepth)-others, 0))
	least := float64(minGrantedDemand)
	if own > 0 {
		least = minKeptDemand
	}
	if d.Rate < least || a.limit.depth()*grantDepthFraction*share < minGrantDepth {
		share = 0
	}
	c.grants = append(c.grants, outstandingGrant{clock: k.lastClock, share: share, until: now.Add(grantTime)})
	k.advanceAccount(a, now)
	out := Grant{Workspace: d.Workspace, Share: share}
	out.Tokens, out.Keep = k.grantTokens(now, a, c, d, lent)
	return out
}

// grantTokens decides on the single tokens of a host, after its share. They are valid as long as a
// grant, so that the depth for them is that of the loans which last as long.
func (k *allocator) grantTokens(now types.Time, a *account, c *consumer, d Demand, lent float64) (tokens int, keep bool) {
	depth := a.limit.depth()
	free := depth*(lent-grantDepthFraction*a.granted) - float64(a.outstandingTokens)
	reserve := tokenReserve * depth * lent
	required := 1.0
	if d.Rate < minDemand {
		required = reserve
	}
	available := min(free, a.tokens)
	// Tokens that are not counted any more have expired, so that the report was delayed.
	keep = d.Held > 0 && now.Before(c.tokensUntil) && free >= 0 && a.tokens >= required
	tokens = min(max(d.Need, 0), int(max(available, 0)))
	available -= float64(tokens) + reserve
	tokens += min(max(d.Ahead, 0), int(max(available, 0)))
	if tokens > 0 || keep {
		a.tokens -= float64(tokens)
		c.grants[len(c.grants)-1].tokens = tokens
		c.tokensUntil = now.Add(tokenTime)
		k.advanceAccount(a, now)
	}
	return tokens, keep
}

// fairShare returns the share of a consumer by max-min fairness between the demands. If they are
// below what is lent, each gets a part of the rest in proportion, and half of the rest stays with
// the allocator.
func (k *allocator) fairShare(now types.Time, a *account, c *consumer, lent float64) float64 {
	demands := make([]float64, 0, len(a.consumers))
	sum := 0.0
	a.consumers = slices.DeleteFunc(a.consumers, func(other *consumer) bool {
		if other.reportedAt.Before(other.reporter.reportedAt) || now.Sub(other.reportedAt) >= grantTime {
			if len(other.grants) > 0 {
				return false
			}
			delete(a.consumerByHost, other.reporter.host)
			return true
		}
		demands = append(demands, other.demand/a.limit.Rate)
		sum += other.demand / a.limit.Rate
		return false
	})
	own := c.demand / a.limit.Rate
	if sum <= lent {
		return own + own*min(maxGrantSurplus, (lent-sum)/2/max(sum, 1e-9))
	}
	return min(own, waterLevel(demands, lent))
}

// waterLevel returns the level at which the demands, each bounded by it, add up to the capacity,
// which is below their sum.
func waterLevel(demands []float64, capacity float64) float64 {
	slices.SortFunc(demands, cmp.Compare)
	for i, d := range demands {
		level := capacity / float64(len(demands)-i)
		if d >= level {
			return level
		}
		capacity -= d
	}
	return capacity
}
