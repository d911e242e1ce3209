package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/random"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

const (
	// unresponsiveTimeout is the time without any reply, while requests are pending, after
	// which a primary is suspected. It is far above the time of the slowest statement at a slow
	// endpoint.
	unresponsiveTimeout = 450 * time.Millisecond
	// reachabilityFanout is the number of other hosts that are queried about a suspect.
	reachabilityFanout = 3
	// reachabilityTimeout is how long their responses are awaited. A host that reaches the
	// endpoint needs a few round trips to respond.
	reachabilityTimeout = 250 * time.Millisecond
	// unansweredValidity is how long an unanswered control command counts.
	unansweredValidity = 2 * time.Second
	// absenceValidity is how long a failure with Absent set counts.
	absenceValidity = time.Second
	// handOverPeriod is the time for which a host leaves a primary to other hosts that can
	// reach it.
	handOverPeriod = 2 * time.Second
	// missingPrimaryTimeout is how long a service may lack a primary before one is promoted.
	missingPrimaryTimeout = 900 * time.Millisecond
)

// noteAbsent records that nothing listens at an endpoint's address, or another instance does.
func (m *Machine) noteAbsent(o *ownedEndpoint) {
	if m.now.Sub(o.lastAbsentAt) > absenceValidity {
		o.absentCount = 0
	}
	o.absentCount++
	o.lastAbsentAt = m.now
	m.tickRequested = true
}

// checkPrimary starts a campaign or a reachability query if a service's primary is leaving,
// missing, absent or unresponsive.
func (m *Machine) checkPrimary(s *serviceState) {
	fs := &s.failover
	if m.now.Before(fs.nextCheckAt) {
		return
	}
	primary, known := m.catalog.PrimaryOf(s.name)
	candidate := m.catalog.Leadership(s.name).Candidate
	if candidate != "" && candidate != primary {
		m.finishPromotion(s, primary)
		return
	}
	if !known {
		m.checkMissingPrimary(s)
		return
	}
	o := m.owned[primary]
	e, _ := m.catalog.Endpoint(primary)
	switch {
	case m.isCutOff(e):
		if m.areReplicasObserved(s, primary) {
			m.startCampaign(s, lead.ReasonUnresponsive, primary)
		}
	case e.Leaving && m.ownerOf(primary, nil) == m.settings.Host:
		m.startCampaign(s, lead.ReasonLeaving, primary)
	case o == nil, m.now.Before(o.unreachableUntil):
		fs.primaryMissingSince = 0
	case fs.suspect == primary:
		m.decideSuspicion(s, o)
	case m.isSuspicious(o):
		m.queryReachability(s, primary)
	case m.isLeftFenced(o), m.isHeldUpByRecord(s, o):
		m.startCampaign(s, lead.ReasonReplicasPaused, primary)
	default:
		fs.primaryMissingSince = 0
	}
	if candidate != "" && fs.campaign == nil && fs.suspect == "" {
		// The candidate has been promoted, and only the record is outdated.
		m.finishPromotion(s, "")
	}
}

// isSuspicious reports whether a primary appears to be absent or silent.
func (m *Machine) isSuspicious(o *ownedEndpoint) bool {
	return m.isAbsent(o) || o.pool.UnresponsiveFor(m.now) > unresponsiveTimeout || m.hasUnansweredCommand(o.id) || o.pool.DialFailures() > 1
}

// isLeftFenced reports whether this host, as the owner of a primary, has lacked authority for
// some time since replicas are paused.
func (m *Machine) isLeftFenced(o *ownedEndpoint) bool {
	isOwner := m.ownerOf(o.id, nil) == m.settings.Host
	return isOwner && o.fencedSince != 0 && m.now.Sub(o.fencedSince) >= missingPrimaryTimeout && m.now.Sub(o.lastUsedAt) < missingPrimaryTimeout
}

// isHeldUpByRecord reports whether this host, as the owner of a primary, has connections on which
// it may not use it, since the leadership record shows a campaign whose holder does not go on.
func (m *Machine) isHeldUpByRecord(s *serviceState, o *ownedEndpoint) bool {
	if o.authority == nil || o.authority.Valid(m.now) || m.ownerOf(o.id, nil) != m.settings.Host {
		return false
	}
	_, uncovered := o.authority.UncoveredSince(m.now)
	return uncovered && m.catalog.Leadership(s.name).CampaignOpen && m.now.Sub(s.failover.recordChangedAt) >= rivalClaimTimeout
}

// isAbsent reports whether at least two recent commands or dials failed with Absent set, and no
// connection of the pool contradicts them.
func (m *Machine) isAbsent(o *ownedEndpoint) bool {
	return o.absentCount >= 2 && m.now.Sub(o.lastAbsentAt) < absenceValidity && (o.pool.DialFailures() > 0 || o.pool.ConnectionCount() == 0)
}

// hasUnansweredCommand reports whether an endpoint has recently left a control command
// unanswered.
func (m *Machine) hasUnansweredCommand(id types.Endpoint) bool {
	c := m.controlConns[id]
	return c != nil && c.unansweredAt != 0 && m.now.Sub(c.unansweredAt) < unansweredValidity
}

// finishPromotion starts a campaign that finishes the promotion of the recorded candidate if
// the host that requested it has not changed the record for some time. oldPrimary is empty if
// the candidate is the primary already.
func (m *Machine) finishPromotion(s *serviceState, oldPrimary types.Endpoint) {
	limit := rivalClaimTimeout * time.Duration(1+m.campaignOrder(s.name))
	if m.holderHasRestarted(m.catalog.Leadership(s.name)) {
		limit = missingPrimaryTimeout * time.Duration(m.campaignOrder(s.name))
	}
	if m.now.Sub(s.failover.recordChangedAt) >= limit {
		m.startCampaign(s, lead.ReasonUnfinishedPromotion, oldPrimary)
	}
}

// campaignOrder returns 0 for the host that starts a service's campaign first if no owner of
// the primary does, 1 for the second one and 2 for all others.
func (m *Machine) campaignOrder(name types.Service) int {
	first, second := routing.HighestWeightHosts("lead/"+string(name), hostIDs(m.usableHosts(nil)))
	switch m.settings.Host {
	case first:
		return 0
	case second:
		return 1
	}
	return 2
}

// checkMissingPrimary starts a campaign for a service that has had no usable primary for some
// time. One host, selected by hash, starts first; the others wait longer.
func (m *Machine) checkMissingPrimary(s *serviceState) {
	fs := &s.failover
	if fs.primaryMissingSince == 0 {
		fs.primaryMissingSince = m.now
		return
	}
	// The campaign of the host before needs some time until its claim is known here.
	limit := missingPrimaryTimeout * time.Duration(max(1, 3*m.campaignOrder(s.name)))
	if m.now.Sub(fs.primaryMissingSince) < limit {
		return
	}
	m.startCampaign(s, lead.ReasonNoPrimary, "")
}

// queryReachability suspects a primary that this host cannot use, and queries other hosts
// whether they can reach it.
func (m *Machine) queryReachability(s *serviceState, primary types.Endpoint) {
	fs := &s.failover
	fs.suspect, fs.suspectedAt, fs.reachabilityResponses, fs.reachableFrom = primary, m.now, 0, nil
	fs.suspicionSeq++
	m.log(Info, "primary suspected", field("service", s.name), field("endpoint", primary))
	m.observeReplicas(s.name, primary)
	var others []types.Host
	for _, h := range hostIDs(m.usableHosts(nil)) {
		if h != m.settings.Host {
			others = append(others, h)
		}
	}
	for _, h := range random.Sample(&m.rng, others, reachabilityFanout) {
		m.sendToHost(h, ReachabilityRequest{Seq: fs.suspicionSeq, Service: s.name, Endpoint: primary})
	}
}

// decideSuspicion decides about a suspect once another host has reached it, reachabilityFanout
// hosts have responded, or reachabilityTimeout has passed. A primary that others can reach is
// left to them; otherwise a campaign starts if the primary is still absent or unresponsive.
func (m *Machine) decideSuspicion(s *serviceState, o *ownedEndpoint) {
	fs := &s.failover
	waited := m.now.Sub(fs.suspectedAt)
	if len(fs.reachableFrom) == 0 && fs.reachabilityResponses < reachabilityFanout && waited < reachabilityTimeout {
		return
	}
	// The decision holds for campaignInterval, so that the hosts are not queried again at
	// every tick.
	fs.suspect, fs.nextCheckAt = "", m.now.Add(campaignInterval)
	if len(fs.reachableFrom) > 0 {
		m.log(Info, "primary handed over to other hosts", field("service", s.name), field("endpoint", o.id), field("reached_by", fs.reachableFrom[0]))
		o.unreachableUntil = m.now.Add(handOverPeriod)
		for _, ex := range o.waitingExecutions {
			m.finishExecution(o, ex, ExecResult{Reason: types.ReasonUnreachable})
		}
		o.waitingExecutions = nil
		o.pool.CloseAll(m.now, types.ReasonBroken)
		return
	}
	e, _ := m.catalog.Endpoint(o.id)
	switch {
	case m.isAbsent(o) && e.DataCentre == m.settings.DataCentre:
		m.startCampaign(s, lead.ReasonAbsent, o.id)
	case m.isAbsent(o), o.pool.UnresponsiveFor(m.now) > unresponsiveTimeout, m.hasUnansweredCommand(o.id), o.pool.DialFailures() > 0:
		// Across data centres a broken link can look like a refused connection.
		m.startCampaign(s, lead.ReasonUnresponsive, o.id)
	}
}

// answerReachability answers the pending reachability requests about an endpoint.
func (m *Machine) answerReachability(e catalog.Endpoint, primary bool) {
	for host, seq := range ordered(m.reachabilityRequesters[e.ID]) {
		m.sendToHost(host, ReachabilityResponse{Seq: seq, Service: e.Service, Endpoint: e.ID, IsPrimary: primary})
	}
	delete(m.reachabilityRequesters, e.ID)
}

func (m *Machine) handleReachabilityRequest(from types.Host, req ReachabilityRequest) {
	if _, ok := m.catalog.Endpoint(req.Endpoint); !ok {
		m.sendToHost(from, ReachabilityResponse{Seq: req.Seq, Service: req.Service, Endpoint: req.Endpoint})
		return
	}
	if m.reachabilityRequesters[req.Endpoint] == nil {
		m.reachabilityRequesters[req.Endpoint] = map[types.Host]uint64{}
	}
	m.reachabilityRequesters[req.Endpoint][from] = req.Seq
	m.enqueueCommand(lead.Command{Endpoint: req.Endpoint, Op: lead.OpQueryStatus}, purposeReachability)
}

func (m *Machine) handleReachabilityResponse(from types.Host, resp ReachabilityResponse) {
	fs := &m.serviceFor(resp.Service).failover
	isEarlier := resp.Seq != 0 && resp.Seq != fs.suspicionSeq
	if fs.suspect != resp.Endpoint || isEarlier {
		return
	}
	fs.reachabilityResponses++
	if resp.IsPrimary {
		fs.reachableFrom = append(fs.reachableFrom, from)
	}
}

// queryPrimariesIn queries the primaries of a silent data centre that this host would replace
// first if the data centre turned out to be unreachable.
func (m *Machine) queryPrimariesIn(dc types.DataCentre) {
	for _, name := range m.catalog.Services() {
		primary, _ := m.catalog.PrimaryOf(name)
		if e, ok := m.catalog.Endpoint(primary); ok && e.DataCentre == dc && m.replacesCutOff(name, dc) {
			m.enqueueCommand(lead.Command{Endpoint: primary, Op: lead.OpQueryStatus}, 0)
			m.observeReplicas(name, primary)
		}
	}
}

// isCutOff reports whether a primary is to be replaced by this host because its whole data
// centre is unreachable and the primary itself does not respond. Other hosts need not be asked
// whether they reach it, as for a primary that only this host may have lost.
func (m *Machine) isCutOff(e catalog.Endpoint) bool {
	return m.isUnreachable(e.DataCentre) && m.isolatedSince == 0 && m.hasUnansweredCommand(e.ID) && m.replacesCutOff(e.Service, e.DataCentre)
}

// replacesCutOff reports whether this host is the first one outside a data centre to replace
// the primary of a service.
func (m *Machine) replacesCutOff(name types.Service, dc types.DataCentre) bool {
	var others []types.Host
	for _, h := range m.catalog.Hosts() {
		if h.DataCentre != dc && m.isUsable(h) {
			others = append(others, h.ID)
		}
	}
	first, _ := routing.HighestWeightHosts("lead/"+string(name), others)
	return first == m.settings.Host
}
