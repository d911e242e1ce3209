package router

import (
	"context"
	"slices"
	"time"

	"baobabfield.example/core/config"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
	"baobabfield.example/wire/meshpb"
)

// handleRoute replies to a request for a target, either at once or after refreshed
// state has arrived.
func (t *Task) handleRoute(ctx context.Context, m routeRequest) {
	d, ok := t.databases[m.query.Database]
	if !ok {
		m.reply <- Target{Outcome: types.NotRunOutcome(types.ReasonBadRequest, (&UnknownDatabaseError{Database: m.query.Database}).Error())}
		return
	}
	if !m.query.IsRetry && !t.admitFirstAttempt(d, &m) {
		return
	}
	if clock.Now().Sub(d.stateRequestedAt) > maxStateAge || d.primary == "" || m.query.RefreshState {
		t.requestState(ctx, d)
	}
	if d.stateRequestInFlight && (d.primary == "" || m.query.RefreshState) {
		t.enqueueRoute(d, m)
		return
	}
	m.reply <- t.chooseTarget(d, &m.query)
}

// admitFirstAttempt records the use of a new request and refuses it if a retirement
// forbids the use. It reports whether the request is admitted.
func (t *Task) admitFirstAttempt(d *database, m *routeRequest) bool {
	t.budget.RecordFirstAttempt()
	q := &m.query
	retirement, retired := t.config.RefusingRetirement(d.service.Name, q.Feature, q.Job)
	t.uses.Record(time.Now().UnixNano(), config.UseKey{
		Service: d.service.Name, Feature: q.Feature, Job: q.Job, Rank: q.Rank, Caller: q.Caller,
	}, retired)
	if !retired {
		return true
	}
	refusedRetired.Inc()
	m.reply <- Target{Outcome: types.NotRunOutcome(types.ReasonRetired, "retirement "+retirement.Name)}
	return false
}

// enqueueRoute queues a request until the state of its database arrives, or refuses
// it if the queue is full.
func (t *Task) enqueueRoute(d *database, m routeRequest) {
	if len(d.pendingRoutes) >= maxPendingRoutes {
		m.reply <- Target{Outcome: types.NotRunOutcome(types.ReasonQueueFull, "too many requests wait for the state of database "+string(d.spec.ID))}
		return
	}
	d.pendingRoutes = append(d.pendingRoutes, m)
}

// chooseTarget chooses the endpoint and its owner for a request. It refuses a first
// attempt that admission control sheds.
func (t *Task) chooseTarget(d *database, q *Query) Target {
	id, out := t.chooseEndpoint(d, q)
	if out.Kind != types.OutcomeDone {
		return Target{Outcome: out}
	}
	now := clock.Now()
	if !q.IsRetry && !t.gate.Admit(now, q.Rank, q.Feature, q.Job, id) {
		refusedShed.Inc()
		return Target{Outcome: types.NotRunOutcome(types.ReasonShed, "rank "+string(q.Rank))}
	}
	host, _ := t.owners.OwnerAndStandby(id)
	if host == "" {
		return Target{Outcome: types.NotRunOutcome(types.ReasonUnreachable, "no live host owns endpoint "+string(id)), Endpoint: id}
	}
	d.endpoints[id].inFlight++
	if id == d.primary {
		routedPrimary.Inc()
	} else {
		routedReplica.Inc()
	}
	return Target{Service: d.service.Name, Endpoint: id, Host: host, MaxStaleness: t.maxStaleness(q)}
}

// chooseEndpoint chooses the primary for writes and an eligible endpoint for reads.
func (t *Task) chooseEndpoint(d *database, q *Query) (types.Endpoint, types.Outcome) {
	if q.Write || q.PrimaryOnly {
		if d.primary == "" {
			return "", types.NotRunOutcome(types.ReasonNoMajority, "primary of database "+string(d.spec.ID)+" is not known")
		}
		if d.endpoints[d.primary] == nil {
			return "", types.NotRunOutcome(types.ReasonNotPrimary, string(d.primary))
		}
		return d.primary, types.Outcome{}
	}
	read := routing.ReadRequirements{DataCentre: t.settings.DataCentre, MinPosition: q.MinPosition, MaxStaleness: t.maxStaleness(q)}
	t.candidateBuffer = t.appendReadCandidates(d, q, t.candidateBuffer[:0])
	i, reason := routing.ChooseReadEndpoint(t.candidateBuffer, &read, &t.rng)
	if i < 0 {
		return "", types.NotRunOutcome(reason, "database "+string(d.spec.ID))
	}
	return t.candidateBuffer[i].Endpoint, types.Outcome{}
}

// maxStaleness returns the staleness that the request accepts. A caller's 0 becomes
// 1 ns, since 0 in routing.ReadRequirements means that there is no limit.
func (t *Task) maxStaleness(q *Query) time.Duration {
	if q.HasMaxStaleness {
		return max(q.MaxStaleness, time.Nanosecond)
	}
	return t.settings.DefaultMaxStaleness
}

// appendReadCandidates appends the database's endpoints to out as candidates for a read.
func (t *Task) appendReadCandidates(d *database, q *Query, out []routing.Candidate) []routing.Candidate {
	now := clock.Now()
	for _, e := range d.spec.Endpoints {
		s := d.endpoints[e.ID]
		c := routing.Candidate{
			Endpoint:    e.ID,
			DataCentre:  e.DataCentre,
			Primary:     e.ID == d.primary,
			Reachable:   (s.hasState && s.reachable) || e.ID == d.primary,
			Leaving:     e.Leaving,
			Applied:     s.applied,
			Staleness:   -1,
			InFlight:    s.inFlight,
			Latency:     s.stats.Latency(now),
			SuccessRate: s.stats.SuccessRate(now),
			Excluded:    slices.Contains(q.Excluded, e.ID),
		}
		if s.stalenessKnown {
			c.Staleness = s.staleness + now.Sub(s.updatedAt)
		}
		out = append(out, c)
	}
	return out
}

// requestState requests the state of a database from the owners of its endpoints. It
// does nothing if a request is already in flight.
func (t *Task) requestState(ctx context.Context, d *database) {
	if d.stateRequestInFlight {
		return
	}
	hosts := t.ownerHosts(d)
	if len(hosts) == 0 {
		return
	}
	d.stateRequestInFlight = true
	d.stateRequestedAt = clock.Now()
	db := d.spec.ID
	replies := make(chan *meshpb.StateAnswer, len(hosts))
	for _, h := range hosts {
		stateRequests.Inc()
		go func() { replies <- t.requestHostState(ctx, h, db) }()
	}
	go t.forwardReplies(db, replies, len(hosts))
}

// forwardReplies posts n replies to the router's task as they arrive.
func (t *Task) forwardReplies(db types.Database, replies <-chan *meshpb.StateAnswer, n int) {
	for i := range n {
		t.post(stateReply{db: db, reply: <-replies, isLast: i == n-1})
	}
}

// ownerHosts returns the distinct hosts that own the database's endpoints.
func (t *Task) ownerHosts(d *database) []types.Host {
	var hosts []types.Host
	for _, e := range d.spec.Endpoints {
		h, _ := t.owners.OwnerAndStandby(e.ID)
		if h != "" && !slices.Contains(hosts, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// requestHostState requests the state of a database from one host. It returns nil if
// no reply arrives within stateRequestTimeout.
func (t *Task) requestHostState(ctx context.Context, h types.Host, db types.Database) *meshpb.StateAnswer {
	ctx, cancel := context.WithTimeout(ctx, stateRequestTimeout)
	defer cancel()
	request := &meshpb.Frame{Body: &meshpb.Frame_StateRequest{StateRequest: &meshpb.StateRequest{Database: string(db)}}}
	reply := t.mesh.QueryHost(ctx, h, request)
	if ctx.Err() != nil {
		t.mesh.SuspectHost(h)
	}
	return reply.GetStateAnswer()
}

// handleStateReply applies an owner's reply. It chooses the targets of the pending
// requests as soon as the primary is known, at the latest after the last reply.
func (t *Task) handleStateReply(_ context.Context, m stateReply) {
	d, ok := t.databases[m.db]
	if !ok {
		return
	}
	if m.reply != nil {
		t.updatePrimary(m.reply.GetView())
		for _, e := range m.reply.GetEndpoints() {
			t.updateEndpointState(m.reply.GetView(), e)
		}
	}
	if m.isLast {
		d.stateRequestInFlight = false
	}
	if !m.isLast && d.primary == "" {
		return
	}
	pending := d.pendingRoutes
	d.pendingRoutes = nil
	for _, p := range pending {
		p.reply <- t.chooseTarget(d, &p.query)
	}
}
