package proxy

import (
	"fmt"
	"slices"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

const (
	// connectionSharePercent is the share of an endpoint's connection limit that its owner may
	// open. The rest is left for control connections and for a host that takes over the
	// ownership.
	connectionSharePercent = 60
	// formerOwnerPercent is the share that a host may keep which is no longer the owner, for
	// transactions and for hosts that have not noticed the change. Both shares leave some
	// connections for control.
	formerOwnerPercent = 30
	// minConnections is the least number of connections that an owner may open.
	minConnections = 2
	// idleEndpointTimeout is the time without requests after which an endpoint's connections
	// are closed.
	idleEndpointTimeout = 20 * time.Second
	// idleTxGrace is added to the time limit of idle transactions at the owner, since the
	// frontend is expected to end them first.
	idleTxGrace = 2 * time.Second
	// maxMessageBytes is the largest request or reply that is sent to another host: a larger message
	// cannot be encoded. replyRowOverhead is the size of a row's tag and length.
	maxMessageBytes  = 2<<20 - 64<<10
	replyRowOverhead = 6
)

// ownedEndpoint is an endpoint at which this host runs statements.
type ownedEndpoint struct {
	id      types.Endpoint
	service types.Service
	pool    *pool.Pool
	// authority is set if the endpoint is used as the primary.
	authority *lead.Authority
	// primaryTerm is the term in which the endpoint last reported to be the primary; zero if it
	// has reported to be a replica since.
	primaryTerm types.Term
	// fencedAt is when the authority was last fenced, and fencedSince when it was first fenced
	// since it was last valid; zero for never.
	fencedAt, fencedSince types.Time
	// waitingExecutions wait for the authority or for a position.
	waitingExecutions []*execution
	// newWorkHeld is set while new work waits because a planned change replaces the primary,
	// see lead.Actions.HoldNewWork.
	newWorkHeld bool
	lastUsedAt  types.Time
	// absentCount is the number of recent failures with Absent set: one for each dial of the
	// pool, and one for each command that a failed dial of the control connection ends.
	// lastAbsentAt is the time of the last failure. The count starts again after
	// absenceValidity without one.
	absentCount  int
	lastAbsentAt types.Time
	// trustQueryDue is set if the status of a primary is to be queried for new connections.
	// trustQueriedAt is when it was last queried for them.
	trustQueryDue  bool
	trustQueriedAt types.Time
	// positionRequests are the requests of other hosts that wait for the endpoint's position as
	// the primary.
	positionRequests []pendingPositionRequest
	// positionQueriedAt is when the endpoint was last queried for its position.
	positionQueriedAt types.Time
	// unreachableUntil is set if other hosts can reach the endpoint and this host cannot.
	unreachableUntil types.Time
}

// execution is an ExecRequest that this host has received as the owner of the endpoint. Its
// frontend may be this host itself.
type execution struct {
	id        pool.RequestID
	from      types.Host
	request   ExecRequest
	tx        pool.TxID
	endpoint  types.Endpoint
	arrivedAt types.Time
	deadline  types.Time
	due       types.Time
	// isCounted is set if the operation counts towards the limit of its workspace.
	isCounted bool
}

// continuesTx reports whether the statement belongs to a transaction that has already begun.
func (ex *execution) continuesTx() bool { return ex.tx != 0 && ex.request.Begin == nil }

// mayCommit reports whether a successful reply acknowledges a committed change.
func (ex *execution) mayCommit() bool {
	k := ex.request.Query.Stmt.Kind
	return k == statement.KindCommit || (ex.tx == 0 && ex.request.Query.Stmt.Writes())
}

// ensureOwned returns the state of an endpoint and creates it on first use. It returns nil for
// an unknown endpoint.
func (m *Machine) ensureOwned(id types.Endpoint) *ownedEndpoint {
	if o := m.owned[id]; o != nil {
		return o
	}
	e, ok := m.catalog.Endpoint(id)
	if !ok {
		return nil
	}
	o := &ownedEndpoint{id: id, service: e.Service, lastUsedAt: m.now}
	o.pool = pool.New(m.poolConfig(e), func() pool.ConnID { return m.newConn(id, false) })
	m.owned[id] = o
	m.ownedInOrder = append(m.ownedInOrder, o)
	m.log(Info, "endpoint ownership taken", field("endpoint", id), field("service", e.Service))
	return o
}

func (m *Machine) poolConfig(e catalog.Endpoint) pool.Config {
	maxConnections := minConnections
	percent := connectionSharePercent
	if m.catalog.HasWorkspaces() && m.ownerOf(e.ID, nil) != m.settings.Host {
		percent = formerOwnerPercent
	}
	if s, ok := m.catalog.Service(e.Service); ok {
		maxConnections = max(maxConnections, s.MaxConnections*percent/100)
	}
	return pool.Config{Slots: max(e.Slots, 1), MaxConnections: maxConnections, ByWorkspace: m.catalog.HasWorkspaces()}
}

func (m *Machine) newConn(id types.Endpoint, isControl bool) pool.ConnID {
	m.nextConnID++
	m.conns[m.nextConnID] = connTarget{endpoint: id, isControl: isControl}
	return m.nextConnID
}

// handleExec accepts or refuses a statement for an endpoint.
func (m *Machine) handleExec(from types.Host, req ExecRequest) {
	if !m.noteReceived(from, req.ID) {
		return
	}
	o := m.ensureOwned(req.Endpoint)
	m.nextExecutionID++
	ex := &execution{
		id: m.nextExecutionID, from: from, request: req, endpoint: req.Endpoint,
		arrivedAt: m.now, deadline: m.now.Add(req.DeadlineIn), due: m.now.Add(req.DueIn),
	}
	switch {
	case o == nil, m.now.Before(o.unreachableUntil):
		m.sendResult(ex, ExecResult{Reason: types.ReasonUnreachable})
		return
	case !m.mayRunFor(&req):
		m.log(Warn, "request without a workspace", field("id", req.Query.ID), field("from", from), field("endpoint", req.Endpoint))
		m.sendResult(ex, ExecResult{Reason: types.ReasonUnreachable})
		return
	case m.stop.refusingWork && (req.Tx == 0 || req.Begin != nil):
		m.sendResult(ex, ExecResult{Reason: types.ReasonLeaving})
		return
	case !m.hasExecutionMemory(ex):
		m.sendResult(ex, ExecResult{Reason: types.ReasonQueueFull})
		return
	}
	o.lastUsedAt = m.now
	if req.Tx != 0 && !m.resolveTx(o, ex) {
		m.sendResult(ex, ExecResult{Reason: types.ReasonBroken})
		return
	}
	m.addExecution(ex)
	if m.countOperation(o, ex) {
		m.admitExecution(o, ex)
	}
}

// admitExecution submits an execution to the pool, or keeps it waiting until its authority or
// position is known.
func (m *Machine) admitExecution(o *ownedEndpoint, ex *execution) {
	if !m.now.Before(ex.deadline) {
		m.finishExecution(o, ex, ExecResult{Reason: types.ReasonLate})
		return
	}
	var after types.LogPoint
	if ex.request.RequirePrimary {
		if !m.mayUsePrimary(o, ex) {
			return
		}
	} else {
		required, ok := m.requiredPosition(o, ex)
		if !ok {
			return
		}
		after = required
		if after.Less(ex.request.After) {
			after = ex.request.After
		}
	}
	o.pool.Submit(m.now, pool.Request{
		ID: ex.id, Tx: ex.tx, Workspace: ex.request.Workspace, Begin: ex.request.Begin, Query: ex.request.Query, MinPosition: after, Variables: ex.request.Variables,
		Rank: ex.request.Rank, Due: ex.due, Deadline: ex.deadline, RequireTrusted: ex.request.RequirePrimary,
		Retry: ex.request.Retry, WayTime: ex.request.WayTime,
	})
}

// retryWaitingExecutions admits the waiting executions again.
func (m *Machine) retryWaitingExecutions(o *ownedEndpoint) {
	waiting := o.waitingExecutions
	o.waitingExecutions = nil
	for _, ex := range waiting {
		m.admitExecution(o, ex)
	}
}

// applyPoolEffects converts the pending effects of a pool to effects of the machine. It
// reports whether there were any.
func (m *Machine) applyPoolEffects(o *ownedEndpoint) bool {
	effects := o.pool.TakeEffects()
	for _, e := range effects {
		switch e := e.(type) {
		case pool.Dial:
			m.dialPoolConn(o, e)
		case pool.Send:
			m.emit(EndpointSend{Conn: e.Conn, Command: e.Command})
		case pool.Close:
			delete(m.conns, e.Conn)
			m.countClosed(e.Cause)
			m.emit(EndpointClose{Conn: e.Conn})
		case pool.Result:
			m.handlePoolResult(o, e)
		}
	}
	return len(effects) > 0
}

func (m *Machine) dialPoolConn(o *ownedEndpoint, dial pool.Dial) {
	e, ok := m.catalog.Endpoint(o.id)
	if !ok {
		o.pool.HandleDialFailure(m.now, dial.Conn)
		return
	}
	m.incrementCounter("baobab_endpoint_dials_total")
	m.emit(EndpointDial{Conn: dial.Conn, Service: o.service, Endpoint: o.id, Address: e.Address, Workspace: dial.Workspace})
}

// countClosed counts the connections that were closed without a failure.
func (m *Machine) countClosed(cause pool.CloseCause) {
	switch cause {
	case pool.CauseEvicted:
		m.incrementCounter("baobab_pool_evicted_total")
	case pool.CauseUnused:
		m.incrementCounter("baobab_pool_unused_total")
	case pool.CauseNone:
	}
}

// handlePoolResult handles the result of an execution.
func (m *Machine) handlePoolResult(o *ownedEndpoint, r pool.Result) {
	ex := m.executions[r.ID]
	if ex == nil {
		return
	}
	res := ExecResult{MayHaveRun: r.MayHaveRun, Reason: r.Reason, Reply: r.Reply, TxOpen: r.TxOpen, QueueTime: r.QueueTime, ServiceTime: r.ServiceTime}
	if r.Reply.Code == statement.CodeReadOnly && o.authority != nil {
		m.fenceAuthority(o, "endpoint is read only")
	}
	if ex.request.RequirePrimary && ex.mayCommit() && r.MayHaveRun && r.Reason == types.ReasonNone && !m.mayAcknowledge(o) {
		m.log(Warn, "acknowledgement withheld", field("id", ex.request.Query.ID), field("endpoint", o.id), field("reason", "no authority"))
		res.Reason, res.Reply = types.ReasonFenced, statement.Reply{}
	}
	m.countQueueOutcome(ex, &r)
	m.finishExecution(o, ex, res)
}

// countQueueOutcome counts the requests that the queue refused on arrival or dropped later, and the
// replies after their objective.
func (m *Machine) countQueueOutcome(ex *execution, r *pool.Result) {
	switch {
	case r.Reason == types.ReasonNone && m.now.After(ex.due):
		m.incrementCounter("baobab_queue_late_replies_total")
	case r.Reason == types.ReasonNone || r.MayHaveRun:
	case r.QueueTime == 0:
		m.incrementCounter(fmt.Sprintf("baobab_queue_refused_total{reason=%q}", r.Reason.String()))
	default:
		m.incrementCounter(fmt.Sprintf("baobab_queue_dropped_total{reason=%q}", r.Reason.String()))
	}
}

// finishExecution removes an execution and sends its result.
func (m *Machine) finishExecution(o *ownedEndpoint, ex *execution, res ExecResult) {
	m.removeExecution(ex)
	m.refundOperation(ex, &res)
	waiting, running := o.pool.Load()
	res.Load = waiting + running + len(o.waitingExecutions)
	if ex.tx != 0 && !res.TxOpen {
		delete(m.ownedTxs, txKey{host: ex.from, tx: ex.request.Tx})
	}
	m.sendResult(ex, res)
}

func (m *Machine) sendResult(ex *execution, res ExecResult) {
	res.ID = ex.request.ID
	if size := replyBytes(&res.Reply); size > maxMessageBytes && ex.from != m.settings.Host {
		m.log(Warn, "answer too large", field("id", ex.request.Query.ID), field("endpoint", ex.endpoint), field("bytes", size), field("limit", maxMessageBytes))
		res.Reply = statement.Reply{
			Code: statement.CodeFailed, Text: fmt.Sprintf("the answer of %d bytes exceeds the limit of %d bytes", size, maxMessageBytes),
			State: res.Reply.State, Position: res.Reply.Position,
		}
	}
	if res.Reason != types.ReasonNone {
		m.log(Info, "statement ended without an answer", field("id", ex.request.Query.ID), field("endpoint", ex.endpoint),
			field("from", ex.from), field("primary", ex.request.RequirePrimary), field("ran", res.MayHaveRun), field("reason", res.Reason.String()), field("waited", res.QueueTime))
	}
	m.keepResult(ex.from, &res)
	m.sendToHost(ex.from, res)
}

// replyBytes returns the approximate size of a reply in a message.
func replyBytes(r *statement.Reply) int {
	size := len(r.Text) + len(r.Signature)
	for _, row := range r.Rows {
		size += len(row) + replyRowOverhead
	}
	return size
}

// tickOwned maintains authorities, retries waiting executions, and ends idle transactions and
// unused endpoints.
func (m *Machine) tickOwned() {
	limit := m.catalog.TxIdleTimeout() + idleTxGrace
	for _, key := range m.txKeys() {
		if m.catalog.TxIdleTimeout() > 0 && m.now.Sub(m.ownedTxs[key].lastUsedAt) > limit {
			m.endOwnedTx(key.host, key.tx)
		}
	}
	for id, o := range ordered(m.owned) {
		if o.authority != nil {
			o.authority.SetReplicas(m.replicasOf(o), m.knowsAllEndpoints())
			m.sendAuthorityQueries(o)
			m.sendTrustQuery(o)
			if o.authority.Valid(m.now) {
				o.fencedSince = 0
			}
		}
		m.retryWaitingExecutions(o)
		if e, ok := m.catalog.Endpoint(id); ok && m.catalog.HasWorkspaces() {
			o.pool.Configure(m.poolConfig(e)) // the owner may have changed
		}
		if m.now.Sub(o.lastUsedAt) > idleEndpointTimeout && o.pool.IsIdle() && len(o.waitingExecutions) == 0 {
			m.releaseEndpoint(id, types.ReasonNone)
		}
	}
}

// releaseEndpoint closes an endpoint's connections and removes its state.
func (m *Machine) releaseEndpoint(id types.Endpoint, reason types.Reason) {
	o := m.owned[id]
	if o == nil {
		return
	}
	for _, ex := range o.waitingExecutions {
		m.finishExecution(o, ex, ExecResult{Reason: types.ReasonUnreachable})
	}
	o.waitingExecutions = nil
	m.sendPosition(o, PositionResponse{Service: o.service, Endpoint: o.id})
	o.pool.CloseAll(m.now, reason)
	m.applyPoolEffects(o)
	delete(m.owned, id)
	m.ownedInOrder = slices.DeleteFunc(slices.Clone(m.ownedInOrder), func(x *ownedEndpoint) bool { return x == o })
	m.log(Info, "endpoint ownership released", field("endpoint", id), field("reason", reason.String()))
}

// dropEndpoint drops all state of an endpoint that is no longer on the platform.
func (m *Machine) dropEndpoint(id types.Endpoint) {
	m.releaseEndpoint(id, types.ReasonUnreachable)
	m.removeControl(id)
	delete(m.stats, id)
	delete(m.ownerCache, id)
	delete(m.restarts, id)
	delete(m.leavingSince, id)
}

// handleEndpointEvent dispatches a connection's event to its pool or control connection.
func (m *Machine) handleEndpointEvent(ev Event) {
	switch ev := ev.(type) {
	case EndpointConnected:
		m.handleConnOpened(ev.Conn)
	case EndpointDialFailed:
		if !ev.AtLimit || !m.handleDialRefused(ev.Conn) {
			m.handleConnClosed(ev.Conn, ev.Absent)
		}
	case EndpointDisconnected:
		m.handleConnClosed(ev.Conn, false)
	case EndpointReplied:
		if o := m.owned[m.conns[ev.Conn].endpoint]; o != nil {
			o.pool.HandleReply(m.now, ev.Conn, ev.Reply)
			if o.authority != nil {
				o.authority.RecordPrimaryReply(o.pool.PrimaryRepliedAt())
			}
			m.releaseOldPrimary(o)
			m.checkWritesDrained(m.serviceFor(o.service))
		}
	case EndpointStatus:
		m.handleControlReply(ev)
	}
}

func (m *Machine) handleConnOpened(id pool.ConnID) {
	c, ok := m.conns[id]
	switch {
	case !ok:
		m.emit(EndpointClose{Conn: id})
	case c.isControl:
		m.handleControlConnected(c.endpoint, id)
	default:
		if o := m.owned[c.endpoint]; o != nil {
			o.pool.HandleConnected(m.now, id)
			m.confirmNewConn(o, id)
		}
	}
}

// handleDialRefused handles a connection that an endpoint at its connection limit has refused. It
// returns false if that counts as a failure: for control connections, and without workspaces, where
// one host at a time opens connections to an endpoint.
func (m *Machine) handleDialRefused(id pool.ConnID) bool {
	c, ok := m.conns[id]
	o := m.owned[c.endpoint]
	if !ok || c.isControl || o == nil || !m.catalog.HasWorkspaces() {
		return false
	}
	delete(m.conns, id)
	m.incrementCounter("baobab_pool_refused_dials_total")
	o.pool.HandleDialRefused(m.now, id)
	m.log(Info, "endpoint at its connection limit", field("endpoint", o.id), field("connections", o.pool.ConnectionCount()), field("owner", m.ownerOf(o.id, nil)))
	return true
}

func (m *Machine) handleConnClosed(id pool.ConnID, absent bool) {
	c, ok := m.conns[id]
	if !ok {
		return
	}
	delete(m.conns, id)
	if c.isControl {
		m.handleControlDisconnected(c.endpoint, id, absent)
		return
	}
	if o := m.owned[c.endpoint]; o != nil {
		if o.authority != nil {
			o.authority.DiscardConfirmations()
		}
		if absent {
			m.noteAbsent(o)
		}
		o.pool.HandleDisconnect(m.now, id)
	}
}
