package proxy

import (
	"slices"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/types"
)

const (
	// rivalClaimTimeout is how long another host's claim is respected after its last change.
	rivalClaimTimeout = 2500 * time.Millisecond
	// pausedReplicaTimeout is the time after the last change of a service's leadership record
	// after which a replica that is still paused is resumed.
	pausedReplicaTimeout = 3 * time.Second
	// campaignInterval is the minimum time between two campaigns of this host for a service.
	// claimRetryInterval applies after a claim without a response from the store, which is then
	// usually unavailable or unreachable for seconds.
	campaignInterval   = 300 * time.Millisecond
	claimRetryInterval = time.Second
	// lostCopyMemory is the time after the loss of a copy in which the other replicas may not have caught
	// up with the primary.
	lostCopyMemory = time.Minute
	// holderChangeInterval is the time after another host's change of primary in which this host
	// starts none. The platform allows the duty to change hands once in three seconds.
	holderChangeInterval = 3200 * time.Millisecond
)

// failoverState is the state of this host's supervision and replacement of a service's
// primary.
type failoverState struct {
	campaign *lead.Campaign
	// primaryAtStart and candidateAtStart are those that were known when the campaign began.
	primaryAtStart, candidateAtStart types.Endpoint
	// claimRecord is the last record that the store has confirmed as this host's claim.
	claimRecord catalog.Leadership
	// claimIDs holds the writes of the campaign, the latest last. It also holds those of earlier
	// campaigns that have ended without a token: nothing was done with the tokens that these
	// writes name.
	claimIDs []uint64
	// promoteCandidate is set while the record that names the candidate is being stored, and
	// candidateStored from then on until the platform is called, which is once the campaign
	// permits it.
	promoteCandidate, candidateStored types.Endpoint
	// releaseRequested is set once the other hosts have been asked to release the old primary.
	releaseRequested bool
	// recordChangedAt is when this host last received a change of the record, and
	// promotionRecordedAt when it received one with another primary.
	recordChangedAt, promotionRecordedAt types.Time
	// nextCheckAt is the earliest time of the next suspicion or campaign.
	nextCheckAt types.Time
	// primaryMissingSince is when the service was first seen without a usable primary; zero if
	// it has one.
	primaryMissingSince types.Time
	// copyLostAt is when campaigns last ceased to wait for an endpoint without a record.
	copyLostAt types.Time
	// resumes holds the replicas that are to be resumed.
	resumes map[types.Endpoint]pendingResume
	// replicaResumedAt is when this host last resumed a replica that had been left paused.
	replicaResumedAt types.Time
	// suspect is the endpoint whose reachability other hosts have been queried for; empty for
	// none.
	suspect     types.Endpoint
	suspectedAt types.Time
	// suspicionSeq numbers the queries about a suspect.
	suspicionSeq          uint64
	reachabilityResponses int
	reachableFrom         []types.Host
	// observed holds the positions of the replicas when the primary became silent. They were last
	// queried for them at observedAt.
	observed   map[types.Endpoint]observedPosition
	observedAt types.Time
}

// observedPosition is the log position that a replica had received at a time.
type observedPosition struct {
	received types.LogPoint
	at       types.Time
}

const (
	// minObservation is the time in which a replica of a primary in use receives commits.
	// maxObservation is how long an observed position is compared.
	minObservation = 150 * time.Millisecond
	maxObservation = 2 * time.Second
)

// observeReplicas queries the replicas of a service for their positions.
func (m *Machine) observeReplicas(name types.Service, primary types.Endpoint) {
	m.serviceFor(name).failover.observedAt = m.now
	for _, e := range m.catalog.EndpointsOf(name) {
		if e.ID != primary {
			m.enqueueCommand(lead.Command{Endpoint: e.ID, Op: lead.OpQueryStatus}, purposeObservation)
		}
	}
}

// areReplicasObserved reports whether the replicas were queried for their positions at a time with
// which a campaign that starts now can compare. Otherwise it queries them, or waits.
func (m *Machine) areReplicasObserved(s *serviceState, primary types.Endpoint) bool {
	age := m.now.Sub(s.failover.observedAt)
	if s.failover.observedAt == 0 || age > maxObservation/2 {
		m.observeReplicas(s.name, primary)
		return false
	}
	return age >= minObservation
}

// isReceiving reports whether a replica has received commits since its position was observed,
// so that its primary serves other hosts.
func (fs *failoverState) isReceiving(now types.Time, replica types.Endpoint, st lead.Status) bool {
	seen, ok := fs.observed[replica]
	age := now.Sub(seen.at)
	return ok && age >= minObservation && age <= maxObservation && seen.received.Less(st.Received)
}

// isFailoverActive reports whether a campaign runs or a suspicion is being checked.
func (m *Machine) isFailoverActive() bool {
	for _, s := range m.services {
		if s.failover.campaign != nil || s.failover.suspect != "" {
			return true
		}
	}
	return false
}

// tickFailovers starts campaigns for services whose primary must be replaced, and advances
// running campaigns.
func (m *Machine) tickFailovers() {
	for _, name := range m.catalog.Services() {
		s := m.serviceFor(name)
		m.queryReplicasToResume(s)
		m.rewriteLeadership(s)
		if c := s.failover.campaign; c != nil {
			if primary, _ := m.catalog.PrimaryOf(name); !c.IsNeeded(primary) {
				m.applyActions(s, c.Abandon())
				continue
			}
			m.updateCandidates(c)
			m.removeLostReplicas(c)
			m.applyActions(s, c.Tick(m.now))
			m.checkWritesDrained(s)
			m.requestPromotion(s)
			continue
		}
		if len(m.catalog.EndpointsOf(name)) > 0 && !m.stop.begun {
			m.checkPrimary(s)
		}
	}
}

// startCampaign starts to replace a primary, unless another host holds a recent claim or this
// host is isolated.
func (m *Machine) startCampaign(s *serviceState, reason lead.Reason, oldPrimary types.Endpoint) {
	fs := &s.failover
	record := m.catalog.Leadership(s.name)
	if !m.mayClaim(fs, record) || (reason.NeedsFence() && !m.knowsAllEndpoints()) {
		return
	}
	var replicas []types.Endpoint
	for _, e := range m.catalog.InstancesOf(s.name) {
		if e.ID != oldPrimary {
			replicas = append(replicas, e.ID)
		}
	}
	if len(replicas) == 0 {
		return
	}
	var term types.Term
	if o := m.owned[oldPrimary]; o != nil && o.authority != nil {
		term = o.authority.Term()
	}
	fs.releaseRequested = false
	fs.campaign = lead.NewCampaign(m.now, s.name, reason, oldPrimary, replicas, term)
	primary, _ := m.catalog.PrimaryOf(s.name)
	fs.primaryAtStart, fs.candidateAtStart = primary, record.Candidate
	if record.Candidate != "" && record.Candidate != primary {
		fs.campaign.FinishPromotion(record.Candidate)
	}
	m.updateCandidates(fs.campaign)
	if isRecent(m.now, fs.copyLostAt, lostCopyMemory) {
		fs.campaign.NoteLostReplica()
	}
	if m.allHostsNeedMajorities() {
		fs.campaign.LeaveOutSilentReplicas()
	}
	m.log(Warn, "campaign started", field("service", s.name), field("reason", string(reason)), field("old", oldPrimary), field("token", catalog.NextToken(record.FencingToken, m.restore.era)))
	m.incrementCounter("baobab_campaigns_total")
	m.applyActions(s, fs.campaign.Start())
}

// updateCandidates marks the endpoints that leave, also those that have announced it since the campaign
// has begun, and those without a record, and whether all replicas are needed.
func (m *Machine) updateCandidates(c *lead.Campaign) {
	if spec, ok := m.catalog.Service(c.Service); ok && spec.SyncReplicas > 0 {
		c.RequireAllReplicas()
	}
	for _, e := range m.catalog.InstancesOf(c.Service) {
		switch {
		case e.Leaving:
			c.AvoidCandidate(e.ID, m.leavingSince[c.OldPrimary].Before(m.leavingSince[e.ID]))
		case !m.catalog.IsListed(e.ID):
			c.AvoidCandidate(e.ID, true)
		}
	}
}

// removeLostReplicas removes the replicas from a campaign that are no longer waited for.
func (m *Machine) removeLostReplicas(c *lead.Campaign) {
	for _, id := range c.Replicas() {
		if _, known := m.catalog.Instance(id); !known {
			m.log(Warn, "campaign goes on without a replica", field("service", c.Service), field("endpoint", id), field("phase", c.Phase().String()))
			c.RemoveReplica(id)
		}
	}
}

// allHostsNeedMajorities reports whether no known host is of a build that uses a primary by rules
// earlier than lead.MajorityRules.
func (m *Machine) allHostsNeedMajorities() bool {
	return !slices.ContainsFunc(m.catalog.Hosts(), func(h catalog.Host) bool { return h.AuthorityRules < lead.MajorityRules })
}

// mayClaim reports whether this host may claim the leadership that a record describes.
func (m *Machine) mayClaim(fs *failoverState, record catalog.Leadership) bool {
	if m.isolatedSince != 0 {
		// It does not reach the replicas of the other data centres.
		return false
	}
	if record.Revision != 0 && record.Revision.Era() < m.restore.era {
		// The store was restored, and its record is not known yet.
		m.requestUrgentRead(KindLeadership)
		return false
	}
	if record.Holder != m.settings.Host && isRecent(m.now, fs.promotionRecordedAt, holderChangeInterval) {
		return false
	}
	heldByOther := record.CampaignOpen && record.Holder != m.settings.Host
	return !heldByOther || fs.recordChangedAt == 0 || m.now.Sub(fs.recordChangedAt) >= rivalClaimTimeout || m.holderHasRestarted(record)
}

// isCampaignCurrent reports whether the claim of a campaign may still be written. While it has queried
// the replicas, another host may have begun a campaign or replaced the primary. What changes later makes
// the claim fail, which has the revision of the known record as its condition.
func (m *Machine) isCampaignCurrent(s *serviceState) bool {
	fs := &s.failover
	record := m.catalog.Leadership(s.name)
	primary, _ := m.catalog.PrimaryOf(s.name)
	return primary == fs.primaryAtStart && record.Candidate == fs.candidateAtStart && m.mayClaim(fs, record)
}

// holderHasRestarted reports whether the process that holds a claim has ended.
func (m *Machine) holderHasRestarted(record catalog.Leadership) bool {
	holder, ok := m.catalog.Host(record.Holder)
	return ok && record.HolderStartedUnixMs != 0 && holder.StartedUnixMs > record.HolderStartedUnixMs
}

// applyActions carries out the actions returned by a campaign.
func (m *Machine) applyActions(s *serviceState, a lead.Actions) {
	fs := &s.failover
	c := fs.campaign
	if a.ClaimToken && !m.isCampaignCurrent(s) {
		m.log(Info, "campaign outdated", field("service", s.name), field("old", c.OldPrimary), field("holder", m.catalog.Leadership(s.name).Holder))
		m.endCampaign(s, "")
		return
	}
	if a.ClaimToken {
		m.claimLeadership(s, "")
	}
	if a.HoldNewWork {
		if o := m.owned[c.OldPrimary]; o != nil {
			o.newWorkHeld = true
		}
	}
	if a.CloseIdle {
		if o := m.owned[c.OldPrimary]; o != nil {
			o.pool.CloseIdle(m.now)
		}
	}
	for _, cmd := range a.Commands {
		m.enqueueCommand(cmd, purposeCampaign)
	}
	if a.Promote != "" {
		fs.promoteCandidate, fs.candidateStored = a.Promote, ""
		m.claimLeadership(s, a.Promote)
	}
	if a.Ended {
		at := m.now
		if a.NewPrimary != "" {
			at = max(at.Add(lead.DemotionDelay), a.ResumeAt)
		}
		for _, cmd := range a.Resumes {
			m.resumeReplica(fs, cmd, at)
		}
		m.endCampaign(s, a.NewPrimary)
		m.queryReplicasToResume(s)
	}
}

// claimLeadership writes a new version of a service's leadership record. The version has the
// next token if the campaign has none yet, and otherwise names the candidate.
func (m *Machine) claimLeadership(s *serviceState, candidate types.Endpoint) {
	fs := &s.failover
	record := fs.claimRecord
	if fs.campaign.FencingToken == 0 {
		record = m.catalog.Leadership(s.name)
		record.FencingToken = catalog.NextToken(record.FencingToken, m.restore.era)
		record.Revision = max(record.Revision, types.EraStart(m.restore.era))
	}
	record.Service, record.Holder, record.CampaignOpen, record.Candidate = s.name, m.settings.Host, true, candidate
	record.HolderStartedUnixMs = m.settings.StartedUnixMs
	fs.claimIDs = append(fs.claimIDs, m.writeLeadership(record))
}

// writeLeadership emits the write of a leadership record and returns the write's ID.
func (m *Machine) writeLeadership(record catalog.Leadership) uint64 {
	m.nextWriteID++
	record.WriteID = m.nextWriteID
	m.emit(Claim{Record: record})
	return record.WriteID
}

// handleClaimResult handles the store's reply to a claim. The reply to another write of a record
// only reports the record.
func (m *Machine) handleClaimResult(ev ClaimResult) {
	s := m.serviceFor(ev.Service)
	fs := &s.failover
	c := fs.campaign
	if ev.CurrentKnown || ev.Stored {
		m.applyLeadership(ev.Current)
	}
	if c == nil || !slices.Contains(fs.claimIDs, ev.WriteID) {
		return
	}
	// A conflict with this host's own claim counts as stored too: an earlier write may have
	// been applied without a response. It must have been applied in the era of its token.
	ownRecord := ev.CurrentKnown && slices.Contains(fs.claimIDs, ev.Current.WriteID) && catalog.TokenEra(ev.Current.FencingToken) == ev.Current.Revision.Era()
	stored := ev.Stored || (ownRecord && (c.FencingToken == 0 || ev.Current.FencingToken == c.FencingToken))
	m.log(Info, "claim answered", field("service", s.name), field("won", stored), field("known", ev.CurrentKnown),
		field("token", ev.Current.FencingToken), field("holder", ev.Current.Holder), field("revision", ev.Current.Revision.Number()), field("era", ev.Current.Revision.Era()))
	if !stored {
		if isLatest := ev.WriteID == fs.claimIDs[len(fs.claimIDs)-1]; !isLatest {
			return
		}
		if ev.CurrentKnown || c.FencingToken == 0 {
			m.endCampaign(s, "")
		}
		if !ev.CurrentKnown {
			fs.nextCheckAt = m.now.Add(claimRetryInterval)
		}
		return
	}
	fs.claimRecord = ev.Current
	if c.FencingToken == 0 {
		m.applyActions(s, c.HandleClaimResult(m.now, ev.Current.FencingToken))
		m.checkWritesDrained(s)
		return
	}
	if fs.promoteCandidate != "" && ev.Current.Candidate == fs.promoteCandidate {
		fs.promoteCandidate, fs.candidateStored = "", fs.promoteCandidate
		m.requestPromotion(s)
	}
}

// requestPromotion calls the platform for the recorded candidate once the campaign permits it.
func (m *Machine) requestPromotion(s *serviceState) {
	fs := &s.failover
	c := fs.campaign
	if c == nil || fs.candidateStored == "" || !c.MayPromote(m.now) {
		return
	}
	m.log(Warn, "promotion requested", field("service", s.name), field("endpoint", fs.candidateStored), field("token", c.FencingToken))
	m.emit(Promote{Service: s.name, Endpoint: fs.candidateStored, FencingToken: c.FencingToken, Request: c.RecordPromotionRequest(fs.candidateStored)})
	fs.candidateStored = ""
}

// handlePromoteResult handles the platform's reply to a promotion request.
func (m *Machine) handlePromoteResult(ev PromoteResult) {
	s := m.serviceFor(ev.Service)
	m.log(Info, "promotion answered", field("service", s.name), field("accepted", ev.Outcome == lead.PromotionAccepted),
		field("not_running", ev.Outcome == lead.PromotionNotRunning), field("outcome", ev.Outcome.String()))
	if c := s.failover.campaign; c != nil && c.FencingToken == ev.FencingToken {
		m.applyActions(s, c.HandlePromotionResult(m.now, ev.Request, ev.Outcome))
	}
}

// checkWritesDrained notifies the campaign of a planned change once the old primary runs no
// write.
func (m *Machine) checkWritesDrained(s *serviceState) {
	c := s.failover.campaign
	if c == nil || c.Phase() != lead.PhaseDrainingWrites {
		return
	}
	if o := m.owned[c.OldPrimary]; o == nil || !o.pool.HasOpenWrites() {
		m.applyActions(s, c.HandleWritesDrained(m.now))
	}
}

func (m *Machine) handleCampaignStatus(name types.Service, sent *controlCommand, st lead.Status) {
	s := m.serviceFor(name)
	c := s.failover.campaign
	if c == nil {
		return
	}
	cmd := sent.command
	if c.IsOutdated(cmd.Endpoint, sent.sentAt, st) {
		m.enqueueCommand(cmd, purposeCampaign)
		return
	}
	if c.Phase() == lead.PhaseQueryingReplicas && c.Reason == lead.ReasonUnresponsive && s.failover.isReceiving(m.now, cmd.Endpoint, st) {
		m.log(Warn, "primary serves other hosts", field("service", name), field("endpoint", c.OldPrimary), field("replica", cmd.Endpoint), field("received", st.Received.String()))
		m.applyActions(s, c.Abandon())
		s.failover.nextCheckAt = m.now.Add(handOverPeriod)
		return
	}
	m.applyActions(s, c.HandleStatus(m.now, cmd, st))
	if cmd.Endpoint == c.OldPrimary && c.IsOldPrimaryInUse(m.now) {
		m.requestRelease(s, st)
	}
	m.requestPromotion(s)
}

func (m *Machine) handleCampaignFailure(name types.Service, cmd *controlCommand, absent bool) {
	s := m.serviceFor(name)
	if s.failover.campaign != nil {
		m.applyActions(s, s.failover.campaign.HandleFailure(m.now, cmd.command, cmd.requestedAt, absent))
	}
}

// endCampaign records the result of a campaign and admits the held work again.
func (m *Machine) endCampaign(s *serviceState, newPrimary types.Endpoint) {
	fs := &s.failover
	c := fs.campaign
	if c == nil {
		return
	}
	m.log(Warn, "campaign ended", field("service", s.name), field("reason", string(c.Reason)), field("old", c.OldPrimary), field("new", newPrimary),
		field("phase", c.LastPhase().String()), field("token", c.FencingToken))
	fs.campaign, fs.promoteCandidate, fs.candidateStored = nil, "", ""
	fs.nextCheckAt, fs.primaryMissingSince = m.now.Add(campaignInterval), 0
	if o := m.owned[c.OldPrimary]; o != nil {
		o.newWorkHeld, o.absentCount = false, 0
		if newPrimary != "" && o.authority != nil {
			m.fenceAuthority(o, "replaced by "+string(newPrimary))
		}
	}
	if c.FencingToken == 0 || (newPrimary == "" && c.IsPromotionUnsettled()) {
		// The record keeps naming a candidate that may still be promoted, so that another
		// host finishes the promotion.
		return
	}
	record := fs.claimRecord
	record.CampaignOpen, record.Candidate = false, ""
	if newPrimary != "" {
		record.Primary = newPrimary
	}
	fs.claimIDs = nil
	if record.Revision.Era() == m.restore.era {
		m.writeLeadership(record)
		m.restore.rewrittenAt[s.name] = m.now
	}
	// The record's next revision is not known: another host may store its claim first.
	if newPrimary != "" && m.catalog.AmendLeadership(record) {
		m.handlePrimaryChange(s.name)
	}
}

// applyLeadership applies a service's leadership record from the store.
func (m *Machine) applyLeadership(record catalog.Leadership) {
	m.noteEra(record.Revision)
	before, _ := m.catalog.PrimaryOf(record.Service)
	recorded := m.catalog.Leadership(record.Service)
	if !m.catalog.SetLeadership(record) {
		return
	}
	fs := &m.serviceFor(record.Service).failover
	fs.recordChangedAt = m.now
	if recorded.Revision != 0 && recorded.Primary != record.Primary {
		fs.promotionRecordedAt = m.now
	}
	if after, _ := m.catalog.PrimaryOf(record.Service); after != before {
		m.handlePrimaryChange(record.Service)
	}
}

// handlePrimaryChange refuses or retries the work that waits for a primary.
func (m *Machine) handlePrimaryChange(name types.Service) {
	primary, _ := m.catalog.PrimaryOf(name)
	m.log(Info, "primary changed", field("service", name), field("endpoint", primary), field("token", m.catalog.Leadership(name).FencingToken))
	s := m.serviceFor(name)
	s.failover.suspect, s.failover.primaryMissingSince = "", 0
	for _, o := range ordered(m.owned) {
		if o.service != name {
			continue
		}
		o.fencedSince = 0
		if o.id == primary {
			o.authority, o.newWorkHeld = nil, false
			continue
		}
		for _, ex := range o.waitingExecutions {
			if ex.request.RequirePrimary {
				m.finishExecution(o, ex, ExecResult{Reason: types.ReasonNotPrimary})
			}
		}
		o.waitingExecutions = waitingForPosition(o.waitingExecutions)
	}
	m.retryDeferred(true)
}

// waitingForPosition returns the executions that wait for a position, which are those that do
// not require the primary.
func waitingForPosition(executions []*execution) []*execution {
	var out []*execution
	for _, ex := range executions {
		if !ex.request.RequirePrimary {
			out = append(out, ex)
		}
	}
	return out
}
