package proxy

import (
	"slices"
	"time"

	"baobabfield.example/core/lead"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/types"
)

const (
	// orderTimeout is the time after which an order counts as lost.
	orderTimeout = 500 * time.Millisecond
	// controlIdle is the time without orders after which a control connection is
	// closed.
	controlIdle = 8 * time.Second
)

// purpose says who asked for an order.
type purpose uint8

const (
	purposeAuthority purpose = 1 << iota
	purposeCampaign
	purposePosition
	purposeReach
)

// controlOrder is an order that waits or is outstanding.
type controlOrder struct {
	order   lead.Order
	purpose purpose
	askedAt types.Time
	sentAt  types.Time
}

// control is a connection for orders to one endpoint.
type control struct {
	endpoint types.Endpoint
	conn     pool.ConnID
	ready    bool
	dialedAt types.Time
	openedAt types.Time
	queue    []*controlOrder
	current  *controlOrder
	usedAt   types.Time
	// silentAt is the time at which orders were last given up without an answer;
	// zero after an answer.
	silentAt types.Time
}

// order sends an order to an endpoint; equal orders are sent once.
func (m *Machine) order(o lead.Order, p purpose) {
	c := m.controls[o.Endpoint]
	if c == nil {
		c = &control{endpoint: o.Endpoint}
		m.controls[o.Endpoint] = c
	}
	c.usedAt = m.now
	if c.current != nil && c.current.order == o {
		c.current.purpose |= p
		return
	}
	for _, q := range c.queue {
		if q.order == o {
			q.purpose |= p
			return
		}
	}
	c.queue = append(c.queue, &controlOrder{order: o, purpose: p, askedAt: m.now})
	m.advanceControl(c)
}

// advanceControl dials, or sends the next order.
func (m *Machine) advanceControl(c *control) {
	if len(c.queue) == 0 || c.current != nil {
		return
	}
	if c.conn == 0 {
		m.dialControl(c)
		return
	}
	if !c.ready {
		return
	}
	c.current = c.queue[0]
	c.queue = c.queue[1:]
	c.current.sentAt = m.now
	m.count("baobab_endpoint_orders_total")
	m.emit(EndpointOrder{Conn: c.conn, Op: c.current.order.Op, Term: c.current.order.Term})
}

func (m *Machine) dialControl(c *control) {
	e, ok := m.cat.Endpoint(c.endpoint)
	if !ok {
		m.failOrders(c, true)
		return
	}
	c.conn = m.newConn(c.endpoint, true)
	c.ready, c.dialedAt = false, m.now
	m.emit(EndpointDial{Conn: c.conn, Service: e.Service, Endpoint: c.endpoint, Address: e.Address})
}

func (m *Machine) controlConnected(id types.Endpoint, conn pool.ConnID) {
	c := m.controls[id]
	if c == nil || c.conn != conn {
		delete(m.conns, conn)
		m.emit(EndpointClose{Conn: conn})
		return
	}
	c.ready, c.openedAt = true, m.now
	if o := m.owned[id]; o != nil {
		m.cover(o)
	}
	m.advanceControl(c)
}

// controlReplied takes the answer to the outstanding order.
func (m *Machine) controlReplied(ev EndpointStatus) {
	c := m.controls[m.conns[ev.Conn].endpoint]
	if c == nil || c.conn != ev.Conn || c.current == nil {
		return
	}
	done := c.current
	c.current = nil
	c.silentAt = 0
	if ev.Known {
		m.statusKnown(done, c.openedAt, ev.Status)
	} else {
		m.orderFailed(done, false)
	}
	m.advanceControl(c)
}

// controlEnded handles a control connection that could not be opened or has broken.
func (m *Machine) controlEnded(id types.Endpoint, conn pool.ConnID, gone bool) {
	c := m.controls[id]
	if c == nil || c.conn != conn {
		return
	}
	c.conn, c.ready = 0, false
	m.mayHaveRestarted(id, gone)
	m.failOrders(c, gone)
}

// failOrders ends all orders of a connection without an answer.
func (m *Machine) failOrders(c *control, gone bool) {
	failed := c.queue
	if c.current != nil {
		failed = append([]*controlOrder{c.current}, failed...)
	}
	c.queue, c.current = nil, nil
	for _, o := range failed {
		m.orderFailed(o, gone)
	}
}

// tickControls gives up orders that have no answer, and unused connections.
func (m *Machine) tickControls() {
	for id, c := range ordered(m.controls) {
		silent := c.current != nil && m.now.Sub(c.current.sentAt) > orderTimeout
		silent = silent || (c.conn != 0 && !c.ready && m.now.Sub(c.dialedAt) > orderTimeout)
		unused := c.current == nil && len(c.queue) == 0 && m.now.Sub(c.usedAt) > controlIdle
		if !silent && !unused {
			continue
		}
		if silent {
			c.silentAt = m.now
			// The break of a connection that has gone silent would not be heard.
			m.mayHaveRestarted(id, false)
		}
		m.closeControl(c)
		m.failOrders(c, false)
		if unused {
			delete(m.controls, id)
		}
	}
}

func (m *Machine) closeControl(c *control) {
	if c.conn != 0 {
		delete(m.conns, c.conn)
		m.emit(EndpointClose{Conn: c.conn})
	}
	c.conn, c.ready = 0, false
}

// dropControl forgets the control connection of an endpoint that is gone.
func (m *Machine) dropControl(id types.Endpoint) {
	c := m.controls[id]
	if c == nil {
		return
	}
	m.closeControl(c)
	m.failOrders(c, true)
	delete(m.controls, id)
}

func (m *Machine) controlsBusy() bool {
	for _, c := range m.controls {
		if c.current != nil || len(c.queue) > 0 {
			return true
		}
	}
	return false
}

// restartMemory is how long an endpoint that has restarted confirms no authority:
// it has forgotten the term that it was paused for, and the campaign that paused it
// may still be under way.
const restartMemory = 5 * time.Second

// restart is what the host has noticed of an endpoint's start.
type restart struct {
	at types.Time
	// certain is set where the endpoint was seen to be down or newly born; else only
	// a connection has broken, which a restart may have done.
	certain bool
}

// restarted reports whether an endpoint may have started lately. A broken connection
// counts until the endpoint's entry, read after the break, shows the birth of before.
func (m *Machine) restarted(id types.Endpoint) bool {
	r, ok := m.restarts[id]
	if !ok || m.now.Sub(r.at) >= restartMemory {
		return false
	}
	_, behind := m.gossip.behind[KindEndpoints]
	return r.certain || behind || !r.at.Before(m.refresh.freshAt[KindEndpoints])
}

// mayHaveRestarted notes that the connection to an endpoint has broken, and has its
// entry read.
func (m *Machine) mayHaveRestarted(id types.Endpoint, certain bool) {
	if old, ok := m.restarts[id]; ok && old.certain && m.now.Sub(old.at) < restartMemory && !certain {
		return
	}
	m.restarts[id] = restart{at: m.now, certain: certain}
	if !certain && m.now.Sub(m.refresh.askedAt[KindEndpoints]) >= refreshSoon {
		m.refresh.askedAt[KindEndpoints] = m.now
		m.emit(Refresh{Kind: KindEndpoints})
	}
}

// statusKnown passes an endpoint's report, on a connection of some age, to all that it
// concerns.
func (m *Machine) statusKnown(done *controlOrder, openedAt types.Time, st lead.Status) {
	id := done.order.Endpoint
	e, ok := m.cat.Endpoint(id)
	if !ok {
		return
	}
	level := Debug
	if done.order.Op != lead.AskStatus {
		level = Info
	}
	m.log(level, "endpoint status", f("endpoint", id), f("order", done.order.Op.String()), f("asked_term", uint64(done.order.Term)), f("primary", st.Primary), f("term", uint64(st.Term)),
		f("held", uint64(st.FencedTerm)), f("received", st.Received.String()))
	for _, o := range ordered(m.owned) {
		if o.service != e.Service || o.authority == nil {
			continue
		}
		if o.id == id && st.Primary && o.pool.Trusts(openedAt) {
			o.pool.NotePosition(done.sentAt, st.Received)
			o.pool.Trust(m.now, done.sentAt)
		}
		m.resumeForgotten(o, id, st)
		before := o.authority.Fenced()
		if m.restarted(id) {
			o.authority.Unanswered(m.now, id)
		} else {
			o.authority.Answered(id, done.sentAt, st)
		}
		if o.authority.Fenced() && !before {
			m.fenced(o, "endpoint "+string(id)+" holds a later term")
		}
		m.confirm(o)
		m.trust(o)
		m.retryWaiting(o)
		m.answerPositions(o)
	}
	if done.purpose&purposeReach != 0 {
		m.answerReach(e, st.Primary)
	}
	if done.purpose&purposeCampaign != 0 {
		m.campaignAnswered(e.Service, done.order, st)
	}
}

// resumeForgotten resumes a replica of an owned primary that a campaign has left
// paused after its success: it holds no later term, and no campaign runs.
func (m *Machine) resumeForgotten(o *owned, id types.Endpoint, st lead.Status) {
	l := &m.service(o.service).lead
	paused := id != o.id && st.FencedTerm > 0 && st.FencedTerm <= o.authority.Term()
	if !paused || m.cat.Leadership(o.service).CampaignOpen || m.now.Sub(l.recordAt) < forgottenAfter || m.now.Sub(l.resumedAt) < forgottenAfter {
		return
	}
	l.resumedAt = m.now
	m.log(Info, "replica resumed", f("endpoint", id), f("service", o.service), f("held", uint64(st.FencedTerm)), f("reason", "no campaign runs"))
	m.order(lead.Order{Endpoint: id, Op: lead.Resume}, purposeAuthority)
}

// orderFailed tells those that it concerns that an order has no answer.
func (m *Machine) orderFailed(done *controlOrder, gone bool) {
	id := done.order.Endpoint
	e, known := m.cat.Endpoint(id)
	if !known {
		return
	}
	for _, o := range ordered(m.owned) {
		if o.service == e.Service && o.authority != nil {
			o.authority.Unanswered(m.now, id)
		}
	}
	if o := m.owned[id]; o != nil && gone {
		m.goneSeen(o)
	}
	if done.purpose&purposeReach != 0 {
		m.answerReach(e, false)
	}
	if done.purpose&purposeCampaign != 0 {
		// From another data centre a cut link can look like a refusal, and an endpoint
		// that is left out of the fence could still confirm the old primary there.
		m.campaignFailed(e.Service, done, gone && e.DataCentre == m.set.DataCentre)
	}
}

// removeHost drops a host from a list.
func removeHost(list []types.Host, h types.Host) []types.Host {
	return slices.DeleteFunc(list, func(x types.Host) bool { return x == h })
}
