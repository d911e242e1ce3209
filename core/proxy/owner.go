package proxy

import (
	"slices"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

const (
	// connectionShare is the part, in percent, of an endpoint's connections that
	// its owner opens; the rest is for control, and for a host that takes over.
	connectionShare = 60
	// minConnections is what an owner may open at least.
	minConnections = 2
	// unusedAfter is the time without requests after which an endpoint's
	// connections are closed.
	unusedAfter = 20 * time.Second
	// txGrace is added to the limit of idle transactions before an owner ends one
	// by itself, as the entry does so first.
	txGrace = 2 * time.Second
)

// owned is an endpoint that this host runs statements at.
type owned struct {
	id      types.Endpoint
	service types.Service
	pool    *pool.Pool
	// authority is held where the endpoint serves as the primary.
	authority *lead.Authority
	fencedAt  types.Time
	// waiting are the jobs that wait for authority or for a position.
	waiting []*job
	// held is set while a planned change keeps new work from the primary.
	held   bool
	usedAt types.Time
	// gone counts the refused connections in a row; goneAt is the time of the last.
	gone   int
	goneAt types.Time
	// positionAskedAt is when the endpoint was last asked for its position.
	positionAskedAt types.Time
	// unreachableUntil is set while other hosts reach the endpoint and this one
	// does not.
	unreachableUntil types.Time
}

// job is a statement that another host, or this one, has sent to its owner.
type job struct {
	id       pool.RequestID
	from     types.Host
	exec     Exec
	tx       pool.TxID
	endpoint types.Endpoint
	arrived  types.Time
	deadline types.Time
	due      types.Time
}

// continues reports whether the job belongs to a transaction that has begun before.
func (j *job) continues() bool { return j.tx != 0 && j.exec.Begin == nil }

// changesData reports whether the answer acknowledges a change.
func (j *job) changesData() bool {
	k := j.exec.Query.Stmt.Kind
	return k == statement.KindCommit || (j.tx == 0 && j.exec.Query.Stmt.Writes())
}

// own returns the state of an endpoint, made at its first use; nil for an
// endpoint that is not known.
func (m *Machine) own(id types.Endpoint) *owned {
	if o := m.owned[id]; o != nil {
		return o
	}
	e, ok := m.cat.Endpoint(id)
	if !ok {
		return nil
	}
	o := &owned{id: id, service: e.Service, usedAt: m.now}
	o.pool = pool.New(m.poolConfig(e), func() pool.ConnID { return m.newConn(id, false) })
	m.owned[id] = o
	m.ownedList = append(m.ownedList, o)
	m.log(Info, "endpoint owned", f("endpoint", id), f("service", e.Service))
	return o
}

func (m *Machine) poolConfig(e catalog.Endpoint) pool.Config {
	total := minConnections
	if s, ok := m.cat.Service(e.Service); ok {
		total = max(total, s.MaxConnections*connectionShare/100)
	}
	return pool.Config{Slots: max(e.Slots, 1), MaxConnections: total}
}

func (m *Machine) newConn(id types.Endpoint, isControl bool) pool.ConnID {
	m.nextConn++
	m.conns[m.nextConn] = connection{endpoint: id, control: isControl}
	return m.nextConn
}

// exec takes a statement for an endpoint.
func (m *Machine) exec(from types.Host, e Exec) {
	o := m.own(e.Endpoint)
	m.nextJob++
	j := &job{
		id: m.nextJob, from: from, exec: e, endpoint: e.Endpoint,
		arrived: m.now, deadline: m.now.Add(e.DeadlineIn), due: m.now.Add(e.DueIn),
	}
	switch {
	case o == nil, m.now.Before(o.unreachableUntil):
		m.answer(j, Done{Reason: types.ReasonUnreachable})
		return
	case m.stop.refusing && (e.Tx == 0 || e.Begin != nil):
		m.answer(j, Done{Reason: types.ReasonLeaving})
		return
	}
	o.usedAt = m.now
	if e.Tx != 0 && !m.joinTx(o, j) {
		m.answer(j, Done{Reason: types.ReasonBroken})
		return
	}
	m.jobs[j.id] = j
	m.admit(o, j)
}

// admit submits a job as soon as its endpoint may run it.
func (m *Machine) admit(o *owned, j *job) {
	if !m.now.Before(j.deadline) {
		m.finishJob(o, j, Done{Reason: types.ReasonLate})
		return
	}
	var after types.LogPoint
	if j.exec.Primary {
		if !m.mayUsePrimary(o, j) {
			return
		}
	} else {
		required, ok := m.requiredPosition(o, j)
		if !ok {
			return
		}
		after = required
		if after.Less(j.exec.After) {
			after = j.exec.After
		}
	}
	o.pool.Submit(m.now, pool.Request{
		ID: j.id, Tx: j.tx, Begin: j.exec.Begin, Query: j.exec.Query, After: after, Values: j.exec.Values,
		Rank: j.exec.Rank, Due: j.due, Deadline: j.deadline, Trusted: j.exec.Primary,
	})
}

// retryWaiting admits the jobs that waited for authority or a position again.
func (m *Machine) retryWaiting(o *owned) {
	waiting := o.waiting
	o.waiting = nil
	for _, j := range waiting {
		m.admit(o, j)
	}
}

// flush turns a pool's effects into those of the machine; it reports whether
// there were any.
func (m *Machine) flush(o *owned) bool {
	effects := o.pool.Effects()
	for _, e := range effects {
		switch e := e.(type) {
		case pool.Dial:
			m.dialPool(o, e.Conn)
		case pool.Send:
			m.emit(EndpointSend{Conn: e.Conn, Command: e.Command})
		case pool.Close:
			delete(m.conns, e.Conn)
			m.emit(EndpointClose{Conn: e.Conn})
		case pool.Result:
			m.poolResult(o, e)
		}
	}
	return len(effects) > 0
}

func (m *Machine) dialPool(o *owned, id pool.ConnID) {
	e, ok := m.cat.Endpoint(o.id)
	if !ok {
		o.pool.DialFailed(m.now, id)
		return
	}
	m.count("baobab_endpoint_dials_total")
	m.emit(EndpointDial{Conn: id, Service: o.service, Endpoint: o.id, Address: e.Address})
}

// poolResult answers a job.
func (m *Machine) poolResult(o *owned, r pool.Result) {
	j := m.jobs[r.ID]
	if j == nil {
		return
	}
	d := Done{Ran: r.Ran, Reason: r.Reason, Reply: r.Reply, TxOpen: r.TxOpen, Waited: r.Waited, Served: r.Served}
	if r.Reply.Code == statement.CodeReadOnly && o.authority != nil {
		m.fenced(o, "endpoint is read only")
	}
	if j.exec.Primary && j.changesData() && r.Ran && r.Reason == types.ReasonNone && !m.mayAcknowledge(o) {
		m.log(Warn, "acknowledgement withheld", f("id", j.exec.Query.ID), f("endpoint", o.id), f("reason", "no authority"))
		d.Reason, d.Reply = types.ReasonFenced, statement.Reply{}
	}
	m.finishJob(o, j, d)
}

// finishJob answers a job and forgets it.
func (m *Machine) finishJob(o *owned, j *job, d Done) {
	delete(m.jobs, j.id)
	waiting, running := o.pool.Load()
	d.Load = waiting + running + len(o.waiting)
	if j.tx != 0 && !d.TxOpen {
		delete(m.txs, txKey{host: j.from, tx: j.exec.Tx})
	}
	m.answer(j, d)
}

func (m *Machine) answer(j *job, d Done) {
	d.ID = j.exec.ID
	if d.Reason != types.ReasonNone {
		m.log(Info, "statement ended without an answer", f("id", j.exec.Query.ID), f("endpoint", j.endpoint),
			f("from", j.from), f("primary", j.exec.Primary), f("ran", d.Ran), f("reason", d.Reason.String()), f("waited", d.Waited))
	}
	m.send(j.from, d)
}

// tickOwned looks after authority, waiting jobs and unused endpoints.
func (m *Machine) tickOwned() {
	limit := m.cat.TxIdleTimeout() + txGrace
	for _, key := range m.txKeys() {
		if m.cat.TxIdleTimeout() > 0 && m.now.Sub(m.txs[key].usedAt) > limit {
			m.ownedTxEnded(key.host, key.tx)
		}
	}
	for id, o := range ordered(m.owned) {
		if o.authority != nil {
			o.authority.SetReplicas(m.replicasOf(o))
			m.confirm(o)
		}
		m.retryWaiting(o)
		if m.now.Sub(o.usedAt) > unusedAfter && o.pool.Idle() && len(o.waiting) == 0 {
			m.disown(id, types.ReasonNone)
		}
	}
}

// disown closes an endpoint's connections and forgets it.
func (m *Machine) disown(id types.Endpoint, reason types.Reason) {
	o := m.owned[id]
	if o == nil {
		return
	}
	for _, j := range o.waiting {
		m.finishJob(o, j, Done{Reason: types.ReasonUnreachable})
	}
	o.waiting = nil
	o.pool.Shut(m.now, reason)
	m.flush(o)
	delete(m.owned, id)
	m.ownedList = slices.DeleteFunc(slices.Clone(m.ownedList), func(x *owned) bool { return x == o })
	m.log(Info, "endpoint disowned", f("endpoint", id), f("reason", reason.String()))
}

// endpointGone forgets an endpoint that has left the platform.
func (m *Machine) endpointGone(id types.Endpoint) {
	m.disown(id, types.ReasonUnreachable)
	m.dropControl(id)
	delete(m.places, id)
	delete(m.owners, id)
	delete(m.restarts, id)
}

// endpointEvent passes a connection's event to its pool or control connection.
func (m *Machine) endpointEvent(ev Event) {
	switch ev := ev.(type) {
	case EndpointConnected:
		m.connected(ev.Conn)
	case EndpointRefused:
		m.connectionEnded(ev.Conn, ev.Gone)
	case EndpointBroken:
		m.connectionEnded(ev.Conn, false)
	case EndpointReplied:
		if o := m.owned[m.conns[ev.Conn].endpoint]; o != nil {
			o.pool.Replied(m.now, ev.Conn, ev.Reply)
		}
	case EndpointStatus:
		m.controlReplied(ev)
	}
}

func (m *Machine) connected(id pool.ConnID) {
	c, ok := m.conns[id]
	switch {
	case !ok:
		m.emit(EndpointClose{Conn: id})
	case c.control:
		m.controlConnected(c.endpoint, id)
	default:
		if o := m.owned[c.endpoint]; o != nil {
			o.pool.Connected(m.now, id)
			m.opened(o)
		}
	}
}

func (m *Machine) connectionEnded(id pool.ConnID, gone bool) {
	c, ok := m.conns[id]
	if !ok {
		return
	}
	delete(m.conns, id)
	if c.control {
		m.controlEnded(c.endpoint, id, gone)
		return
	}
	if o := m.owned[c.endpoint]; o != nil {
		if o.authority != nil {
			o.authority.Unconfirm()
		}
		if gone {
			m.goneSeen(o)
		}
		o.pool.Broken(m.now, id)
	}
}
