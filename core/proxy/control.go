package proxy

import (
	"slices"
	"time"

	"baobabfield.example/core/lead"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/types"
)

const (
	// commandTimeout is the time after which a control command, or the opening of a control
	// connection, counts as failed.
	commandTimeout = 500 * time.Millisecond
	// controlIdleTimeout is the time without commands after which a control connection is
	// closed.
	controlIdleTimeout = 8 * time.Second
)

// purpose is the set of components that wait for the result of a control command.
type purpose uint8

const (
	purposeAuthority purpose = 1 << iota
	purposeCampaign
	purposePosition
	purposeReachability
	purposeObservation
	purposeResume
)

// controlCommand is a queued or outstanding command for an endpoint.
type controlCommand struct {
	command     lead.Command
	purpose     purpose
	requestedAt types.Time
	sentAt      types.Time
}

// controlConn is the connection for control commands to one endpoint. It sends one command at
// a time.
type controlConn struct {
	endpoint   types.Endpoint
	conn       pool.ConnID
	ready      bool
	dialedAt   types.Time
	openedAt   types.Time
	queue      []*controlCommand
	inFlight   *controlCommand
	lastUsedAt types.Time
	// unansweredAt is the time of the last timeout of a command or a dial; zero after a reply.
	unansweredAt types.Time
}

// enqueueCommand queues a command for an endpoint. An equal command that is already queued or
// outstanding is not sent twice.
func (m *Machine) enqueueCommand(cmd lead.Command, p purpose) {
	c := m.controlConns[cmd.Endpoint]
	if c == nil {
		c = &controlConn{endpoint: cmd.Endpoint}
		m.controlConns[cmd.Endpoint] = c
	}
	c.lastUsedAt = m.now
	if c.inFlight != nil && c.inFlight.command == cmd {
		c.inFlight.purpose |= p
		return
	}
	for _, queued := range c.queue {
		if queued.command == cmd {
			queued.purpose |= p
			return
		}
	}
	c.queue = append(c.queue, &controlCommand{command: cmd, purpose: p, requestedAt: m.now})
	m.sendNextCommand(c)
}

// sendNextCommand sends the next queued command, or opens the connection first.
func (m *Machine) sendNextCommand(c *controlConn) {
	if len(c.queue) == 0 || c.inFlight != nil {
		return
	}
	if c.conn == 0 {
		m.dialControl(c)
		return
	}
	if !c.ready {
		return
	}
	c.inFlight = c.queue[0]
	c.queue = c.queue[1:]
	c.inFlight.sentAt = m.now
	m.incrementCounter("baobab_endpoint_orders_total")
	m.emit(EndpointControlCommand{Conn: c.conn, Op: c.inFlight.command.Op, Term: c.inFlight.command.Term})
}

func (m *Machine) dialControl(c *controlConn) {
	e, ok := m.catalog.Instance(c.endpoint)
	if !ok {
		m.failCommands(c, true)
		return
	}
	c.conn = m.newConn(c.endpoint, true)
	c.ready, c.dialedAt = false, m.now
	m.emit(EndpointDial{Conn: c.conn, Service: e.Service, Endpoint: c.endpoint, Address: e.Address})
}

func (m *Machine) handleControlConnected(id types.Endpoint, conn pool.ConnID) {
	c := m.controlConns[id]
	if c == nil || c.conn != conn {
		delete(m.conns, conn)
		m.emit(EndpointClose{Conn: conn})
		return
	}
	c.ready, c.openedAt = true, m.now
	m.checkPossibleRestarts()
	if o := m.owned[id]; o != nil {
		m.reconfirmAuthority(o)
	}
	m.sendNextCommand(c)
}

// handleControlReply handles the reply to the outstanding command.
func (m *Machine) handleControlReply(ev EndpointStatus) {
	c := m.controlConns[m.conns[ev.Conn].endpoint]
	if c == nil || c.conn != ev.Conn || c.inFlight == nil {
		return
	}
	cmd := c.inFlight
	c.inFlight = nil
	c.unansweredAt = 0
	if ev.Accepted {
		m.handleStatus(cmd, c.openedAt, ev.Status)
	} else {
		m.handleCommandFailure(cmd, false)
	}
	m.sendNextCommand(c)
}

// handleControlDisconnected handles a control connection that could not be opened or has broken.
func (m *Machine) handleControlDisconnected(id types.Endpoint, conn pool.ConnID, absent bool) {
	c := m.controlConns[id]
	if c == nil || c.conn != conn {
		return
	}
	c.conn, c.ready = 0, false
	m.notePossibleRestart(id, absent)
	m.failCommands(c, absent)
}

// failCommands fails the outstanding and queued commands of a connection.
func (m *Machine) failCommands(c *controlConn, absent bool) {
	failed := c.queue
	if c.inFlight != nil {
		failed = append([]*controlCommand{c.inFlight}, failed...)
	}
	c.queue, c.inFlight = nil, nil
	for _, cmd := range failed {
		m.handleCommandFailure(cmd, absent)
	}
}

// tickControlConns closes connections that are idle or whose command or dial has timed out.
func (m *Machine) tickControlConns() {
	for id, c := range ordered(m.controlConns) {
		unanswered := c.inFlight != nil && m.now.Sub(c.inFlight.sentAt) > commandTimeout
		unanswered = unanswered || (c.conn != 0 && !c.ready && m.now.Sub(c.dialedAt) > commandTimeout)
		idle := c.inFlight == nil && len(c.queue) == 0 && m.now.Sub(c.lastUsedAt) > controlIdleTimeout
		if !unanswered && !idle {
			continue
		}
		if unanswered {
			c.unansweredAt = m.now
			// The endpoint may have restarted without a disconnect reaching this host.
			m.notePossibleRestart(id, false)
		}
		m.closeControl(c)
		m.failCommands(c, false)
		if idle {
			delete(m.controlConns, id)
		}
	}
}

func (m *Machine) closeControl(c *controlConn) {
	if c.conn != 0 {
		delete(m.conns, c.conn)
		m.emit(EndpointClose{Conn: c.conn})
	}
	c.conn, c.ready = 0, false
}

// removeControl closes the control connection of an endpoint that has been removed or
// replaced.
func (m *Machine) removeControl(id types.Endpoint) {
	c := m.controlConns[id]
	if c == nil {
		return
	}
	m.closeControl(c)
	m.failCommands(c, true)
	delete(m.controlConns, id)
}

func (m *Machine) hasPendingCommands() bool {
	for _, c := range m.controlConns {
		if c.inFlight != nil || len(c.queue) > 0 {
			return true
		}
	}
	return false
}

// handleStatus passes an endpoint's status to the authorities of the service, to pending
// reachability requests and to the campaign. openedAt is the time at which the control
// connection was opened.
func (m *Machine) handleStatus(cmd *controlCommand, openedAt types.Time, st lead.Status) {
	id := cmd.command.Endpoint
	e, ok := m.catalog.Instance(id)
	if !ok {
		return
	}
	m.dataCentreFor(e.DataCentre).endpointAnsweredAt = m.now
	level := Debug
	if cmd.command.Op != lead.OpQueryStatus {
		level = Info
	}
	m.log(level, "endpoint status", field("endpoint", id), field("order", cmd.command.Op.String()), field("asked_term", uint64(cmd.command.Term)), field("primary", st.Primary), field("term", uint64(st.Term)),
		field("held", uint64(st.FencedTerm)), field("received", st.Received.String()))
	for _, o := range ordered(m.owned) {
		if o.service != e.Service || o.authority == nil {
			continue
		}
		if o.id == id {
			m.noteRole(o, st)
		}
		if o.id == id && st.Primary && o.pool.IsTrusted(openedAt) {
			// The instance has not restarted since the query was sent, as in pool.HandleReply.
			o.pool.RecordPosition(cmd.sentAt, st.Received)
			o.pool.TrustConnections(m.now, cmd.sentAt)
			if cmd.purpose&purposePosition != 0 {
				// The periodic queries of the authority must not hide that the connections of
				// the pool have fallen silent.
				o.pool.RecordResponse(cmd.sentAt)
			}
		}
		m.resumePausedReplica(o, id, st)
		before := o.authority.Fenced()
		if m.restartedRecently(id, openedAt) && !m.isClaimFreeSinceRestart(o, id, openedAt, st) {
			o.authority.HandleQueryFailure(m.now, id)
		} else {
			o.authority.HandleStatus(id, cmd.sentAt, openedAt, st)
		}
		if o.authority.Fenced() && !before {
			m.fenceAuthority(o, "endpoint "+string(id)+" holds a later term")
		}
		m.sendAuthorityQueries(o)
		m.trustConfirmedConns(o)
		m.retryWaitingExecutions(o)
		m.answerPositionRequests(o)
	}
	if cmd.purpose&purposeReachability != 0 {
		m.answerReachability(e, st.Primary)
	}
	if cmd.purpose&purposeCampaign != 0 {
		m.handleCampaignStatus(e.Service, cmd, st)
	}
	if cmd.purpose&purposeResume != 0 {
		m.handleResumeStatus(e.Service, cmd, st)
	}
	if cmd.purpose&purposeObservation != 0 {
		m.serviceFor(e.Service).failover.observed[id] = observedPosition{received: st.Received, at: cmd.sentAt}
	}
}

// resumePausedReplica resumes a replica that a successful campaign has left paused: it holds
// no later term than the owned primary, and no campaign runs.
func (m *Machine) resumePausedReplica(o *ownedEndpoint, id types.Endpoint, st lead.Status) {
	fs := &m.serviceFor(o.service).failover
	paused := id != o.id && st.FencedTerm > 0 && st.FencedTerm <= o.authority.Term()
	if !paused || m.catalog.Leadership(o.service).CampaignOpen || m.now.Sub(fs.recordChangedAt) < pausedReplicaTimeout || m.now.Sub(fs.replicaResumedAt) < pausedReplicaTimeout {
		return
	}
	fs.replicaResumedAt = m.now
	m.log(Info, "replica resumed", field("endpoint", id), field("service", o.service), field("held", uint64(st.FencedTerm)), field("reason", "no campaign runs"))
	m.resumeReplica(fs, lead.Command{Endpoint: id, Op: lead.OpResume, Term: st.FencedTerm}, m.now)
}

// handleCommandFailure reports a command that got no reply, or was refused, to the components
// that wait for it. absent is set if no connection could be opened because the endpoint does
// not run at its address.
func (m *Machine) handleCommandFailure(cmd *controlCommand, absent bool) {
	id := cmd.command.Endpoint
	e, known := m.catalog.Instance(id)
	if !known {
		return
	}
	for _, o := range ordered(m.owned) {
		if o.service == e.Service && o.authority != nil {
			o.authority.HandleQueryFailure(m.now, id)
		}
	}
	if o := m.owned[id]; o != nil && absent {
		m.noteAbsent(o)
	}
	if cmd.purpose&purposeReachability != 0 {
		m.answerReachability(e, false)
	}
	if cmd.purpose&purposeCampaign != 0 {
		// Across data centres a broken link can look like a refused connection. A campaign
		// that then excluded this endpoint would not fence it, and it could still confirm the
		// old primary to hosts in its own data centre.
		m.handleCampaignFailure(e.Service, cmd, absent && e.DataCentre == m.settings.DataCentre)
	}
}

// removeHost removes a host from a list.
func removeHost(list []types.Host, h types.Host) []types.Host {
	return slices.DeleteFunc(list, func(x types.Host) bool { return x == h })
}
