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

// route answers a request for a target, at once or after new state has come.
func (t *Task) route(ctx context.Context, m route) {
	d, ok := t.databases[m.query.Database]
	if !ok {
		m.reply <- Target{Outcome: types.Refused(types.ReasonBadRequest, (&UnknownDatabaseError{Database: m.query.Database}).Error())}
		return
	}
	if !m.query.Again && !t.admitNew(d, &m) {
		return
	}
	if clock.Now().Sub(d.asked) > stateLifetime || d.primary == "" || m.query.Refresh {
		t.askState(ctx, d)
	}
	if d.asking && (d.primary == "" || m.query.Refresh) {
		t.park(d, m)
		return
	}
	m.reply <- t.choose(d, &m.query)
}

// admitNew records the use of a new request and refuses it where a retirement
// forbids it; it reports whether the request goes on.
func (t *Task) admitNew(d *database, m *route) bool {
	t.budget.RecordFirstAttempt()
	q := &m.query
	retirement, retired := t.conf.Refusal(d.service.Name, q.Feature, q.Job)
	t.uses.Record(time.Now().UnixNano(), config.UseKey{
		Service: d.service.Name, Feature: q.Feature, Job: q.Job, Rank: q.Rank, Caller: q.Caller,
	}, retired)
	if !retired {
		return true
	}
	refusedRetire.Inc()
	m.reply <- Target{Outcome: types.Refused(types.ReasonRetired, "retirement "+retirement.Name)}
	return false
}

// park keeps a request until state comes.
func (t *Task) park(d *database, m route) {
	if len(d.parked) >= maxParked {
		m.reply <- Target{Outcome: types.Refused(types.ReasonQueueFull, "too many requests wait for the state of database "+string(d.spec.ID))}
		return
	}
	d.parked = append(d.parked, m)
}

// choose picks the endpoint and its owner.
func (t *Task) choose(d *database, q *Query) Target {
	id, out := t.chooseEndpoint(d, q)
	if out.Kind != types.Done {
		return Target{Outcome: out}
	}
	now := clock.Now()
	if !q.Again && !t.gate.Admit(now, q.Rank, q.Feature, q.Job, id) {
		refusedShed.Inc()
		return Target{Outcome: types.Refused(types.ReasonShed, "rank "+string(q.Rank))}
	}
	host, _ := t.owners.OwnerAndStandby(id)
	if host == "" {
		return Target{Outcome: types.Refused(types.ReasonUnreachable, "no live host owns endpoint "+string(id)), Endpoint: id}
	}
	d.endpoints[id].outstanding++
	if id == d.primary {
		routedPrimary.Inc()
	} else {
		routedReplica.Inc()
	}
	return Target{Service: d.service.Name, Endpoint: id, Host: host, MaxAge: t.maxAge(q)}
}

// chooseEndpoint picks the primary for writes and an eligible endpoint for reads.
func (t *Task) chooseEndpoint(d *database, q *Query) (types.Endpoint, types.Outcome) {
	if q.Write || q.Primary {
		if d.primary == "" {
			return "", types.Refused(types.ReasonNoMajority, "primary of database "+string(d.spec.ID)+" is not known")
		}
		if d.endpoints[d.primary] == nil {
			return "", types.Refused(types.ReasonNotPrimary, string(d.primary))
		}
		return d.primary, types.Outcome{}
	}
	read := routing.ReadRequirements{DataCentre: t.set.DataCentre, MinPosition: q.After, MaxStaleness: t.maxAge(q)}
	t.scratch = t.candidates(d, q, t.scratch[:0])
	i, reason := routing.ChooseReadEndpoint(t.scratch, &read, &t.rng)
	if i < 0 {
		return "", types.Refused(reason, "database "+string(d.spec.ID))
	}
	return t.scratch[i].Endpoint, types.Outcome{}
}

// maxAge returns the age of data that the request accepts.
func (t *Task) maxAge(q *Query) time.Duration {
	if q.AcceptsAge {
		return max(q.MaxAge, time.Nanosecond)
	}
	return t.set.MaxAge
}

// candidates describes a database's endpoints for the choice of a read.
func (t *Task) candidates(d *database, q *Query, out []routing.Candidate) []routing.Candidate {
	now := clock.Now()
	for _, e := range d.spec.Endpoints {
		s := d.endpoints[e.ID]
		c := routing.Candidate{
			Endpoint:    e.ID,
			DataCentre:  e.DataCentre,
			Primary:     e.ID == d.primary,
			Reachable:   (s.known && s.reachable) || e.ID == d.primary,
			Leaving:     e.Leaving,
			Applied:     s.last,
			Staleness:   -1,
			InFlight:    s.outstanding,
			Latency:     s.stats.Latency(now),
			SuccessRate: s.stats.SuccessRate(now),
			Excluded:    slices.Contains(q.Excluded, e.ID),
		}
		if s.ageKnown {
			c.Staleness = s.age + now.Sub(s.at)
		}
		out = append(out, c)
	}
	return out
}

// askState asks the owners of a database's endpoints for their state.
func (t *Task) askState(ctx context.Context, d *database) {
	if d.asking {
		return
	}
	hosts := t.ownersOf(d)
	if len(hosts) == 0 {
		return
	}
	d.asking = true
	d.asked = clock.Now()
	db := d.spec.ID
	answers := make(chan *meshpb.StateAnswer, len(hosts))
	for _, h := range hosts {
		stateAsked.Inc()
		go func() { answers <- t.askHost(ctx, h, db) }()
	}
	go t.collect(db, answers, len(hosts))
}

// collect passes the answers on as they come.
func (t *Task) collect(db types.Database, answers <-chan *meshpb.StateAnswer, n int) {
	for i := range n {
		t.post(stateAnswer{db: db, answer: <-answers, last: i == n-1})
	}
}

// ownersOf returns the hosts that own the database's endpoints, each once.
func (t *Task) ownersOf(d *database) []types.Host {
	var hosts []types.Host
	for _, e := range d.spec.Endpoints {
		h, _ := t.owners.OwnerAndStandby(e.ID)
		if h != "" && !slices.Contains(hosts, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// askHost asks one host; it returns nil if no answer comes.
func (t *Task) askHost(ctx context.Context, h types.Host, db types.Database) *meshpb.StateAnswer {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	ask := &meshpb.Frame{Body: &meshpb.Frame_StateRequest{StateRequest: &meshpb.StateRequest{Database: string(db)}}}
	answer := t.mesh.QueryHost(ctx, h, ask)
	if ctx.Err() != nil {
		t.mesh.SuspectHost(h)
	}
	return answer.GetStateAnswer()
}

// answered takes an owner's answer and lets the parked requests go on as soon
// as the primary is known, at the latest after the last answer.
func (t *Task) answered(_ context.Context, m stateAnswer) {
	d, ok := t.databases[m.db]
	if !ok {
		return
	}
	if m.answer != nil {
		t.learnView(m.answer.GetView())
		for _, e := range m.answer.GetEndpoints() {
			t.learnState(m.answer.GetView(), e)
		}
	}
	if m.last {
		d.asking = false
	}
	if !m.last && d.primary == "" {
		return
	}
	parked := d.parked
	d.parked = nil
	for _, p := range parked {
		p.reply <- t.choose(d, &p.query)
	}
}
