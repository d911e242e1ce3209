package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/types"
)

const (
	// rivalPause is the time that another host's claim has before it is overtaken.
	rivalPause = 2500 * time.Millisecond
	// forgottenAfter is the time after the last change of a service's record at which
	// a paused replica counts as forgotten.
	forgottenAfter = 3 * time.Second
	// campaignPause is the time between two campaigns of this host for a service, and
	// claimPause that after one to which the store gave no answer: it is away or cut
	// off, for seconds as a rule.
	campaignPause = 300 * time.Millisecond
	claimPause    = time.Second
)

// leading is the state of a service's change of primary at this host.
type leading struct {
	campaign *lead.Campaign
	// record is the claim that the store has confirmed, with its revision.
	record catalog.Leadership
	// promote is set while the record of a chosen candidate is being stored; the
	// platform is called once the store has confirmed it.
	promote types.Endpoint
	// recordAt is when the record was last changed, as far as this host knows.
	recordAt types.Time
	// nextAt is when the next campaign or suspicion may begin.
	nextAt types.Time
	// missingSince is when the service was first seen without a usable primary.
	missingSince types.Time
	// settle are the orders that follow a change of primary, at settleAt.
	settle   []lead.Order
	settleAt types.Time
	// resumedAt is when this host last resumed a replica that was left paused.
	resumedAt types.Time
	// asked holds the endpoint about which other hosts are being asked.
	asked    types.Endpoint
	askedAt  types.Time
	answers  int
	reachers []types.Host
}

// leading reports whether a campaign runs or a suspicion is being checked.
func (m *Machine) leading() bool {
	for _, s := range m.services {
		if s.lead.campaign != nil || s.lead.asked != "" {
			return true
		}
	}
	return false
}

// tickLeads starts campaigns where a primary has to be replaced, and moves those
// that run.
func (m *Machine) tickLeads() {
	for _, name := range m.cat.Services() {
		s := m.service(name)
		m.settleReplicas(s)
		if c := s.lead.campaign; c != nil {
			if primary, _ := m.cat.PrimaryOf(name); !c.Needed(primary) {
				m.act(s, c.Abandon())
				continue
			}
			m.act(s, c.Tick(m.now))
			m.checkQuiet(s)
			continue
		}
		if len(m.cat.EndpointsOf(name)) > 0 && !m.stop.begun {
			m.watchPrimary(s)
		}
	}
}

// settleReplicas resumes the replicas some time after a change of primary.
func (m *Machine) settleReplicas(s *service) {
	l := &s.lead
	if len(l.settle) == 0 || m.now.Before(l.settleAt) {
		return
	}
	for _, o := range l.settle {
		m.order(o, purposeCampaign)
	}
	l.settle = nil
}

// campaign starts to replace a primary, unless another host is at it.
func (m *Machine) campaign(s *service, reason lead.Reason, old types.Endpoint) {
	l := &s.lead
	record := m.cat.Leadership(s.name)
	rival := record.CampaignOpen && record.Holder != m.set.Host
	if rival && l.recordAt != 0 && m.now.Sub(l.recordAt) < rivalPause {
		return
	}
	var replicas []types.Endpoint
	var leaving []types.Endpoint
	for _, e := range m.cat.EndpointsOf(s.name) {
		if e.ID == old || !m.cat.IsListed(e.ID) {
			continue
		}
		replicas = append(replicas, e.ID)
		if e.Draining {
			leaving = append(leaving, e.ID)
		}
	}
	if len(replicas) == 0 {
		return
	}
	var term types.Term
	if o := m.owned[old]; o != nil && o.authority != nil {
		term = o.authority.Term()
	}
	l.campaign = lead.NewCampaign(m.now, s.name, reason, old, replicas, term)
	for _, e := range leaving {
		l.campaign.Avoid(e)
	}
	if spec, ok := m.cat.Service(s.name); ok && spec.SyncReplicas > 0 {
		l.campaign.KeepAll()
	}
	m.log(Warn, "campaign started", f("service", s.name), f("reason", string(reason)), f("old", old), f("token", record.FencingToken+1))
	m.count("baobab_campaigns_total")
	m.act(s, l.campaign.Begin())
}

// act carries out what a campaign wants.
func (m *Machine) act(s *service, a lead.Actions) {
	l := &s.lead
	c := l.campaign
	if a.Claim {
		m.claim(s, "")
	}
	if a.HoldWrites {
		if o := m.owned[c.Old]; o != nil {
			o.held = true
		}
	}
	for _, o := range a.Orders {
		m.order(o, purposeCampaign)
	}
	if a.Promote != "" {
		l.promote = a.Promote
		m.claim(s, a.Promote)
	}
	if a.Ended {
		l.settle, l.settleAt = a.Settle, m.now.Add(lead.SettleDelay)
		m.campaignEnded(s, a.Won)
	}
}

// claim stores a new version of a service's record: with the next token where the
// campaign has none yet, else with its candidate.
func (m *Machine) claim(s *service, candidate types.Endpoint) {
	l := &s.lead
	r := l.record
	if l.campaign.Token == 0 {
		r = m.cat.Leadership(s.name)
		r.FencingToken++
	}
	r.Service, r.Holder, r.CampaignOpen, r.Candidate = s.name, m.set.Host, true, candidate
	m.emit(Claim{Record: r})
}

// claimAnswered takes the store's answer to a claim or a record.
func (m *Machine) claimAnswered(ev ClaimAnswered) {
	s := m.service(ev.Service)
	l := &s.lead
	c := l.campaign
	if ev.Known || ev.Won {
		m.leadershipChanged(ev.Current)
	}
	if c == nil {
		return
	}
	mine := ev.Won || (ev.Known && ev.Current.Holder == m.set.Host && (c.Token == 0 || ev.Current.FencingToken == c.Token))
	m.log(Info, "claim answered", f("service", s.name), f("won", mine), f("known", ev.Known),
		f("token", ev.Current.FencingToken), f("holder", ev.Current.Holder), f("revision", ev.Current.Revision))
	if !mine {
		if ev.Known || c.Token == 0 {
			m.campaignEnded(s, "")
		}
		if !ev.Known {
			l.nextAt = m.now.Add(claimPause)
		}
		return
	}
	l.record = ev.Current
	if c.Token == 0 {
		m.act(s, c.Claimed(m.now, ev.Current.FencingToken))
		m.checkQuiet(s)
		return
	}
	if l.promote != "" && ev.Current.Candidate == l.promote {
		m.log(Warn, "promotion requested", f("service", s.name), f("endpoint", l.promote), f("token", c.Token))
		m.emit(Promote{Service: s.name, Endpoint: l.promote, Token: c.Token})
		l.promote = ""
	}
}

func (m *Machine) promoteAnswered(ev PromoteAnswered) {
	s := m.service(ev.Service)
	m.log(Info, "promotion answered", f("service", s.name), f("accepted", ev.Accepted), f("not_running", ev.NotRunning))
	if s.lead.campaign != nil {
		m.act(s, s.lead.campaign.PromoteAnswered(m.now, ev.Accepted, ev.NotRunning))
	}
}

// checkQuiet tells a planned change once the old primary runs no write.
func (m *Machine) checkQuiet(s *service) {
	c := s.lead.campaign
	if c == nil || c.Phase() != lead.Quieting {
		return
	}
	if o := m.owned[c.Old]; o == nil || !o.pool.Writing() {
		m.act(s, c.Quiet(m.now))
	}
}

func (m *Machine) campaignAnswered(name types.Service, o lead.Order, st lead.Status) {
	s := m.service(name)
	if s.lead.campaign != nil {
		m.act(s, s.lead.campaign.Answered(m.now, o, st))
	}
}

func (m *Machine) campaignFailed(name types.Service, failed *controlOrder, gone bool) {
	s := m.service(name)
	if s.lead.campaign != nil {
		m.act(s, s.lead.campaign.Failed(m.now, failed.order, failed.askedAt, gone))
	}
}

// campaignEnded records the result and lets held work go on.
func (m *Machine) campaignEnded(s *service, won types.Endpoint) {
	l := &s.lead
	c := l.campaign
	if c == nil {
		return
	}
	m.log(Warn, "campaign ended", f("service", s.name), f("reason", string(c.Reason)), f("old", c.Old), f("new", won),
		f("phase", c.Phase().String()), f("token", c.Token))
	l.campaign, l.promote = nil, ""
	l.nextAt, l.missingSince = m.now.Add(campaignPause), 0
	if o := m.owned[c.Old]; o != nil {
		o.held, o.gone = false, 0
		if won != "" && o.authority != nil {
			m.fenced(o, "replaced by "+string(won))
		}
	}
	if c.Token == 0 {
		return
	}
	record := l.record
	record.CampaignOpen, record.Candidate = false, ""
	if won != "" {
		record.Primary = won
	}
	m.emit(Claim{Record: record})
	if won == "" {
		return
	}
	// The store's own revision of this record is at least the next one.
	record.Revision++
	if m.cat.SetLeadership(record) {
		m.primaryChanged(s.name)
	}
}

// leadershipChanged takes a service's record from the store.
func (m *Machine) leadershipChanged(r catalog.Leadership) {
	before, _ := m.cat.PrimaryOf(r.Service)
	if !m.cat.SetLeadership(r) {
		return
	}
	m.service(r.Service).lead.recordAt = m.now
	if after, _ := m.cat.PrimaryOf(r.Service); after != before {
		m.primaryChanged(r.Service)
	}
}

// primaryChanged lets everything that waits for a primary go on.
func (m *Machine) primaryChanged(name types.Service) {
	primary, _ := m.cat.PrimaryOf(name)
	m.log(Info, "primary changed", f("service", name), f("endpoint", primary), f("token", m.cat.Leadership(name).FencingToken))
	s := m.service(name)
	s.lead.asked, s.lead.missingSince = "", 0
	for _, o := range ordered(m.owned) {
		if o.service != name {
			continue
		}
		if o.id == primary {
			o.authority, o.held = nil, false
			continue
		}
		for _, j := range o.waiting {
			if j.exec.Primary {
				m.finishJob(o, j, Done{Reason: types.ReasonNotPrimary})
			}
		}
		o.waiting = waitingForPosition(o.waiting)
	}
	m.retryParked(true)
}

// waitingForPosition returns the jobs that do not wait for authority.
func waitingForPosition(jobs []*job) []*job {
	var out []*job
	for _, j := range jobs {
		if !j.exec.Primary {
			out = append(out, j)
		}
	}
	return out
}
