package limits

import (
	"slices"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// group is a group of workspaces with a common allocator.
type group struct {
	number  int
	buckets []*bucket
	// active holds the buckets with demand, pending operations or a grant.
	active []*bucket
	// allocator is the state of this host as the allocator of the group.
	allocator allocator

	// candidates are the possible allocators in the order of preference. silentUntil holds those
	// that have not replied, and when they are tried again.
	candidates    []types.Host
	silentUntil   map[types.Host]types.Time
	allocatorHost types.Host
	// allocatorProcess and allocatorClock are those of the last reply of allocatorHost, which arrived at
	// repliedAt; zero for none.
	allocatorProcess uint64
	allocatorClock   types.Time
	repliedAt        types.Time
	// unansweredSince is when the oldest report after the last reply was sent; zero for none.
	unansweredSince types.Time
	sent            []sentReport
	appliedSeq      uint64
	lastReportAt    types.Time
	// urgent is set if a report is due after urgentReportInterval.
	urgent bool
	// needsTokens is set if a report is due after tokenReportInterval.
	needsTokens bool
	// tokenRetention is the present time after the last operation for which single tokens are kept.
	tokenRetention time.Duration

	// staticFrom is the time from which the static share is used: the end of the last loan, or
	// of startDelay. lentTo is the process that has the loan.
	staticFrom types.Time
	lentTo     uint64
}

// sentReport is a report that may still be answered.
type sentReport struct {
	seq uint64
	at  types.Time
	to  types.Host
	// isProbe is set for a report without demands to an allocator that was silent.
	isProbe bool
}

func (g *group) init(number int) {
	g.number, g.tokenRetention = number, tokenRetention
	g.silentUntil = map[types.Host]types.Time{}
	g.allocator.init()
}

// removeExcept removes the buckets of the workspaces that are not kept and returns them.
func (g *group) removeExcept(kept func(types.Workspace) bool) []*bucket {
	var removed []*bucket
	drop := func(b *bucket) bool { return !kept(b.limit.Workspace) }
	for _, b := range g.buckets {
		if drop(b) {
			removed = append(removed, b)
		}
	}
	g.buckets = slices.DeleteFunc(g.buckets, drop)
	g.active = slices.DeleteFunc(g.active, drop)
	return removed
}

func (g *group) list(b *bucket) {
	if !b.listed {
		b.listed = true
		g.active = append(g.active, b)
	}
}

func (g *group) advanceAll(m *Machine, now types.Time) {
	for _, b := range g.buckets {
		m.advance(b, now)
	}
}

// setCandidates sets the possible allocators. Rendezvous hashing orders them, so that a host that
// comes or goes moves few groups.
func (g *group) setCandidates(hosts []types.Host) {
	weight := func(h types.Host) uint64 { return random.Hash(holderHashSeed+1+uint64(g.number), string(h)) }
	g.candidates = slices.Clone(hosts)
	slices.SortFunc(g.candidates, func(a, b types.Host) int {
		if weight(a) > weight(b) {
			return -1
		}
		return 1
	})
	for h := range g.silentUntil {
		if !slices.Contains(g.candidates, h) {
			delete(g.silentUntil, h)
		}
	}
}

// selectAllocator selects the first candidate that is not silent.
func (m *Machine) selectAllocator(g *group, silent bool) {
	var selected types.Host
	for _, h := range g.candidates {
		if _, isSilent := g.silentUntil[h]; !isSilent {
			selected = h
			break
		}
	}
	if selected == "" && len(g.candidates) > 0 {
		selected = g.candidates[0]
	}
	if selected == g.allocatorHost {
		return
	}
	if len(g.buckets) > 0 {
		m.allocatorChanges = append(m.allocatorChanges, AllocatorChange{Group: g.number, From: g.allocatorHost, To: selected, Silent: silent})
	}
	g.allocatorHost, g.allocatorProcess, g.allocatorClock = selected, 0, 0
	g.unansweredSince = 0
	g.notePending()
}

// expectsReply reports whether a grant may be on its way, or will be requested now.
func (g *group) expectsReply(now types.Time) bool {
	return g.allocatorHost != "" && (g.unansweredSince == 0 || now.Sub(g.unansweredSince) < allocatorSilenceTimeout/2)
}

// notePending requests a report before the next regular one.
func (g *group) notePending() {
	g.urgent = true
}

// needsReports reports whether this host takes part in the group.
func (m *Machine) needsReports(g *group) bool {
	return len(g.buckets) > 0 && g.allocatorHost != "" && (m.share > 0 || len(g.active) > 0)
}

// nextReportAt returns the time of the next report.
func (g *group) nextReportAt() types.Time {
	if g.lastReportAt == 0 {
		return 0
	}
	if g.urgent {
		return g.lastReportAt.Add(urgentReportInterval)
	}
	if g.needsTokens {
		return g.lastReportAt.Add(tokenReportInterval)
	}
	return g.lastReportAt.Add(reportInterval)
}

// sendDueReports sends the reports that are due, and with them those that will be due shortly, so
// that the groups do not wake the host one after the other.
func (m *Machine) sendDueReports(now types.Time) {
	isDue := false
	for i := range m.groups {
		g := &m.groups[i]
		isDue = isDue || (m.needsReports(g) && !now.Before(g.nextReportAt()))
	}
	if !isDue {
		return
	}
	for i := range m.groups {
		g := &m.groups[i]
		if m.needsReports(g) && !now.Add(reportAlignment).Before(g.nextReportAt()) {
			m.sendReport(now, g)
		}
	}
}

// sendReport sends a report to the allocator. It lends the static share if the allocator has answered
// and no other process has a valid loan.
func (m *Machine) sendReport(now types.Time, g *group) {
	r := Report{Group: g.number, AllocatorProcess: g.allocatorProcess, AllocatorClock: g.allocatorClock, Hosts: m.membership.count}
	isFree := !now.Before(g.staticFrom)
	// The allocator read its clock before its reply arrived here, so that the loan ends no later there.
	// Reports without a reply do not make the loan longer.
	lentUntil := g.repliedAt.Add(loanTime + loanTime*clockDriftPercent/100)
	if g.allocatorProcess != 0 && m.share > 0 && (isFree || g.lentTo == g.allocatorProcess) && now.Before(lentUntil) {
		if isFree {
			g.advanceAll(m, now)
		}
		r.LendFor, r.Share = loanTime, m.share
		g.lentTo = g.allocatorProcess
		g.staticFrom = max(g.staticFrom, lentUntil)
		if isFree {
			for _, b := range g.buckets {
				b.clip(m, now)
			}
		}
	}
	m.appendDemands(now, g, &r)
	g.lastReportAt, g.urgent, g.needsTokens = now, false, false
	if g.unansweredSince == 0 {
		g.unansweredSince = now
	}
	m.send(now, g, g.allocatorHost, &r, false)
}

// appendDemands adds the demands of a group to a report. Buckets without demand and tokens become
// inactive.
func (m *Machine) appendDemands(now types.Time, g *group, r *Report) {
	idle := 0
	g.active = slices.DeleteFunc(g.active, func(b *bucket) bool {
		rate, level := b.demandRate(now), b.tokenLevel(now)
		if rate < minDemand && len(b.pending) == 0 && !now.Before(b.shareUntil) && level == 0 && b.validStock(now) == 0 {
			b.listed = false
			return true
		}
		returned := 0
		if r.AllocatorProcess != 0 {
			returned = m.takeSurplus(b, now, rate)
		}
		b.asked, b.held = len(b.pending), 0
		if g.allocatorProcess == b.stockProcess {
			b.held = b.validStock(now)
		}
		ahead := max(level-b.held-int(b.tokens), 0)
		if rate < minDemand {
			idle++
		}
		if rate >= minDemand || len(b.pending) > 0 || returned > 0 || b.held > 0 || ahead > 0 {
			r.Demands = append(r.Demands, Demand{
				Workspace: b.limit.Workspace, Rate: rate, Need: len(b.pending), Ahead: ahead, Held: b.held, Returned: returned,
			})
		}
		return false
	})
	if idle > maxIdleTokens {
		g.tokenRetention = max(g.tokenRetention*7/8, minTokenRetention)
	} else {
		g.tokenRetention = min(g.tokenRetention*17/16, tokenRetention)
	}
}

func (m *Machine) send(now types.Time, g *group, to types.Host, r *Report, isProbe bool) {
	m.nextSeq++
	r.Seq = m.nextSeq
	g.sent = append(g.sent, sentReport{seq: r.Seq, at: now, to: to, isProbe: isProbe})
	if len(g.sent) > maxSentReports {
		g.sent = g.sent[1:]
	}
	m.messages = append(m.messages, Message{To: to, Report: r})
}

// HandleGrants handles an allocator's reply.
func (m *Machine) HandleGrants(now types.Time, from types.Host, msg *Grants) {
	m.start(now)
	if msg.Group < 0 || msg.Group >= groupCount {
		return
	}
	g := &m.groups[msg.Group]
	delete(g.silentUntil, from)
	m.selectAllocator(g, false)
	i := slices.IndexFunc(g.sent, func(s sentReport) bool { return s.seq == msg.Seq && s.to == from })
	if i < 0 || msg.Seq <= g.appliedSeq || from != g.allocatorHost {
		return
	}
	report := g.sent[i]
	g.sent = g.sent[i+1:]
	g.appliedSeq = msg.Seq
	g.allocatorProcess, g.allocatorClock, g.repliedAt = msg.AllocatorProcess, msg.AllocatorClock, now
	g.unansweredSince = 0
	if len(g.sent) > 0 {
		g.unansweredSince = g.sent[0].at
	}
	m.noteHostCount(now, msg.Hosts)
	if report.isProbe {
		g.dropShares(m, now, msg.AllocatorProcess)
		return
	}
	m.applyGrants(now, g, msg, report.at)
}

// dropShares ends the grants of an allocator's process. The allocator takes a report that repeats its
// later clock as the confirmation that they are no longer used.
func (g *group) dropShares(m *Machine, now types.Time, process uint64) {
	for _, b := range g.active {
		if b.shareProcess == process {
			m.advance(b, now)
			b.share, b.shareUntil = 0, min(b.shareUntil, now)
			b.clip(m, now)
		}
	}
}

// applyGrants replaces the grants of a group.
func (m *Machine) applyGrants(now types.Time, g *group, msg *Grants, sentAt types.Time) {
	granted := make(map[*bucket]Grant, len(msg.Grants))
	for _, grant := range msg.Grants {
		if b := m.buckets[grant.Workspace]; b != nil && b.group == g {
			granted[b] = grant
			g.list(b)
		}
	}
	until := sentAt.Add(min(msg.ValidFor, grantTime))
	tokensFor := msg.TokensFor
	if tokensFor <= 0 {
		tokensFor = earlierTokenTime
	}
	tokensUntil := sentAt.Add(min(tokensFor, tokenTime))
	for _, b := range g.active {
		m.advance(b, now)
		grant, listed := granted[b]
		m.replaceShare(b, now, grant.Share, until, msg.AllocatorProcess)
		if listed {
			b.applyTokens(now, grant, tokensUntil, msg.AllocatorProcess)
		}
		isShort := listed && grant.Tokens < b.asked
		b.asked, b.held = 0, 0
		if isShort {
			b.exhaustedUntil = now.Add(exhaustedTime)
		}
		m.servePending(b, now, isShort)
		if len(b.pending) > 0 {
			g.notePending()
		}
	}
}

// applyTokens adds new single tokens and extends the time of those that the bucket has. The allocator
// counts all of them as valid for as long as the new ones. Tokens that it does not extend are returned,
// and those of another process are dropped, since it does not count them.
func (b *bucket) applyTokens(now types.Time, grant Grant, until types.Time, process uint64) {
	if b.validStock(now) > 0 && b.stockProcess != process && grant.Tokens > 0 {
		b.stock = 0
	}
	if b.stock > 0 && b.held > 0 && !grant.Keep {
		if b.surplus > 0 && now.Before(b.surplusUntil) {
			b.surplusUntil = min(b.surplusUntil, b.stockUntil)
		} else {
			b.surplus, b.surplusUntil = 0, b.stockUntil
		}
		b.surplus += float64(b.stock)
		b.stock = 0
		b.group.urgent = true
	}
	if grant.Tokens > 0 || grant.Keep && b.stockProcess == process {
		b.stock += grant.Tokens
		b.stockUntil, b.stockProcess = until, process
	}
}

// replaceShare replaces the granted share of a bucket. A higher share that another allocator has
// granted stays until it expires: both are backed by loans.
func (m *Machine) replaceShare(b *bucket, now types.Time, share float64, until types.Time, process uint64) {
	if now.Before(b.shareUntil) {
		if b.shareProcess != process && b.share > share {
			return
		}
		if share < b.share*confirmedReduction {
			b.group.urgent = true
		}
		_, static := b.shareAt(m, now)
		if excess := b.tokens - b.depth(share, static); excess > 0 {
			b.surplus, b.surplusUntil = b.surplus+excess, b.shareUntil
		}
	}
	b.share, b.shareUntil, b.shareProcess = share, until, process
	b.clip(m, now)
}

// Tick performs the work that has become due.
func (m *Machine) Tick(now types.Time) {
	m.start(now)
	if len(m.buckets) == 0 {
		return
	}
	if now.Sub(m.lastTickAt) > suspensionThreshold {
		// Replies may have arrived while this process did not run.
		for i := range m.groups {
			if m.groups[i].unansweredSince != 0 {
				m.groups[i].unansweredSince = now
			}
		}
	}
	m.lastTickAt = now
	m.expireHosts(now)
	m.updateShare(now)
	for i := range m.groups {
		g := &m.groups[i]
		m.checkAllocator(now, g)
		for _, b := range g.active {
			if len(b.pending) > 0 {
				m.servePending(b, now, false)
			}
			g.urgent = g.urgent || m.isNearlyFull(b, now)
		}
	}
	m.sendDueReports(now)
	m.limited = slices.DeleteFunc(m.limited, func(b *bucket) bool {
		if now.Sub(b.lastRefusedAt) < limitedTime {
			return false
		}
		m.limitedChanges = append(m.limitedChanges, LimitedChange{Workspace: b.limit.Workspace, Refused: b.refused})
		b.isLimited, b.refused = false, 0
		return true
	})
}

// isNearlyFull reports whether a bucket is about to lose tokens of a granted share.
func (m *Machine) isNearlyFull(b *bucket, now types.Time) bool {
	if !now.Before(b.shareUntil) || b.share == 0 {
		return false
	}
	m.advance(b, now)
	return b.tokens > nearlyFullFraction*b.depth(b.shareAt(m, now))
}

// checkAllocator replaces an allocator that does not reply, and probes the preferred ones that did not.
func (m *Machine) checkAllocator(now types.Time, g *group) {
	if !m.needsReports(g) {
		return
	}
	if g.unansweredSince != 0 && now.Sub(g.unansweredSince) >= allocatorSilenceTimeout {
		g.silentUntil[g.allocatorHost] = now.Add(silentAllocatorProbeInterval)
		g.unansweredSince = 0
		m.selectAllocator(g, true)
	}
	for _, h := range g.candidates {
		if h == g.allocatorHost {
			break
		}
		if until, ok := g.silentUntil[h]; ok && !now.Before(until) {
			g.silentUntil[h] = now.Add(silentAllocatorProbeInterval)
			m.send(now, g, h, &Report{Group: g.number, Hosts: m.membership.count}, true)
		}
	}
}

// NextWake returns when Tick must be called next.
func (m *Machine) NextWake(now types.Time) (types.Time, bool) {
	if len(m.buckets) == 0 {
		return 0, false
	}
	at, ok := m.membership.nextShareChange(now)
	consider := func(t types.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	for i := range m.groups {
		g := &m.groups[i]
		if m.needsReports(g) {
			consider(g.nextReportAt())
			if check := g.lastReportAt.Add(reportInterval / 2); len(g.active) > 0 && check.After(now) {
				consider(check)
			}
			if g.unansweredSince != 0 {
				consider(g.unansweredSince.Add(allocatorSilenceTimeout))
			}
		}
		for _, b := range g.active {
			if len(b.pending) > 0 {
				consider(b.pending[0].deadline)
			}
		}
	}
	for _, b := range m.limited {
		consider(b.lastRefusedAt.Add(limitedTime))
	}
	return at, ok
}
